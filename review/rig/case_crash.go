package main

import (
	"errors"
	"time"

	"pulleyquay/internal/hostsim"
	"pulleyquay/internal/spec"
	"pulleyquay/platform/fake"
)

// Times and counts of the case.
const (
	// crashHosts is the number of executors; one of them is 10%, and the pages let 15% crash at once.
	crashHosts = 10
	// crashDowntime is how long a crashed executor is away.
	crashDowntime = 4500 * time.Millisecond
	// workTime is how long the service is at work before its executor crashes.
	workTime = 2 * time.Second
	// maxCrashes is how often executors crash.
	maxCrashes = 6
)

// crashUnderService: executors crash, one at a time and seconds apart, and come back. A service of one task
// runs on one of them each time. The service has to be restarted until it is cancelled.
func crashUnderService(r *run) error {
	r.platform.Fleet.RestartDelay = crashDowntime
	if err := r.startCell(crashHosts); err != nil {
		return err
	}
	j := r.newJob(spec.Step{Count: 1, Size: spec.Resources{MilliCPU: 8100, MemoryMiB: 17000}, EstimateMillis: 1000, LongRunning: true})
	if a := r.post(j, 0); a.status/100 != 2 {
		return errors.New("the service was not accepted: " + a.String())
	}
	r.record("the service %s is accepted", j.id)
	for crash := range maxCrashes {
		server := r.awaitRun(j, 15*time.Second)
		if server == nil {
			break
		}
		time.Sleep(workTime)
		r.record("crash %d: executor %s, under the service", crash+1, server.Host().Info().ID)
		if r.trouble {
			server.Restart()
		}
		if state := r.get(j, crash).state(); state == "failed" {
			break
		}
	}
	time.Sleep(12 * time.Second)
	r.checkService(j)
	r.recordLog(j, "job ended", "crash held against task")
	return nil
}

// awaitRun waits until the service runs on an executor, and returns that executor; nil if it does not.
func (r *run) awaitRun(j job, limit time.Duration) *fake.HostServer {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, s := range r.platform.Hosts() {
			if h := s.Host(); h.Up() && runs(h, j) {
				r.record("the service runs on %s", h.Info().ID)
				return s
			}
		}
	}
	r.record("the service runs nowhere for %v", limit)
	return nil
}

func runs(h *hostsim.Host, j job) bool {
	for _, x := range h.Running() {
		if x.Task.Job == j.id {
			return true
		}
	}
	return false
}

// checkService checks that the service, which nobody has cancelled, is not shown as failed and runs.
func (r *run) checkService(j job) {
	a := r.get(j, 0)
	r.record("GET %s answered %v", j.id, a)
	if s := a.state(); s == "failed" || s == "cancelled" {
		r.breach("LOST the service is shown as %s; no run of it has ended as failed, and nobody has cancelled it", s)
	}
	if r.awaitRun(j, 4*time.Second) == nil {
		r.breach("LOST the service has nothing running for 4 s, 12 s after the last crash, with %d executors idle", crashHosts)
	}
}
