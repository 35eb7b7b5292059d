package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	port "pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/platform/fake"
)

// rig is one run of a case.
type rig struct {
	began     time.Time
	trouble   bool
	dir       string
	platform  *fake.Platform
	store     *memstore.Engine
	cloud     *cloud
	site      site
	cuts      *cuts
	executors []*executor
	nodes     []*node
	client    *http.Client
	// onOrder, if not nil, is called when bytes of an order to a machine arrive at the platform.
	onOrder func(machine string)

	mu       sync.Mutex
	record   *os.File
	failures []string
	closed   bool
}

type node struct {
	name string
	rig  *rig
	file string
	call string // address for callers
	look string // address of the readiness check

	mu      sync.Mutex
	process *exec.Cmd
}

func newRig(s site, record string) (*rig, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-rig-2-")
	if err != nil {
		return nil, err
	}
	p := fake.New()
	r := &rig{
		began: time.Now(), site: s, trouble: os.Getenv("TROUBLE") != "0", dir: dir, platform: p, store: p.Store, cuts: newCuts(), record: f,
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	r.cloud = &cloud{rig: r, waveOf: map[int64]map[string]bool{}, highest: map[string]uint64{}}
	return r, nil
}

func (r *rig) since() time.Duration { return time.Since(r.began) }

// note writes a line of the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		_, _ = fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (r *rig) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

func (r *rig) outcome() (broken, failures []string) {
	r.cloud.mu.Lock()
	broken = append(broken, r.cloud.broken...)
	r.cloud.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	return broken, r.failures
}

// close ends all processes and removes the temporary folder.
func (r *rig) close() {
	for _, n := range r.nodes {
		n.mu.Lock()
		if n.process != nil {
			_ = n.process.Process.Kill()
			_ = n.process.Wait()
		}
		n.mu.Unlock()
	}
	r.platform.Close()
	r.mu.Lock()
	r.closed = true
	_ = r.record.Close()
	r.mu.Unlock()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(r.dir))
	}
	_ = os.RemoveAll(r.dir)
}

// serve serves h for the processes of the system, at a free port.
func (r *rig) serve(h http.Handler, seen func(string, []byte)) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(&cutListener{Listener: l, rig: r, seen: seen}) }() // until the process ends
	return l.Addr().String(), nil
}

// start starts the deployment and waits until it takes requests.
func (r *rig) start() error {
	r.store.Put(port.Write{Key: "op/config", Value: []byte(r.site.configuration)})
	r.executors = r.site.executors
	for _, x := range r.executors {
		x.rig = r
		if err := x.start(); err != nil {
			return err
		}
	}
	advice, err := r.serve(http.NotFoundHandler(), nil) // no queue has a policy
	if err != nil {
		return err
	}
	machines, err := r.serve(r.cloud, func(machine string, b []byte) {
		if bytes.Contains(b, []byte("POST /api/machine-upkeep")) && r.onOrder != nil {
			r.onOrder(machine)
		}
	})
	if err != nil {
		return err
	}
	storeBehind, err := r.platform.ServeStore("all")
	if err != nil {
		return err
	}
	store, err := r.serve(through(storeBehind), nil)
	if err != nil {
		return err
	}
	for i := range r.site.nodes {
		if err := r.addNode(i, store, advice, machines); err != nil {
			return err
		}
	}
	for _, n := range r.nodes {
		if err := n.run(); err != nil {
			return err
		}
	}
	return r.awaitReady(20 * time.Second)
}

// through forwards calls to the store's own server.
func through(addr string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		out := q.Clone(q.Context())
		out.URL.Scheme, out.URL.Host, out.RequestURI = "http", addr, ""
		reply, err := client.Do(out)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer reply.Body.Close()
		w.Header().Set("Content-Type", "application/json")
		body, err := io.ReadAll(reply.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(reply.StatusCode)
		_, _ = w.Write(body)
	})
}

// block is the loopback network of this run: each node has an address of its own, as they all use the same ports.
var block = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))

