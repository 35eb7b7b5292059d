package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
)

// TestCopyRefusedBeforeClaim guards against two runs of one task: a copy of a start was carried out by the next
// incarnation, which refused another copy after it had received its token, and the refusal arrived before the view
// that lists the run.
func TestCopyRefusedBeforeClaim(t *testing.T) {
	w := newWorld(t, 33)
	w.followsHosts = true
	w.fleet.KeepID, w.fleet.RestartDelay = true, 50*time.Millisecond
	w.fleet.Add(2, "s", size(64, 128))
	w.failOver()
	w.run(10 * time.Second)
	ordered, refused := false, false
	w.hangs = func(s StartOrder) bool {
		if ordered {
			return false
		}
		ordered = true
		e := w.engine
		h, token, late := w.host(s.To.ID), e.Token(s.Generation), s.Start
		late.Incarnation = 0 // nothing in the order tells the host for which incarnation it was sent
		h.RestartAfterPowerLoss()
		w.after(w.fleet.RestartDelay+time.Millisecond, func() { h.Start(token, late) })
		w.onPoll = func(o PollOrder) {
			if o.To.ID != s.To.ID || o.Generation <= s.Generation {
				return
			}
			w.onPoll, w.faults.lateViews = nil, 1 // the refusal overtakes the view
			w.after(2*time.Second, func() { w.faults.lateViews = 0 })
			w.after(oneWay+oneWay/2, func() {
				reply := h.Start(token, late)
				refused = reply.Refused != ""
				w.deliver(e, func() { e.Started(s, reply, nil, w.now()) })
			})
		}
		return true
	}
	w.submit("job", catalog.Rules{}, step(1, 40, 60, 5_000))
	w.run(40 * time.Second)
	if !refused {
		t.Error("no copy was refused")
	}
	if v := w.fleet.Checker().Violations(); len(v) > 0 {
		t.Error(v[0])
	}
	if !w.fleet.Checker().JobDone("job") {
		t.Errorf("the job is reported as %s", w.reported["job"])
	}
}

// TestOutdatedAnswerDoesNotClaim guards against a host that is listed again being claimed by the answer to a poll
// from before: the host has not received the token of the present generation then, so a renewal from before can
// still extend its leases.
func TestOutdatedAnswerDoesNotClaim(t *testing.T) {
	for name, named := range map[string]bool{"named": true, "not named": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newRestartWorld(t, 5, 2)
			h := w.engine.hosts["h00"]
			before := PollOrder{To: h.info, Generation: h.generation, Poll: h.basePoll(), Probe: true}
			view := host.View{Clock: h.estimateClock(w.now())}
			if named {
				view.Incarnation = h.incarnation
			}
			w.engine.DropHost("h00", w.now())
			is.True(w.engine.hosts["h00"] == nil)
			w.engine.SetHost(before.To, w.now())
			w.engine.Polled(before, w.now(), view, nil, w.now())
			is.True(!w.engine.hosts["h00"].claimed) // by an answer to a call of an earlier generation
			w.run(time.Second)
			is.True(w.engine.hosts["h00"].claimed)
		})
	}
}

// TestHostThatStopsNamingItsIncarnation guards against a host that gets no work and no leases for good: it was fenced,
// and what answered with the new token named no incarnation.
func TestHostThatStopsNamingItsIncarnation(t *testing.T) {
	is := is.New(t)
	w := newRestartWorld(t, 5, 2)
	poll := func(incarnation host.Incarnation) *hostState {
		h := w.engine.hosts["h00"]
		v := host.View{Incarnation: incarnation, Clock: h.estimateClock(w.now())}
		w.engine.Polled(PollOrder{To: h.info, Generation: h.generation, Probe: true}, w.now(), v, nil, w.now())
		return w.engine.hosts["h00"]
	}
	known := w.engine.hosts["h00"].incarnation
	is.True(poll(known + 1).beingFenced())
	h := poll(0)
	is.True(!h.beingFenced())
	is.True(h.leased.until >= h.clock+host.Millis(w.engine.cfg.Bounds.MaxLease.Milliseconds())) // a call from before may have granted that
	is.True(!poll(known + 2).beingFenced())                                                     // it names itself again
}

// TestGenerationIsRemembered guards against a holder that gives the partition up: a host that was dropped and is
// listed again refused its calls, as their token was lower than before.
func TestGenerationIsRemembered(t *testing.T) {
	is := is.New(t)
	w := newRestartWorld(t, 5, 2)
	info := w.engine.hosts["h00"].info
	w.engine.fenceIncarnation(w.engine.hosts["h00"], info.Incarnation+1)
	w.engine.hosts["h00"].incarnation = 0 // it has stopped naming itself
	used := w.engine.hosts["h00"].generation
	w.engine.DropHost("h00", w.now())
	w.engine.SetHost(info, w.now())
	is.True(w.engine.hosts["h00"].generation > used)
}

// TestRepeatedRenewalForFormerIncarnation guards against two runs of one task: a host restarts behind a cut and carries
// out a start that got no answer, and later a renewal that was sent again while its poll waited. The holder had counted
// the delay of calls from the order of the poll.
func TestRepeatedRenewalForFormerIncarnation(t *testing.T) {
	w := newWorld(t, 33)
	w.followsHosts = true
	w.fleet.KeepID, w.fleet.RestartDelay = true, 50*time.Millisecond
	w.fleet.Add(2, "s", size(64, 128))
	w.failOver()
	w.run(10 * time.Second)
	delay := w.engine.cfg.Tuning.MaxCallDelay - 10*time.Millisecond
	ordered := false
	w.hangs = func(s StartOrder) bool {
		if ordered {
			return false
		}
		ordered = true
		h, token, late := w.host(s.To.ID), w.engine.Token(s.Generation), s.Start
		late.Incarnation = 0 // nothing in the order tells the host for which incarnation it was sent
		w.onPoll = func(o PollOrder) {
			if o.To.ID == s.To.ID && o.Poll.Lease > 0 {
				w.after(o.Poll.Wait+delay, func() { carryOut(h, formerCall{w.engine.Token(o.Generation), o.Poll}) })
			}
		}
		w.after(10*time.Millisecond, func() { h.SetDisconnected(true) })
		w.after(50*time.Millisecond, h.RestartAfterPowerLoss)
		w.after(delay, func() { h.Start(token, late) })
		return true
	}
	w.submit("job", catalog.Rules{}, step(1, 40, 60, 12_000))
	w.run(60 * time.Second)
	if v := w.fleet.Checker().Violations(); len(v) > 0 {
		t.Error(v[0])
	}
	if !w.fleet.Checker().JobDone("job") {
		t.Errorf("the job is reported as %s", w.reported["job"])
	}
}

// TestRenewalThatDoesNotMoveTheBound guards against runs that are released too early: after a clock reading that does
// not fit, renewals end earlier than the bound, and the last call that may grant a lease was taken for an older one.
func TestRenewalThatDoesNotMoveTheBound(t *testing.T) {
	is := is.New(t)
	start := time.Unix(100, 0)
	b := leaseBound{until: 10_000, source: leaseOfClock, setAt: start, calledAt: start}
	b.extend(9_000, leaseOfPoll, start.Add(time.Second))
	is.Equal(b, leaseBound{until: 10_000, source: leaseOfClock, setAt: start, calledAt: start.Add(time.Second)})
}
