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

// machine is a simulated machine.
type machine struct {
	Machine
	lives   int
	begun   []int64 // waves whose upkeep has begun
	backAt  time.Time
	removed bool
}

// yard simulates the platform's machines and the hosts' work in virtual time, and
// judges what the planner does.
type yard struct {
	now      time.Time
	machines map[MachineID]*machine
	busyFor  map[host.ID]time.Time // until when work runs on a host
	closed   map[host.ID]bool
	mayEnd   bool
	most     int // machines down for the wave at the same time, at the worst
	wrong    []string
}

const upkeepTakes = 2 * time.Second

func newYard(n int) *yard {
	y := &yard{
		now: time.Unix(1_800_000_000, 0), machines: map[MachineID]*machine{},
		busyFor: map[host.ID]time.Time{}, closed: map[host.ID]bool{},
	}
	for i := range n {
		id := MachineID(fmt.Sprint("m", i))
		y.machines[id] = &machine{Machine: Machine{ID: id, Up: true, Host: host.ID(string(id) + "-0")}}
	}
	return y
}

func (y *yard) ids() []MachineID {
	var out []MachineID
	for id := range y.machines {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (y *yard) Empty(h host.ID) bool {
	y.closed[h] = true
	return !y.now.Before(y.busyFor[h])
}
func (y *yard) MayEnd(host.ID) bool { return y.mayEnd }
func (y *yard) Keep(h host.ID)      { delete(y.closed, h) }
func (y *yard) Load(h host.ID) int  { return int(max(y.busyFor[h].Sub(y.now), 0) / time.Millisecond) }

// list is what the platform shows.
func (y *yard) list() []Machine {
	var out []Machine
	for _, id := range y.ids() {
		m := y.machines[id]
		if m.removed {
			continue
		}
		if m.InUpkeep && !y.now.Before(m.backAt) {
			m.InUpkeep, m.Up = false, true
			m.lives++
			m.Host = host.ID(fmt.Sprintf("%s-%d", id, m.lives))
		}
		out = append(out, m.Machine)
	}
	return out
}

// begin carries an order out.
func (y *yard) begin(o Order) Outcome {
	y.list()
	m := y.machines[o.Machine]
	switch {
	case m == nil || m.removed:
		return NotInWave
	case slices.Contains(m.begun, o.Wave):
		return Begun
	case !m.Up:
		return Busy
	}
	if y.now.Before(y.busyFor[m.Host]) && !y.mayEnd {
		y.wrong = append(y.wrong, fmt.Sprintf("%s goes down while work runs there", o.Machine))
	}
	m.begun = append(m.begun, o.Wave)
	m.Up, m.InUpkeep, m.backAt = false, true, y.now.Add(upkeepTakes)
	downNow := 0
	for _, other := range y.machines {
		if other.InUpkeep && !other.removed {
			downNow++
		}
	}
	y.most = max(y.most, downNow)
	return Begun
}

// faults of the service's answers; shares.
type faults struct{ lost, refused, listLost float64 }

// play drives a planner for a while, and judges what it says to be completed.
func (y *yard) play(p *Planner, d time.Duration, rnd *rand.Rand, f faults) {
	for end := y.now.Add(d); y.now.Before(end); y.now = y.now.Add(100 * time.Millisecond) {
		orders, list := p.Next(y, y.now)
		for _, o := range orders {
			switch {
			case rnd.Float64() < f.refused:
				p.Answered(o, 0, ErrUnsure, y, y.now)
			case rnd.Float64() < f.lost:
				y.begin(o)
				p.Answered(o, 0, ErrUnsure, y, y.now)
			default:
				p.Answered(o, y.begin(o), nil, y, y.now)
			}
		}
		if list {
			var err error
			if rnd.Float64() < f.listLost {
				err = errors.New("no answer")
			}
			p.Listed(y.list(), err, y.now, y.now)
		}
		for _, w := range p.waves {
			if w.completed {
				y.judge(w)
			}
		}
	}
}

func (y *yard) judge(w *wave) {
	for _, id := range w.Machines {
		if m := y.machines[id]; m != nil && !m.removed && !slices.Contains(m.begun, w.ID) {
			y.wrong = append(y.wrong, fmt.Sprintf("wave %d is completed without %s", w.ID, id))
		}
	}
}

func completed(p *Planner) bool { return !p.Active() }

func TestWaves(t *testing.T) {
	tests := map[string]struct {
		faults faults
		strike func(y *yard)
	}{
		"calm":              {},
		"answers lost":      {faults: faults{lost: 0.4}},
		"refused":           {faults: faults{refused: 0.5}},
		"lists lost":        {faults: faults{listLost: 0.7}},
		"everything":        {faults: faults{lost: 0.3, refused: 0.3, listLost: 0.4}},
		"a machine leaves":  {strike: func(y *yard) { y.machines["m3"].removed = true }},
		"a host dies":       {strike: func(y *yard) { m := y.machines["m2"]; m.lives++; m.Host = "m2-again" }},
		"a machine is down": {strike: func(y *yard) { y.machines["m4"].Up = false }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				is := is.New(t)
				rnd := rand.New(rand.NewPCG(seed, 3))
				y := newYard(8)
				for _, m := range y.machines {
					y.busyFor[m.Host] = y.now.Add(time.Duration(rnd.IntN(6000)) * time.Millisecond)
				}
				p := NewPlanner(y.now, nil)
				p.SetWave(Wave{ID: 7, Machines: y.ids(), AtOnce: 2})
				y.play(p, 4*time.Second, rnd, tc.faults)
				if tc.strike != nil {
					tc.strike(y)
				}
				y.play(p, 20*time.Second, rnd, tc.faults)
				y.machines["m4"].Up = !y.machines["m4"].InUpkeep // whatever was down comes back
				y.play(p, 160*time.Second, rnd, tc.faults)
				is.Equal(y.wrong, nil)
				is.True(y.most <= 2)
				is.True(completed(p))
				is.Equal(len(y.closed), 0) // every host may take work again
			}
		})
	}
}

