package engine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
	"pulleyquay/internal/hostsim"
)

// A call that got no answer may be carried out seconds later, also by the next incarnation of its host. The
// deadline in it is by the clock of the former incarnation, so the next one grants its longest lease from then on.

// TestRenewalForFormerIncarnation guards against two runs of one task: a renewal for the former incarnation of a
// host extended the lease of the next one, the host was disconnected, and the holder started the task elsewhere
// when the lease was over by its own renewals.
func TestRenewalForFormerIncarnation(t *testing.T) {
	const restarted = 100 * time.Millisecond
	broken, played := 0, 0
	for _, rate := range []float64{1, 0.98} {
		for arrives := 800 * time.Millisecond; arrives <= 2700*time.Millisecond; arrives += 100 * time.Millisecond {
			for _, cutAfter := range []time.Duration{0, 300 * time.Millisecond, time.Second} {
				played++
				w := formerRenewal{rate: rate, arrives: arrives, cutAfter: cutAfter, downtime: restarted}.execute(t)
				if v := w.fleet.Checker().Violations(); len(v) > 0 {
					broken++
					t.Errorf("clock rate %v, renewal carried out %v after the restart, disconnected %v later: %s", rate, arrives, cutAfter, v[0])
				}
			}
		}
	}
	if broken > 0 {
		t.Errorf("%d of %d cases broken", broken, played)
	}
}

// formerRenewal is a renewal of a lease that the next incarnation of its host carries out.
type formerRenewal struct {
	rate     float64       // of the clock of the next incarnation
	downtime time.Duration // between the incarnations
	arrives  time.Duration // when the renewal is carried out, counted from the start of the next incarnation
	cutAfter time.Duration // when the host is disconnected, counted from that
}

// execute runs a long task on a host that restarts and is disconnected later. There is capacity for the task
// elsewhere by the time that its lease is over.
func (f formerRenewal) execute(t *testing.T) *world {
	w := newWorld(t, 31)
	w.followsHosts = true
	w.fleet.KeepID, w.fleet.RestartDelay = true, f.downtime
	w.fleet.Add(2, "s", size(64, 128))
	w.failOver()
	w.run(10 * time.Second)
	w.submit("beside", catalog.Rules{}, step(1, 40, 60, 12_000))
	w.run(time.Second)
	h := w.hostWithout("beside")
	last := w.lastRenewal(h.Info().ID)
	w.run(4 * time.Second)
	former := *last
	h.RestartAfterPowerLoss()
	w.after(f.downtime, func() { h.SetRate(f.rate) })
	w.after(f.downtime+500*time.Millisecond, func() { w.submit("job", catalog.Rules{}, step(1, 40, 60, 30_000)) })
	w.after(f.downtime+f.arrives, func() { carryOut(h, former) })
	w.after(f.downtime+f.arrives+f.cutAfter, func() { h.SetDisconnected(true) })
	w.run(40 * time.Second)
	return w
}

// hostWithout returns a host that runs no task of a job.
func (w *world) hostWithout(job string) *hostsim.Host {
	w.t.Helper()
	for _, h := range w.fleet.Hosts() {
		if !slices.ContainsFunc(h.Running(), func(r host.Run) bool { return r.Task.Job == job }) {
			return h
		}
	}
	w.t.Fatalf("job %s runs on every host", job)
	return nil
}

// lastRenewal keeps the last poll that renewed the lease of a host.
func (w *world) lastRenewal(id host.ID) *formerCall {
	last := &formerCall{}
	w.onPoll = func(o PollOrder) {
		if o.To.ID == id && o.Poll.Lease > 0 {
			*last = formerCall{token: w.engine.Token(o.Generation), poll: o.Poll}
		}
	}
	return last
}

// formerCall is a poll that was not answered.
type formerCall struct {
	token uint64
	poll  host.Poll
}

// carryOut has whichever incarnation of a host is up carry a call out; its answer is discarded.
func carryOut(h *hostsim.Host, c formerCall) {
	if !h.Up() {
		return
	}
	p := c.poll
	p.Incarnation, p.Wait = 0, 0 // nothing in the call tells the host for which incarnation it was sent
	h.Poll(c.token, p, func(host.View) {})
}

