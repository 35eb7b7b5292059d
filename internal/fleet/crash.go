package fleet

import (
	"time"

	"pulleyquay/internal/taskmsg"
)

// What is known of a run that was lost with its worker. Homes give work up for crashes, so
// a loss counts as one only if it was seen: the run was there, and another life of the worker
// has answered since. A worker that is silent may be cut off, and be heard again.

// justAnswered is how long ago a worker has answered at the most for a connection that
// breaks to mean that it broke under the order, and not before it was sent.
const justAnswered = time.Second

// crashSeen reports whether the run's worker is known to have crashed under it.
func (r *run) crashSeen() bool { return r.begun && r.crashed && !r.excused }

// loseSilent notes that the run's lease is over and its worker silent.
func (f *Fleet) loseSilent(r *run, now time.Time) {
	r.excused = r.excused || r.agent.leaving
	f.endRun(r, taskmsg.RunLost, 0, now)
	r.lostSilent = true
}

// noteOtherLife notes that the worker has answered without a run that was lost in its
// silence: it would list that until it is told to forget it. The home is told anew.
func (f *Fleet) noteOtherLife(r *run) {
	if !r.lostSilent || r.crashed {
		return
	}
	r.crashed = true
	if !r.crashSeen() {
		return
	}
	r.state = runEnded
	f.tell(r, taskmsg.RunLost)
}
