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

// op is one thing that happens to a cell under test.
type op int

const (
	opNothing op = iota
	opTakeover
	opHandOver
	opKill
	opPause
	opResume
	opCut
	opCutAnswers
	opSlow
	opHeal
	opRestartWorker
	opUnlist
	opRelist
	opHomeTakeover
	opStaleHome
	opDeaf
	opHearing
	opDropOld
	opCutNext
	opCutNextAnswers
	opDeputy
	opDeputyOfLive
	opUrgent
	opGang
	opGiveBack
	opCount
)

var opNames = [...]string{
	"nothing", "takeover", "hand-over", "kill", "pause", "resume", "cut", "cut-answers", "slow", "heal",
	"restart-worker", "unlist", "relist", "home-takeover", "stale-home", "deaf", "hearing", "drop-old",
	"cut-next", "cut-next-answers", "deputy", "deputy-of-live", "urgent", "gang", "give-back",
}

// action is an op with the worker it is about, and the time that passes after it.
type action struct {
	Op     op
	Worker int
	Wait   time.Duration
}

func (a action) String() string {
	return fmt.Sprintf("%s w%d, %v", opNames[a.Op], a.Worker, a.Wait)
}

// fault is a mistake planted into every member, to see that it is caught.
type fault struct {
	config func(*Config)
	fleet  func(*Fleet)
	spoil  func(*worker.Order)
	// eternal leaves the check of the right out.
	eternal bool
}

// trial runs actions on a cell of three workers.
type trial struct {
	b        *bench
	d        *driver
	fault    fault
	members  int
	epoch    uint64
	holder   *member
	old      []*member
	down     atomic.Bool // the store
	jobs     int         // besides the driver's
	breaches []string
}

const (
	trialWorkers = 3
	trialTasks   = 8 // of twelve that fit
)

func newTrial(b *bench, f fault) *trial {
	tr := &trial{b: b, fault: f, d: newDriver(b, trialTasks)}
	return tr
}

// join makes a member that is the holder from now on.
func (tr *trial) join(edit func(*hold.Takeover)) {
	tr.members++
	tr.epoch++
	g := &gate{spoil: tr.fault.spoil}
	name := fmt.Sprintf("m%d", tr.members)
	m := tr.b.member(name, func(c *Config) {
		g.Client, c.Client, c.StoreUp = c.Client, g, func() bool { return !tr.down.Load() }
		if tr.fault.config != nil {
			tr.fault.config(c)
		}
	})
	if tr.fault.fleet != nil {
		tr.fault.fleet(m.Fleet)
	}
	m.gate, m.epoch = g, tr.epoch
	m.right.eternal = tr.fault.eternal
	m.take(tr.epoch, edit)
	tr.holder = m
	tr.d.mu.Lock()
	tr.d.holder = m
	tr.d.mu.Unlock()
}

// takeover lets another member claim, after the old right has run out.
func (tr *trial) takeover() {
	old := tr.holder
	until := old.right.revoke()
	if wait := time.Until(until); wait > 0 {
		time.Sleep(wait + time.Millisecond)
	}
	tr.old = append(tr.old, old)
	tr.join(nil)
}

func (tr *trial) handOver() {
	old := tr.holder
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	state, err := old.Release(ctx, tr.b.rackPartition())
	if err != nil {
		tr.takeover()
		return
	}
	old.right.revoke()
	tr.old = append(tr.old, old)
	tr.join(func(t *hold.Takeover) { t.SignedOff, t.State = true, state })
}

// giveBack is a hand-over that fails: the holder goes on under its epoch.
func (tr *trial) giveBack() {
	p := tr.b.rackPartition()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	state, err := tr.holder.Release(ctx, p)
	time.Sleep(2 * time.Second)
	t := hold.Takeover{Grant: hold.Grant{Partition: p, Epoch: tr.holder.epoch}, SignedOff: err == nil, State: state}
	tr.b.is.NoErr(tr.holder.Acquire(context.Background(), t))
}

// kill ends the holder without a word, and lets another claim in time. Calls
// that it had begun are cut short, though what was sent stays sent. If outage
// is not zero a deputy renews for that long before anyone can claim.
func (tr *trial) kill(outage time.Duration) {
	old := tr.holder
	until := old.right.revoke()
	tr.d.mu.Lock()
	tr.d.holder = nil // the dead do not answer
	tr.d.mu.Unlock()
	old.gate.resume()
	old.stop()
	if outage > 0 {
		tr.down.Store(true)
		until = tr.deputy(old, outage).revoke()
		tr.down.Store(false)
	}
	if wait := time.Until(until); wait > 0 {
		time.Sleep(wait + time.Millisecond)
	}
	tr.join(nil)
}

