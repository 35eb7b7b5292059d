package job

import (
	"context"
	"sync"
	"time"

	"github.com/looplab/fsm"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/health"
	"pulleyquay/internal/hold"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
	"pulleyquay/internal/worker"
)

// phase is the progress of a job owner's recovery after it acquired the partition.
type phase int

const (
	phaseLoading     phase = iota // records are not read yet; every request is refused
	phaseReconciling              // new jobs start, inherited ones wait for all inventories
	phaseReady
	phaseEnded
)

var phaseNames = [...]string{"loading", "reconciling", "ready", "ended"}

// activeInterval is the longest sleep of a job owner with pending work, idleInterval that of one
// without; changes of the partition table wake it. With jobs waiting it checks for free capacity
// every capacityPollInterval, as new digests are not announced.
const (
	activeInterval       = 500 * time.Millisecond
	idleInterval         = 5 * time.Second
	capacityPollInterval = 100 * time.Millisecond
)

// Rate limit of the replacement of lost tasks per job owner. The burst admits the tasks that a
// typical host runs for one job owner.
const (
	replacePerSecond     = 50
	replaceBurst         = 128
	throttlePollInterval = 100 * time.Millisecond
)

// attemptShift leaves 2^32 starts per epoch. An attempt number consists of the job owner's epoch
// and a counter, so that no number is used twice whichever process holds the partition, without a
// store write per start.
const attemptShift = 32

// jobOwner manages the jobs of one partition's teams.
type jobOwner struct {
	m         *Manager
	partition int
	epoch     uint64
	log       *logrus.Entry

	ctx        context.Context
	cancel     context.CancelFunc
	wake       chan struct{}
	background sync.WaitGroup // the loop and calls in progress

	mu                sync.Mutex
	phase             phase
	released          bool // true once the partition is released: no new decisions
	jobMachine        *fsm.FSM
	jobs              map[string]*job
	live              map[string]*job // not final
	waiting           map[string]*job // with tasks waiting to start
	stopping          map[string]*job // with tasks to stop
	unplannedServices map[string]*job // services that must be planned again
	deadlines         []deadline      // in order of time
	changed           map[string]*job // record newer than the store's
	startCounter      int             // counter in attempt numbers
	plan              plan
	ledger            *fairshare.Ledger
	queue             *fairshare.Queue
	health            *health.Jobs
	hostLosses        crashloop.HostFailures // recent host failures
	replaceThrottle   *health.ReplacementQueue
	gangMachine       *fsm.FSM // shared by all gangs
	locations         map[string]*location
	unackedStarts     map[worker.Attempt]*unackedStart
	refusals          map[refusalKey]*refusal
	requested         map[string]*requestedCapacity
	callsInFlight     map[string]int // calls in progress by address of the holder
	nextProbe         time.Time
	nextAgedProbe     time.Time      // when aged work may next be sent to a holder without free capacity
	inventoryEpochs   map[int]uint64 // epoch of each host partition's complete inventory
	inventoryInFlight bool           // a round of inventory requests is in progress
	nextInventory     time.Time      // earliest next round of inventory requests
	nextFlush         time.Time      // earliest next write of progress
	flushBackoff      time.Duration
	nextGC            time.Time     // earliest next garbage collection
	writesInFlight    int           // record writes in progress
	writeDone         chan struct{} // closed and replaced after each write
}

// DumpTeam is one team in the dump.
type DumpTeam struct {
	Use  spec.Resources `json:"use"`
	Jobs int            `json:"jobs"`
}

func newJobOwner(m *Manager, t hold.Acquisition) *jobOwner {
	ctx, cancel := context.WithCancel(context.Background())
	o := &jobOwner{
		m: m, partition: t.Partition, epoch: t.Epoch,
		log: m.cfg.Log.WithFields(logrus.Fields{"partition": t.Partition, "epoch": t.Epoch}),
		ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1),
		jobMachine: newJobMachine(),
		jobs:       map[string]*job{}, live: map[string]*job{}, changed: map[string]*job{}, waiting: map[string]*job{}, stopping: map[string]*job{}, unplannedServices: map[string]*job{},
		ledger: fairshare.NewLedger(), queue: fairshare.NewQueue(fairshare.DefaultConfig()),
		health: health.NewJobs(health.DefaultConfig()), replaceThrottle: health.NewReplacementQueue(replacePerSecond, replaceBurst),
		gangMachine: newGangMachine(),
		locations:   map[string]*location{}, unackedStarts: map[worker.Attempt]*unackedStart{},
		refusals: map[refusalKey]*refusal{}, requested: map[string]*requestedCapacity{}, callsInFlight: map[string]int{}, inventoryEpochs: map[int]uint64{},
		writeDone: make(chan struct{}),
	}
	return o
}

// start reads the records and then runs the loop, in the background.
func (o *jobOwner) start() {
	o.background.Go(func() {
		if o.loadRecords() {
			o.loop()
		}
	})
}

