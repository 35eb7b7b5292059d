// Command rig-3 plays the cases of the third review: it starts pulley-node processes as deploy/system.toml does, on
// loopback, with stand-ins of the store, the executors, the machine service and the clients, and judges what these
// have seen. Its exit status is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

type rig struct {
	trouble bool
	began   time.Time
	dir     string // temporary folder of the settings files
	log     *os.File

	store    *store
	platform string // the address of the store
	machines []*machine
	nodes    []*node

	mu     sync.Mutex
	broken []string
	events []runEvent
	onRun  func(runEvent)
	// fails is the task of which the next run fails, after failsAfter.
	fails      string
	failsAfter time.Duration
}

// runEvent is what an executor has seen of a run.
type runEvent struct {
	at             time.Time
	task, executor string
	no             int
	how            string // started, done, stopped, lapsed, lost
}

type node struct {
	name, ip, front, ready string
	settings               string
	cmd                    *exec.Cmd
	ended                  chan struct{}
}

var cases = map[string]func(*rig){"stuck": stuck, "service": service, "wave": wave, "moved": moved}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-3 CASE RECORD, in the root of the repository")
		os.Exit(2)
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), log: f, store: newStore()}
	if r.dir, err = os.MkdirTemp("", "pulleyquay-review-"); err != nil {
		r.unable("%v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		r.unable("stopped by a signal")
	}()
	time.AfterFunc(110*time.Second, func() { r.unable("not over in time") })
	cases[os.Args[1]](r)
	r.finish()
}

// finish ends all processes and reports the result.
func (r *rig) finish() {
	r.mu.Lock()
	broken := r.broken
	r.mu.Unlock()
	if len(broken) > 0 {
		r.record("BROKEN: %s", strings.Join(broken, "; "))
		r.exit(1)
	}
	r.record("HELD")
	r.exit(0)
}

func (r *rig) exit(status int) {
	for _, n := range r.nodes {
		n.kill()
	}
	_ = os.RemoveAll(r.dir)
	os.Exit(status)
}

// unable ends a case that can't run.
func (r *rig) unable(format string, args ...any) {
	r.record("UNABLE: "+format, args...)
	r.exit(2)
}

func (r *rig) record(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.log.WriteString(line)
}

// breaks records that the rule is broken.
func (r *rig) breaks(format string, args ...any) {
	what := fmt.Sprintf(format, args...)
	r.record("rule broken: %s", what)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, what)
}

// ran records an event of a run, with an executor's lock held.
func (r *rig) ran(e runEvent) {
	e.at = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
	if r.onRun != nil {
		go r.onRun(e)
	}
}

// runsOf returns the events of a job's runs.
func (r *rig) runsOf(job string) (out []runEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.events {
		if strings.HasPrefix(e.task, job+".") {
			out = append(out, e)
		}
	}
	return out
}

// freePort returns a free port of an address of the loopback network.
func (r *rig) freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		r.unable("%v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// serve serves a stand-in at a free port.
func (r *rig) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.unable("%v", err)
	}
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: time.Minute}).Serve(l) }() // ends with the process
	return l.Addr().String()
}

// boot starts the platform with n machines, and nodes on hosts of their own.
func (r *rig) boot(machines, nodes int, config map[string]any) {
	zones := []string{"hall-duluth", "hall-marquette", "hall-thunder"}
	for i := range machines {
		m := &machine{rig: r, name: fmt.Sprintf("m%02d", i), addr: "127.0.0.1:0", zone: zones[i%3], rack: fmt.Sprintf("r%d", i/4)}
		r.machines = append(r.machines, m)
		m.boot()
	}
	body, err := json.Marshal(config)
	if err != nil {
		panic(err) // plain data always encodes
	}
	r.store.put("op/config", body)
	if r.platform == "" {
		r.platform = r.serve(r.store.routes())
	}
	cloud := r.serve(r.cloud())
	none := r.serve(http.NotFoundHandler())
	template, err := os.ReadFile("deploy/node.json.tmpl")
	if err != nil {
		r.unable("%v", err)
	}
	for i := range nodes {
		n := &node{name: fmt.Sprintf("edge-%s-%d", zones[i%3], i/3+1), ip: r.freeHost()}
		n.front, n.ready = r.freePort(n.ip), r.freePort(n.ip)
		_, port, _ := net.SplitHostPort(r.freePort(n.ip))
		n.settings = filepath.Join(r.dir, n.name+".json")
		text := render(string(template), map[string]string{
			"node": n.name, "zone": zones[i%3], "ip": n.ip, "listen.front": n.front, "listen.ready": n.ready, "internal-ports.0": port,
			"platform.address": r.platform, "advice": none, "cloud.address": cloud, "limits.cpu-share": "0.4", "limits.link-mbps": "1000.0",
			"limits.memory-mb": "284", "limits.max-fds": "4200", "heartbeat-ms": "1500", "bounds.hold-max-ms": "6000", "bounds.stop-ms": "200",
			"bounds.gang-ms": "3000", "bounds.status_s": "120", "bounds.far-x": "2", "bounds.restore-ms": "600", "bounds.lease-ms": "3000",
			"bounds.contact-ms": "3000", "bounds.checkpoint-s": "1", "bounds.grace-s": "6",
		})
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			r.unable("%v", err)
		}
		r.nodes = append(r.nodes, n)
		r.start(n)
	}
	r.awaitReady()
}