func (r *rig) addNode(i int, store, advice, machines string) error {
	zones := r.site.zones
	zone := zones[i%len(zones)]
	name := fmt.Sprintf("edge-%s-%d", zone, 1+i/len(zones))
	ip := fmt.Sprintf("%s.%d", block, 10+i)
	n := &node{name: name, rig: r, file: filepath.Join(r.dir, name+".json")}
	ports, err := freePorts(ip, 3)
	if err != nil {
		return err
	}
	n.call, n.look = net.JoinHostPort(ip, ports[0]), net.JoinHostPort(ip, ports[1])
	advertise, err := r.proxy(n, net.JoinHostPort(ip, ports[2]))
	if err != nil {
		return err
	}
	settings, err := render(map[string]string{
		"node": name, "zone": zone, "ip": ip, "listen.front": n.call, "listen.ready": n.look, "internal-ports.0": ports[2],
		"platform.address": store, "advice": advice, "cloud.address": machines,
		"limits.cpu-share": "0.4", "limits.link-mbps": "1000.0", "limits.memory-mb": "284", "limits.max-fds": "4200",
		"bounds.hold-max-ms": "6000", "bounds.stop-ms": "200", "bounds.gang-ms": "3000", "bounds.status_s": "120", "bounds.far-x": "2",
		"bounds.restore-ms": "600", "bounds.lease-ms": "3000", "bounds.contact-ms": "3000", "heartbeat-ms": "1500",
		"bounds.checkpoint-s": "1", "bounds.grace-s": "6",
	})
	if err != nil {
		return err
	}
	// Peers reach a node through a proxy of the rig.
	var parsed map[string]any
	if err := json.Unmarshal(settings, &parsed); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	parsed["listen"].(map[string]any)["advertise"] = advertise
	if settings, err = json.MarshalIndent(parsed, "", "  "); err != nil {
		return err
	}
	r.nodes = append(r.nodes, n)
	return os.WriteFile(n.file, settings, 0o600)
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}(.*?)\{\{/[^}]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([^}]+)\}\}`)
)

// render fills the template of the deploy file as the platform does.
func render(values map[string]string) ([]byte, error) {
	text, err := os.ReadFile("deploy/node.json.tmpl")
	if err != nil {
		return nil, err
	}
	out := section.ReplaceAllStringFunc(string(text), func(s string) string {
		m := section.FindStringSubmatch(s)
		if values[m[1]] == "" {
			return ""
		}
		return m[2]
	})
	out = placeholder.ReplaceAllStringFunc(out, func(s string) string { return values[strings.Trim(s, "{}")] })
	return []byte(out), nil
}

func freePorts(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		_, p, err := net.SplitHostPort(l.Addr().String())
		if err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	return out, nil
}

// run starts the node's process with the command of the deploy file.
func (n *node) run() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command("target/pulley-node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PULLEYQUAY_NODE_FILE=" + n.file}
	out, err := os.OpenFile(filepath.Join(n.rig.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	n.process = cmd
	return nil
}

func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return 0
	}
	return n.process.Process.Pid
}

func (r *rig) awaitReady(limit time.Duration) error {
	for _, n := range r.nodes {
		for {
			reply, err := r.client.Get("http://" + n.look + "/api/readyz")
			if err == nil {
				_ = reply.Body.Close()
				if reply.StatusCode == http.StatusOK {
					break
				}
			}
			if r.since() > limit {
				return fmt.Errorf("%s is not ready: %v", n.name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.note("all %d nodes are ready", len(r.nodes))
	return nil
}

func (r *rig) executorOf(machine string) *executor {
	for _, x := range r.executors {
		if x.machine == machine {
			return x
		}
	}
	return nil
}

// workOf returns how long the tasks of a job work.
func (r *rig) workOf(spec string) time.Duration {
	_, ms, _ := strings.Cut(spec, "work-ms ")
	n, err := strconv.Atoi(ms)
	if err != nil {
		r.fail("a task was started with another spec: %q", spec)
	}
	return time.Duration(n) * time.Millisecond
}

var errNotAccepted = errors.New("not accepted")

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends a request of a client to some node.
func (r *rig) call(method, path string, body []byte) (int, []byte, error) {
	n := r.nodes[rand.IntN(len(r.nodes))]
	q, err := http.NewRequest(method, "http://"+n.call+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	q.Host = "nony24.example"
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Pulleyquay-Deadline-Ms", "3000")
	reply, err := r.client.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer reply.Body.Close()
	out, err := io.ReadAll(reply.Body)
	return reply.StatusCode, out, err
}

// submit hands a job in, with four retries.
func (r *rig) submit(prefix, id string, job map[string]any) error {
	body, err := json.Marshal(job)
	if err != nil {
		return err
	}
	for range 5 {
		status, out, err := r.call(http.MethodPost, prefix+id, body)
		if err == nil && status/100 == 2 {
			return nil
		}
		r.note("job %s: %d %.120s %v", id, status, out, err)
		time.Sleep(500 * time.Millisecond)
	}
	return errNotAccepted
}

// background hands small jobs in until stop is closed: tickets of two tasks.
func (r *rig) background(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
		go func() {
			_ = r.submit("/lohu930/", newID(), map[string]any{
				"spec": "work-ms 640", "steps": []map[string]any{{"count": 2, "cpu": 5600, "mem-mb": 9000, "estimate-ms": 640}},
			})
		}()
	}
}
