package job

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker/workersim"
)

// action is one kind of step of a random run.
type action int

const (
	actSubmit action = iota
	actCancel
	actChange
	actKill
	actPause
	actHandOver
	actStoreFault
	actPeerFault
	actWorkerFault
	actHeal
	actSleep
	actions
)

var actionNames = [...]string{"submit", "cancel", "change", "kill", "pause", "hand-over", "store-fault", "peer-fault", "worker-fault", "heal", "sleep"}

// step is one step with the numbers that decide its details.
type step struct {
	do      action
	a, b, c int
}

func (s step) String() string { return fmt.Sprintf("%s(%d,%d,%d)", actionNames[s.do], s.a, s.b, s.c) }

// world drives a cell through steps and knows what was promised.
type world struct {
	*cell
	names    []string
	accepted map[string]spec.Job // told as accepted
	maybe    map[string]spec.Job // told as unknown
	ended    map[string]bool     // told as cancelled
	// lossy is true once a worker or the way to it was disturbed: then a run's
	// end may be lost with it, and the task runs again.
	lossy bool
}

// randomQuota bounds each team of a random run.
const randomQuota = 16000

func newWorld(t *testing.T) *world {
	w := &world{
		cell: newCell(t, 2), names: []string{"a", "b", "c"},
		accepted: map[string]spec.Job{}, maybe: map[string]spec.Job{}, ended: map[string]bool{},
	}
	w.setBranch(testBranch, func(v *settings.Values) { v.Quota.MilliCPU = randomQuota })
	a, b := w.start("a"), w.start("b")
	w.start("c")
	a.take(0, 1)
	b.take(2, 3)
	time.Sleep(time.Second)
	return w
}

// holder returns the live process that holds a partition, or nil.
func (w *world) holder(id int) *placer {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.placer[w.table.Partitions[id].Holder]
	if p == nil || p.life != w.table.Partitions[id].Incarnation {
		return nil
	}
	return p
}

// live returns the n-th process.
func (w *world) live(n int) *placer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.placer[w.names[n%len(w.names)]]
}

// calm steps disturb nothing.
func (s step) calm() bool {
	return s.do == actSubmit || s.do == actCancel || s.do == actChange || s.do == actSleep
}

// do makes one step.
func (w *world) do(s step) {
	if !s.calm() {
		w.judge.GangGrace = 5 * time.Minute // a broken gang lasts as long as takeovers do
	}
	w.lossy = w.lossy || s.do == actWorkerFault
	switch s.do {
	case actSubmit:
		w.submitSome(s)
	case actCancel:
		w.cancelSome(s)
	case actChange:
		w.changeSome(s)
	case actKill:
		w.replace(s, func(p *placer) { p.kill() })
	case actPause:
		w.pause(s)
	case actHandOver:
		w.handOver(s)
	case actStoreFault:
		faults := []memstore.Faults{{Refuse: true}, {Hang: true}, {LoseAnswers: s.b%4 + 1}, {LoseRequests: s.b%4 + 1}, {RequestDelayMS: int64(s.b%6) * 700}}
		w.live(s.c).store.SetFaults(faults[s.a%len(faults)])
	case actPeerFault:
		kinds := []peer.Kind{peer.KindPlace, peer.KindTaskNews, peer.KindStopTasks, peer.KindInventory, peer.KindGangHold, peer.KindGangEnd}
		w.fail(&peerFault{kind: kinds[s.a%len(kinds)], times: s.b%4 + 1, after: s.c%2 == 0})
	case actWorkerFault:
		faults := []workersim.Faults{{Unreachable: true}, {LoseAnswers: 2}, {Slow: 300 * time.Millisecond}}
		hosts := w.Hosts()
		sim := w.sim.Worker(hosts[s.b%len(hosts)].Addr)
		if s.a%4 == 3 {
			sim.Restart()
			return
		}
		sim.SetFaults(faults[s.a%4])
	case actHeal:
		w.healAll()
	case actSleep:
		time.Sleep(time.Duration(s.a%40+1) * time.Duration(s.b%10+1) * 50 * time.Millisecond)
	}
}

func (w *world) submitSome(s step) {
	p := w.holder(s.a % testPartitions)
	if p == nil {
		return
	}
	var j spec.Job
	switch s.c % 3 {
	case 0:
		j = batch(s.a%testPartitions, s.b%20+1, time.Duration(s.c%13+1)*time.Second)
	case 1:
		j = gangJob(w.cell, s.a%testPartitions, s.b%12+2, time.Duration(s.c%13+1)*time.Second)
	default:
		j = service(s.a%testPartitions, s.b%4+1)
	}
	_, err := p.submit(j)
	w.told(j, err)
}

