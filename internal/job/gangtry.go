package job

import (
	"sync"
	"time"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/taskmsg"
)

// gangTry is one try to start a gang: hold room everywhere, then start all or
// release all.
//
// A holder starts whatever it holds. So a slot is asked of one holder at a time,
// and a holder that may hold more than it said takes no further part until it
// has confirmed a release.
type gangTry struct {
	h      *home
	j      *job
	shape  taskmsg.Shape
	slots  []taskmsg.Slot
	began  time.Time
	number int // ascending over all tries of all homes of the partition
	// gather keeps what is held while more room is waited for.
	gather bool
	parts  []*gangPart
	// free are the slots that no holder holds.
	free []taskmsg.Slot
}

// gangPart is one holder's part in a try.
type gangPart struct {
	at    holder
	slots []taskmsg.Slot // held there
	// since is when the hold that still counts was asked for.
	since time.Time
	// unsure is true when an answer to a hold was lost.
	unsure bool
}

func newGangTry(h *home, j *job, shape taskmsg.Shape, slots []taskmsg.Slot, holders []holder, now time.Time) *gangTry {
	t := &gangTry{h: h, j: j, shape: shape, slots: slots, free: slots, began: now, number: slots[0].Attempt, gather: j.mayGather(now)}
	for _, at := range holders {
		t.parts = append(t.parts, &gangPart{at: at})
	}
	return t
}

func (t *gangTry) run() {
	for !t.holdAll() {
		if !t.gather || time.Since(t.began) > gangGatherTime || t.given() {
			t.release()
			return
		}
		time.Sleep(gangGatherPause)
	}
	if !t.commit() {
		t.release()
		return
	}
	t.start()
}

// given reports whether the try is to be given up: the job was ended or the
// home is going.
func (t *gangTry) given() bool {
	t.h.mu.Lock()
	defer t.h.mu.Unlock()
	return t.j.ending() || t.h.phase == phaseEnded || t.h.quiet
}

// holdAll asks one holder after the other to hold room for the free slots and to
// extend what it holds. It reports whether every slot is held.
func (t *gangTry) holdAll() bool {
	for _, p := range t.parts {
		if len(p.slots)+len(t.free) == 0 || (p.unsure && !t.clear(p)) {
			continue
		}
		t.hold(p)
	}
	return len(t.free) == 0
}

// hold asks one holder for its own slots and the free ones.
func (t *gangTry) hold(p *gangPart) {
	want := append(append([]taskmsg.Slot(nil), p.slots...), t.free...)
	asked := time.Now()
	var reply taskmsg.GangHeld
	req := taskmsg.GangHold{Home: t.h.self(), Shape: t.shape, Slots: want, HoldMS: gangHoldTime.Milliseconds(), Gather: t.gather, Try: t.number}
	err := t.h.ask(p.at.addr, peer.KindGangHold, gangCallTimeout, req, &reply)
	t.note(p.at, reply.Refusal, err)
	switch {
	case err == nil:
		p.slots, p.since = reply.Held, asked
		t.free = minus(want, reply.Held)
	case !certainlyNot(err):
		p.slots, p.unsure = nil, true
		t.free = want
	}
}

// clear makes a holder whose answer was lost release what it may hold.
func (t *gangTry) clear(p *gangPart) bool {
	var reply taskmsg.PlaceReply
	req := taskmsg.GangEnd{Home: t.h.self(), Job: t.j.id(), Try: t.number}
	p.unsure = t.h.ask(p.at.addr, peer.KindGangEnd, gangCallTimeout, req, &reply) != nil
	return !p.unsure
}

// note keeps what a holder said for the explanation.
func (t *gangTry) note(at holder, refusal *taskmsg.Refusal, err error) {
	t.h.mu.Lock()
	defer t.h.mu.Unlock()
	m := t.j.memory(at.member)
	m.refusal, m.err = refusal, err
}

// minus returns the slots of all that are not in some.
func minus(all, some []taskmsg.Slot) []taskmsg.Slot {
	drop := make(map[int]bool, len(some))
	for _, s := range some {
		drop[s.Index] = true
	}
	left := make([]taskmsg.Slot, 0, len(all)-len(some))
	for _, s := range all {
		if !drop[s.Index] {
			left = append(left, s)
		}
	}
	return left
}

// release gives all held room back; nothing of the gang has started.
func (t *gangTry) release() {
	h, j := t.h, t.j
	t.endAll(false)
	h.m.metrics.gangs.WithLabelValues("released").Inc()
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.moveGang(j, gangEventRelease)
	for _, s := range t.slots {
		if h.awaits(j, s) {
			h.freed(j, s.Index)
		}
	}
	h.backOffGang(j, now)
	j.log.add(now, "released", "not every part of the gang could be held at once")
	h.settle(j, now)
	h.rouse()
}

// commit moves the gang from holding to starting, unless a hold may lapse before
// the order to start arrives or the job was ended.
func (t *gangTry) commit() bool {
	h := t.h
	if h.checkRight() != nil {
		return false
	}
	for _, p := range t.parts {
		if len(p.slots) > 0 && time.Since(p.since) > gangHoldTime-gangStartMargin {
			return false
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if t.j.ending() || h.phase == phaseEnded || h.quiet {
		return false
	}
	return h.moveGang(t.j, gangEventStart)
}

// start orders every part to start, and breaks the gang up when any task of it
// did not.
func (t *gangTry) start() {
	h, j := t.h, t.j
	replies, errs := t.endAll(true)
	for i, p := range t.parts {
		if errs[i] != nil && certainlyNot(errs[i]) {
			t.clear(p) // so that its room does not stay held for nothing
		}
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, p := range t.parts {
		if len(p.slots) > 0 {
			h.placed(j, p.at, p.slots, replies[i], errs[i], now)
		}
	}
	outcome := "started"
	if !j.gang.is(gangUp) && !j.rec.State.Final() {
		h.breakGang(j, "a part of it did not start", now)
		outcome = "broken"
	}
	h.m.metrics.gangs.WithLabelValues(outcome).Inc()
	h.rouse()
}

// endAll tells every holder with a part to start or release it. Only those whose
// part is certain are told to start.
func (t *gangTry) endAll(start bool) ([]taskmsg.PlaceReply, []error) {
	replies, errs := make([]taskmsg.PlaceReply, len(t.parts)), make([]error, len(t.parts))
	req := taskmsg.GangEnd{Home: t.h.self(), Job: t.j.id(), Start: start, Try: t.number}
	var wait sync.WaitGroup
	for i, p := range t.parts {
		if len(p.slots) == 0 && (start || !(p.unsure || t.gather)) {
			continue
		}
		wait.Go(func() {
			errs[i] = t.h.ask(p.at.addr, peer.KindGangEnd, gangCallTimeout, req, &replies[i])
		})
	}
	wait.Wait()
	return replies, errs
}
