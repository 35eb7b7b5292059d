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

// action is a kind of step of a random run.
type action int

const (
	actSubmit action = iota
	actCancel
	actChange
	actKill
	actPause
	actHandover
	actStoreFault
	actPeerFault
	actWorkerFault
	actClearFaults
	actSleep
	actions
)

var actionNames = [...]string{"submit", "cancel", "change", "kill", "pause", "hand-over", "store-fault", "peer-fault", "worker-fault", "heal", "sleep"}

// step is one step with the numbers that determine its details.
type step struct {
	do      action
	a, b, c int
}

func (s step) String() string { return fmt.Sprintf("%s(%d,%d,%d)", actionNames[s.do], s.a, s.b, s.c) }

// simulation applies steps to a cell and records the replies to submitters.
type simulation struct {
	*cell
	names     []string
	accepted  map[string]spec.Job // reply: accepted
	uncertain map[string]spec.Job // reply: outcome unknown
	cancelled map[string]bool     // reply: cancelled
	// disturbed is true once a host or the link to it had a fault. The end of a run may then be
	// lost, and the task runs again.
	disturbed bool
}

// randomQuota bounds the CPU of each team in a random run, in thousandths of a CPU (MilliCPU).
const randomQuota = 16000

func newSimulation(t *testing.T) *simulation {
	sn := &simulation{
		cell: newCell(t, 2), names: []string{"a", "b", "c"},
		accepted: map[string]spec.Job{}, uncertain: map[string]spec.Job{}, cancelled: map[string]bool{},
	}
	sn.setBranch(testBranch, func(v *settings.Values) { v.Quota.MilliCPU = randomQuota })
	a, b := sn.start("a"), sn.start("b")
	sn.start("c")
	a.acquire(0, 1)
	b.acquire(2, 3)
	time.Sleep(time.Second)
	return sn
}

// holder returns the living process that holds a partition, or nil.
func (sn *simulation) holder(id int) *placer {
	sn.mu.Lock()
	defer sn.mu.Unlock()
	p := sn.placer[sn.table.Partitions[id].Holder]
	if p == nil || p.incarnation != sn.table.Partitions[id].Incarnation {
		return nil
	}
	return p
}

// live returns the n-th process.
func (sn *simulation) live(n int) *placer {
	sn.mu.Lock()
	defer sn.mu.Unlock()
	return sn.placer[sn.names[n%len(sn.names)]]
}

// harmless reports whether the step injects no fault and moves no partition.
func (s step) harmless() bool {
	return s.do == actSubmit || s.do == actCancel || s.do == actChange || s.do == actSleep
}

// do carries out one step.
func (sn *simulation) do(s step) {
	if !s.harmless() {
		sn.checker.GangGrace = 5 * time.Minute // a partial gang can last as long as failovers do
	}
	sn.disturbed = sn.disturbed || s.do == actWorkerFault
	switch s.do {
	case actSubmit:
		sn.submitAny(s)
	case actCancel:
		sn.cancelAny(s)
	case actChange:
		sn.changeAny(s)
	case actKill:
		sn.replaceProcess(s, func(p *placer) { p.kill() })
	case actPause:
		sn.pause(s)
	case actHandover:
		sn.handover(s)
	case actStoreFault:
		faults := []memstore.Faults{{Refuse: true}, {Hang: true}, {LoseAnswers: s.b%4 + 1}, {LoseRequests: s.b%4 + 1}, {RequestDelayMS: int64(s.b%6) * 700}}
		sn.live(s.c).store.SetFaults(faults[s.a%len(faults)])
	case actPeerFault:
		kinds := []peer.Kind{peer.KindPlace, peer.KindTaskUpdates, peer.KindStopTasks, peer.KindInventory, peer.KindGangReserve, peer.KindGangEnd}
		sn.addFault(&peerFault{kind: kinds[s.a%len(kinds)], times: s.b%4 + 1, after: s.c%2 == 0})
	case actWorkerFault:
		faults := []workersim.Faults{{Unreachable: true}, {LoseAnswers: 2}, {Delay: 300 * time.Millisecond}}
		hosts := sn.Hosts()
		sim := sn.sim.Worker(hosts[s.b%len(hosts)].Addr)
		if s.a%4 == 3 {
			sim.Restart()
			return
		}
		sim.SetFaults(faults[s.a%4])
	case actClearFaults:
		sn.clearAllFaults()
	case actSleep:
		time.Sleep(time.Duration(s.a%40+1) * time.Duration(s.b%10+1) * 50 * time.Millisecond)
	}
}

func (sn *simulation) submitAny(s step) {
	p := sn.holder(s.a % testPartitions)
	if p == nil {
		return
	}
	var j spec.Job
	switch s.c % 3 {
	case 0:
		j = batch(s.a%testPartitions, s.b%20+1, time.Duration(s.c%13+1)*time.Second)
	case 1:
		j = gangJob(sn.cell, s.a%testPartitions, s.b%12+2, time.Duration(s.c%13+1)*time.Second)
	default:
		j = service(s.a%testPartitions, s.b%4+1)
	}
	_, err := p.submit(j)
	sn.recordSubmit(j, err)
}