// String describes the case for messages.
func (f formerRenewal) String() string {
	return fmt.Sprintf("clock rate %v, carried out after %v, disconnected %v later", f.rate, f.arrives, f.cutAfter)
}

// formerStart is a start that gets no answer and that the next incarnation of its host carries out.
type formerStart struct {
	arrives  time.Duration // when it is carried out, counted from the order
	restart  time.Duration // when the host restarts
	cut      time.Duration // when the host is disconnected; zero for never
	failover time.Duration // when the holder changes; zero for never
}

// execute runs a task on one of two hosts, each with capacity for it.
func (f formerStart) execute(t *testing.T) *world {
	w := newWorld(t, 33)
	w.followsHosts = true
	w.fleet.KeepID, w.fleet.RestartDelay = true, 200*time.Millisecond
	w.fleet.Add(2, "s", size(64, 128))
	w.failOver()
	w.run(10 * time.Second)
	ordered := false
	w.hangs = func(s StartOrder) bool {
		if ordered {
			return false
		}
		ordered = true
		h, token, late := w.host(s.To.ID), w.engine.Token(s.Generation), s.Start
		late.Incarnation = 0 // nothing in the order tells the host for which incarnation it was sent
		w.after(f.restart, h.RestartAfterPowerLoss)
		w.after(f.arrives, func() {
			if h.Up() {
				h.Start(token, late)
			}
		})
		if f.cut > 0 {
			w.after(f.cut, func() { h.SetDisconnected(true) })
		}
		if f.failover > 0 {
			w.after(f.failover, w.failOver)
		}
		return true
	}
	w.submit("job", catalog.Rules{}, step(1, 40, 60, 5_000))
	w.run(60 * time.Second)
	if !w.fleet.Checker().JobDone("job") {
		t.Errorf("%+v: the job is reported as %s: %s", f, w.reported["job"], w.describe("job"))
	}
	return w
}

// TestStartForFormerIncarnation guards against two runs of one task: a start that got no answer was carried out
// by the next incarnation of its host, after the task had been started elsewhere.
func TestStartForFormerIncarnation(t *testing.T) {
	for name, f := range map[string]formerStart{
		"the host answers again":                 {restart: 50 * time.Millisecond},
		"the host restarts later":                {restart: 900 * time.Millisecond},
		"the host restarts behind a cut":         {restart: 50 * time.Millisecond, cut: 10 * time.Millisecond},
		"the host is cut soon after its restart": {restart: 50 * time.Millisecond, cut: 500 * time.Millisecond},
		"the holder changes":                     {restart: 50 * time.Millisecond, failover: 100 * time.Millisecond},
		"the holder changes behind a cut":        {restart: 50 * time.Millisecond, cut: 10 * time.Millisecond, failover: time.Second},
		"the holder changes before the restart":  {restart: 2 * time.Second, cut: 10 * time.Millisecond, failover: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			broken, played := 0, 0
			for arrives := 300 * time.Millisecond; arrives <= 12*time.Second; arrives += 300 * time.Millisecond {
				f.arrives = arrives
				played++
				if v := f.execute(t).fleet.Checker().Violations(); len(v) > 0 {
					broken++
					t.Errorf("carried out %v after the order: %s", arrives, v[0])
				}
			}
			if broken > 0 {
				t.Errorf("%d of %d cases broken", broken, played)
			}
		})
	}
}

