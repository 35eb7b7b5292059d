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

// restInterval is the longest that a home with something to do sleeps,
// idleInterval that of one without; changes of the table rouse it. With jobs
// waiting it looks for room every roomInterval, as digests come unannounced.
const (
	restInterval = 500 * time.Millisecond
	idleInterval = 5 * time.Second
	roomInterval = 100 * time.Millisecond
)

// Lost tasks are replaced at this pace in each home; what an ordinary worker
// runs for one home fits the burst.
const (
	replacePerSecond = 50
	replaceBurst     = 128
	pacerPoll        = 100 * time.Millisecond
)

// attemptShift leaves room for 2^32 starts within an epoch: an attempt's number
// is the home's epoch and a counter, so that no number is ever used twice,
// whoever holds the partition, without a write for each start.
const attemptShift = 32

// home is the home of one partition's teams.
type home struct {
	m         *Manager
	partition int
	epoch     uint64
	log       *logrus.Entry

	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}
	work   sync.WaitGroup // the loop and calls under way

	mu        sync.Mutex
	phase     phase
	quiet     bool // true once released: nothing new is decided
	machine   *fsm.FSM
	jobs      map[string]*job
	live      map[string]*job // those that are not final
	waiting   map[string]*job // those with tasks that wait for a start
	halting   map[string]*job // those with tasks to stop
	attention map[string]*job // services to look at
	deadlines []deadline      // in order of time
	changed   map[string]*job // those whose record is newer than the store's
	starts    int             // counter in attempt numbers
	plan      plan
	ledger    *fairshare.Ledger
	queue     *fairshare.Queue
	health    *health.Jobs
	losses    crashloop.Losses // workers that went lately
	pacer     *health.Pacer
	gangs     *fsm.FSM // shared by all gangs
	sites     map[string]*site
	doubts    map[worker.Attempt]*doubt
	refusals  map[refusalKey]*refusal
	asked     map[string]*askedRoom
	busy      map[string]int // calls under way by address of the holder
	probeAt   time.Time
	agedProbe time.Time      // when aged work may ask a holder without room
	covered   map[int]uint64 // epoch of each worker partition's complete inventory
	checking  bool           // an inventory round is under way
	nextAsk   time.Time      // earliest next inventory round
	flushAt   time.Time      // earliest next write of progress
	flushGap  time.Duration
	collectAt time.Time     // earliest next pass over ended jobs
	writing   int           // records under way to the store
	written   chan struct{} // closed and made anew after each write
}

// DumpTeam is one team in the dump.
type DumpTeam struct {
	Use  spec.Resources `json:"use"`
	Jobs int            `json:"jobs"`
}

func newHome(m *Manager, t hold.Takeover) *home {
	ctx, cancel := context.WithCancel(context.Background())
	h := &home{
		m: m, partition: t.Partition, epoch: t.Epoch,
		log: m.cfg.Log.WithFields(logrus.Fields{"partition": t.Partition, "epoch": t.Epoch}),
		ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1),
		machine: newMachine(),
		jobs:    map[string]*job{}, live: map[string]*job{}, changed: map[string]*job{}, waiting: map[string]*job{}, halting: map[string]*job{}, attention: map[string]*job{},
		ledger: fairshare.NewLedger(), queue: fairshare.NewQueue(fairshare.DefaultConfig()),
		health: health.NewJobs(health.DefaultConfig()), pacer: health.NewPacer(replacePerSecond, replaceBurst),
		gangs: newGangMachine(),
		sites: map[string]*site{}, doubts: map[worker.Attempt]*doubt{},
		refusals: map[refusalKey]*refusal{}, asked: map[string]*askedRoom{}, busy: map[string]int{}, covered: map[int]uint64{},
		written: make(chan struct{}),
	}
	return h
}

// start reads the records and runs the loop.
func (h *home) start() {
	h.work.Go(func() {
		if h.load() {
			h.loop()
		}
	})
}

// end stops the home without waiting; what is under way finds it ended.
func (h *home) end() {
	h.mu.Lock()
	h.phase = phaseEnded
	h.mu.Unlock()
	h.cancel()
}

