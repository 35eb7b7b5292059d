package main

import (
	"strings"
	"time"
)

// Figures of the case stuck.
const (
	awayAfter   = 2 * time.Second
	failsAfter  = 5 * time.Second         // the first run of the second step
	storeAway   = 4500 * time.Millisecond // the longest of the site for the whole store
	executorOff = time.Second
	nodeOff     = 2 * time.Second
	asksFor     = 50 * time.Second
)

// stuck: while the store is away the first step of a job ends, and its executor and the process that has told it to run
// are lost. The second step, which runs already, fails once, as its tasks may.
func stuck(r *rig) {
	r.boot(12, 3, config())
	done := make(chan struct{})
	go r.traffic(4, done)
	time.Sleep(3 * time.Second)
	id := newID()
	r.setFails(id+".0.1.0", failsAfter)
	body := `{"spec":"work-ms=3000","steps":[{"count":1,"cpu":5600,"mem-mb":10000,"estimate-ms":3000,"requirements":"r0"},` +
		`{"count":1,"cpu":5600,"mem-mb":10000,"estimate-ms":3000,"after":[0],"requirements":"r1"}]}`
	if !r.submit(id, body) {
		r.unable("the job was not accepted")
	}
	handed := time.Now()
	if r.trouble {
		r.disturb(id)
	}
	close(done)
	var nothing time.Time // since when nothing runs
	for time.Since(handed) < asksFor {
		time.Sleep(500 * time.Millisecond)
		state := r.state(id)
		r.record("client: GET %s: %s", id, state)
		if state == "completed" {
			return
		}
		switch {
		case r.running(id) > 0:
			nothing = time.Time{}
		case nothing.IsZero():
			nothing = time.Now()
		}
	}
	if !nothing.IsZero() && time.Since(nothing) > 3*time.Second {
		r.breaks("LOST: for %.1f s job %s, which is accepted and shown as running, has nothing running, though its second step's turn has come and the executors are empty",
			time.Since(nothing).Seconds(), id)
	}
}

func (r *rig) disturb(id string) {
	time.Sleep(awayAfter)
	r.record("the store is away")
	r.store.setDown(true, false)
	time.AfterFunc(storeAway, func() {
		r.store.setDown(false, false)
		r.record("the store is back")
	})
	first := r.await(id+".0.0.0", "done")
	r.await(id+".0.1.0", "started")
	time.Sleep(300 * time.Millisecond)
	for _, m := range r.machines {
		if e, _ := m.current(); e != nil && e.id == first.executor {
			r.record("executor %s crashes", e.id)
			m.kill("down")
			time.AfterFunc(executorOff, m.boot)
		}
	}
	holder := r.holder()
	r.record("node %s, which gives the orders, is killed", holder.name)
	holder.kill()
	time.AfterFunc(nodeOff, func() { r.start(holder) })
}

// await waits for an event of a task.
func (r *rig) await(task, how string) runEvent {
	for range 400 {
		for _, e := range r.runsOf(strings.SplitN(task, ".", 2)[0]) {
			if e.task == task && e.how == how {
				return e
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.unable("task %s is not %s", task, how)
	return runEvent{}
}

// running counts the runs of a job.
func (r *rig) running(job string) (n int) {
	for _, m := range r.machines {
		e, _ := m.current()
		if e == nil {
			continue
		}
		e.mu.Lock()
		for task := range e.runs {
			if strings.HasPrefix(task, job+".") {
				n++
			}
		}
		e.mu.Unlock()
	}
	return n
}

// setFails makes the first run of a task fail after a time.
func (r *rig) setFails(task string, after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fails, r.failsAfter = task, after
}

// takeFailure reports whether a run that starts now is to fail, and after which time.
func (r *rig) takeFailure(task string) (after time.Duration, fails bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fails != task {
		return 0, false
	}
	r.fails = ""
	return r.failsAfter, true
}

// holder returns the node that holds the partition, by its record in the store.
func (r *rig) holder() *node {
	for _, n := range r.nodes {
		if strings.Contains(string(r.store.get("cell/holders/0")), n.name) {
			return n
		}
	}
	r.unable("nobody holds the partition")
	return nil
}
