package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
	"pulleyquay/platform"
	"pulleyquay/platform/fake"
)

// submission is one job and the results that its caller has received.
type submission struct {
	id, queue string
	body      []byte

	mu       sync.Mutex
	accepted bool // by at least one answer
	unknown  bool // at least one call left open whether the job was accepted
	cancel   bool // the caller has requested cancellation
	state    record.State
}

// load submits jobs and polls them until they end.
type load struct {
	c    *cell
	http *http.Client

	mu      sync.Mutex
	rnd     *rand.Rand
	jobs    []*submission
	callers sync.WaitGroup
}

func newLoad(c *cell, seed uint64) *load {
	return &load{c: c, rnd: rand.New(rand.NewPCG(seed, 2)), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// intn returns a random number below n; all callers share one source.
func (l *load) intn(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rnd.IntN(n)
}

// run submits perSecond jobs a second until ctx ends.
func (l *load) run(ctx context.Context, perSecond int) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		w := l.draw(n)
		l.mu.Lock()
		l.jobs = append(l.jobs, w)
		l.mu.Unlock()
		l.callers.Go(func() { l.follow(ctx, w) })
	}
}

// wideInterval is the average number of jobs per wide job, which has many tasks that run
// for seconds.
const wideInterval = 16

// draw returns a random job of one of the kinds in the users' specification.
func (l *load) draw(n int) *submission {
	w := &submission{id: fmt.Sprintf("%016x", uint64(n)*0x9e3779b97f4a7c15+uint64(l.intn(1<<30)))}
	var steps []map[string]any
	w.queue, steps = l.drawSteps()
	w.body, _ = json.Marshal(map[string]any{"spec": "x", "steps": steps}) // can not fail for plain data
	l.c.platform.Fleet.AddJob(jobRecord(w, steps))
	return w
}

func step(count, cpu, mem, ms int) map[string]any {
	return map[string]any{"count": count, "cpu": cpu, "mem-mb": mem, "estimate-ms": ms}
}

// drawSteps returns a random queue and the steps of a job for it.
func (l *load) drawSteps() (queue string, steps []map[string]any) {
	if l.intn(wideInterval) == 0 {
		return "wide", []map[string]any{step(4+l.intn(25), 1000, 2000, 2000+l.intn(6000))}
	}
	switch l.intn(10) {
	case 0:
		gang := step(2+l.intn(8), 18000, 26000, 800+l.intn(1500))
		gang["gang"], gang["checkpointing"] = true, true
		return "review", append(steps, gang)
	case 1, 2, 3:
		steps = append(steps, step(1+l.intn(10), 3900, 7200, 300+l.intn(1000)))
		if l.intn(2) == 0 {
			after := step(1+l.intn(3), 3900, 7200, 200+l.intn(500))
			after["after"] = []int{0}
			steps = append(steps, after)
		}
		return "survey", steps
	default:
		steps = append(steps, step(1+l.intn(3), 5600, 10000, 100+l.intn(500)))
		steps[0]["gang"] = l.intn(3) == 0
		return "ticket", steps
	}
}

// jobRecord returns the job's record for the simulated hosts.
func jobRecord(w *submission, steps []map[string]any) *record.Job {
	rec := &record.Job{ID: w.id, Queue: w.queue, Service: "s"}
	for _, q := range testCatalog(1).Queues {
		if q.Name == w.queue {
			rec.Rules = q.Rules
		}
	}
	for _, s := range steps {
		out := spec.Step{
			Count: s["count"].(int), Size: spec.Resources{MilliCPU: int64(s["cpu"].(int)), MemoryMiB: int64(s["mem-mb"].(int))},
			EstimateMillis: int64(s["estimate-ms"].(int)),
		}
		out.Gang, _ = s["gang"].(bool)
		out.Checkpointing, _ = s["checkpointing"].(bool)
		out.After, _ = s["after"].([]int)
		rec.Graph.Steps = append(rec.Graph.Steps, out)
	}
	return rec
}

// answerTimeout is the deadline of one call.
const answerTimeout = 3 * time.Second