// quiesce makes the home decide nothing new.
func (h *home) quiesce() {
	h.mu.Lock()
	h.quiet = true
	h.mu.Unlock()
}

// rouse makes the loop look again soon.
func (h *home) rouse() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// loop decides again whenever something happened or became due.
func (h *home) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.wake:
		case <-timer.C:
		}
		timer.Reset(h.step(time.Now()))
	}
}

// step makes all decisions that are due at now and returns when to look again.
func (h *home) step(now time.Time) time.Duration {
	table := h.m.cfg.Source.Table()
	if h.checkRight() != nil {
		return restInterval
	}
	h.startInventories(table, now)
	h.startFlush(now)
	h.collect(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.quiet || h.phase == phaseEnded {
		return restInterval
	}
	h.endDueJobs(now)
	h.replaceLost(now)
	h.planServices(now)
	h.planStops(table, now)
	h.planStarts(table, now)
	return h.nextDue(now)
}

// nextDue returns how long nothing becomes due.
func (h *home) nextDue(now time.Time) time.Duration {
	next := now.Add(idleInterval)
	if h.busyNow() {
		next = now.Add(restInterval)
	}
	if len(h.deadlines) > 0 {
		next = earliest(next, h.deadlines[0].due, now)
	}
	if h.pacer.Len() > 0 {
		next = now.Add(pacerPoll)
	}
	if len(h.waiting) > 0 {
		next = earliest(next, now.Add(roomInterval), now)
		next = earliest(next, h.plan.due, now)
		next = earliest(next, h.plan.next, now)
	}
	return max(next.Sub(now), time.Millisecond)
}

// busyNow reports whether the home waits for anything that nobody will tell it.
func (h *home) busyNow() bool {
	return h.phase != phaseReady || len(h.waiting)+len(h.halting)+len(h.changed)+len(h.doubts) > 0
}

// earliest returns t if it comes after now and before next, else next.
func earliest(next, t, now time.Time) time.Time {
	if t.After(now) && t.Before(next) {
		return t
	}
	return next
}

// checkRight returns nil when this process may act for the home's epoch now.
func (h *home) checkRight() error {
	grant, err := h.m.cfg.Right.Check(h.partition)
	if err != nil {
		return err
	}
	if grant.Epoch != h.epoch {
		return result.New(result.JobHomeMoved, result.RanNo, "partition %d is held with epoch %d, not %d", h.partition, grant.Epoch, h.epoch).Later(time.Second)
	}
	return nil
}

// fence is the condition of every write: the partition's record is still the
// one that this home's epoch made.
func (h *home) fence() (platform.Condition, error) {
	p, ok := partitionOf(h.m.cfg.Source.Table(), h.partition)
	switch {
	case !ok || p.Epoch < h.epoch:
		return platform.Condition{}, platform.ErrUnavailable // our own claim is not in view yet
	case p.Epoch > h.epoch:
		return platform.Condition{}, errFenced
	}
	return platform.Condition{Key: h.m.cfg.PartitionKey(h.partition), ModRevision: platform.Revision(p.ModRevision)}, nil
}

func partitionOf(t *view.Table, id int) (view.Partition, bool) {
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

// self is how the home names itself to holders.
func (h *home) self() taskmsg.Home { return taskmsg.Home{Partition: h.partition, Epoch: h.epoch} }

func (h *home) dump() DumpHome {
	table := h.m.cfg.Source.Table()
	h.mu.Lock()
	defer h.mu.Unlock()
	d := DumpHome{
		Partition: h.partition, Epoch: h.epoch, Phase: phaseNames[h.phase],
		Jobs: len(h.jobs), LiveJobs: len(h.live), Doubts: len(h.doubts),
		Uncovered: h.uncovered(table), Teams: map[string]DumpTeam{},
	}
	for _, j := range h.jobs {
		if j.dirty {
			d.Unwritten++
		}
	}
	for _, j := range h.live {
		name := j.rec.Job.Team
		d.Teams[name] = DumpTeam{Use: h.ledger.Used(name), Jobs: d.Teams[name].Jobs + 1}
	}
	return d
}
