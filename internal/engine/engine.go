// Package engine schedules one partition: it decides which task starts on which host and when, which runs
// are stopped, which hosts the policy service is queried about, and what has to be stored before a result
// may be reported.
//
// An Engine is deterministic: it does no I/O, starts no goroutines and reads no clock. Its driver reports
// events with their times and carries out the Orders that it returns. Calls must not overlap.
package engine

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pulleyquay/internal/advice"
	"pulleyquay/internal/catalog"
	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/host"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/runtimes"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/upkeep"
)

// Config holds the parameters of an Engine.
type Config struct {
	Partition int
	// Epoch is the epoch of the partition claim under which all orders are issued.
	Epoch  uint64
	Bounds Bounds
	Tuning Tuning
	// Seed initialises the random choice between equal candidates.
	Seed uint64
	// WaveState returns the write that publishes the state of a maintenance rollout to operators.
	WaveState func(upkeep.Progress) platform.Write
	// Log receives the engine's decisions; nil disables logging.
	Log func(Event)
}

// Bounds are the time limits of the platform; they come from the settings of the process.
type Bounds struct {
	// LeaseLimit is the longest lease that a host grants.
	LeaseLimit time.Duration
	// StopTakes is the longest time that a stop takes.
	StopTakes time.Duration
	// GangWait is how long a gang member waits for the other members.
	GangWait time.Duration
	// RememberEnded is how long the result of an ended job can be queried.
	RememberEnded time.Duration
	// FarFactor is the factor by which a task takes longer outside the rack of its data.
	FarFactor float64
	// RestoreTakes is how long a task takes to resume from a checkpoint.
	RestoreTakes time.Duration
	// CheckpointEvery is the amount of work between two checkpoints.
	CheckpointEvery time.Duration
	// RoomNews is how long after a capacity reduction starts may still be based on the former capacity.
	RoomNews time.Duration
}

