package judge

import (
	"net/http"
	"time"
)

// Execution is one execution of a request by an executor.
type Execution struct {
	Executor string    `json:"executor"`
	Method   string    `json:"method"`
	Path     string    `json:"path"`
	At       time.Time `json:"at"`
	// Done is true once the executor has finished its work, answered or not.
	Done bool `json:"done"`
}

type executorBook struct {
	slots       int
	connections int
	running     int
	open        int
	peak        int
	peakOpen    int
	executions  int
	leaving     bool
	// toldAt is when an answer first said that the executor leaves.
	toldAt time.Time
	lastAt time.Time
}

// Executor makes an executor known with what it can carry.
func (j *Judge) Executor(name string, slots, connections int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.executors[name] = &executorBook{slots: slots, connections: connections}
}

// Leaving notes that an executor's answers say from now on that it leaves, or
// no longer say so.
func (j *Judge) Leaving(name string, leaving bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := j.executors[name]
	e.leaving = leaving
	if !leaving {
		e.toldAt = time.Time{}
	}
}

// Execute notes the start of an execution; the key may be empty. The returned
// value goes to Executed at its end.
func (j *Judge) Execute(name, key, method, path string, at time.Time) *Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := j.executors[name]
	j.executions++
	e.executions++
	e.running++
	e.lastAt = at
	e.peak = max(e.peak, e.running)
	if e.running > e.slots {
		j.violate(RuleSlots, name, at, "%d requests at once, %d slots", e.running, e.slots)
	}
	if !e.toldAt.IsZero() && at.Sub(e.toldAt) > j.LeavingGrace {
		j.violate(RuleLeaving, name, at, "%s %s came %s after it said that it leaves", method, path, at.Sub(e.toldAt))
	}
	x := &Execution{Executor: name, Method: method, Path: path, At: at}
	j.noteKey(key, x)
	return x
}

func (j *Judge) noteKey(key string, x *Execution) {
	if key == "" {
		return
	}
	if before := j.keys[key]; len(before) > 0 && !idempotent(x.Method) {
		j.violate(RuleRanTwice, key, x.At, "%s on %s after %s", x.Method, x.Executor, before[0].Executor)
	}
	j.keys[key] = append(j.keys[key], x)
}

func idempotent(method string) bool {
	return method != http.MethodPost && method != http.MethodPatch
}

// Executed notes the end of an execution.
func (j *Judge) Executed(x *Execution, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	x.Done = true
	e := j.executors[x.Executor]
	e.running--
	if e.leaving && e.toldAt.IsZero() {
		e.toldAt = at
	}
}

// Connected notes an opened connection, or a closed one.
func (j *Judge) Connected(name string, open bool, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := j.executors[name]
	if !open {
		e.open--
		return
	}
	e.open++
	e.peakOpen = max(e.peakOpen, e.open)
	if e.open > e.connections {
		j.violate(RuleConnections, name, at, "%d connections, %d allowed", e.open, e.connections)
	}
}

// Executions returns copies of the executions of a key in order.
func (j *Judge) Executions(key string) []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []Execution
	for _, x := range j.keys[key] {
		out = append(out, *x)
	}
	return out
}
