package upkeep

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/host"
)

type machine struct {
	Machine
	incarnations int
	maintained   []int64 // rollouts whose maintenance has started
	upAt         time.Time
	removed      bool
}

// simulation simulates the platform's machines and the hosts' runs in virtual time, and
// checks the planner's orders.
type simulation struct {
	now          time.Time
	machines     map[MachineID]*machine
	busyUntil    map[host.ID]time.Time // time at which the last run on a host ends
	cordoned     map[host.ID]bool
	mayTerminate bool
	maxDown      int // largest number of machines down for the rollout at the same time
	violations   []string
}

const maintenanceDuration = 2 * time.Second

func newSimulation(n int) *simulation {
	s := &simulation{
		now: time.Unix(1_800_000_000, 0), machines: map[MachineID]*machine{},
		busyUntil: map[host.ID]time.Time{}, cordoned: map[host.ID]bool{},
	}
	for i := range n {
		id := MachineID(fmt.Sprint("m", i))
		s.machines[id] = &machine{Machine: Machine{ID: id, Up: true, Host: host.ID(string(id) + "-0")}}
	}
	return s
}

func (s *simulation) ids() []MachineID {
	var out []MachineID
	for id := range s.machines {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (s *simulation) Drain(h host.ID) bool {
	s.cordoned[h] = true
	return !s.now.Before(s.busyUntil[h])
}
func (s *simulation) MayTerminate(host.ID) bool { return s.mayTerminate }
func (s *simulation) Uncordon(h host.ID)        { delete(s.cordoned, h) }
func (s *simulation) Load(h host.ID) int {
	return int(max(s.busyUntil[h].Sub(s.now), 0) / time.Millisecond)
}

// list ends the maintenance that is due and returns the platform's list of machines.
func (s *simulation) list() []Machine {
	var out []Machine
	for _, id := range s.ids() {
		m := s.machines[id]
		if m.removed {
			continue
		}
		if m.InMaintenance && !s.now.Before(m.upAt) {
			m.InMaintenance, m.Up = false, true
			m.incarnations++
			m.Host = host.ID(fmt.Sprintf("%s-%d", id, m.incarnations))
		}
		out = append(out, m.Machine)
	}
	return out
}

// startMaintenance executes an order.
func (s *simulation) startMaintenance(o Order) Outcome {
	s.list()
	m := s.machines[o.Machine]
	switch {
	case m == nil || m.removed:
		return NotInRollout
	case !m.Up:
		return Busy // also if this order has been carried out before
	case slices.Contains(m.maintained, o.Rollout):
		return Started
	}
	if s.now.Before(s.busyUntil[m.Host]) && !s.mayTerminate {
		s.violations = append(s.violations, fmt.Sprintf("%s is taken down while runs are left on its host", o.Machine))
	}
	m.maintained = append(m.maintained, o.Rollout)
	m.Up, m.InMaintenance, m.upAt = false, true, s.now.Add(maintenanceDuration)
	downNow := 0
	for _, other := range s.machines {
		if other.InMaintenance && !other.removed {
			downNow++
		}
	}
	s.maxDown = max(s.maxDown, downNow)
	return Started
}

// faults are the probabilities of failed calls to the machine service.
type faults struct{ lostReplies, lostRequests, lostLists float64 }

// run runs a planner for a duration d and checks the rollouts that it reports as completed.
func (s *simulation) run(p *Planner, d time.Duration, rnd *rand.Rand, f faults) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		orders, list := p.Plan(s, s.now)
		for _, o := range orders {
			switch {
			case rnd.Float64() < f.lostRequests:
				p.RecordOutcome(o, 0, ErrOutcomeUnknown, s, s.now)
			case rnd.Float64() < f.lostReplies:
				s.startMaintenance(o)
				p.RecordOutcome(o, 0, ErrOutcomeUnknown, s, s.now)
			default:
				p.RecordOutcome(o, s.startMaintenance(o), nil, s, s.now)
			}
		}
		if list {
			var err error
			if rnd.Float64() < f.lostLists {
				err = errors.New("no reply")
			}
			p.UpdateMachines(s.list(), err, s.now, s.now)
		}
		for _, r := range p.rollouts {
			if r.completed {
				s.checkCompleted(r)
			}
		}
	}
}

func (s *simulation) checkCompleted(r *rolloutState) {
	for _, id := range r.Machines {
		if m := s.machines[id]; m != nil && !m.removed && !slices.Contains(m.maintained, r.ID) {
			s.violations = append(s.violations, fmt.Sprintf("rollout %d is completed without maintenance of %s", r.ID, id))
		}
	}
}

func completed(p *Planner) bool { return !p.Active() }

