package fleet

import (
	"time"

	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// What is known of a run that was lost with its worker. Homes give work up for crashes, so
// a loss counts as one only if the run was there as its worker ended: the worker has said so
// just before its next life began. A worker that is silent may be cut off, and be heard again;
// and what ends on it meanwhile is not heard of, so a run that another life does not know was
// there once, and maybe not at the end.

const (
	// justAnswered is how long ago a worker has answered at the most for a connection that
	// breaks to mean that it broke under the order, and not before it was sent.
	justAnswered = time.Second
	// justBefore is how long before the worker's next life began a run was there at the most
	// for it to have been there at the end of the former one.
	justBefore = 75 * time.Millisecond
)

// sight is what is known of the run's loss.
func (r *run) sight() taskmsg.Sight {
	switch {
	case !r.begun || !r.otherLife || r.excused:
		return taskmsg.SightNone
	case r.atEnd:
		return taskmsg.SightCrash
	}
	return taskmsg.SightThere
}

// loseSilent notes that the run's lease is over and its worker silent.
func (f *Fleet) loseSilent(r *run, now time.Time) {
	r.excused = r.excused || r.agent.leaving
	f.endRun(r, taskmsg.RunLost, 0, now)
	r.lostSilent = true
}

// noteOtherLife notes that the worker has answered without a run that was lost in its
// silence: it would list that until it is told to forget it. The home is told anew.
func (f *Fleet) noteOtherLife(r *run, began time.Time) {
	if !r.lostSilent || r.otherLife {
		return
	}
	r.meetOtherLife(began)
	if r.sight() == taskmsg.SightNone {
		return
	}
	r.state = runEnded
	f.tell(r, taskmsg.RunLost)
}

// meetOtherLife notes that another life of the worker has answered, which has begun at a time;
// zero where that is not known.
func (r *run) meetOtherLife(began time.Time) {
	r.otherLife = true
	r.atEnd = !began.IsZero() && began.Sub(r.agent.heard) <= justBefore
}

// began is when the life that answers a claim has begun, at the latest, or zero where that is
// not told.
func began(reply worker.ClaimReply, now time.Time) time.Time {
	if reply.Up == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(reply.Up) * time.Millisecond)
}
