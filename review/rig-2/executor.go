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

	port "pulleyquay/internal/platform"
)

// executor is a stand-in for one machine with an executor, as PROTOCOL.md describes it. A crash or an upkeep ends the
// executor with all that runs on it; the next one answers at the same address under a new id.
type executor struct {
	rig     *rig
	machine string
	addr    string
	rack    string
	kind    string
	service string
	zone    string
	cpu     int64
	mem     int64
	gpu     int64

	mu       sync.Mutex
	up       bool
	life     int
	id       string
	born     time.Time
	seq      int64
	listener net.Listener
	conns    map[net.Conn]bool
	epoch    uint64
	lease    int64
	runs     map[string]*execRun // by task and run
	highest  map[string]int      // by task: highest run that was stopped or has ended
	ends     []execEnd
	lastEnd  int64
	changed  chan struct{}
	upkeeps  map[int64]bool
	state    string
}

type execRun struct {
	task    string
	no      int
	started time.Time
	work    time.Duration
	timer   *time.Timer
}

type execEnd struct {
	n    int64
	task string
	no   int
	how  string
}

// maxLease is the longest lease, hold-max-ms of the site lsbma-quay; beat is heartbeat-ms, silence the time after which
// the platform removes the entry of a silent executor.
const (
	maxLease = 6000
	beat     = 1500 * time.Millisecond
	silence  = 3 * beat
)

func (x *executor) clock() int64 { return time.Since(x.born).Milliseconds() }

// start begins a new life.
func (x *executor) start() error {
	addr := x.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.life++
	x.addr, x.listener, x.up, x.state = l.Addr().String(), l, true, "up"
	x.id = fmt.Sprintf("i-%s-%d", x.machine, x.life)
	x.born, x.seq, x.epoch, x.lease, x.lastEnd = time.Now().Add(-time.Second), 0, 0, 0, 0
	x.runs, x.highest, x.ends = map[string]*execRun{}, map[string]int{}, nil
	x.changed, x.conns = make(chan struct{}), map[net.Conn]bool{}
	life := x.life
	x.mu.Unlock()
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { x.serve(life, w, r) }), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(&cutListener{Listener: l, rig: x.rig, accepted: x.track}) }() // ends with its listener
	go x.beats(life)
	return nil
}

func (x *executor) track(c net.Conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conns[c] = true
}

func (x *executor) key() string { return "servers/" + x.id }

// beats writes the executor's entry until its life ends, and removes it after three beats of silence.
func (x *executor) beats(life int) {
	for {
		x.mu.Lock()
		if x.life != life || !x.up {
			x.mu.Unlock()
			return
		}
		x.seq++
		value, _ := json.Marshal(map[string]any{
			"service": x.service, "address": x.addr, "zone": x.zone, "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
			"capacity": map[string]int64{"cpu": x.cpu, "mem-mb": x.mem, "gpu": x.gpu}, "labels": []string{x.kind, x.rack}, "clock-ms": x.clock(), "seq": x.seq,
		})
		key := x.key()
		x.mu.Unlock()
		x.rig.store.Put(port.Write{Key: key, Value: value})
		time.Sleep(beat)
	}
}

// endLocked ends the present life: connections are reset, and the port is closed. next is when another life begins.
func (x *executor) endLocked(why string, next time.Duration) {
	if !x.up {
		return
	}
	lost := []string{}
	for _, r := range x.runs {
		r.timer.Stop()
		lost = append(lost, fmt.Sprintf("%s run %d after %d ms", r.task, r.no, time.Since(r.started).Milliseconds()))
	}
	x.rig.note("executor %s of %s ends: %s; with it: %s", x.id, x.machine, why, strings.Join(lost, ", "))
	x.up, x.runs, x.state = false, map[string]*execRun{}, why
	_ = x.listener.Close()
	for c := range x.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	key := x.key()
	time.AfterFunc(silence, func() { x.rig.store.Put(port.Write{Key: key, Delete: true}) })
	time.AfterFunc(next, func() {
		if err := x.start(); err != nil {
			x.rig.fail("executor %s can't listen again: %v", x.machine, err)
		}
	})
}