// TestDroppedHostKeepsItsGeneration guards against a holder that gives the partition up: a host that has received the
// token of a later generation was dropped and listed again, and refused a call with the first one.
func TestDroppedHostKeepsItsGeneration(t *testing.T) {
	for name, omits := range map[string]bool{"incarnation named": false, "incarnation not named any more": true} {
		t.Run(name, func(t *testing.T) {
			w := newRestartWorld(t, 5, 2)
			w.host("h00").Restart()
			w.run(2 * time.Second)
			w.fleet.OmitIncarnation = omits
			w.run(10 * time.Second)
			info := w.engine.hosts["h00"].info
			w.engine.DropHost("h00", w.now())
			w.engine.SetHost(info, w.now())
			w.run(10 * time.Second)
			if h := w.engine.hosts["h00"]; w.engine.deposed || h.generation == 0 || !h.claimed {
				t.Errorf("deposed: %t; the host has generation %d, claimed: %t", w.engine.deposed, h.generation, h.claimed)
			}
		})
	}
}

// TestEndsAreAcknowledgedUntilDeleted guards against ends that are deleted unread: the poll that waited at a host as it
// ended was carried out by the next incarnation, and acknowledged ends that the former one had deleted long ago.
func TestEndsAreAcknowledgedUntilDeleted(t *testing.T) {
	w := newWorld(t, 37)
	w.fleet.Add(1, "s", size(64, 128))
	w.failOver()
	w.run(time.Second)
	w.faults.unidentifiedPolls = 1 // acknowledgements do not reach the host
	w.submit("job", catalog.Rules{}, step(1, 6, 10, 300))
	w.run(3 * time.Second)
	var acked []int64
	w.onPoll = func(o PollOrder) { acked = append(acked, o.Poll.AckedEnds) }
	w.run(5 * time.Second)
	if len(acked) == 0 || slices.Contains(acked, 0) || w.host("h00").KeptEnds() != 1 {
		t.Errorf("polls acknowledge up to %v, and the host keeps %d ends, want 1 in each poll", acked, w.host("h00").KeptEnds())
	}
	w.faults.unidentifiedPolls = 0
	w.run(5 * time.Second)
	acked = nil
	w.run(10 * time.Second)
	if len(acked) == 0 || slices.Max(acked) > 0 || w.host("h00").KeptEnds() != 0 {
		t.Errorf("polls acknowledge up to %v, and the host keeps %d ends, want 0 once it has deleted them", acked, w.host("h00").KeptEnds())
	}
}

// TestLeaseBoundOfUnclaimedIncarnation guards against a wait that ends too early after a second change of the holder:
// a bound that was stored for a silent host did not allow for the incarnation that its entry named later.
func TestLeaseBoundOfUnclaimedIncarnation(t *testing.T) {
	w := newWorld(t, 39)
	w.fleet.Add(1, "s", size(64, 128))
	w.failOver()
	w.run(time.Second)
	e, h := w.engine, w.engine.hosts["h00"]
	h.inherited, h.claimed, h.reported = true, false, false
	e.reconcileDeadline, h.leasesOverAt = w.now().Add(9*time.Second), w.now().Add(4*time.Second)
	if over := e.leasesOver(h).Sub(w.now()); over != 4*time.Second {
		t.Errorf("leases are over in %v, want the stored bound", over)
	}
	h.info.Incarnation++
	if over := e.leasesOver(h).Sub(w.now()); over != 4*time.Second+e.cfg.Tuning.MaxCallDelay {
		t.Errorf("leases are over in %v, though the entry names another incarnation", over)
	}
	h.unresponsiveSince = w.now()
	if left := e.leaseLeftMillis(h, w.now().Add(2*time.Second)); left != 0 {
		t.Errorf("a bound of %d ms is stored for an unclaimed incarnation", left)
	}
}

// TestRandomRestartsWithCarriedOverPolls restarts hosts at random times while polls are carried out seconds late, also
// by the next incarnations of their hosts.
func TestRandomRestartsWithCarriedOverPolls(t *testing.T) {
	const seeds = 12
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			restartAtRandomTimes(t, seed, faults{delayedPoll: 0.2, carriedOver: true})
		})
	}
}

// TestRandomRestartsWithCarriedOverOrders is the same for orders.
func TestRandomRestartsWithCarriedOverOrders(t *testing.T) {
	const seeds = 12
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			restartAtRandomTimes(t, seed, faults{delayedRequest: 0.2, carriedOver: true})
		})
	}
}