// Engine holds the scheduling state of a partition. The holder of the partition owns it.
type Engine struct {
	cfg Config
	rnd *rand.Rand

	catalog *catalog.Catalog
	// accounts are the client accounts with jobs in this partition, by name.
	accounts map[string]*account
	// withheldAccounts are the accounts with quota withheld in the current scheduling pass.
	withheldAccounts []*account
	// unreported are the hosts that have not reported since the failover, unowned is the size of all orphan
	// runs.
	unreported unreportedHosts
	unowned    spec.Resources
	jobs       map[string]*job
	live       map[string]*job
	// ready holds the steps with tasks to start, in no order.
	ready map[spec.StepID]*group
	// queue holds the ready steps that are due, in scheduling order; incoming holds those that are not in
	// the queue yet.
	queue, incoming []*group
	// nextPassAt is the earliest time of the next scheduling pass.
	nextPassAt time.Time
	hosts      map[host.ID]*hostState
	// foreign are the listed hosts of services that the configuration does not name.
	foreign map[host.ID]host.Info
	// sorted are the hosts in the order of their ids.
	sorted []*hostState
	// unwanted are the runs for which a stop is requested.
	unwanted map[*run]struct{}
	// room is incremented whenever capacity comes free or hosts become usable, so that a step that found
	// no capacity is retried only after the next change.
	room       uint64
	sortedAt   time.Time // when the queue was last sorted
	loadToldAt time.Time // when the load of the cell was last logged
	watchedAt  time.Time // when the runs were last checked for progress
	expiredAt  time.Time // when hosts were last checked for missing answers
	lookDue    time.Time // when the next host has to be polled
	// unsettled is true after a failover until the runs of every host are known.
	unsettled bool
	// settleBy is when hosts that have not reported since the failover can run nothing any more.
	settleBy time.Time
	// proved is the time until which this process may issue orders.
	proved time.Time
	// deposed is true once a host has reported a later holder.
	deposed bool
	// now is the time of the current call, for the log.
	now time.Time

	lanes *advice.Lanes
	// runtimes estimates the run times of tasks, by queue.
	runtimes *runtimes.Learner
	// good is the estimated share of hosts that the policy service permits for a step, by queue.
	good  map[string]float64
	asks  map[uint64]*question
	askID uint64

	dirty   map[string]*job // jobs whose stored record is out of date
	ended   []endedJob      // in the order of their ends, until they expire
	forget  []string        // jobs whose records are to be deleted
	commits uint64          // batches taken
	durable uint64          // batches known to be stored
	marks   int             // end records that are not part of a batch yet
	// rosterBehind is true when the stored roster is out of date.
	rosterBehind bool
	// strangerEnds are the end records of orphan runs, by job.
	strangerEnds map[string][]strangerEnd
	// strangers counts the recorded orphan runs.
	strangers int
	// claiming are the hosts whose first poll is under way.
	claiming map[host.ID]struct{}
	// held counts, for each task, the hosts that may run it and have not reported since the failover.
	held map[spec.StepTask]int

	pools map[string]*pool // by service
	out   Orders
	// unpaced are the hosts whose backfill tasks may not run at the intended share of their speed.
	unpaced map[*hostState]struct{}
	// backfillOverloadShare is the share at which backfill tasks of an image last overloaded the serving
	// tasks beside them, by image.
	backfillOverloadShare map[string]int
	shrunk                shrinking // the largest recent capacity reduction
	// losses are the incarnations of hosts that ended recently, exiles the presumed-ended ones that are
	// attributed to tasks although the host may still answer, trials counts the hosts that are quarantined
	// for a suspect job.
	losses crashloop.Losses
	exiles map[string]time.Time
	trials int
	// verdicts are deferred crash-loop decisions; foundGone counts the inherited hosts that were gone
	// before this holder had reached them, out of inheritedHosts.
	verdicts                  []verdict
	foundGone, inheritedHosts int
	// retried is true while the store lacks a run of a task that is suspected of host crashes.
	retried bool
	// upkeep plans maintenance rollouts; nil where the platform offers no orders to machines.
	upkeep          *upkeep.Planner
	upkeepPlannedAt time.Time // when maintenance was last planned
	// reservingGangs counts the gangs with reservations in this pass, reservingLarge the steps of large
	// tasks.
	reservingGangs, reservingLarge int
	// hostBuf is reused for the placeable hosts of each pass.
	hostBuf []*hostState
	// waitsTold counts the steps whose reason to wait was logged in the current interval.
	waitsTold int
}

// endedJob is a job in a final state, kept until it expires.
type endedJob struct {
	id string
	at time.Time
}

// New returns an engine without jobs or hosts. Unless it is the first holder of the partition, it starts
// no earlier job before the failover is reconciled, or until settleBy.
func New(cfg Config) *Engine {
	return &Engine{
		cfg:                   cfg,
		rnd:                   rand.New(rand.NewPCG(cfg.Seed, cfg.Epoch)),
		accounts:              map[string]*account{},
		jobs:                  map[string]*job{},
		live:                  map[string]*job{},
		ready:                 map[spec.StepID]*group{},
		hosts:                 map[host.ID]*hostState{},
		foreign:               map[host.ID]host.Info{},
		asks:                  map[uint64]*question{},
		unwanted:              map[*run]struct{}{},
		dirty:                 map[string]*job{},
		good:                  map[string]float64{},
		unpaced:               map[*hostState]struct{}{},
		backfillOverloadShare: map[string]int{},
		lanes:                 advice.NewLanes(),
		runtimes:              runtimes.NewLearner(),
		strangerEnds:          map[string][]strangerEnd{},
		claiming:              map[host.ID]struct{}{},
		held:                  map[spec.StepTask]int{},
		pools:                 map[string]*pool{},
		exiles:                map[string]time.Time{},
	}
}