type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    uint64 `json:"fencing-token"`
	Seen     int64  `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

func runKey(task string, no int) string { return task + "/" + strconv.Itoa(no) }

func (x *executor) serve(life int, w http.ResponseWriter, r *http.Request) {
	x.mu.Lock()
	if x.life != life || !x.up {
		x.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Pulleyquay-Instance-Id", x.id)
	if want := r.Header.Get("Pulleyquay-Expected-Instance"); want != "" && want != x.id {
		x.mu.Unlock()
		answer(w, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	x.mu.Unlock()
	if r.URL.Path == "/healthz" {
		return
	}
	var o orderBody
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	x.mu.Lock()
	if x.life != life || !x.up {
		x.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	defer x.mu.Unlock()
	refuse := func(why string) {
		answer(w, http.StatusConflict, map[string]any{"clock-ms": x.clock(), "reason": why})
	}
	if o.Token < x.epoch {
		refuse("fence")
		return
	}
	x.epoch = o.Token
	x.lapse()
	switch r.URL.Path {
	case "/api/run-start":
		x.startRun(w, o, refuse)
	case "/api/run-stop":
		x.highest[o.Task] = max(x.highest[o.Task], o.Run)
		if run := x.runs[runKey(o.Task, o.Run)]; run != nil {
			x.finish(run, "stopped")
		}
		answer(w, http.StatusOK, map[string]any{"clock-ms": x.clock()})
	case "/api/pace":
		answer(w, http.StatusOK, map[string]any{"clock-ms": x.clock()})
	case "/api/hold":
		x.hold(life, w, r, o)
	default:
		answer(w, http.StatusNotFound, struct{}{})
	}
}

func (x *executor) startRun(w http.ResponseWriter, o orderBody, refuse func(string)) {
	if x.clock() > o.Deadline {
		refuse("late")
		return
	}
	if x.runs[runKey(o.Task, o.Run)] != nil {
		answer(w, http.StatusOK, map[string]any{"clock-ms": x.clock()})
		return
	}
	x.renew(o.Deadline)
	if o.Run <= x.highest[o.Task] {
		refuse("old")
		return
	}
	run := &execRun{task: o.Task, no: o.Run, started: time.Now(), work: x.rig.workOf(o.Spec)}
	x.runs[runKey(o.Task, o.Run)] = run
	life := x.life
	run.timer = time.AfterFunc(run.work, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.lapse()
		if x.life == life && x.runs[runKey(run.task, run.no)] == run {
			x.finish(run, "done")
		}
	})
	x.rig.note("start of %s run %d on %s", o.Task, o.Run, x.id)
	answer(w, http.StatusOK, map[string]any{"clock-ms": x.clock()})
}

func (x *executor) finish(r *execRun, how string) {
	r.timer.Stop()
	delete(x.runs, runKey(r.task, r.no))
	x.highest[r.task] = max(x.highest[r.task], r.no)
	x.lastEnd++
	x.ends = append(x.ends, execEnd{x.lastEnd, r.task, r.no, how})
	x.rig.note("end of %s run %d on %s: %s", r.task, r.no, x.id, how)
	close(x.changed)
	x.changed = make(chan struct{})
}

func (x *executor) renew(deadline int64) {
	x.lease = max(x.lease, min(deadline, x.clock()+maxLease))
	life := x.life
	time.AfterFunc(time.Duration(x.lease-x.clock()+1)*time.Millisecond, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.life == life {
			x.lapse()
		}
	})
}

// lapse ends everything if the lease is over.
func (x *executor) lapse() {
	if x.clock() <= x.lease {
		return
	}
	for _, r := range x.runs {
		x.finish(r, "lapsed")
	}
}

func (x *executor) hold(life int, w http.ResponseWriter, r *http.Request, o orderBody) {
	if o.Deadline > 0 {
		x.renew(o.Deadline)
	}
	for len(x.ends) > 0 && x.ends[0].n <= o.Seen {
		x.ends = x.ends[1:]
	}
	if o.Wait > 0 && len(x.ends) == 0 {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		x.mu.Lock()
	}
	if x.life != life || !x.up {
		panic(http.ErrAbortHandler)
	}
	running, finished := [][]any{}, [][]any{}
	for _, run := range x.runs {
		percent := int(100 * time.Since(run.started) / run.work)
		running = append(running, []any{run.task, run.no, "", min(percent, 99), 0})
	}
	for _, e := range x.ends {
		finished = append(finished, []any{e.n, e.task, e.no, e.how, ""})
	}
	answer(w, http.StatusOK, map[string]any{"clock-ms": x.clock(), "running": running, "finished": finished})
}

func answer(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
