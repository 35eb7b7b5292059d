package engine

import (
	"fmt"
	"testing"
	"time"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
)

// lateStart is a job whose start is delayed on its way to a host that terminates meanwhile.
type lateStart struct {
	keepsID        bool
	gang           bool          // the job is a gang of two
	carriesOver    bool          // the host's next incarnation executes what was sent to an earlier one
	failover       time.Duration // when the holder changes, counted from the start; zero for never
	secondFailover time.Duration // when it changes once more
	restart        time.Duration // when the host ends
	downtime       time.Duration // downtime of the host after that
	arrives        time.Duration // when the start arrives at whichever host answers at the address
	answered       time.Duration // when the sender's call fails; zero leaves that to the simulation
}

func (l lateStart) String() string {
	return fmt.Sprintf("keeps id %t, holder changes at %v and %v, host ends at %v for %v, start arrives at %v",
		l.keepsID, l.failover, l.secondFailover, l.restart, l.downtime, l.arrives)
}

// execute runs the job in a cell with capacity for it, and, for a gang, with one host more than needed.
func (l lateStart) execute(t *testing.T, seed uint64) *world {
	w := newWorld(t, seed)
	w.followsHosts, w.keepEvents = true, true
	w.fleet.KeepID, w.fleet.AcceptEarlierStarts, w.fleet.RestartDelay = l.keepsID, l.carriesOver, l.downtime
	w.fleet.Bounds.MaxStopTime, w.bounds.MaxStopTime = l.stopTakes(), l.stopTakes()
	w.fleet.Add(2, "s", size(64, 128))
	if l.gang {
		w.fleet.Add(3, "s", size(64, 128))
	}
	w.failOver()
	w.run(10 * time.Second)
	held := true
	w.onStart = func(s StartOrder) {
		if s.Start.Task.Job != "job" || !held {
			return
		}
		held = false
		w.lateStart()
		h, epoch := w.host(s.To.ID), w.epoch
		for _, at := range []time.Duration{l.failover, l.secondFailover} {
			if at > 0 {
				w.after(at, w.failOver)
			}
		}
		w.after(l.restart, h.Restart)
		w.after(l.arrives, func() { w.arriveAt(h.Info().Addr, epoch, s.Start) })
		if l.answered > 0 {
			w.after(l.answered, func() {
				w.deliver(w.engine, func() { w.engine.Started(s, host.Reply{}, host.ErrLost, w.now()) })
			})
		}
	}
	w.submit("beside", catalog.Rules{}, step(2, 40, 60, 5000))
	w.run(150 * time.Millisecond)
	s := step(1, 6, 10, 5000)
	if l.gang {
		s = step(2, 40, 60, 5000)
		s.Gang = true
	}
	w.submit("job", catalog.Rules{}, s)
	return w
}

// stopTakes is the maximum duration of a stop: long for gangs, because a superseded run would otherwise
// end before the next run is ready.
func (l lateStart) stopTakes() time.Duration {
	if l.gang {
		return 900 * time.Millisecond
	}
	return testBounds.MaxStopTime
}

// arriveAt delivers a start to every incarnation that is up at an address.
func (w *world) arriveAt(addr string, epoch uint64, s host.Start) {
	for _, h := range w.fleet.Hosts() {
		if h.Info().Addr == addr && h.Up() {
			h.Start(epoch, s)
		}
	}
}

