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
	// Done is true once the executor has finished, whether or not it sent a response.
	Done bool `json:"done"`
}

type executorState struct {
	slots       int
	connections int
	running     int
	open        int
	peakRunning int
	peakOpen    int
	executions  int
	leaving     bool
	// announcedAt is when a response first announced the executor's departure.
	announcedAt time.Time
	lastAt      time.Time
}

// Executor registers an executor with its limits.
func (j *Checker) Executor(name string, slots, connections int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.executors[name] = &executorState{slots: slots, connections: connections}
}

// Leaving records that the executor's responses announce its departure from now on, or
// no longer announce it.
func (j *Checker) Leaving(name string, leaving bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := j.executors[name]
	e.leaving = leaving
	if !leaving {
		e.announcedAt = time.Time{}
	}
}

// Execute records the start of an execution. The key may be empty. The caller passes the
// returned value to Executed at the end of the execution.
func (j *Checker) Execute(name, key, method, path string, at time.Time) *Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := j.executors[name]
	j.executions++
	e.executions++
	e.running++
	e.lastAt = at
	e.peakRunning = max(e.peakRunning, e.running)
	if e.running > e.slots {
		j.addViolation(RuleSlots, name, at, "%d requests at once, %d slots", e.running, e.slots)
	}
	if !e.announcedAt.IsZero() && at.Sub(e.announcedAt) > j.LeavingGrace {
		j.addViolation(RuleLeaving, name, at, "%s %s came %s after it said that it leaves", method, path, at.Sub(e.announcedAt))
	}
	x := &Execution{Executor: name, Method: method, Path: path, At: at}
	j.recordKey(key, x)
	return x
}

func (j *Checker) recordKey(key string, x *Execution) {
	if key == "" {
		return
	}
	if before := j.keys[key]; len(before) > 0 && !idempotent(x.Method) {
		j.addViolation(RuleRepeatedExecution, key, x.At, "%s on %s after %s", x.Method, x.Executor, before[0].Executor)
	}
	j.keys[key] = append(j.keys[key], x)
}

func idempotent(method string) bool {
	return method != http.MethodPost && method != http.MethodPatch
}

// Executed records the end of an execution.
func (j *Checker) Executed(x *Execution, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	x.Done = true
	e := j.executors[x.Executor]
	e.running--
	if e.leaving && e.announcedAt.IsZero() {
		e.announcedAt = at
	}
}

// RecordConnection records that a connection was opened or closed.
func (j *Checker) RecordConnection(name string, open bool, at time.Time) {
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
		j.addViolation(RuleConnections, name, at, "%d connections, %d allowed", e.open, e.connections)
	}
}

// Executions returns copies of the executions of a key, in the order of their starts.
func (j *Checker) Executions(key string) []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []Execution
	for _, x := range j.keys[key] {
		out = append(out, *x)
	}
	return out
}