// deputyOfLive lets a deputy renew in an outage for a holder that lives and
// holds its right, but is not heard by the deputy.
func (tr *trial) deputyOfLive() {
	tr.down.Store(true)
	time.Sleep(2 * outageMin)
	cover := tr.deputy(tr.holder, 20*time.Second)
	tr.down.Store(false)
	time.Sleep(coverTerm / 4)
	cover.revoke()
}

// deputy renews for a holder for a while. The caller ends its right, which it
// is not told.
func (tr *trial) deputy(dead *member, outage time.Duration) covers {
	tr.members++
	g := &gate{spoil: tr.fault.spoil}
	p := tr.b.rackPartition()
	cover := covers{&rights{epochs: map[int]uint64{p: dead.epoch}, eternal: tr.fault.eternal}}
	d := tr.b.member(fmt.Sprintf("m%d", tr.members), func(c *Config) {
		g.Client, c.Client, c.Covers = c.Client, g, cover
	})
	d.gate = g
	d.Cover([]view.Partition{{ID: p, Holder: dead.cfg.Name, Epoch: dead.epoch}})
	tr.old = append(tr.old, d)
	time.Sleep(outage)
	return cover
}

func (tr *trial) do(a action) {
	w := fmt.Sprintf("w%d", a.Worker)
	switch a.Op {
	case opTakeover:
		tr.takeover()
	case opHandOver:
		tr.handOver()
	case opKill:
		tr.kill(0)
	case opDeputy:
		tr.kill(20 * time.Second)
	case opGiveBack:
		tr.giveBack()
	case opUrgent:
		tr.urgent()
	case opGang:
		tr.gang()
	case opDeputyOfLive:
		tr.deputyOfLive()
	case opPause:
		tr.holder.gate.pause()
	case opResume:
		tr.resumeAll()
	case opRestartWorker:
		tr.b.sim.Worker(w).Restart()
	case opHomeTakeover:
		tr.homeTakeover()
	case opStaleHome:
		tr.staleHome(a.Worker)
	case opDeaf, opHearing:
		tr.d.mu.Lock()
		tr.d.deaf = a.Op == opDeaf
		tr.d.mu.Unlock()
	case opDropOld:
		for _, m := range tr.old {
			m.Drop(tr.b.rackPartition())
		}
	default:
		tr.network(a.Op, w)
	}
	time.Sleep(a.Wait)
}

func (tr *trial) resumeAll() {
	tr.holder.gate.resume()
	for _, m := range tr.old {
		m.gate.resume()
	}
}

// homeTakeover makes a new home that asks what runs before it starts anything.
func (tr *trial) homeTakeover() {
	tr.d.mu.Lock()
	defer tr.d.mu.Unlock()
	tr.d.epoch++
	tr.d.covered = 0
	tr.b.setEpoch(homePartition, tr.d.epoch)
}

// staleHome lets a home that was replaced ask for a second copy of a task.
func (tr *trial) staleHome(task int) {
	tr.d.mu.Lock()
	epoch := tr.d.epoch - 1
	tr.d.mu.Unlock()
	if epoch == 0 {
		return
	}
	_, err := tr.holder.place(context.Background(), taskmsg.PlaceRequest{
		Home: taskmsg.Home{Partition: homePartition, Epoch: epoch}, Shape: shapeOf(driverJob, 2000, 0),
		Slots: []taskmsg.Slot{{Index: task, Attempt: 1000}},
	})
	if result.CodeOf(err) != result.HomeFenced {
		tr.breaches = append(tr.breaches, fmt.Sprintf("a replaced home was served: %v", err))
	}
}

// urgent asks for short urgent tasks that need more than the room left, in the
// background. Whether they start is up to the faults.
func (tr *trial) urgent() {
	tr.jobs++
	m, req := tr.holder, urgentRequest(fmt.Sprintf("urgent-%d", tr.jobs), 3)
	req.Home.Epoch = tr.homeEpoch()
	req.Shape.Task.Size, req.Shape.Task.RunMillis = testSize, 3000
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, _ = m.place(ctx, req)
	}()
}

// gang holds room for four short tasks and starts them a second later.
func (tr *trial) gang() {
	tr.jobs++
	m, home := tr.holder, taskmsg.Home{Partition: homePartition, Epoch: tr.homeEpoch()}
	req := taskmsg.GangHold{Home: home, Shape: gangShape(fmt.Sprintf("gang-%d", tr.jobs)), HoldMS: 3000}
	req.Shape.Kind = spec.KindBatch // one holder's part, which the judge can not see whole
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
		_, _ = m.endGang(ctx, taskmsg.GangEnd{Home: home, Job: req.Shape.Job, Start: true})
	}()
}

func (tr *trial) homeEpoch() uint64 {
	tr.d.mu.Lock()
	defer tr.d.mu.Unlock()
	return tr.d.epoch
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
