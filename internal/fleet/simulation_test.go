package fleet

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"pulleyquay/internal/hold"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
	"pulleyquay/internal/worker"
)

// op is a kind of event in a simulated cell.
type op int

const (
	opNothing op = iota
	opFailover
	opHandover
	opKill
	opPause
	opResume
	opDisconnect
	opDropReplies
	opSlow
	opHeal
	opRestartWorker
	opUnlist
	opRelist
	opHomeFailover
	opStaleHome
	opHomeUnavailable
	opHomeAvailable
	opDropOld
	opDisconnectNext
	opDropNextReplies
	opDelegate
	opDelegateForLive
	opUrgent
	opGang
	opFailedHandover
	opCount
)

var opNames = [...]string{
	"nothing", "failover", "handover", "kill", "pause", "resume", "disconnect", "drop-replies", "slow", "heal",
	"restart-worker", "unlist", "relist", "home-failover", "stale-home", "home-unavailable", "home-available", "drop-old",
	"disconnect-next", "drop-next-replies", "delegate", "delegate-for-live", "urgent", "gang", "failed-handover",
}

// action is an op with the worker it applies to and the delay after it.
type action struct {
	Op     op
	Worker int
	Wait   time.Duration
}

func (a action) String() string {
	return fmt.Sprintf("%s w%d, %v", opNames[a.Op], a.Worker, a.Wait)
}

// fault is a defect injected into every member, to check that it is detected.
type fault struct {
	config  func(*Config)
	fleet   func(*Fleet)
	corrupt func(*worker.Order)
	// neverExpires disables the check of the authority.
	neverExpires bool
}

// simulation runs actions on a cell of three workers.
type simulation struct {
	b          *testbed
	workload   *driver
	fault      fault
	members    int
	epoch      uint64
	holder     *member
	old        []*member
	storeDown  atomic.Bool
	jobs       int // number of jobs besides the driver's
	violations []string
}

const (
	simWorkers = 3
	simTasks   = 8 // twelve would fit
)

func newSimulation(b *testbed, f fault) *simulation {
	s := &simulation{b: b, fault: f, workload: newDriver(b, simTasks)}
	return s
}

// join starts a member and makes it the holder.
func (s *simulation) join(edit func(*hold.Acquisition)) {
	s.members++
	s.epoch++
	g := &pausableClient{corrupt: s.fault.corrupt}
	name := fmt.Sprintf("m%d", s.members)
	m := s.b.member(name, func(c *Config) {
		g.Client, c.Client, c.StoreUp = c.Client, g, func() bool { return !s.storeDown.Load() }
		if s.fault.config != nil {
			s.fault.config(c)
		}
	})
	if s.fault.fleet != nil {
		s.fault.fleet(m.Fleet)
	}
	m.pausableClient, m.epoch = g, s.epoch
	m.authority.neverExpires = s.fault.neverExpires
	m.accept(s.epoch, edit)
	s.holder = m
	s.workload.mu.Lock()
	s.workload.holder = m
	s.workload.mu.Unlock()
}

// failover makes another member the holder, after the previous authority has expired.
func (s *simulation) failover() {
	old := s.holder
	until := old.authority.revoke()
	if wait := time.Until(until); wait > 0 {
		time.Sleep(wait + time.Millisecond)
	}
	s.old = append(s.old, old)
	s.join(nil)
}

func (s *simulation) handover() {
	old := s.holder
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	state, err := old.Release(ctx, s.b.rackPartition())
	if err != nil {
		s.failover()
		return
	}
	old.authority.revoke()
	s.old = append(s.old, old)
	s.join(func(t *hold.Acquisition) { t.HandedOver, t.State = true, state })
}

// failedHandover is a handover that fails: the holder continues under its epoch.
func (s *simulation) failedHandover() {
	p := s.b.rackPartition()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	state, err := s.holder.Release(ctx, p)
	time.Sleep(2 * time.Second)
	t := hold.Acquisition{Grant: hold.Grant{Partition: p, Epoch: s.holder.epoch}, HandedOver: err == nil, State: state}
	s.b.is.NoErr(s.holder.Acquire(context.Background(), t))
}

// kill ends the holder without a handover; another one follows when its authority has
// expired. Calls in flight are cancelled, but what was sent may still arrive. If outage
// is not zero, a delegate renews for that long before the next holder can follow.
func (s *simulation) kill(outage time.Duration) {
	old := s.holder
	until := old.authority.revoke()
	s.workload.mu.Lock()
	s.workload.holder = nil // a dead holder does not answer
	s.workload.mu.Unlock()
	old.pausableClient.resume()
	old.stop()
	if outage > 0 {
		s.storeDown.Store(true)
		until = s.runDelegate(old, outage).revoke()
		s.storeDown.Store(false)
	}
	if wait := time.Until(until); wait > 0 {
		time.Sleep(wait + time.Millisecond)
	}
	s.join(nil)
}

// delegateForLiveHolder makes a delegate renew in an outage for a holder that is alive
// and has its authority, but whose heartbeats do not reach the delegate.
func (s *simulation) delegateForLiveHolder() {
	s.storeDown.Store(true)
	time.Sleep(2 * minOutage)
	authority := s.runDelegate(s.holder, 20*time.Second)
	s.storeDown.Store(false)
	time.Sleep(delegateTerm / 4)
	authority.revoke()
}