// TestLateStartAcrossFailover guards against starts executed by an incarnation for which they were not
// meant, with many times for the two changes. A start was delayed, the holder changed, and the start's
// host terminated and restarted under the same id. The next holder relied on what the host's new
// incarnation reported. Then the start arrived: the new incarnation had seen no epoch and its clock was
// below the start's deadline, so it executed the start, while the next holder had started the task
// elsewhere.
func TestLateStartAcrossFailover(t *testing.T) {
	ms := func(list ...int) (out []time.Duration) {
		for _, n := range list {
			out = append(out, time.Duration(n)*time.Millisecond)
		}
		return out
	}
	for _, keepsID := range []bool{true, false} {
		for _, failoverAt := range ms(5, 10, 60, 200) {
			for _, secondFailover := range ms(0, 100, 300) {
				for _, restart := range ms(2, 20, 120) {
					for _, downtime := range ms(30, 150, 600) {
						for _, late := range ms(1, 40, 250, 1500) {
							l := lateStart{keepsID: keepsID, failover: failoverAt, secondFailover: secondFailover, restart: restart, downtime: downtime, arrives: restart + downtime + late}
							w := l.execute(t, 21)
							w.mustNotFail(t, 25*time.Second)
							if t.Failed() {
								t.Fatal(l)
							}
						}
					}
				}
			}
		}
	}
}

// TestLateStartThatIsCarriedOver guards against two runs of one task where a host's next incarnation
// executes what an earlier one was sent: a run that it reports, or may yet start, blocks its task,
// whoever ordered it and however the call ended.
func TestLateStartThatIsCarriedOver(t *testing.T) {
	const restart, downtime = 20 * time.Millisecond, 150 * time.Millisecond
	for name, l := range map[string]lateStart{
		"ordered":                        {arrives: 450 * time.Millisecond},
		"unacknowledged":                 {arrives: 450 * time.Millisecond, answered: 100 * time.Millisecond},
		"of a previous holder":           {arrives: 210 * time.Millisecond, failover: 10 * time.Millisecond},
		"of a previous holder, a gang's": {gang: true, arrives: 210 * time.Millisecond, failover: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			l.keepsID, l.carriesOver, l.restart, l.downtime = true, true, restart, downtime
			l.execute(t, 21).mustNotFail(t, 30*time.Second)
		})
	}
}

// TestStartMeantForAnotherIncarnation guards against repeated starts at a host in another incarnation
// than the holder knows of, before a poll reports the change.
func TestStartMeantForAnotherIncarnation(t *testing.T) {
	w := newWorld(t, 21)
	w.followsHosts, w.keepEvents = true, true
	w.fleet.KeepID, w.fleet.RestartDelay = true, time.Millisecond
	w.fleet.Add(2, "s", size(64, 128))
	w.failOver()
	w.run(10 * time.Second)
	starts := 0
	w.onStart = func(StartOrder) { starts++ }
	for _, h := range w.fleet.Hosts() {
		h.RestartAfterPowerLoss() // nothing is reset, so the restart goes unnoticed
	}
	w.run(20 * time.Millisecond)
	w.submit("job", catalog.Rules{}, step(2, 40, 60, 1000))
	w.mustNotFail(t, 10*time.Second)
	if starts != 4 {
		t.Errorf("%d starts of two tasks, want 4: each meets another incarnation once", starts)
	}
	if !w.fleet.Checker().JobDone("job") {
		t.Errorf("the job is reported as %s: %s", w.reported["job"], w.describe("job"))
	}
}

// TestIncarnationNoLongerReported guards against starts that never reach a host whose software was
// changed, so that it names no incarnation any more though it named one to an earlier holder.
func TestIncarnationNoLongerReported(t *testing.T) {
	w := newWorld(t, 21)
	w.followsHosts = true
	w.fleet.Add(2, "s", size(64, 128))
	w.failOver()
	w.run(time.Second)
	w.onStart = func(s StartOrder) {
		if s.Start.Incarnation != 0 {
			t.Errorf("a start on %s is for incarnation %d", s.To.ID, s.Start.Incarnation)
		}
	}
	w.fleet.OmitIncarnation = true
	w.failOver()
	w.run(time.Second)
	w.submit("job", catalog.Rules{}, step(2, 6, 10, 500))
	w.mustNotFail(t, 10*time.Second)
	if !w.fleet.Checker().JobDone("job") {
		t.Errorf("the job is reported as %s: %s", w.reported["job"], w.describe("job"))
	}
}