// Orders lists the actions to carry out next. Every order is carried out once; its result is reported with
// the method named beside it.
type Orders struct {
	Starts []StartOrder // Started
	Stops  []StopOrder  // Stopped
	Looks  []LookOrder  // Viewed
	Asks   []AskOrder   // Advised
	Paces  []PaceOrder  // Paced
	// Upkeeps take machines down; see Upkept.
	Upkeeps []UpkeepOrder
	// ListMachines requests the list of the platform's machines; see SetMachines.
	ListMachines bool
	// Deposed is true when another process has claimed the partition.
	Deposed bool
	// Commit requests TakeBatch soon, CommitNow at once.
	Commit, CommitNow bool
}

// StartOrder starts a run on a host.
type StartOrder struct {
	To    host.Info
	Start host.Start
}

// StopOrder stops a run on a host.
type StopOrder struct {
	To  host.Info
	Run host.Run
}

// PaceOrder limits a run to a share of its speed.
type PaceOrder struct {
	To      host.Info
	Run     host.Run
	Percent int
}

// LookOrder polls a host for its runs.
type LookOrder struct {
	To   host.Info
	Look host.Look
	// Probe polls are sent in addition to a poll that waits at the host.
	Probe bool
}

// AskOrder queries the policy service through a member.
type AskOrder struct {
	ID    uint64
	Lane  string // the member that sends the query
	Step  spec.StepID
	Hosts []host.ID
	// Patience is the time-out of the query.
	Patience time.Duration
}

// SetCatalog applies a new configuration. Hosts of services that it does not name stay unused, as a later
// configuration may name them.
func (e *Engine) SetCatalog(c *catalog.Catalog, now time.Time) {
	if c == e.catalog {
		return
	}
	e.catalog, e.now = c, now
	e.applyAccounts()
	for _, info := range slices.Collect(maps.Values(e.foreign)) {
		e.setHost(info, now)
	}
	for _, h := range slices.Clone(e.sorted) {
		if h.listed && !e.named(h.info.Service) {
			e.setHost(h.info, now)
		}
	}
}

// named reports whether the configuration names a service. Without a configuration, or one without
// services, every service counts as named.
func (e *Engine) named(service string) bool {
	return e.catalog == nil || len(e.catalog.Services) == 0 || e.catalog.Service(service) != nil
}

// SetProved sets the time until which this process may issue orders.
func (e *Engine) SetProved(until time.Time) { e.proved = until }

// Hosts returns the number of known hosts. It includes hosts that are no longer listed and may still run
// tasks.
func (e *Engine) Hosts() int { return len(e.sorted) }

// SetMembers sets the members through which the policy service can be queried.
func (e *Engine) SetMembers(names []string) { e.lanes.SetMembers(names) }

// Next returns the orders that are due at now, and the time of the next call if nothing happens before.
func (e *Engine) Next(now time.Time) (Orders, time.Time) {
	e.now = now
	e.out = Orders{Deposed: e.deposed}
	if e.deposed {
		return e.out, now.Add(restInterval)
	}
	e.settle(now)
	e.setReadyTimes(now)
	e.expireHosts(now)
	e.watchRuns(now)
	if now.Before(e.proved) && !now.Before(e.nextPassAt) {
		e.plan(now)
	}
	e.planStops(now)
	e.planThrottling(now)
	e.planUpkeep(now)
	e.tellLoad(now)
	e.planLooks(now)
	e.expireEndedJobs(now)
	e.planCommit()
	return e.out, e.nextDue(now)
}

// restInterval is the longest time between two calls of Next.
const restInterval = 100 * time.Millisecond

// nextDue returns when something becomes due by the passage of time alone.
func (e *Engine) nextDue(now time.Time) time.Time {
	next := now.Add(restInterval)
	if e.nextPassAt.After(now) && e.nextPassAt.Before(next) {
		next = e.nextPassAt
	}
	if !e.lookDue.IsZero() && e.lookDue.Before(next) {
		next = e.lookDue
	}
	return later(next, now.Add(time.Millisecond))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
