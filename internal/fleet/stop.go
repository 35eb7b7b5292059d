package fleet

import (
	"context"
	"time"

	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// stopTasks answers a home's request to end runs. A run that is not known gets
// a tombstone, and is called unknown once all that runs here is known: should its request for a start still be under way, or should it
// show up in the inventory of a worker claimed later, it is not started or
// stopped there.
func (f *Fleet) stopTasks(_ context.Context, req taskmsg.StopRequest) (taskmsg.StopReply, error) {
	var reply taskmsg.StopReply
	err := f.serve(req.Home, func(now time.Time) error {
		f.noteComplete(now)
		sure := f.allComplete()
		for _, id := range req.Runs {
			r := f.runs[id]
			if r == nil {
				f.tombs.Add(id, struct{}{})
				if sure {
					reply.Unknown = append(reply.Unknown, id)
				}
				continue
			}
			r.preempted = false // it ends because its home wants it to
			f.stopRun(r, req.Mode, req.Reason)
		}
		return nil
	})
	return reply, err
}

// allComplete reports whether everything that may run on the workers of the held
// partitions is in the books.
func (f *Fleet) allComplete() bool {
	for _, p := range f.parts {
		if !p.complete {
			return false
		}
	}
	return true
}

// stopRun ends or slows one run. One that was not sent yet is taken back.
func (f *Fleet) stopRun(r *run, mode worker.StopMode, reason string) {
	if r.state >= runEnded {
		return
	}
	a := r.agent
	f.metrics.stops.WithLabelValues(string(mode)).Inc()
	if r.state == runQueued && mode != worker.Throttle {
		f.unqueue(r)
		r.reported = true
		f.neverStarted(r, reason, time.Now())
		return
	}
	a.stops[r.id] = mode
	f.kick(a, time.Now())
}

// unqueue takes a run out of the starts that wait for the next order.
func (f *Fleet) unqueue(r *run) {
	a := r.agent
	for i, s := range a.starts {
		if s == r {
			a.starts = append(a.starts[:i], a.starts[i+1:]...)
			return
		}
	}
}