// told notes what a submitter was told.
func (w *world) told(j spec.Job, err error) {
	if err == nil {
		w.accepted[j.ID] = j
	} else if result.From(err).Ran != result.RanNo {
		w.maybe[j.ID] = j
	}
}

// some returns the n-th accepted job in order of identifiers.
func (w *world) some(n int) (spec.Job, bool) {
	ids := sortedKeys(w.accepted)
	if len(ids) == 0 {
		return spec.Job{}, false
	}
	return w.accepted[ids[n%len(ids)]], true
}

func (w *world) cancelSome(s step) {
	j, ok := w.some(s.a)
	if !ok {
		return
	}
	if p := w.holderOf(j); p != nil {
		if st, err := p.cancelJob(j.ID); err == nil && st.Recorded {
			w.ended[j.ID] = true
		}
	}
}

func (w *world) changeSome(s step) {
	j, ok := w.some(s.a)
	if !ok || j.Kind != spec.KindService || w.ended[j.ID] {
		return
	}
	j.Tasks = s.b%4 + 1
	j.Task.Command = fmt.Sprint(s.c)
	if p := w.holderOf(j); p != nil {
		if _, err := p.update(j, 0); err == nil {
			w.accepted[j.ID] = j
		} else {
			delete(w.accepted, j.ID) // which of the two is in force is not known
			w.maybe[j.ID] = j
		}
	}
}

// holderOf returns the process that is the job's home.
func (w *world) holderOf(j spec.Job) *placer {
	for id := range testPartitions {
		if teamOf(id) == j.Team {
			return w.holder(id)
		}
	}
	return nil
}

// replace ends a process in some way; the others take its partitions over, and
// a new process of its name starts.
func (w *world) replace(s step, end func(*placer)) {
	p := w.live(s.a)
	held := w.heldBy(p)
	end(p)
	time.Sleep(time.Duration(s.b%30) * 100 * time.Millisecond)
	w.start(p.name)
	for i, id := range held {
		w.live(s.c + i).take(id)
	}
}

func (w *world) heldBy(p *placer) []int {
	var held []int
	for id := range testPartitions {
		if w.holder(id) == p {
			held = append(held, id)
		}
	}
	return held
}

// pause lets a process stand still: its right lapses, its messages are held
// back, others take its partitions, and then it goes on for a while before it
// is replaced.
func (w *world) pause(s step) {
	w.replace(s, func(p *placer) {
		gate := make(chan struct{})
		f := &peerFault{from: p.name, times: -1, hold: gate}
		w.fail(f)
		p.store.SetFaults(memstore.Faults{RequestDelayMS: 1500})
		late := make(chan error, 1)
		j := batch(s.a%testPartitions, s.b%20+1, time.Second)
		go func() { // a submission that meets the pause
			_, err := p.submit(j)
			late <- err
		}()
		time.Sleep(time.Duration(s.c%20) * 100 * time.Millisecond)
		p.right.lapse()
		for i, id := range w.heldBy(p) {
			if next := w.live(s.a + 1 + i%2); next != p {
				next.take(id)
			}
		}
		time.Sleep(time.Duration(s.b%20) * time.Second)
		w.mu.Lock()
		f.times, f.hold = 0, nil
		w.mu.Unlock()
		close(gate)
		w.told(j, <-late)
		time.Sleep(time.Second)
		p.store.SetFaults(memstore.Faults{})
		p.kill()
	})
}

// handOver moves one partition in order.
func (w *world) handOver(s step) {
	id := s.a % testPartitions
	from, to := w.holder(id), w.live(s.b)
	if from == nil || from == to {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, jobsErr := from.jobs.Release(ctx, id)
	state, fleetErr := from.fleet.Release(ctx, id)
	from.right.drop(id)
	t := w.claim(to, id)
	t.SignedOff = jobsErr == nil && fleetErr == nil
	t.State = state
	w.is.NoErr(to.fleet.Acquire(context.Background(), t))
	t.State = nil
	w.is.NoErr(to.jobs.Acquire(context.Background(), t))
}

// drop ends the right to one partition.
func (r *rights) drop(id int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.epochs, id)
}

func (w *world) healAll() {
	w.heal()
	w.engine.SetFaults(memstore.Faults{})
	for i := range w.names {
		w.live(i).store.SetFaults(memstore.Faults{})
	}
	for _, h := range w.Hosts() {
		w.sim.Worker(h.Addr).SetFaults(workersim.Faults{})
	}
}
