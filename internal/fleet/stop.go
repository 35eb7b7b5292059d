package fleet

import (
	"context"
	"time"

	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// stopTasks handles a job owner's request to stop runs. A run that is not recorded gets a
// tombstone: if a request to start it is still in transit it will not be started, and
// if a worker that is claimed later lists it, it is killed. It is reported as unknown
// only once all held partitions are complete.
func (f *Fleet) stopTasks(_ context.Context, req taskmsg.StopRequest) (taskmsg.StopReply, error) {
	var reply taskmsg.StopReply
	err := f.serveJobOwner(req.Home, func(now time.Time) error {
		f.updateComplete(now)
		complete := f.allComplete()
		for _, id := range req.Runs {
			r := f.runs[id]
			if r == nil {
				f.tombstones.Add(id, struct{}{})
				if complete {
					reply.Unknown = append(reply.Unknown, id)
				}
				continue
			}
			r.preempted = false // it now ends at the job owner's request
			f.stopRun(r, req.Mode, req.Reason)
		}
		return nil
	})
	return reply, err
}

// allComplete reports whether everything that may run on the workers of the held
// partitions is recorded.
func (f *Fleet) allComplete() bool {
	for _, p := range f.partitions {
		if !p.complete {
			return false
		}
	}
	return true
}

// stopRun stops or throttles one run. A stop cancels a start that has not been sent yet.
func (f *Fleet) stopRun(r *run, mode worker.StopMode, reason string) {
	if r.state >= runEnded {
		return
	}
	w := r.managedWorker
	f.metrics.stops.WithLabelValues(string(mode)).Inc()
	if r.state == runQueued && mode != worker.ModeThrottle {
		f.dequeueStart(r)
		r.reported = true
		f.markNeverStarted(r, reason, time.Now())
		return
	}
	w.stops[r.id] = mode
	f.startDriver(w, time.Now())
}

// dequeueStart removes a run from the queued starts of its worker.
func (f *Fleet) dequeueStart(r *run) {
	w := r.managedWorker
	for i, s := range w.starts {
		if s == r {
			w.starts = append(w.starts[:i], w.starts[i+1:]...)
			return
		}
	}
}