// call sends a request to a random node and returns the status and the body. The
// status is zero if there was no complete answer.
func (l *load) call(method string, w *submission, body []byte) (int, []byte) {
	n := l.c.nodes[l.intn(len(l.c.nodes))]
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+"/"+w.queue+"/"+w.id, bytes.NewReader(body))
	if err != nil {
		panic(err) // the address is well formed
	}
	req.Host = "cell.example"
	req.Header.Set(platform.DeadlineHeader, fmt.Sprint(answerTimeout.Milliseconds()))
	resp, err := l.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// follow submits one job, polls its state until it is final, and cancels one job in
// twenty.
func (l *load) follow(ctx context.Context, w *submission) {
	for range 5 {
		if l.submit(w) {
			break
		}
		time.Sleep(time.Duration(20+l.intn(300)) * time.Millisecond)
	}
	if l.intn(20) == 0 {
		w.mu.Lock()
		w.cancel = true
		w.mu.Unlock()
		l.call(http.MethodDelete, w, nil)
	}
	for ctx.Err() == nil && !l.poll(w) {
		time.Sleep(time.Duration(200+l.intn(600)) * time.Millisecond)
	}
}

// submit submits a job once and reports whether it was accepted.
func (l *load) submit(w *submission) bool {
	status, _ := l.call(http.MethodPost, w, w.body)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case status/100 == 2:
		w.accepted = true
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusNotFound:
	default:
		w.unknown = true
	}
	return status/100 == 2
}

// host returns a random host.
func (l *load) host() *fake.HostServer {
	hosts := l.c.platform.Hosts()
	return hosts[l.intn(len(hosts))]
}

// poll queries a job's state once, checks it, and reports whether it is final.
func (l *load) poll(w *submission) bool {
	status, body := l.call(http.MethodGet, w, nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	judge := l.c.platform.Fleet.Checker()
	if status == http.StatusGone && w.accepted {
		judge.RecordViolation("LOST job %s was accepted and is unknown to the node", w.id)
	}
	if status != http.StatusOK {
		return false
	}
	var answer struct{ State record.State }
	if err := json.Unmarshal(body, &answer); err != nil {
		judge.RecordViolation("the state of job %s is not valid JSON: %q", w.id, body)
		return true
	}
	switch {
	case w.state.Final() && answer.State != w.state:
		judge.RecordViolation("job %s was reported as %s and is now reported as %s", w.id, w.state, answer.State)
	case answer.State == record.StateCompleted && !judge.JobDone(w.id):
		judge.RecordViolation("MIXED job %s is reported as completed, but not all its tasks are done", w.id)
	case answer.State == record.StateFailed && w.state != record.StateFailed:
		judge.CheckFailedJob(w.id, l.endReason(w.id))
	case answer.State == record.StateCancelled && !w.cancel:
		judge.RecordViolation("LOST job %s is reported as cancelled without a cancel request", w.id)
	}
	w.state = answer.State
	return w.state.Final()
}

// endReason returns the reason for a job's end from its record in the store, or an empty
// string without a record.
func (l *load) endReason(id string) string {
	value := l.c.platform.Store.Get(record.JobKey(0, id))
	if value == nil {
		return ""
	}
	rec, err := record.DecodeJob(value)
	if err != nil {
		l.c.platform.Fleet.Checker().RecordViolation("the record of job %s can not be decoded: %v", id, err)
		return ""
	}
	return rec.Why
}

// finish waits until every accepted job is final, and records a violation for each that
// is not final within the limit.
func (l *load) finish(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for _, w := range l.jobs {
		if !w.accepted {
			continue
		}
		for !l.poll(w) {
			if time.Now().After(deadline) {
				l.c.platform.Fleet.Checker().RecordViolation("LOST job %s of %s is %q at the end", w.id, w.queue, w.state)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// checkRefused checks that no task of a job that was refused by every answer has started.
func (l *load) checkRefused() {
	judge := l.c.platform.Fleet.Checker()
	for _, w := range l.jobs {
		if !w.accepted && !w.unknown && judge.Started(w.id) {
			judge.RecordViolation("REFUSED job %s was refused by every answer and has started", w.id)
		}
	}
}