// TestNextHolderGoesOn: what a former holder has begun is neither done again nor
// forgotten, whether it was kept or not.
func TestNextHolderGoesOn(t *testing.T) {
	for _, kept := range []bool{true, false} {
		t.Run(fmt.Sprint("kept ", kept), func(t *testing.T) {
			is := is.New(t)
			rnd := rand.New(rand.NewPCG(1, 3))
			y := newYard(6)
			p := NewPlanner(y.now, nil)
			w := Wave{ID: 7, Machines: y.ids(), AtOnce: 2}
			p.SetWave(w)
			y.play(p, 3*time.Second, rnd, faults{})
			var stored []Progress
			if kept {
				stored = p.Changed()
			}
			next := NewPlanner(y.now.Add(6*time.Second), stored)
			next.SetWave(w)
			before := y.most
			y.play(next, 5*time.Second, rnd, faults{})
			is.Equal(y.most, before) // no order before its time
			y.play(next, 60*time.Second, rnd, faults{})
			is.True(completed(next))
			is.Equal(y.wrong, nil)
			is.True(y.most <= 2)
			for _, m := range y.machines {
				is.Equal(len(m.begun), 1)
			}
		})
	}
}

func TestCompletedWaveStaysSo(t *testing.T) {
	is := is.New(t)
	y := newYard(2)
	p := NewPlanner(y.now, []Progress{{Wave: 7, Begun: y.ids(), Completed: true}})
	p.SetWave(Wave{ID: 7, Machines: y.ids(), AtOnce: 1})
	orders, list := p.Next(y, y.now)
	is.Equal(len(orders), 0)
	is.True(!list)
	is.True(!p.Behind())
}

// TestPatienceEnds: work that may be ended does not hold a wave up for ever, and
// work that may not does.
func TestPatienceEnds(t *testing.T) {
	for _, mayEnd := range []bool{true, false} {
		t.Run(fmt.Sprint("may end ", mayEnd), func(t *testing.T) {
			is := is.New(t)
			y := newYard(1)
			y.mayEnd = mayEnd
			y.busyFor["m0-0"] = y.now.Add(time.Hour)
			p := NewPlanner(y.now, nil)
			p.SetWave(Wave{ID: 1, Machines: y.ids(), AtOnce: 1})
			y.play(p, patience+10*time.Second, rand.New(rand.NewPCG(1, 3)), faults{})
			is.Equal(completed(p), mayEnd)
			is.Equal(y.wrong, nil)
		})
	}
}
