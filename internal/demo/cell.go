package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// loopback is the only address the demonstration uses.
const loopback = "127.0.0.1"

// host is one entry host: an entry and a placer in one availability zone.
type host struct {
	name, zone                     string
	peer, placerAdmin, http, admin string
}

// Cell is the stand-in and the entry hosts as processes of this machine.
type Cell struct {
	bin, dir string
	standin  string // address of the stand-in
	hosts    []host
	running  map[string]*exec.Cmd
	ended    map[string]chan struct{}
	memory   map[string]int64 // resident KiB, read before each process ends
}

// freePorts returns n addresses nobody listens on. Another process may take one
// before it is used; the start then fails and names it.
func freePorts(n int) ([]string, error) {
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	var addrs []string
	for range n {
		l, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

// NewCell prepares a cell with one entry host in each of the zones. Settings
// and logs go to dir, the programs come from bin.
func NewCell(bin, dir string, zones []string) (*Cell, error) {
	addrs, err := freePorts(1)
	if err != nil {
		return nil, err
	}
	c := &Cell{
		bin: bin, dir: dir, standin: addrs[0],
		running: map[string]*exec.Cmd{}, ended: map[string]chan struct{}{}, memory: map[string]int64{},
	}
	for i, zone := range zones {
		c.hosts = append(c.hosts, host{name: fmt.Sprintf("host-%d", i+1), zone: zone})
	}
	return c, nil
}

// assignPorts gives the entry hosts their addresses. It comes after the start
// of the stand-in, whose hosts take free ports of their own.
func (c *Cell) assignPorts() error {
	const each = 4
	addrs, err := freePorts(each * len(c.hosts))
	if err != nil {
		return err
	}
	for i := range c.hosts {
		p, h := addrs[each*i:], &c.hosts[i]
		h.peer, h.placerAdmin, h.http, h.admin = p[0], p[1], p[2], p[3]
	}
	return nil
}

// Start starts every process and waits until the entries are ready.
func (c *Cell) Start(ctx context.Context) error {
	if err := c.launch("pulley-standin", "standin", c.standinSettings()); err != nil {
		return err
	}
	if err := await(ctx, "the stand-in", func() bool { return answers("http://" + c.standin + "/v1/hosts") }); err != nil {
		return err
	}
	if err := c.assignPorts(); err != nil {
		return err
	}
	for _, h := range c.hosts {
		if err := c.launch("pulley-placer", "placer-"+h.name, c.placerSettings(h)); err != nil {
			return err
		}
		if err := c.launch("pulley-entry", "entry-"+h.name, c.entrySettings(h)); err != nil {
			return err
		}
	}
	for _, h := range c.hosts {
		for _, admin := range []string{h.placerAdmin, h.admin} {
			ready := func() bool { return c.lost() != "" || answers("http://"+admin+"/readyz") }
			if err := await(ctx, h.name, ready); err != nil {
				return err
			}
			if name := c.lost(); name != "" {
				return fmt.Errorf("%s ended at its start", name)
			}
		}
	}
	return nil
}

func (c *Cell) launch(program, name string, settings any) error {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(c.dir, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(c.bin, program), "--config", path)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	c.running[name] = cmd
	c.ended[name] = make(chan struct{})
	go func(ended chan struct{}) {
		_ = cmd.Wait() // its status is read from cmd
		close(ended)
	}(c.ended[name])
	return nil
}

// lost names a process that has ended by itself, or "".
func (c *Cell) lost() string {
	for name := range c.running {
		select {
		case <-c.ended[name]:
			return name
		default:
		}
	}
	return ""
}

// Kill ends a process without warning.
func (c *Cell) Kill(name string) error {
	cmd := c.running[name]
	c.noteMemory(name)
	delete(c.running, name)
	if err := cmd.Process.Kill(); err != nil {
		return err
	}
	<-c.ended[name]
	return nil
}

// Stop asks a process for a planned stop and waits for its end.
func (c *Cell) Stop(name string) error {
	cmd := c.running[name]
	c.noteMemory(name)
	delete(c.running, name)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-c.ended[name]
	if status := cmd.ProcessState; !status.Success() {
		return fmt.Errorf("%s ended with %s", name, status)
	}
	return nil
}

// Close kills whatever still runs.
func (c *Cell) Close() {
	for name := range c.running {
		_ = c.Kill(name)
	}
}

// noteMemory reads a process's resident memory.
func (c *Cell) noteMemory(name string) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.running[name].Process.Pid))
	if err != nil {
		return
	}
	var kib int64
	for _, line := range splitLines(data) {
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kib); err == nil {
			c.memory[name] = kib
		}
	}
}

// await polls a condition until it holds or ctx ends.
func await(ctx context.Context, what string, done func() bool) error {
	const step = 50 * time.Millisecond
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for %s: %w", what, ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

func answers(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
