package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the deployment lsbma-quay.
const (
	pool      = "barrier-ledger"
	cpu       = 64000
	memMB     = 131072
	heartbeat = 1500 * time.Millisecond
	holdMax   = 6 * time.Second
	stopTime  = 100 * time.Millisecond
	startup   = 300 * time.Millisecond // of a task that lasts
)

// machine is a machine with one executor at a time, all at the same address.
type machine struct {
	rig        *rig
	name, addr string
	zone, rack string

	mu    sync.Mutex
	state string // up, upkeep, down
	lives int
	ex    *executor
}

// executor is one life of a machine.
type executor struct {
	m      *machine
	id     string
	born   time.Time
	server *http.Server
	stop   chan struct{} // closed at the end of the process

	mu       sync.Mutex
	token    uint64
	leaseEnd int64 // by the executor's clock
	runs     map[string]*run
	highest  map[string]int // the highest run that has ended or was stopped, by task
	ends     [][]any
	lastEnd  int64
	news     chan struct{} // closed and replaced at an end
}

type run struct {
	task     string
	no       int
	began    time.Time
	work     time.Duration
	stopping bool
}

// boot starts a new life of the machine and lists it.
func (m *machine) boot() {
	l, err := net.Listen("tcp", m.addr)
	if err != nil {
		m.rig.unable("executor: %v", err)
	}
	m.mu.Lock()
	m.addr = l.Addr().String()
	m.lives++
	e := &executor{
		m: m, id: fmt.Sprintf("i-%s-%d", m.name, m.lives), born: time.Now(), stop: make(chan struct{}),
		runs: map[string]*run{}, highest: map[string]int{}, news: make(chan struct{}),
	}
	e.server = &http.Server{Handler: e.routes(), ReadHeaderTimeout: time.Minute}
	m.ex, m.state = e, "up"
	m.mu.Unlock()
	go func() { _ = e.server.Serve(l) }() // ends with the process
	go e.beat()
	go e.watchLease()
}

// kill ends the executor's process with everything that runs on it: connections are reset, later ones refused. Its
// entry goes after three heartbeats.
func (m *machine) kill(state string) {
	m.mu.Lock()
	e := m.ex
	m.ex, m.state = nil, state
	m.mu.Unlock()
	if e == nil {
		return
	}
	close(e.stop)
	_ = e.server.Close()
	e.mu.Lock()
	for _, r := range e.runs {
		m.rig.record("executor %s ends; task %s run %d is lost with it", e.id, r.task, r.no)
		m.rig.ran(runEvent{task: r.task, no: r.no, executor: e.id, how: "lost"})
	}
	e.runs = map[string]*run{}
	e.mu.Unlock()
}

func (m *machine) current() (e *executor, state string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ex, m.state
}

