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

// loopback is the IP address of all ports of the demonstration.
const loopback = "127.0.0.1"

// host is one entry host: an entry process and a placer process in one availability zone.
type host struct {
	name, zone                     string
	peer, placerAdmin, http, admin string
}

// Cell runs the stand-in and the entry hosts as processes of this machine.
type Cell struct {
	bin, dir    string
	standin     string // address of the stand-in
	hosts       []host
	running     map[string]*exec.Cmd
	exited      map[string]chan struct{}
	residentKiB map[string]int64 // resident memory, read before each process is ended
}

// freePorts returns n addresses with free ports. Another process may take a port before it
// is used; the process that needs the port then exits and its log has the address.
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

// NewCell returns a cell, not yet started, with one entry host in each of the zones. The
// programs are in bin; settings files and logs are written to dir.
func NewCell(bin, dir string, zones []string) (*Cell, error) {
	addrs, err := freePorts(1)
	if err != nil {
		return nil, err
	}
	c := &Cell{
		bin: bin, dir: dir, standin: addrs[0],
		running: map[string]*exec.Cmd{}, exited: map[string]chan struct{}{}, residentKiB: map[string]int64{},
	}
	for i, zone := range zones {
		c.hosts = append(c.hosts, host{name: fmt.Sprintf("host-%d", i+1), zone: zone})
	}
	return c, nil
}

// assignPorts assigns addresses to the entry hosts. It must be called after the stand-in
// has started, because the stand-in's hosts take free ports too.
func (c *Cell) assignPorts() error {
	const portsPerHost = 4
	addrs, err := freePorts(portsPerHost * len(c.hosts))
	if err != nil {
		return err
	}
	for i := range c.hosts {
		p, h := addrs[portsPerHost*i:], &c.hosts[i]
		h.peer, h.placerAdmin, h.http, h.admin = p[0], p[1], p[2], p[3]
	}
	return nil
}

// Start starts all processes and waits until the placers and entries are ready.
func (c *Cell) Start(ctx context.Context) error {
	if err := c.launch("pulley-standin", "standin", c.standinSettings()); err != nil {
		return err
	}
	if err := waitFor(ctx, "the stand-in", func() bool { return respondsOK("http://" + c.standin + "/v1/hosts") }); err != nil {
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
			ready := func() bool { return c.exitedProcess() != "" || respondsOK("http://"+admin+"/readyz") }
			if err := waitFor(ctx, h.name, ready); err != nil {
				return err
			}
			if name := c.exitedProcess(); name != "" {
				return fmt.Errorf("%s exited during startup", name)
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
	c.exited[name] = make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait() // the status is read from cmd.ProcessState
		close(exited)
	}(c.exited[name])
	return nil
}

// exitedProcess returns the name of a process that has exited by itself, or "".
func (c *Cell) exitedProcess() string {
	for name := range c.running {
		select {
		case <-c.exited[name]:
			return name
		default:
		}
	}
	return ""
}

// Kill ends a process with SIGKILL.
func (c *Cell) Kill(name string) error {
	cmd := c.running[name]
	c.recordMemory(name)
	delete(c.running, name)
	if err := cmd.Process.Kill(); err != nil {
		return err
	}
	<-c.exited[name]
	return nil
}

// Stop requests a planned stop of a process and waits until the process has exited.
func (c *Cell) Stop(name string) error {
	cmd := c.running[name]
	c.recordMemory(name)
	delete(c.running, name)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-c.exited[name]
	if status := cmd.ProcessState; !status.Success() {
		return fmt.Errorf("%s exited with %s", name, status)
	}
	return nil
}

// Close kills all processes that are still running.
func (c *Cell) Close() {
	for name := range c.running {
		_ = c.Kill(name)
	}
}

// recordMemory records the resident memory of a process.
func (c *Cell) recordMemory(name string) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.running[name].Process.Pid))
	if err != nil {
		return
	}
	var kib int64
	for _, line := range splitLines(data) {
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kib); err == nil {
			c.residentKiB[name] = kib
		}
	}
}

// waitFor polls a condition until it is true or ctx ends.
func waitFor(ctx context.Context, what string, done func() bool) error {
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

func respondsOK(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