// recordSubmit records the reply to a submission.
func (sn *simulation) recordSubmit(j spec.Job, err error) {
	if err == nil {
		sn.accepted[j.ID] = j
	} else if result.From(err).Ran != result.RanNo {
		sn.uncertain[j.ID] = j
	}
}

// pickAccepted returns the n-th accepted job in order of identifiers.
func (sn *simulation) pickAccepted(n int) (spec.Job, bool) {
	ids := sortedKeys(sn.accepted)
	if len(ids) == 0 {
		return spec.Job{}, false
	}
	return sn.accepted[ids[n%len(ids)]], true
}

func (sn *simulation) cancelAny(s step) {
	j, ok := sn.pickAccepted(s.a)
	if !ok {
		return
	}
	if p := sn.holderOf(j); p != nil {
		if st, err := p.cancelJob(j.ID); err == nil && st.Recorded {
			sn.cancelled[j.ID] = true
		}
	}
}

func (sn *simulation) changeAny(s step) {
	j, ok := sn.pickAccepted(s.a)
	if !ok || j.Kind != spec.KindService || sn.cancelled[j.ID] {
		return
	}
	j.Tasks = s.b%4 + 1
	j.Task.Command = fmt.Sprint(s.c)
	if p := sn.holderOf(j); p != nil {
		if _, err := p.update(j, 0); err == nil {
			sn.accepted[j.ID] = j
		} else {
			delete(sn.accepted, j.ID) // either of the two specifications may be in force
			sn.uncertain[j.ID] = j
		}
	}
}

// holderOf returns the process that owns the job.
func (sn *simulation) holderOf(j spec.Job) *placer {
	for id := range testPartitions {
		if teamOf(id) == j.Team {
			return sn.holder(id)
		}
	}
	return nil
}

// replaceProcess ends a process in the given way. Other processes acquire its partitions, and a new
// process of the same name starts.
func (sn *simulation) replaceProcess(s step, end func(*placer)) {
	p := sn.live(s.a)
	held := sn.heldBy(p)
	end(p)
	time.Sleep(time.Duration(s.b%30) * 100 * time.Millisecond)
	sn.start(p.name)
	for i, id := range held {
		sn.live(s.c + i).acquire(id)
	}
}

func (sn *simulation) heldBy(p *placer) []int {
	var held []int
	for id := range testPartitions {
		if sn.holder(id) == p {
			held = append(held, id)
		}
	}
	return held
}

// pause suspends a process: its authority expires, its messages are blocked and other processes
// acquire its partitions. Then it resumes for a while before it is replaced.
func (sn *simulation) pause(s step) {
	sn.replaceProcess(s, func(p *placer) {
		gate := make(chan struct{})
		f := &peerFault{from: p.name, times: -1, blockUntil: gate}
		sn.addFault(f)
		p.store.SetFaults(memstore.Faults{RequestDelayMS: 1500})
		late := make(chan error, 1)
		j := batch(s.a%testPartitions, s.b%20+1, time.Second)
		go func() { // a submission in flight during the pause
			_, err := p.submit(j)
			late <- err
		}()
		time.Sleep(time.Duration(s.c%20) * 100 * time.Millisecond)
		p.authority.expire()
		for i, id := range sn.heldBy(p) {
			if next := sn.live(s.a + 1 + i%2); next != p {
				next.acquire(id)
			}
		}
		time.Sleep(time.Duration(s.b%20) * time.Second)
		sn.mu.Lock()
		f.times, f.blockUntil = 0, nil
		sn.mu.Unlock()
		close(gate)
		sn.recordSubmit(j, <-late)
		time.Sleep(time.Second)
		p.store.SetFaults(memstore.Faults{})
		p.kill()
	})
}

// handover moves one partition in a planned handover.
func (sn *simulation) handover(s step) {
	id := s.a % testPartitions
	from, to := sn.holder(id), sn.live(s.b)
	if from == nil || from == to {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, jobsErr := from.jobs.Release(ctx, id)
	state, fleetErr := from.fleet.Release(ctx, id)
	from.authority.revoke(id)
	t := sn.claim(to, id)
	t.HandedOver = jobsErr == nil && fleetErr == nil
	t.State = state
	sn.is.NoErr(to.fleet.Acquire(context.Background(), t))
	t.State = nil
	sn.is.NoErr(to.jobs.Acquire(context.Background(), t))
}

// revoke ends the authority for one partition.
func (r *fakeAuthority) revoke(id int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.epochs, id)
}

func (sn *simulation) clearAllFaults() {
	sn.clearFaults()
	sn.engine.SetFaults(memstore.Faults{})
	for i := range sn.names {
		sn.live(i).store.SetFaults(memstore.Faults{})
	}
	for _, h := range sn.Hosts() {
		sn.sim.Worker(h.Addr).SetFaults(workersim.Faults{})
	}
}
