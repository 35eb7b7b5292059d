package engine

import (
	"slices"
	"time"

	"pulleyquay/internal/advice"
	"pulleyquay/internal/host"
	"pulleyquay/internal/hostsim"
	"pulleyquay/internal/platform"
)

// oneWay is how long a message takes, callTimeout the time-out of a call.
const (
	oneWay      = time.Millisecond
	callTimeout = 500 * time.Millisecond
)

// start delivers a start order to a host, and records order and reply with the fleet's checker.
func (w *world) start(e *Engine, s StartOrder) {
	w.fleet.Checker().RecordOrder(s.To.ID, s.Start.Run)
	if w.onStart != nil {
		w.onStart(s)
	}
	if w.hangs != nil && w.hangs(s) {
		w.after(callTimeout, func() { w.deliver(e, func() { e.Started(s, host.Reply{}, host.ErrLost, w.now()) }) })
		return
	}
	sameIncarnation := true // the intended incarnation was reached
	arrive := func(h *hostsim.Host) host.Reply {
		sameIncarnation = h.IsIncarnation(s.Start.Incarnation)
		return h.Start(e.Token(s.Generation), s.Start)
	}
	carryOut := func(h *hostsim.Host) {
		late := s.Start
		late.Incarnation = 0 // nothing in the order tells the host for which incarnation it was sent
		h.Start(e.Token(s.Generation), late)
	}
	w.call(s.To, arrive, carryOut, func(r host.Reply, err error) {
		if err == nil && !sameIncarnation {
			err = host.ErrOtherIncarnation
		}
		if err == nil && r.Refused == "" {
			w.fleet.Checker().RecordReply(s.To.ID, s.Start.Run)
		}
		e.Started(s, r, err, w.now())
	})
}

// call delivers an order to a host and the reply to the engine, subject to the faults. A delayed order is carried
// out by the incarnation that it was sent to or, with faults.carriedOver, by whichever is up then.
func (w *world) call(to host.Info, arrive func(*hostsim.Host) host.Reply, carryOut func(*hostsim.Host), answer func(host.Reply, error)) {
	e := w.engine
	finish := func(reply host.Reply, err error) { w.deliver(e, func() { answer(reply, err) }) }
	lost := func() { finish(host.Reply{}, host.ErrLost) }
	h := w.host(to.ID)
	switch {
	case h == nil:
		w.after(oneWay, func() { finish(host.Reply{}, host.ErrNotSent) })
		return
	case w.rnd.Float64() < w.faults.lostRequest:
		w.after(callTimeout, lost)
		return
	case w.rnd.Float64() < w.faults.delayedRequest:
		incarnation := h.Info().Incarnation
		w.after(2*time.Second+time.Duration(w.rnd.IntN(10000))*time.Millisecond, func() {
			switch {
			case w.faults.carriedOver && h.Up():
				carryOut(h)
			case h.Reachable() && h.Info().Incarnation == incarnation:
				arrive(h)
			}
		})
		w.after(callTimeout, lost)
		return
	}
	answerLost := w.rnd.Float64() < w.faults.lostReply || w.repliesCut[to.ID]
	w.after(oneWay, func() {
		if h.OtherIncarnation() {
			w.after(oneWay, func() { finish(host.Reply{}, host.ErrOtherIncarnation) })
			return
		}
		if h.Refusing() {
			w.after(oneWay, func() { finish(host.Reply{}, host.ErrConnectionRefused) })
			return
		}
		if !h.Reachable() {
			w.after(callTimeout, lost)
			return
		}
		reply := arrive(h)
		if answerLost {
			w.after(callTimeout, lost)
			return
		}
		w.after(oneWay+w.replyDelay, func() { finish(reply, nil) })
	})
}

