package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"time"

	port "pulleyquay/internal/platform"
)

// executor is an executor as PROTOCOL.md has it, for tasks without gangs: it starts whatever it is told to
// start, keeps the highest fencing token, ends everything when its lease is over, and lists at most
// maxListedEnds ends, which it keeps until they have been seen.
type executor struct {
	run  *run
	id   string
	addr string
	born time.Time
	// workTime is the mean time for which a task works.
	workTime time.Duration

	mu      sync.Mutex
	token   uint64
	lease   int64
	running map[runKey]*time.Timer
	highest map[string]int // by task, the highest run that was stopped or has ended
	ends    []endRecord
	lastEnd int64
	changed chan struct{} // closed when a run ends
}

// runKey is one run of a task.
type runKey struct {
	task string
	no   int
}

// endRecord is an entry of finished.
type endRecord struct {
	n   int64
	run runKey
	how string
}

// Limits of an executor.
const (
	maxListedEnds   = 500
	maxLease        = 6 * time.Second
	heartbeatPeriod = 1500 * time.Millisecond
	stopTime        = 100 * time.Millisecond
)

// addExecutors starts executors and registers them in the store.
func (r *run) addExecutors(n int, workTime time.Duration) error {
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		x := &executor{
			run: r, id: fmt.Sprintf("i-%08x", i+1), addr: l.Addr().String(), born: time.Now().Add(-time.Hour), workTime: workTime,
			running: map[runKey]*time.Timer{}, highest: map[string]int{}, changed: make(chan struct{}),
		}
		go func() { _ = http.Serve(l, x.routes()) }() // ends with this process
		go x.heartbeats()
	}
	return nil
}

// heartbeats keeps the executor's entry in the store.
func (x *executor) heartbeats() {
	for seq := 1; ; seq++ {
		x.run.platform.Store.Put(port.Write{Key: "servers/" + x.id, Value: mustJSON(map[string]any{
			"service": service, "address": x.addr, "zone": "zone-1", "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0, "seq": seq,
			"labels": []string{"a", "r1-1"}, "capacity": map[string]int64{"cpu": hostSize.MilliCPU, "mem-mb": hostSize.MemoryMiB, "gpu": 0},
		})})
		time.Sleep(heartbeatPeriod)
	}
}

// clock is the executor's own clock in milliseconds.
func (x *executor) clock() int64 { return time.Since(x.born).Milliseconds() }

// orderBody is the body of run-start, run-stop and hold.
type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Deadline int64  `json:"deadline-ms"`
	Token    uint64 `json:"fencing-token"`
	Seen     int64  `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

func (x *executor) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", x.call(x.start))
	mux.HandleFunc("POST /api/run-stop", x.call(x.stop))
	mux.HandleFunc("POST /api/hold", x.call(x.hold))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	return mux
}

// call decodes a call, refuses those for another incarnation or with a lower token, and replies.
func (x *executor) call(do func(orderBody) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o orderBody
		if want := r.Header.Get("Pulleyquay-Expected-Instance"); want != "" && want != x.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status, body := x.admit(o, do)
		body["clock-ms"] = x.clock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(mustJSON(body)) // fails if the caller closed the connection
	}
}

func (x *executor) admit(o orderBody, do func(orderBody) (int, map[string]any)) (int, map[string]any) {
	x.mu.Lock()
	if o.Token < x.token {
		x.mu.Unlock()
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	x.token = o.Token
	x.mu.Unlock()
	return do(o)
}

func (x *executor) start(o orderBody) (int, map[string]any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	key := runKey{o.Task, o.Run}
	switch {
	case x.running[key] != nil:
		return http.StatusOK, map[string]any{}
	case o.Deadline <= x.clock():
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	x.extend(o.Deadline)
	if o.Run <= x.highest[o.Task] {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	x.run.tasks.started(key, x.id)
	x.running[key] = time.AfterFunc(x.timeOf(o.Task), func() { x.end(key, "done") })
	return http.StatusOK, map[string]any{}
}

// timeOf returns how long a task works: between half and one and a half times the mean, always the same.
func (x *executor) timeOf(task string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task)) // never fails
	return time.Duration((0.5 + float64(h.Sum32()%1000)/1000) * float64(x.workTime))
}

// extend extends the lease. The caller holds the lock.
func (x *executor) extend(deadline int64) {
	x.lease = max(x.lease, min(deadline, x.clock()+maxLease.Milliseconds()))
	time.AfterFunc(time.Duration(x.lease-x.clock()+1)*time.Millisecond, x.expire)
}

// expire ends everything if the lease is over.
func (x *executor) expire() {
	x.mu.Lock()
	var over []runKey
	if x.clock() >= x.lease {
		x.run.tasks.lapsed(x.id)
		for key := range x.running {
			over = append(over, key)
		}
	}
	x.mu.Unlock()
	for _, key := range over {
		x.end(key, "lapsed")
	}
}

// end ends a run, unless it has ended.
func (x *executor) end(key runKey, how string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	t := x.running[key]
	if t == nil {
		return
	}
	t.Stop()
	delete(x.running, key)
	x.highest[key.task] = max(x.highest[key.task], key.no)
	x.lastEnd++
	x.ends = append(x.ends, endRecord{x.lastEnd, key, how})
	x.run.tasks.ended(key, x.id, how)
	close(x.changed)
	x.changed = make(chan struct{})
}

func (x *executor) stop(o orderBody) (int, map[string]any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	key := runKey{o.Task, o.Run}
	x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	if x.running[key] != nil {
		time.AfterFunc(stopTime, func() { x.end(key, "stopped") })
	}
	return http.StatusOK, map[string]any{}
}

// hold extends the lease, forgets the ends that were seen, waits for an end and returns both lists.
func (x *executor) hold(o orderBody) (int, map[string]any) {
	x.mu.Lock()
	if o.Deadline > 0 {
		x.extend(o.Deadline)
	}
	for len(x.ends) > 0 && x.ends[0].n <= o.Seen {
		x.run.tasks.seen(x.ends[0].run, x.ends[0].how)
		x.ends = x.ends[1:]
	}
	if o.Wait > 0 && len(x.ends) == 0 {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		}
		x.mu.Lock()
	}
	defer x.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for key := range x.running {
		running = append(running, []any{key.task, key.no, "", 50, 0})
	}
	for _, e := range x.ends[:min(len(x.ends), maxListedEnds)] {
		finished = append(finished, []any{e.n, e.run.task, e.run.no, e.how, ""})
	}
	x.run.tasks.listed(len(x.ends))
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}
