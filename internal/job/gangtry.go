package job

import (
	"sync"
	"time"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/taskmsg"
)

// gangTry is one try to start a gang: it reserves capacity for all tasks at the holders, then
// starts all of them or releases all reservations.
//
// A holder starts everything that it has reserved. So each slot is requested from one holder at a
// time, and a holder that may have reserved more than it confirmed takes no further part until it
// has confirmed a release.
type gangTry struct {
	owner     *jobOwner
	job       *job
	shape     taskmsg.Shape
	slots     []taskmsg.Slot
	startedAt time.Time
	number    int // ascending over all tries of all owners of the partition
	// gather keeps reservations while waiting for more capacity.
	gather bool
	parts  []*gangPart
	// unreserved are the slots that no holder has reserved.
	unreserved []taskmsg.Slot
}

// gangPart is one holder's part in a try.
type gangPart struct {
	target holder
	slots  []taskmsg.Slot // reserved there
	// reservedAt is when the reservation in force was requested.
	reservedAt time.Time
	// unconfirmed is true after the reply to a reservation request was lost.
	unconfirmed bool
}

func newGangTry(o *jobOwner, j *job, shape taskmsg.Shape, slots []taskmsg.Slot, holders []holder, now time.Time) *gangTry {
	t := &gangTry{owner: o, job: j, shape: shape, slots: slots, unreserved: slots, startedAt: now, number: slots[0].Attempt, gather: j.beginGather(now)}
	for _, target := range holders {
		t.parts = append(t.parts, &gangPart{target: target})
	}
	return t
}

func (t *gangTry) run() {
	for !t.reserveAll() {
		if !t.gather || time.Since(t.startedAt) > gangGatherTimeout || t.abandoned() {
			t.release()
			return
		}
		time.Sleep(gangGatherPoll)
	}
	if !t.beginStart() {
		t.release()
		return
	}
	t.start()
}

// abandoned reports whether the try must be abandoned because the job was ended or the job owner is
// stopping.
func (t *gangTry) abandoned() bool {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	return t.job.ending() || t.owner.phase == phaseEnded || t.owner.released
}

// reserveAll asks one holder after the other to reserve capacity for the unreserved slots and to
// extend its reservations. It reports whether every slot is reserved.
func (t *gangTry) reserveAll() bool {
	for _, p := range t.parts {
		if len(p.slots)+len(t.unreserved) == 0 || (p.unconfirmed && !t.releaseUnconfirmed(p)) {
			continue
		}
		t.reserveAt(p)
	}
	return len(t.unreserved) == 0
}

// reserveAt asks one holder for the slots reserved there and the unreserved ones.
func (t *gangTry) reserveAt(p *gangPart) {
	want := append(append([]taskmsg.Slot(nil), p.slots...), t.unreserved...)
	requestedAt := time.Now()
	var reply taskmsg.GangReserveReply
	req := taskmsg.GangReserveRequest{Home: t.owner.identity(), Shape: t.shape, Slots: want, ReservationMS: gangReservationTTL.Milliseconds(), AccumulateCapacity: t.gather, Try: t.number}
	err := t.owner.callHolder(p.target.addr, peer.KindGangReserve, gangCallTimeout, req, &reply)
	t.recordReply(p.target, reply.Refusal, err)
	switch {
	case err == nil:
		p.slots, p.reservedAt = reply.Reserved, requestedAt
		t.unreserved = subtractSlots(want, reply.Reserved)
	case !certainlyNotStarted(err):
		p.slots, p.unconfirmed = nil, true
		t.unreserved = want
	}
}

// releaseUnconfirmed makes a holder whose reply was lost release what it may have reserved.
func (t *gangTry) releaseUnconfirmed(p *gangPart) bool {
	var reply taskmsg.PlaceReply
	req := taskmsg.GangFinishRequest{Home: t.owner.identity(), Job: t.job.id(), Try: t.number}
	p.unconfirmed = t.owner.callHolder(p.target.addr, peer.KindGangEnd, gangCallTimeout, req, &reply) != nil
	return !p.unconfirmed
}

// recordReply records a holder's reply for the explanation of why the job waits.
func (t *gangTry) recordReply(target holder, refusal *taskmsg.Refusal, err error) {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	last := t.job.lastReply(target.member)
	last.refusal, last.err = refusal, err
}

// subtractSlots returns the slots of all without those in remove.
func subtractSlots(all, remove []taskmsg.Slot) []taskmsg.Slot {
	drop := make(map[int]bool, len(remove))
	for _, s := range remove {
		drop[s.Index] = true
	}
	rest := make([]taskmsg.Slot, 0, len(all)-len(remove))
	for _, s := range all {
		if !drop[s.Index] {
			rest = append(rest, s)
		}
	}
	return rest
}

// release releases all reservations; no task of the gang has started.
func (t *gangTry) release() {
	o, j := t.owner, t.job
	t.endAll(false)
	o.m.metrics.gangs.WithLabelValues("released").Inc()
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fireGangEvent(j, gangEventRelease)
	for _, s := range t.slots {
		if o.awaitsOutcome(j, s) {
			o.releaseTask(j, s.Index)
		}
	}
	o.scheduleGangRetry(j, now)
	j.log.add(now, "released", "not every part of the gang could be held at once")
	o.finalizeIfDone(j, now)
	o.wakeLoop()
}

// beginStart changes the gang's state to starting, unless a reservation may expire before the start
// order arrives or the job was ended.
func (t *gangTry) beginStart() bool {
	o := t.owner
	if o.checkAuthority() != nil {
		return false
	}
	for _, p := range t.parts {
		if len(p.slots) > 0 && time.Since(p.reservedAt) > gangReservationTTL-gangStartMargin {
			return false
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if t.job.ending() || o.phase == phaseEnded || o.released {
		return false
	}
	return o.fireGangEvent(t.job, gangEventStart)
}

// start orders every part to start, and stops the gang if any of its tasks did not start.
func (t *gangTry) start() {
	o, j := t.owner, t.job
	replies, errs := t.endAll(true)
	for i, p := range t.parts {
		if errs[i] != nil && certainlyNotStarted(errs[i]) {
			t.releaseUnconfirmed(p) // do not leave unused capacity reserved
		}
	}
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, p := range t.parts {
		if len(p.slots) > 0 {
			o.applyPlaceReply(j, p.target, p.slots, replies[i], errs[i], now)
		}
	}
	outcome := "started"
	if !j.gang.is(gangRunning) && !j.rec.State.Final() {
		o.stopGang(j, "a part of it did not start", now)
		outcome = "broken"
	}
	o.m.metrics.gangs.WithLabelValues(outcome).Inc()
	o.wakeLoop()
}

// endAll orders every holder with a part to start or to release it. Only holders with a confirmed
// part are ordered to start.
func (t *gangTry) endAll(start bool) ([]taskmsg.PlaceReply, []error) {
	replies, errs := make([]taskmsg.PlaceReply, len(t.parts)), make([]error, len(t.parts))
	req := taskmsg.GangFinishRequest{Home: t.owner.identity(), Job: t.job.id(), Start: start, Try: t.number}
	var wait sync.WaitGroup
	for i, p := range t.parts {
		if len(p.slots) == 0 && (start || !(p.unconfirmed || t.gather)) {
			continue
		}
		wait.Go(func() {
			errs[i] = t.owner.callHolder(p.target.addr, peer.KindGangEnd, gangCallTimeout, req, &replies[i])
		})
	}
	wait.Wait()
	return replies, errs
}