// poll delivers a poll to a host, which answers when there is an end record or the wait
// has elapsed.
func (w *world) poll(e *Engine, o PollOrder) {
	sent := w.now()
	if w.onPoll != nil {
		w.onPoll(o)
	}
	h := w.host(o.To.ID)
	request := o.Poll
	if w.rnd.Float64() < w.faults.unidentifiedPolls {
		request.AckedEnds = 0
	}
	finished := false
	finish := func(v host.View, err error) {
		if !finished {
			finished = true
			w.deliver(e, func() {
				w.fleet.Checker().RecordReported(o.To.ID, v.Running)
				e.Polled(o, sent, v, err, w.now())
			})
		}
	}
	fail := func() { finish(host.View{}, host.ErrLost) }
	if h == nil || w.rnd.Float64() < w.faults.lostRequest {
		w.after(o.Poll.Wait+callTimeout, fail)
		return
	}
	w.after(o.Poll.Wait+callTimeout, fail)
	if w.faults.delayedPoll > 0 && w.rnd.Float64() < w.faults.delayedPoll {
		w.after(2*time.Second+time.Duration(w.rnd.IntN(10000))*time.Millisecond, func() {
			carryOut(h, formerCall{e.Token(o.Generation), o.Poll})
		})
		return
	}
	w.after(w.messageDelay(w.faults.latePolls), func() {
		if h.OtherIncarnation() {
			w.after(oneWay, func() { finish(host.View{}, host.ErrOtherIncarnation) })
			return
		}
		if h.Refusing() {
			w.after(oneWay, func() { finish(host.View{}, host.ErrConnectionRefused) })
			return
		}
		if !h.Reachable() {
			return
		}
		h.OnReset(func() { w.after(oneWay, func() { finish(host.View{}, host.ErrConnectionBroken) }) })
		answerLost := w.rnd.Float64() < w.faults.lostReply+w.faults.lostView || w.repliesCut[o.To.ID]
		h.Poll(e.Token(o.Generation), request, func(v host.View) {
			if answerLost {
				return
			}
			w.after(w.messageDelay(w.faults.lateViews), func() { finish(v, nil) })
		})
	})
}

// messageDelay returns how long a message takes. With probability late it takes 100 to 1000 ms,
// as after a lost packet.
func (w *world) messageDelay(late float64) time.Duration {
	if late > 0 && w.rnd.Float64() < late {
		return time.Duration(100+w.rnd.IntN(900)) * time.Millisecond
	}
	return oneWay
}

// policyReplyDelay is the default time from a query to the answer of the policy service.
const policyReplyDelay = 10 * time.Millisecond

func (w *world) query(e *Engine, o QueryOrder) {
	a := advice.Reply{ValidFor: 1500 * time.Millisecond}
	for _, id := range o.Hosts {
		if w.permitted(o.Step, id) {
			a.Permitted = append(a.Permitted, advice.Ticket{Host: id, Ticket: hostsim.TicketOf(o.Step, id)})
		}
	}
	takes := policyReplyDelay
	if w.policyDelay != nil {
		takes = w.policyDelay(o)
	}
	var err error
	if w.faults.lostQuery > 0 && w.rnd.Float64() < w.faults.lostQuery {
		takes, err = o.Timeout, host.ErrLost
	}
	w.after(takes, func() { w.deliver(e, func() { e.PolicyAnswered(o, a, err, w.now()) }) })
}

// commitTakes is how long a batch takes to be stored, unless the simulation sets a longer time.
const commitTakes = 6 * time.Millisecond

func (w *world) commit(e *Engine) {
	b := e.TakeBatch(w.now())
	if b == nil {
		return
	}
	w.committing, w.unstored = true, b
	w.writeBatch(e, b)
}

// storeRetry is the interval between attempts of a write while the store is unavailable.
const storeRetry = 50 * time.Millisecond

// writeBatch writes one batch to the store.
func (w *world) writeBatch(e *Engine, b *Batch) {
	stored := func() {
		w.committing, w.unstored = false, nil
		w.deliver(e, func() { e.Stored(b, w.now()) })
	}
	if w.transactionTakes != nil {
		w.writeGroups(e, b, stored)
		return
	}
	writes := slices.Concat(slices.Concat(b.Groups...), b.Roster)
	w.writeTransaction(e, writes, max(commitTakes, w.commitTakes), stored)
}

// writeGroups writes each group of a batch by itself, each with a delay of its own, and then the roster, which
// depends on them; then it calls stored.
func (w *world) writeGroups(e *Engine, b *Batch, stored func()) {
	left, takes := len(b.Groups), w.transactionTakes
	finish := func() { w.writeTransaction(e, b.Roster, takes(), stored) }
	if left == 0 {
		finish()
		return
	}
	for _, group := range b.Groups {
		w.writeTransaction(e, group, takes(), func() {
			if left--; left == 0 {
				finish()
			}
		})
	}
}

// writeTransaction makes writes take effect together after a delay, once the store is available and unless the next
// holder has claimed the partition by then, and calls done.
func (w *world) writeTransaction(e *Engine, writes []platform.Write, takes time.Duration, done func()) {
	w.after(takes, func() {
		if e != w.engine || w.claimedByNext {
			return // the store rejects writes of a deposed holder
		}
		if w.storeUnavailable {
			w.writeTransaction(e, writes, storeRetry, done)
			return
		}
		if w.onWrite != nil {
			writes = w.onWrite(writes)
		}
		w.applyWrites(writes)
		done()
	})
}

func (w *world) applyWrites(writes []platform.Write) {
	for _, x := range writes {
		if x.Delete {
			delete(w.store, x.Key)
			continue
		}
		w.store[x.Key] = x.Value
	}
}
