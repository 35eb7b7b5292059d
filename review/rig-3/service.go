package main

import (
	"strings"
	"time"
)

// Figures of the case service.
const (
	replicas     = 6
	mayMiss      = 1
	crashes      = 4
	crashAfter   = 2 * time.Second
	rebootsAfter = 3 * time.Second
	watchFor     = 45 * time.Second
	serviceWork  = `{"spec":"lasts","steps":[{"count":6,"cpu":5600,"mem-mb":10000,"long-running":true,"may-miss":1,"anti-affinity":1}]}`
)

// service: four of 48 executors crash, one after the other, each while it runs the first of six tasks of a job that lasts.
func service(r *rig) {
	r.boot(48, 3, config())
	done := make(chan struct{})
	defer close(done)
	go r.traffic(4, done)
	time.Sleep(3 * time.Second)
	id := newID()
	r.crashUnder(id + ".0.0.0")
	if !r.submit(id, serviceWork) {
		r.unable("the job was not accepted")
	}
	state := ""
	for began := time.Now(); time.Since(began) < watchFor; time.Sleep(time.Second) {
		state = r.state(id)
		r.record("client: GET %s: %s; %d tasks of it run", id, state, r.running(id))
		if state == "failed" || state == "cancelled" || state == "410" {
			break
		}
	}
	time.Sleep(2 * time.Second)
	failed, stopped := 0, 0
	for _, e := range r.runsOf(id) {
		switch e.how {
		case "failed":
			failed++
		case "stopped":
			stopped++
		}
	}
	if state != "running" {
		r.breaks("LOST: job %s, which lasts and which nobody has cancelled, is shown as %q; none of its runs was to fail, and %d have ended as failed", id, state, failed)
	}
	if stopped > mayMiss {
		r.breaks("AVAIL: %d of its %d tasks were stopped while they were at work, on executors that neither crash nor drain; may-miss is %d", stopped, replicas, mayMiss)
	}
}

// crashUnder has the executors crash that run a task, some seconds after its start, until enough have crashed.
func (r *rig) crashUnder(task string) {
	left := crashes
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onRun = func(e runEvent) {
		if !r.trouble || !strings.HasPrefix(e.task, task) || e.how != "started" {
			return
		}
		time.Sleep(crashAfter)
		r.mu.Lock()
		mine := left > 0
		left--
		r.mu.Unlock()
		if !mine {
			return
		}
		for _, m := range r.machines {
			if ex, _ := m.current(); ex != nil && ex.id == e.executor {
				r.record("executor %s crashes", ex.id)
				m.kill("down")
				time.AfterFunc(rebootsAfter, m.boot)
			}
		}
	}
}
