package main

import (
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// moved: the platform's store gets another address. The settings files are changed and all processes get SIGHUP; the former
// address answers for some seconds more.
func moved(r *rig) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.unable("%v", err)
	}
	former := &http.Server{Handler: r.store.routes(), ReadHeaderTimeout: time.Minute}
	go func() {
		if err := former.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			r.unable("%v", err)
		}
	}()
	r.platform = l.Addr().String()
	r.boot(12, 3, config())
	done := make(chan struct{})
	go r.traffic(4, done)
	time.Sleep(2 * time.Second)
	if r.trouble {
		next := r.serve(r.store.routes())
		for _, n := range r.nodes {
			text, err := os.ReadFile(n.settings)
			if err != nil {
				r.unable("%v", err)
			}
			if err := os.WriteFile(n.settings, []byte(strings.ReplaceAll(string(text), r.platform, next)), 0o600); err != nil {
				r.unable("%v", err)
			}
			if err := n.cmd.Process.Signal(syscall.SIGHUP); err != nil {
				r.unable("%v", err)
			}
			r.record("node %s: its settings name the store at another address; SIGHUP", n.name)
			time.Sleep(2 * time.Second)
		}
	}
	time.Sleep(10 * time.Second)
	id := newID()
	if !r.submit(id, `{"spec":"lasts","steps":[{"count":2,"cpu":5600,"mem-mb":10000,"long-running":true}]}`) {
		r.unable("the job was not accepted")
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		_ = former.Close() // ends it
		r.record("the store's former address answers no longer")
	}
	time.Sleep(5 * time.Second)
	close(done)
	r.record("the traffic ends")
	time.Sleep(14 * time.Second)
	for range 10 {
		r.record("client: GET %s: %q; %d tasks of it run", id, r.state(id), r.running(id))
		time.Sleep(time.Second)
	}
	if gap := r.idle(id); gap > 3*time.Second {
		r.breaks("LOST: for %.1f s job %s, which lasts and is accepted, has nothing running, though its executors are empty", gap.Seconds(), id)
	}
	if status, text := r.call(r.nodes[0], http.MethodPost, newID(), `{"spec":"work-ms=300","steps":[{"count":1,"cpu":5600,"mem-mb":10000}]}`); status != http.StatusOK {
		r.record("client: POST of another job: %d %s", status, strings.TrimSpace(text))
	}
}

// idle returns for how long nothing of a job has been running.
func (r *rig) idle(id string) time.Duration {
	if r.running(id) > 0 {
		return 0
	}
	var last time.Time
	for _, e := range r.runsOf(id) {
		last = later(last, e.at)
	}
	return time.Since(last)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
