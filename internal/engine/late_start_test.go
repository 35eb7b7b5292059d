package engine

import (
	"fmt"
	"testing"
	"time"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
)

// lateStart is a job whose start is held up on its way to a host that ends meanwhile.
type lateStart struct {
	keepsID     bool
	gang        bool          // the job is a gang of two
	carriesOver bool          // the host's next life carries out what an earlier one was sent
	takeOvers   time.Duration // when the holder changes, counted from the start; zero stands for never
	again       time.Duration // when it changes once more
	restart     time.Duration // when the host ends
	back        time.Duration // when its next life begins, counted from then
	arrives     time.Duration // when the start comes to whoever answers at the host's address
	answered    time.Duration // when its sender gives it up; zero leaves that to the world
}

func (l lateStart) String() string {
	return fmt.Sprintf("keeps id %t, holders change at %v and %v, host ends at %v and is back in %v, start comes at %v",
		l.keepsID, l.takeOvers, l.again, l.restart, l.back, l.arrives)
}

// play plays it in a cell with room for the job, and, for a gang, one host more than it needs.
func (l lateStart) play(t *testing.T, seed uint64) *world {
	w := newWorld(t, seed)
	w.follows, w.logs = true, true
	w.fleet.KeepsID, w.fleet.CarriesOver, w.fleet.BackAfter = l.keepsID, l.carriesOver, l.back
	w.fleet.Bounds.StopTakes, w.bounds.StopTakes = l.stopTakes(), l.stopTakes()
	w.fleet.Add(2, "s", size(64, 128))
	if l.gang {
		w.fleet.Add(3, "s", size(64, 128))
	}
	w.takeOver()
	w.run(10 * time.Second)
	held := true
	w.onStart = func(s StartOrder) {
		if s.Start.Task.Job != "job" || !held {
			return
		}
		held = false
		w.lateStart()
		h, epoch := w.host(s.To.ID), w.epoch
		for _, at := range []time.Duration{l.takeOvers, l.again} {
			if at > 0 {
				w.after(at, w.takeOver)
			}
		}
		w.after(l.restart, h.Restart)
		w.after(l.arrives, func() { w.arriveAt(h.Info().Addr, epoch, s.Start) })
		if l.answered > 0 {
			w.after(l.answered, func() {
				w.tell(w.engine, func() { w.engine.Started(s, host.Reply{}, host.ErrLost, w.now()) })
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

// stopTakes is how long a stop takes at most: long for gangs, of which a run that is left over
// would else be gone before the next run is ready.
func (l lateStart) stopTakes() time.Duration {
	if l.gang {
		return 900 * time.Millisecond
	}
	return testBounds.StopTakes
}

// arriveAt brings a start to every life that is up at an address.
func (w *world) arriveAt(addr string, epoch uint64, s host.Start) {
	for _, h := range w.fleet.Hosts() {
		if h.Info().Addr == addr && h.Up() {
			h.Start(epoch, s)
		}
	}
}

// A start was held up on its way, the holder changed, and the start's host ended and started
// again under its id. The next holder counted what the host's new life showed. Then the start
// came: the new life had seen no epoch and its clock stood below the start's deadline, so it
// began there, while the next holder had started the task elsewhere:
//
//	10.429s: TWICE {job/0/0/0 1002} starts on h01 while it runs on h00
//
// TestLateStartAcrossATakeOver guards against starts that a life begins for which they were not
// meant, at any moments of the two changes.
func TestLateStartAcrossATakeOver(t *testing.T) {
	ms := func(list ...int) (out []time.Duration) {
		for _, n := range list {
			out = append(out, time.Duration(n)*time.Millisecond)
		}
		return out
	}
	for _, keepsID := range []bool{true, false} {
		for _, takeOver := range ms(5, 10, 60, 200) {
			for _, again := range ms(0, 100, 300) {
				for _, restart := range ms(2, 20, 120) {
					for _, back := range ms(30, 150, 600) {
						for _, late := range ms(1, 40, 250, 1500) {
							l := lateStart{keepsID: keepsID, takeOvers: takeOver, again: again, restart: restart, back: back, arrives: restart + back + late}
							w := l.play(t, 21)
							w.neverGivenUp(t, 25*time.Second)
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

// TestLateStartThatIsCarriedOver guards against two runs of one task where a host's next life
// carries out what an earlier one was sent: what it shows, or may yet begin, holds its task back,
// whoever ordered it and however the call ended.
func TestLateStartThatIsCarriedOver(t *testing.T) {
	const restart, back = 20 * time.Millisecond, 150 * time.Millisecond
	for name, l := range map[string]lateStart{
		"ordered":                      {arrives: 450 * time.Millisecond},
		"in doubt":                     {arrives: 450 * time.Millisecond, answered: 100 * time.Millisecond},
		"of a former holder":           {arrives: 210 * time.Millisecond, takeOvers: 10 * time.Millisecond},
		"of a former holder, a gang's": {gang: true, arrives: 210 * time.Millisecond, takeOvers: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			l.keepsID, l.carriesOver, l.restart, l.back = true, true, restart, back
			l.play(t, 21).neverGivenUp(t, 30*time.Second)
		})
	}
}

// TestStartMeantForAnotherLife guards against tries at a host in another life than the holder
// knows of, one after the other until a look tells of it.
func TestStartMeantForAnotherLife(t *testing.T) {
	w := newWorld(t, 21)
	w.follows, w.logs = true, true
	w.fleet.KeepsID, w.fleet.BackAfter = true, time.Millisecond
	w.fleet.Add(2, "s", size(64, 128))
	w.takeOver()
	w.run(10 * time.Second)
	starts := 0
	w.onStart = func(StartOrder) { starts++ }
	for _, h := range w.fleet.Hosts() {
		h.RestartDark() // nothing is reset, so nobody hears of it
	}
	w.run(20 * time.Millisecond)
	w.submit("job", catalog.Rules{}, step(2, 40, 60, 1000))
	w.neverGivenUp(t, 10*time.Second)
	if starts != 4 {
		t.Errorf("%d starts of two tasks, of which each meets another life once", starts)
	}
	if !w.fleet.Judge().JobDone("job") {
		t.Errorf("the job is shown as %s: %s", w.shown["job"], w.describe("job"))
	}
}

// TestLifeThatIsNotToldAnyMore guards against starts that never get to a host: its software was
// changed, and it tells no life where it told one to an earlier holder.
func TestLifeThatIsNotToldAnyMore(t *testing.T) {
	w := newWorld(t, 21)
	w.follows = true
	w.fleet.Add(2, "s", size(64, 128))
	w.takeOver()
	w.run(time.Second)
	w.onStart = func(s StartOrder) {
		if s.Start.Life != 0 {
			t.Errorf("a start on %s is for life %d", s.To.ID, s.Start.Life)
		}
	}
	w.fleet.Lifeless = true
	w.takeOver()
	w.run(time.Second)
	w.submit("job", catalog.Rules{}, step(2, 6, 10, 500))
	w.neverGivenUp(t, 10*time.Second)
	if !w.fleet.Judge().JobDone("job") {
		t.Errorf("the job is shown as %s: %s", w.shown["job"], w.describe("job"))
	}
}