// runDelegate starts a delegate that renews for a holder, and waits for outage. The
// caller revokes its authority, of which the delegate is not notified.
func (s *simulation) runDelegate(dead *member, outage time.Duration) fakeDelegateAuthority {
	s.members++
	g := &pausableClient{corrupt: s.fault.corrupt}
	p := s.b.rackPartition()
	authority := fakeDelegateAuthority{&fakeAuthority{epochs: map[int]uint64{p: dead.epoch}, neverExpires: s.fault.neverExpires}}
	d := s.b.member(fmt.Sprintf("m%d", s.members), func(c *Config) {
		g.Client, c.Client, c.Delegations = c.Client, g, authority
	})
	d.pausableClient = g
	d.SetRenewals([]view.Partition{{ID: p, Holder: dead.cfg.Name, Epoch: dead.epoch}})
	s.old = append(s.old, d)
	time.Sleep(outage)
	return authority
}

func (s *simulation) do(a action) {
	w := fmt.Sprintf("w%d", a.Worker)
	switch a.Op {
	case opFailover:
		s.failover()
	case opHandover:
		s.handover()
	case opKill:
		s.kill(0)
	case opDelegate:
		s.kill(20 * time.Second)
	case opFailedHandover:
		s.failedHandover()
	case opUrgent:
		s.urgent()
	case opGang:
		s.gang()
	case opDelegateForLive:
		s.delegateForLiveHolder()
	case opPause:
		s.holder.pausableClient.pause()
	case opResume:
		s.resumeAll()
	case opRestartWorker:
		s.b.sim.Worker(w).Restart()
	case opHomeFailover:
		s.homeFailover()
	case opStaleHome:
		s.staleHome(a.Worker)
	case opHomeUnavailable, opHomeAvailable:
		s.workload.mu.Lock()
		s.workload.unavailable = a.Op == opHomeUnavailable
		s.workload.mu.Unlock()
	case opDropOld:
		for _, m := range s.old {
			m.Drop(s.b.rackPartition())
		}
	default:
		s.network(a.Op, w)
	}
	time.Sleep(a.Wait)
}

func (s *simulation) resumeAll() {
	s.holder.pausableClient.resume()
	for _, m := range s.old {
		m.pausableClient.resume()
	}
}

// homeFailover starts a job owner with a new epoch, which reconciles before it starts anything.
func (s *simulation) homeFailover() {
	s.workload.mu.Lock()
	defer s.workload.mu.Unlock()
	s.workload.epoch++
	s.workload.reconciled = 0
	s.b.setEpoch(homePartition, s.workload.epoch)
}

// staleHome sends a request of a replaced job owner for a second run of a task.
func (s *simulation) staleHome(task int) {
	s.workload.mu.Lock()
	epoch := s.workload.epoch - 1
	s.workload.mu.Unlock()
	if epoch == 0 {
		return
	}
	_, err := s.holder.place(context.Background(), taskmsg.PlaceRequest{
		Home: taskmsg.Home{Partition: homePartition, Epoch: epoch}, Shape: shapeOf(driverJob, 2000, 0),
		Slots: []taskmsg.Slot{{Index: task, Attempt: 1000}},
	})
	if result.CodeOf(err) != result.HomeFenced {
		s.violations = append(s.violations, fmt.Sprintf("request of a replaced home was accepted: %v", err))
	}
}

// urgent requests short urgent tasks that need more than the free capacity, in the
// background. Whether they start depends on the faults.
func (s *simulation) urgent() {
	s.jobs++
	m, req := s.holder, urgentRequest(fmt.Sprintf("urgent-%d", s.jobs), 3)
	req.Home.Epoch = s.homeEpoch()
	req.Shape.Task.Size, req.Shape.Task.RunMillis = testSize, 3000
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, _ = m.place(ctx, req)
	}()
}

// gang reserves capacity for four short tasks and starts them a second later.
func (s *simulation) gang() {
	s.jobs++
	m, home := s.holder, taskmsg.Home{Partition: homePartition, Epoch: s.homeEpoch()}
	req := taskmsg.GangReserveRequest{Home: home, Shape: gangShape(fmt.Sprintf("gang-%d", s.jobs)), ReservationMS: 3000}
	req.Shape.Kind = spec.KindBatch // one holder's part only, which the checker can't check as a whole gang
	req.Shape.Task.RunMillis = 3000
	for i := range 4 {
		req.Slots = append(req.Slots, taskmsg.Slot{Index: i, Attempt: 1})
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if _, err := m.holdGang(ctx, req); err != nil {
			return
		}
		time.Sleep(time.Second)
		_, _ = m.endGang(ctx, taskmsg.GangFinishRequest{Home: home, Job: req.Shape.Job, Start: true})
	}()
}

func (s *simulation) homeEpoch() uint64 {
	s.workload.mu.Lock()
	defer s.workload.mu.Unlock()
	return s.workload.epoch
}

// unlisted returns the host list without the named worker.
func unlisted(hosts []platform.Host, name string) []platform.Host {
	var out []platform.Host
	for _, h := range hosts {
		if h.Name != name {
			out = append(out, h)
		}
	}
	return out
}