func TestRollouts(t *testing.T) {
	tests := map[string]struct {
		faults faults
		inject func(s *simulation)
	}{
		"no faults":       {},
		"replies lost":    {faults: faults{lostReplies: 0.4}},
		"requests lost":   {faults: faults{lostRequests: 0.5}},
		"lists lost":      {faults: faults{lostLists: 0.7}},
		"all faults":      {faults: faults{lostReplies: 0.3, lostRequests: 0.3, lostLists: 0.4}},
		"machine removed": {inject: func(s *simulation) { s.machines["m3"].removed = true }},
		"host fails":      {inject: func(s *simulation) { m := s.machines["m2"]; m.incarnations++; m.Host = "m2-again" }},
		"machine down":    {inject: func(s *simulation) { s.machines["m4"].Up = false }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				is := is.New(t)
				rnd := rand.New(rand.NewPCG(seed, 3))
				s := newSimulation(8)
				for _, m := range s.machines {
					s.busyUntil[m.Host] = s.now.Add(time.Duration(rnd.IntN(6000)) * time.Millisecond)
				}
				p := NewPlanner(s.now, nil)
				p.SetWave(Rollout{ID: 7, Machines: s.ids(), MaxUnavailable: 2})
				s.run(p, 4*time.Second, rnd, tc.faults)
				if tc.inject != nil {
					tc.inject(s)
				}
				s.run(p, 20*time.Second, rnd, tc.faults)
				s.machines["m4"].Up = !s.machines["m4"].InMaintenance // the machine comes up again
				s.run(p, 160*time.Second, rnd, tc.faults)
				is.Equal(s.violations, nil)
				is.True(s.maxDown <= 2)
				is.True(completed(p))
				is.Equal(len(s.cordoned), 0) // every host is uncordoned again
			}
		})
	}
}

// TestRepeatedOrderIsRefused guards against a second machine that is ordered down while the first one is: the answer to
// its order was lost, and the repeated order was refused, as the machine was down already.
func TestRepeatedOrderIsRefused(t *testing.T) {
	is := is.New(t)
	s := newSimulation(4)
	rnd := rand.New(rand.NewPCG(1, 3))
	p := NewPlanner(s.now, nil)
	p.SetWave(Rollout{ID: 7, Machines: s.ids(), MaxUnavailable: 1})
	s.run(p, 300*time.Millisecond, rnd, faults{lostReplies: 1})
	is.Equal(s.maxDown, 1)
	s.run(p, 60*time.Second, rnd, faults{})
	is.Equal(s.maxDown, 1)
	is.True(completed(p))
	is.Equal(len(s.cordoned), 0)
}

// TestNextHolderContinuesRollout checks that the next holder neither repeats nor omits
// maintenance that the previous holder has started, whether its progress was saved or not.
func TestNextHolderContinuesRollout(t *testing.T) {
	for _, saved := range []bool{true, false} {
		t.Run(fmt.Sprint("saved ", saved), func(t *testing.T) {
			is := is.New(t)
			rnd := rand.New(rand.NewPCG(1, 3))
			s := newSimulation(6)
			p := NewPlanner(s.now, nil)
			r := Rollout{ID: 7, Machines: s.ids(), MaxUnavailable: 2}
			p.SetWave(r)
			s.run(p, 3*time.Second, rnd, faults{})
			var stored []Progress
			if saved {
				stored = p.TakeProgress()
			}
			next := NewPlanner(s.now.Add(6*time.Second), stored)
			next.SetWave(r)
			before := s.maxDown
			s.run(next, 5*time.Second, rnd, faults{})
			is.Equal(s.maxDown, before) // the next holder gives no order before its start time
			s.run(next, 60*time.Second, rnd, faults{})
			is.True(completed(next))
			is.Equal(s.violations, nil)
			is.True(s.maxDown <= 2)
			for _, m := range s.machines {
				is.Equal(len(m.maintained), 1)
			}
		})
	}
}

func TestCompletedRolloutIsNotRepeated(t *testing.T) {
	is := is.New(t)
	s := newSimulation(2)
	p := NewPlanner(s.now, []Progress{{Rollout: 7, Started: s.ids(), Completed: true}})
	p.SetWave(Rollout{ID: 7, Machines: s.ids(), MaxUnavailable: 1})
	orders, list := p.Plan(s, s.now)
	is.Equal(len(orders), 0)
	is.True(!list)
	is.True(!p.HasUnsavedProgress())
}

// TestDrainTimeout checks that a rollout does not wait forever for runs that may be
// terminated, and does wait for runs that may not.
func TestDrainTimeout(t *testing.T) {
	for _, mayTerminate := range []bool{true, false} {
		t.Run(fmt.Sprint("may terminate ", mayTerminate), func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(1)
			s.mayTerminate = mayTerminate
			s.busyUntil["m0-0"] = s.now.Add(time.Hour)
			p := NewPlanner(s.now, nil)
			p.SetWave(Rollout{ID: 1, Machines: s.ids(), MaxUnavailable: 1})
			s.run(p, drainTimeout+10*time.Second, rand.New(rand.NewPCG(1, 3)), faults{})
			is.Equal(completed(p), mayTerminate)
			is.Equal(s.violations, nil)
		})
	}
}
