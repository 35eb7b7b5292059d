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

// phase tells how far a home has come in its takeover.
type phase int

const (
	phaseLoading     phase = iota // records are not read; everything is refused
	phaseReconciling              // new jobs start, older ones wait for all inventories
	phaseReady
	phaseEnded
)

var phaseNames = [...]string{"loading", "reconciling", "ready", "ended"}

// activeInterval is the longest that a home with something to do sleeps,
// idleInterval that of one without; changes of the table rouse it. With jobs
// waiting it looks for room every roomInterval, as digests come unannounced.
const (
	activeInterval       = 500 * time.Millisecond
	idleInterval         = 5 * time.Second
	capacityPollInterval = 100 * time.Millisecond
)

// Lost tasks are replaced at this pace in each home; what an ordinary worker
// runs for one home fits the burst.
const (
	replacePerSecond     = 50
	replaceBurst         = 128
	throttlePollInterval = 100 * time.Millisecond
)

// attemptShift leaves room for 2^32 starts within an epoch: an attempt's number
// is the home's epoch and a counter, so that no number is ever used twice,
// whoever holds the partition, without a write for each start.
const attemptShift = 32

// jobOwner is the home of one partition's teams.
type jobOwner struct {
	m         *Manager
	partition int
	epoch     uint64
	log       *logrus.Entry

	ctx        context.Context
	cancel     context.CancelFunc
	wake       chan struct{}
	background sync.WaitGroup // the loop and calls under way

	mu                sync.Mutex
	phase             phase
	released          bool // true once released: nothing new is decided
	jobMachine        *fsm.FSM
	jobs              map[string]*job
	live              map[string]*job // those that are not final
	waiting           map[string]*job // those with tasks that wait for a start
	stopping          map[string]*job // those with tasks to stop
	unplannedServices map[string]*job // services to look at
	deadlines         []deadline      // in order of time
	changed           map[string]*job // those whose record is newer than the store's
	startCounter      int             // counter in attempt numbers
	plan              plan
	ledger            *fairshare.Ledger
	queue             *fairshare.Queue
	health            *health.Jobs
	hostLosses        crashloop.Losses // workers that went lately
	replaceThrottle   *health.Pacer
	gangMachine       *fsm.FSM // shared by all gangs
	locations         map[string]*location
	unackedStarts     map[worker.Attempt]*unackedStart
	refusals          map[refusalKey]*refusal
	requested         map[string]*requestedCapacity
	callsInFlight     map[string]int // calls under way by address of the holder
	nextProbe         time.Time
	nextAgedProbe     time.Time      // when aged work may ask a holder without room
	inventoryEpochs   map[int]uint64 // epoch of each worker partition's complete inventory
	inventoryInFlight bool           // an inventory round is under way
	nextInventory     time.Time      // earliest next inventory round
	nextFlush         time.Time      // earliest next write of progress
	flushBackoff      time.Duration
	nextGC            time.Time     // earliest next pass over ended jobs
	writesInFlight    int           // records under way to the store
	writeDone         chan struct{} // closed and made anew after each write
}

// DumpTeam is one team in the dump.
type DumpTeam struct {
	Use  spec.Resources `json:"use"`
	Jobs int            `json:"jobs"`
}

func newJobOwner(m *Manager, t hold.Takeover) *jobOwner {
	ctx, cancel := context.WithCancel(context.Background())
	o := &jobOwner{
		m: m, partition: t.Partition, epoch: t.Epoch,
		log: m.cfg.Log.WithFields(logrus.Fields{"partition": t.Partition, "epoch": t.Epoch}),
		ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1),
		jobMachine: newJobMachine(),
		jobs:       map[string]*job{}, live: map[string]*job{}, changed: map[string]*job{}, waiting: map[string]*job{}, stopping: map[string]*job{}, unplannedServices: map[string]*job{},
		ledger: fairshare.NewLedger(), queue: fairshare.NewQueue(fairshare.DefaultConfig()),
		health: health.NewJobs(health.DefaultConfig()), replaceThrottle: health.NewPacer(replacePerSecond, replaceBurst),
		gangMachine: newGangMachine(),
		locations:   map[string]*location{}, unackedStarts: map[worker.Attempt]*unackedStart{},
		refusals: map[refusalKey]*refusal{}, requested: map[string]*requestedCapacity{}, callsInFlight: map[string]int{}, inventoryEpochs: map[int]uint64{},
		writeDone: make(chan struct{}),
	}
	return o
}

// start reads the records and runs the loop.
func (o *jobOwner) start() {
	o.background.Go(func() {
		if o.loadRecords() {
			o.loop()
		}
	})
}

// stop stops the home without waiting; what is under way finds it ended.
func (o *jobOwner) stop() {
	o.mu.Lock()
	o.phase = phaseEnded
	o.mu.Unlock()
	o.cancel()
}

// quiesce makes the home decide nothing new.
func (o *jobOwner) quiesce() {
	o.mu.Lock()
	o.released = true
	o.mu.Unlock()
}

// wakeLoop makes the loop look again soon.
func (o *jobOwner) wakeLoop() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// loop decides again whenever something happened or became due.
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

// runPass makes all decisions that are due at now and returns when to look again.
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

// idleTime returns how long nothing becomes due.
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

// needsPolling reports whether the home waits for anything that nobody will tell it.
func (o *jobOwner) needsPolling() bool {
	return o.phase != phaseReady || len(o.waiting)+len(o.stopping)+len(o.changed)+len(o.unackedStarts) > 0
}

// earlierDue returns t if it comes after now and before next, else next.
func earlierDue(next, t, now time.Time) time.Time {
	if t.After(now) && t.Before(next) {
		return t
	}
	return next
}

// checkAuthority returns nil when this process may act for the home's epoch now.
func (o *jobOwner) checkAuthority() error {
	grant, err := o.m.cfg.Right.Check(o.partition)
	if err != nil {
		return err
	}
	if grant.Epoch != o.epoch {
		return result.New(result.JobHomeMoved, result.RanNo, "partition %d is held with epoch %d, not %d", o.partition, grant.Epoch, o.epoch).Later(time.Second)
	}
	return nil
}

// fence is the condition of every write: the partition's record is still the
// one that this home's epoch made.
func (o *jobOwner) fence() (platform.Condition, error) {
	p, ok := findPartition(o.m.cfg.Source.Table(), o.partition)
	switch {
	case !ok || p.Epoch < o.epoch:
		return platform.Condition{}, platform.ErrUnavailable // our own claim is not in view yet
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

// identity is how the home names itself to holders.
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