// stop stops the job owner without waiting; work in progress sees phaseEnded.
func (o *jobOwner) stop() {
	o.mu.Lock()
	o.phase = phaseEnded
	o.mu.Unlock()
	o.cancel()
}

// quiesce stops all new decisions.
func (o *jobOwner) quiesce() {
	o.mu.Lock()
	o.released = true
	o.mu.Unlock()
}

// wakeLoop makes the loop run another pass soon.
func (o *jobOwner) wakeLoop() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// loop runs a pass whenever it is woken or something is due.
func (o *jobOwner) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.wake:
		case <-timer.C:
		}
		timer.Reset(o.runPass(time.Now()))
	}
}

// runPass makes all decisions due at now and returns the time until the next pass.
func (o *jobOwner) runPass(now time.Time) time.Duration {
	table := o.m.cfg.Source.Table()
	if o.checkAuthority() != nil {
		return activeInterval
	}
	o.startInventories(table, now)
	o.flushChanged(now)
	o.collectGarbage(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.released || o.phase == phaseEnded {
		return activeInterval
	}
	o.endExpiredJobs(now)
	o.replaceLost(now)
	o.planServices(now)
	o.planStops(table, now)
	o.planStarts(table, now)
	return o.idleTime(now)
}

// idleTime returns the time until something is due.
func (o *jobOwner) idleTime(now time.Time) time.Duration {
	next := now.Add(idleInterval)
	if o.needsPolling() {
		next = now.Add(activeInterval)
	}
	if len(o.deadlines) > 0 {
		next = earlierDue(next, o.deadlines[0].due, now)
	}
	if o.replaceThrottle.Len() > 0 {
		next = now.Add(throttlePollInterval)
	}
	if len(o.waiting) > 0 {
		next = earlierDue(next, now.Add(capacityPollInterval), now)
		next = earlierDue(next, o.plan.due, now)
		next = earlierDue(next, o.plan.next, now)
	}
	return max(next.Sub(now), time.Millisecond)
}

// needsPolling reports whether the job owner waits for something that does not wake it.
func (o *jobOwner) needsPolling() bool {
	return o.phase != phaseReady || len(o.waiting)+len(o.stopping)+len(o.changed)+len(o.unackedStarts) > 0
}

// earlierDue returns t if it is after now and before next, else next.
func earlierDue(next, t, now time.Time) time.Time {
	if t.After(now) && t.Before(next) {
		return t
	}
	return next
}

// checkAuthority returns nil if this process currently has the authority to act for the job owner's
// epoch.
func (o *jobOwner) checkAuthority() error {
	grant, err := o.m.cfg.Authorizer.Check(o.partition)
	if err != nil {
		return err
	}
	if grant.Epoch != o.epoch {
		return result.New(result.JobHomeMoved, result.RanNo, "partition %d is held with epoch %d, not %d", o.partition, grant.Epoch, o.epoch).WithRetryAfter(time.Second)
	}
	return nil
}

// fence returns the condition of every write: the partition's record is unchanged since this job
// owner's epoch was claimed.
func (o *jobOwner) fence() (platform.Condition, error) {
	p, ok := findPartition(o.m.cfg.Source.Table(), o.partition)
	switch {
	case !ok || p.Epoch < o.epoch:
		return platform.Condition{}, platform.ErrUnavailable // the table does not contain our own claim yet
	case p.Epoch > o.epoch:
		return platform.Condition{}, errFenced
	}
	return platform.Condition{Key: o.m.cfg.PartitionKey(o.partition), ModRevision: platform.Revision(p.ModRevision)}, nil
}

func findPartition(t *view.Table, id int) (view.Partition, bool) {
	if t == nil {
		return view.Partition{}, false
	}
	for _, p := range t.Partitions {
		if p.ID == id {
			return p, true
		}
	}
	return view.Partition{}, false
}

// identity returns how the job owner identifies itself to holders.
func (o *jobOwner) identity() taskmsg.Home {
	return taskmsg.Home{Partition: o.partition, Epoch: o.epoch}
}

func (o *jobOwner) dump() DumpOwner {
	table := o.m.cfg.Source.Table()
	o.mu.Lock()
	defer o.mu.Unlock()
	d := DumpOwner{
		Partition: o.partition, Epoch: o.epoch, Phase: phaseNames[o.phase],
		Jobs: len(o.jobs), LiveJobs: len(o.live), UnackedStarts: len(o.unackedStarts),
		MissingInventories: o.missingInventories(table), Teams: map[string]DumpTeam{},
	}
	for _, j := range o.jobs {
		if j.dirty {
			d.Unwritten++
		}
	}
	for _, j := range o.live {
		name := j.rec.Job.Team
		d.Teams[name] = DumpTeam{Use: o.ledger.Used(name), Jobs: d.Teams[name].Jobs + 1}
	}
	return d
}