// beat writes the entry with each heartbeat.
func (e *executor) beat() {
	for seq := 1; ; seq++ {
		entry, err := json.Marshal(map[string]any{
			"service": pool, "address": e.m.addr, "zone": e.m.zone, "version": "1", "slots": 8, "state": "ready", "cold-remaining-ms": 0, "seq": seq,
			"capacity": map[string]int{"cpu": cpu, "mem-mb": memMB, "gpu": 0}, "labels": []string{"a", e.m.rack},
		})
		if err != nil {
			panic(err) // plain data always encodes
		}
		e.m.rig.store.beat(e.id, entry)
		select {
		case <-e.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() }

// watchLease kills everything when the lease expires.
func (e *executor) watchLease() {
	for {
		select {
		case <-e.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		e.mu.Lock()
		if e.clock() >= e.leaseEnd {
			for _, r := range e.runs {
				e.end(r, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

func (e *executor) extend(deadline int64) {
	e.leaseEnd = max(e.leaseEnd, min(deadline, e.clock()+holdMax.Milliseconds()))
}

// end lists the end of a run. The lock is held.
func (e *executor) end(r *run, how string) {
	if e.runs[r.task] != r {
		return
	}
	delete(e.runs, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.no)
	e.lastEnd++
	e.ends = append(e.ends, []any{e.lastEnd, r.task, r.no, how, ""})
	close(e.news)
	e.news = make(chan struct{})
	e.m.rig.record("executor %s lists the end of task %s run %d: %s", e.id, r.task, r.no, how)
	e.m.rig.ran(runEvent{task: r.task, no: r.no, executor: e.id, how: how})
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    uint64 `json:"fencing-token"`
	LastSeen int64  `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

func (e *executor) routes() http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, fn func(w http.ResponseWriter, r *http.Request, o order)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			if want := r.Header.Get("Pulleyquay-Expected-Instance"); want != "" && want != e.id {
				answer(w, http.StatusMisdirectedRequest, struct{}{})
				return
			}
			var o order
			if json.NewDecoder(r.Body).Decode(&o) != nil {
				answer(w, http.StatusBadRequest, struct{}{})
				return
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			if o.Token < e.token {
				e.refuse(w, "fence")
				return
			}
			e.token = o.Token
			fn(w, r, o)
		})
	}
	handle("/api/run-start", e.start)
	handle("/api/run-stop", e.stopRun)
	handle("/api/hold", e.hold)
	handle("/api/pace", func(w http.ResponseWriter, _ *http.Request, _ order) { e.ok(w) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, struct{}{}) })
	return mux
}

func (e *executor) refuse(w http.ResponseWriter, reason string) {
	answer(w, http.StatusConflict, map[string]any{"clock-ms": e.clock(), "reason": reason})
}

func (e *executor) ok(w http.ResponseWriter) {
	answer(w, http.StatusOK, map[string]any{"clock-ms": e.clock()})
}

func (e *executor) start(w http.ResponseWriter, _ *http.Request, o order) {
	if r := e.runs[o.Task]; r != nil && r.no == o.Run {
		e.ok(w)
		return
	}
	if o.Deadline <= e.clock() {
		e.refuse(w, "late")
		return
	}
	e.extend(o.Deadline)
	if e.runs[o.Task] != nil || o.Run <= e.highest[o.Task] {
		e.refuse(w, "old")
		return
	}
	r := &run{task: o.Task, no: o.Run, began: time.Now(), work: workOf(o.Spec)}
	e.runs[o.Task] = r
	e.m.rig.record("executor %s starts task %s run %d", e.id, r.task, r.no)
	e.m.rig.ran(runEvent{task: r.task, no: r.no, executor: e.id, how: "started"})
	how := "done"
	if after, fails := e.m.rig.takeFailure(o.Task); fails {
		r.work, how = after, "failed"
	}
	if r.work > 0 {
		time.AfterFunc(r.work, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if !r.stopping {
				e.end(r, how)
			}
		})
	}
	e.ok(w)
}

func (e *executor) stopRun(w http.ResponseWriter, _ *http.Request, o order) {
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if r := e.runs[o.Task]; r != nil && r.no == o.Run && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.end(r, "stopped")
		})
	}
	e.ok(w)
}

// hold is called with the lock, which it gives up while it waits for an end.
func (e *executor) hold(w http.ResponseWriter, r *http.Request, o order) {
	if o.Deadline > 0 {
		e.extend(o.Deadline)
	}
	for len(e.ends) > 0 && e.ends[0][0].(int64) <= o.LastSeen {
		end := e.ends[0]
		e.m.rig.record("executor %s: the end of task %v run %v (%v) is taken note of", e.id, end[1], end[2], end[3])
		e.m.rig.ran(runEvent{task: end[1].(string), no: end[2].(int), executor: e.id, how: "noted"})
		e.ends = e.ends[1:]
	}
	if o.Wait > 0 && len(e.ends) == 0 {
		news := e.news
		e.mu.Unlock()
		select {
		case <-news:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		e.mu.Lock()
	}
	running := [][]any{}
	for _, r := range e.runs {
		percent := min(99, int(100*time.Since(r.began)/max(r.work, time.Second)))
		if r.work == 0 && time.Since(r.began) >= startup {
			percent = 100 // a task that lasts is at work
		}
		running = append(running, []any{r.task, r.no, "", percent, cpu / 64})
	}
	answer(w, http.StatusOK, map[string]any{"clock-ms": e.clock(), "running": running, "finished": append([][]any{}, e.ends[:min(len(e.ends), 500)]...)})
}

// workOf reads the work of a task from its spec, "work-ms=N"; a task that lasts, "lasts", has none.
func workOf(spec string) time.Duration {
	if spec == "lasts" {
		return 0
	}
	_, digits, _ := strings.Cut(spec, "work-ms=")
	ms, err := strconv.Atoi(digits)
	if err != nil {
		ms = 300
	}
	return time.Duration(ms) * time.Millisecond
}