// freeHost returns an address of the loopback network at which the port of the metrics is free.
func (r *rig) freeHost() string {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), rand.IntN(256), 2+rand.IntN(250))
		l, err := net.Listen("tcp", ip+":9464")
		if err == nil {
			_ = l.Close()
			return ip
		}
	}
	r.unable("no free address")
	return ""
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}(.*?)\{\{/([^}]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([^}#/]+)\}\}`)
)

// render fills in the template of the deploy file.
func render(text string, values map[string]string) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		if values[m[1]] == "" {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string { return values[placeholder.FindStringSubmatch(s)[1]] })
}

// start starts the process of a node by the command of the deploy file.
func (r *rig) start(n *node) {
	n.cmd = exec.Command("target/pulley-node")
	n.cmd.Env = []string{"PULLEYQUAY_NODE_FILE=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "LANG=C"}
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := os.Create(filepath.Join(r.dir, n.name+".log"))
	if err != nil {
		r.unable("%v", err)
	}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	if keep := os.Getenv("RIG_LOGS"); keep != "" {
		if f, err := os.Create(filepath.Join(keep, n.name+".log")); err == nil {
			n.cmd.Stdout, n.cmd.Stderr = f, f
		}
	}
	if err := n.cmd.Start(); err != nil {
		r.unable("%v", err)
	}
	n.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait() // the status of a killed process tells nothing
		close(ended)
	}(n.cmd, n.ended)
	r.record("node %s starts", n.name)
}

func (n *node) kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	_ = n.cmd.Process.Kill() // fails if it has ended
	<-n.ended
}

// awaitReady waits until all nodes are ready and work has begun to be possible.
func (r *rig) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(20 * time.Second)
	for _, n := range r.nodes {
		for {
			resp, err := client.Get("http://" + n.ready + "/api/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				r.unable("node %s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.record("all nodes are ready")
	time.Sleep(2 * time.Second)
}

const (
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
)

// config is a configuration with one queue without advice, the tasks of which have three attempts.
func config() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "storm-ticket", "host": routeHost, "prefix": routePrefix, "type": "non_idempotent", "timeout-ms": 3000, "target-latency-ms": 250,
			"priority": 0, "service": pool, "attempts": 3, "stretch": 1.5,
		}},
		"services": []map[string]any{{"name": pool, "health-path": "/healthz", "max-connections": 64, "protocol": "h1", "enforces-capacity": false, "standby": false}},
		"limits":   map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 10000, "idle-timeout-ms": 60000},
	}
}

var clients = &http.Client{Timeout: 3 * time.Second}

// call makes a client's call at a node.
func (r *rig) call(n *node, method, id, body string) (status int, text string) {
	req, err := http.NewRequest(method, "http://"+n.front+routePrefix+id, bytes.NewReader([]byte(body)))
	if err != nil {
		panic(err) // the parts are valid
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Pulleyquay-Deadline-Ms", "3000")
	resp, err := clients.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(out)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in until it is accepted, as a client does.
func (r *rig) submit(id, body string) bool {
	for try := range 5 {
		status, text := r.call(r.nodes[(try+int(id[0]))%len(r.nodes)], http.MethodPost, id, body)
		r.record("client: POST %s: %d %s", id, status, strings.TrimSpace(text))
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job at each node in turn until one tells it.
func (r *rig) state(id string) string {
	for _, n := range r.nodes {
		status, text := r.call(n, http.MethodGet, id, "")
		var body struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &body) == nil {
			return body.State
		}
		if status == http.StatusGone {
			return "410"
		}
	}
	return ""
}

// traffic hands small jobs in, some a second, until done is closed.
func (r *rig) traffic(perSecond int, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Second / time.Duration(perSecond)):
		}
		go r.submit(newID(), `{"spec":"work-ms=300","steps":[{"count":2,"cpu":5600,"mem-mb":10000,"estimate-ms":640}]}`)
	}
}
