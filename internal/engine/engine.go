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
	"pulleyquay/internal/evacuation"
	"pulleyquay/internal/host"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/retrybudget"
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
	// MaxLease is the longest lease that a host grants.
	MaxLease time.Duration
	// MaxStopTime is the longest time that a stop takes.
	MaxStopTime time.Duration
	// GangTimeout is how long a gang member waits for the other members.
	GangTimeout time.Duration
	// EndedJobTTL is how long the result of an ended job can be queried.
	EndedJobTTL time.Duration
	// RemoteDataFactor is the factor by which a task takes longer outside the rack of its data.
	RemoteDataFactor float64
	// RestoreTime is how long a task takes to resume from a checkpoint.
	RestoreTime time.Duration
	// CheckpointInterval is the amount of work between two checkpoints.
	CheckpointInterval time.Duration
	// CapacityLag is how long after a capacity reduction starts may still be based on the former capacity.
	CapacityLag time.Duration
}

// Engine holds the scheduling state of a partition. The holder of the partition owns it.
type Engine struct {
	cfg Config
	rnd *rand.Rand

	catalog *catalog.Catalog
	// evacuations are the evacuated availability zones; nil before they are known.
	evacuations *evacuation.Set
	// accounts are the client accounts with jobs in this partition, by name.
	accounts map[string]*account
	// withheldAccounts are the accounts with quota withheld in the current scheduling pass.
	withheldAccounts []*account
	// unreported are the hosts that have not reported since the failover, orphanUsage is the size of all
	// orphan runs.
	unreported  unreportedHosts
	orphanUsage spec.Resources
	// jobs are the jobs by id, until they expire; live are those of them that are not in a final state.
	jobs map[string]*job
	live map[string]*job
	// ready holds the steps with tasks to start, in no order.
	ready map[spec.StepID]*group
	// queue holds the ready steps that are due, in the order of compareSteps; incoming holds those that are
	// not in the queue yet.
	queue, incoming []*group
	// order is the order in which a scheduling pass takes the steps of the queue: by the weighted shares of
	// their flows if accounts have weights (weighted), and that of the queue otherwise.
	order    stepOrder
	flows    map[stepClass]*stepFlow
	weighted bool
	// nextPassAt is the earliest time of the next scheduling pass.
	nextPassAt time.Time
	hosts      map[host.ID]*hostState
	// generations are those of the next calls to hosts that were dropped; see fencing.go.
	generations map[host.ID]uint64
	// unconfiguredHosts are the listed hosts of services that the configuration does not name.
	unconfiguredHosts map[host.ID]host.Info
	// hostsByID are the hosts in the order of their ids; index has those with something to be done.
	hostsByID []*hostState
	index     *hostIndex
	// stopRequested are the runs for which a stop is requested.
	stopRequested map[*run]struct{}
	// capacityChanges is incremented whenever capacity comes free or hosts become usable, so that a step
	// that found no capacity is retried only after the next change.
	capacityChanges   uint64
	sortedAt          time.Time // when the queue was last sorted
	loadLoggedAt      time.Time // when the load of the cell was last logged
	progressCheckedAt time.Time // when the runs were last checked for progress
	expiredAt         time.Time // when hosts were last checked for missing answers
	nextPollDue       time.Time // when the next host has to be polled
	pollNumber        uint64    // of the last poll
	// lateProbes is the budget of probes for late runs; lateCheckedAt is when hosts were last checked for
	// them.
	lateProbes    *retrybudget.Budget
	lateCheckedAt time.Time
	// endsOnTime is true if the ends in the view that is being processed were reported without delay.
	endsOnTime bool
	// reconciling is true after a failover until every inherited host has reported its runs, is closed in
	// the roster, or can run nothing any more.
	reconciling bool
	// startsSettledAt is when no start order of an earlier holder can take effect any more.
	startsSettledAt time.Time
	// copies is the state of the copies of late tasks.
	copies copyBook
	// reconcileDeadline is when hosts that have not reported since the failover can run nothing any more.
	reconcileDeadline time.Time
	// rosterUnreadable is true if it is not known which hosts earlier holders have used.
	rosterUnreadable bool
	// loadedAt is when this process loaded the stored state; boundsStoredAt is when the roster was last due
	// for its lease bounds. listedBounds are the hosts that may be listed with a bound in the store, with the
	// last batch that lists them so; see lease_bound.go.
	loadedAt, boundsStoredAt time.Time
	listedBounds             map[host.ID]uint64
	// authorityUntil is the time until which this process may issue orders.
	authorityUntil time.Time
	// deposed is true once a host has reported a later holder.
	deposed bool
	// now is the time of the current call, for the log.
	now time.Time

	querySlots *advice.QuerySlots
	// overload limits the jobs of accounts that send more than completes in time; see queue_load.go.
	overload   loadFeed
	queryOrder queryOrder
	// runtimes estimates the run times of tasks, by queue.
	runtimes *runtimes.Estimator
	// permittedByQueue is the estimated share of hosts that the policy service permits for a step, by queue.
	permittedByQueue map[string]float64
	queries          map[uint64]*policyQuery
	queryID          uint64

	dirty           map[string]*job // jobs whose stored record is out of date
	ended           []endedJob      // in the order of their ends, until they expire
	recordsToDelete []string        // jobs whose records are to be deleted
	commits         uint64          // batches taken
	durable         uint64          // batches known to be stored
	pendingEnds     int             // end records that are not part of a batch yet
	// rosterOutdated is true when the stored roster is out of date.
	rosterOutdated bool
	// orphanEndRecords are the end records of orphan runs, by job.
	orphanEndRecords map[string][]orphanEnd
	// orphanRuns counts the recorded orphan runs.
	orphanRuns int
	// claiming are the hosts whose first poll is under way.
	claiming map[host.ID]struct{}
	// possibleHosts counts, for each task, the hosts that may run it and have not reported since the failover.
	possibleHosts map[spec.StepTask]int

	pools map[string]*servicePool // by service
	out   Orders
	// throttlesOutdated are the hosts whose backfill tasks may not run at the intended share of their speed.
	throttlesOutdated map[*hostState]struct{}
	// backfillOverloadShare is the share at which backfill tasks of an image last overloaded the serving
	// tasks beside them, by image.
	backfillOverloadShare map[string]int
	reduction             capacityReduction // the largest recent capacity reduction
	// losses are the incarnations of hosts that ended recently, presumedEnded those whose crashes are
	// attributed to tasks although the host may still answer, with the time at which this holder
	// attributed or loaded them; quarantines counts the hosts that take only starts of a quarantined job.
	losses        crashloop.HostFailures
	presumedEnded map[string]time.Time
	quarantines   int
	// deferredDecisions are deferred crash-loop decisions; terminatedAtFailover counts those of the
	// inheritedHosts that had terminated before this holder reached them.
	deferredDecisions                    []deferredDecision
	terminatedAtFailover, inheritedHosts int
	// runsUnstored is true while the store lacks a run that the next holder has to know of: one of a task that
	// is suspected of host crashes, or of a long-running task.
	runsUnstored bool
	// pendingStarts are the starts of long-running tasks that wait until the store has their placement.
	pendingStarts []pendingStart
	// placementsStored is true if the store lists every run of a long-running task that may exist. If earlier
	// holders did not store them, placementsBatch is the batch with which this one does; see placements.go.
	placementsStored bool
	placementsDueAt  time.Time // when it may do so
	placementsBatch  uint64
	// upkeep plans maintenance rollouts; nil where the platform offers no orders to machines.
	upkeep          *upkeep.Planner
	upkeepPlannedAt time.Time // when maintenance was last planned
	// reservingGangs counts the gangs with reservations in this pass, reservingLarge the steps of large
	// tasks.
	reservingGangs, reservingLarge int
	parkedAt                       time.Time // when idle hosts were last parked
	// waitsLogged counts the steps whose reason to wait was logged in the current interval.
	waitsLogged int
	// longRunning are the steps of long-running tasks of live jobs, last checked at longRunningCheckedAt.
	longRunning          map[*group]struct{}
	longRunningCheckedAt time.Time
	// passEndedAt is the number of queued steps that the last pass considered before its budget was used up;
	// zero if it considered all.
	passEndedAt int
}

// endedJob is a job in a final state, kept until it expires.
type endedJob struct {
	id string
	at time.Time
}

// New returns an engine without jobs or hosts. Unless its process is the first holder of the partition, it
// starts no task of an earlier job that may run on a host which has not reported; see Load.
func New(cfg Config) *Engine {
	return &Engine{
		cfg:                   cfg,
		rnd:                   rand.New(rand.NewPCG(cfg.Seed, cfg.Epoch)),
		accounts:              map[string]*account{},
		flows:                 map[stepClass]*stepFlow{},
		order:                 stepOrder{limit: maxOrderedSteps},
		jobs:                  map[string]*job{},
		live:                  map[string]*job{},
		ready:                 map[spec.StepID]*group{},
		hosts:                 map[host.ID]*hostState{},
		generations:           map[host.ID]uint64{},
		index:                 newHostIndex(),
		unconfiguredHosts:     map[host.ID]host.Info{},
		queries:               map[uint64]*policyQuery{},
		stopRequested:         map[*run]struct{}{},
		dirty:                 map[string]*job{},
		permittedByQueue:      map[string]float64{},
		throttlesOutdated:     map[*hostState]struct{}{},
		backfillOverloadShare: map[string]int{},
		querySlots:            advice.NewQuerySlots(),
		overload:              newLoadFeed(),
		runtimes:              runtimes.NewEstimator(),
		orphanEndRecords:      map[string][]orphanEnd{},
		claiming:              map[host.ID]struct{}{},
		possibleHosts:         map[spec.StepTask]int{},
		pools:                 map[string]*servicePool{},
		presumedEnded:         map[string]time.Time{},
		longRunning:           map[*group]struct{}{},
		lateProbes:            retrybudget.New(),
		listedBounds:          map[host.ID]uint64{},
	}
}

// Orders lists the actions to carry out next. Every order is carried out once; its result is reported with
// the method named beside it.
type Orders struct {
	Starts    []StartOrder    // Started
	Stops     []StopOrder     // Stopped
	Polls     []PollOrder     // Polled
	Queries   []QueryOrder    // PolicyAnswered
	Throttles []ThrottleOrder // HandleThrottleResult
	// MachineOrders take machines down; see HandleUpkeepResult.
	MachineOrders []UpkeepOrder
	// ListMachines requests the list of the platform's machines; see SetMachines.
	ListMachines bool
	// Deposed is true when another process has claimed the partition.
	Deposed bool
	// Commit requests TakeBatch soon, CommitNow at once.
	Commit, CommitNow bool
}

// StartOrder starts a run on a host.
type StartOrder struct {
	To host.Info
	// Generation is that of the calls to the host; see fencing.go. The other orders have it as well.
	Generation uint64
	Start      host.Start
}

// StopOrder stops a run on a host.
type StopOrder struct {
	To         host.Info
	Generation uint64
	Run        host.Run
}

// ThrottleOrder limits a run to a share of its speed.
type ThrottleOrder struct {
	To         host.Info
	Generation uint64
	Run        host.Run
	Percent    int
}

// PollOrder polls a host for its runs.
type PollOrder struct {
	To         host.Info
	Generation uint64
	Poll       host.Poll
	// Probe polls are sent in addition to a poll that waits at the host.
	Probe bool
	// Number distinguishes the other polls.
	Number uint64
}

// QueryOrder queries the policy service through a member.
type QueryOrder struct {
	ID     uint64
	Member string // the member that sends the query
	Step   spec.StepID
	Hosts  []host.ID
	// Timeout is the time-out of the query.
	Timeout time.Duration
}

// SetCatalog applies a new configuration. Hosts of services that it does not name stay unused, as a later
// configuration may name them.
func (e *Engine) SetCatalog(c *catalog.Catalog, now time.Time) {
	if c == e.catalog {
		return
	}
	e.catalog, e.now = c, now
	e.applyAccounts()
	e.applyWeights()
	for _, info := range slices.Collect(maps.Values(e.unconfiguredHosts)) {
		e.setHost(info, now)
	}
	for _, h := range slices.Clone(e.hostsByID) {
		if h.listed && !e.serviceConfigured(h.info.Service) {
			e.setHost(h.info, now)
		}
	}
}

// serviceConfigured reports whether the configuration names a service. Without a configuration, or one without
// services, every service counts as named.
func (e *Engine) serviceConfigured(service string) bool {
	return e.catalog == nil || len(e.catalog.Services) == 0 || e.catalog.Service(service) != nil
}

// SetAuthority sets the time until which this process may issue orders.
func (e *Engine) SetAuthority(until time.Time) { e.authorityUntil = until }

// Hosts returns the number of known hosts. It includes hosts that are no longer listed and may still run
// tasks.
func (e *Engine) Hosts() int { return len(e.hostsByID) }

// SetMembers sets the members through which the policy service can be queried.
func (e *Engine) SetMembers(names []string) { e.querySlots.SetMembers(names) }

// Next returns the orders that are due at now, and the time of the next call if nothing happens before.
func (e *Engine) Next(now time.Time) (Orders, time.Time) {
	e.now = now
	e.out = Orders{Deposed: e.deposed}
	if e.deposed {
		return e.out, now.Add(maxNextInterval)
	}
	e.adjustWorkingSets(now)
	e.reconcile(now)
	e.updateIncoming(now)
	e.expireHosts(now)
	e.checkRuns(now)
	e.releasePendingStarts(now)
	e.releaseHeld(now)
	e.storeAllPlacements(now)
	if now.Before(e.authorityUntil) && !now.Before(e.nextPassAt) {
		e.plan(now)
	}
	if now.Before(e.authorityUntil) {
		e.planCopies(now)
	}
	e.sampleQueueLoad(now)
	e.planStops(now)
	e.planThrottling(now)
	e.planUpkeep(now)
	e.logLoad(now)
	e.logLongRunning(now)
	e.planPolls(now)
	e.expireEndedJobs(now)
	e.planCommit()
	return e.out, e.nextDue(now)
}

// maxNextInterval is the longest time between two calls of Next.
const maxNextInterval = 100 * time.Millisecond

// nextDue returns when something becomes due by the passage of time alone.
func (e *Engine) nextDue(now time.Time) time.Time {
	next := now.Add(maxNextInterval)
	if e.nextPassAt.After(now) && e.nextPassAt.Before(next) {
		next = e.nextPassAt
	}
	if !e.nextPollDue.IsZero() && e.nextPollDue.Before(next) {
		next = e.nextPollDue
	}
	if at := e.copies.dueAt; at.After(now) && at.Before(next) {
		next = at
	}
	return later(next, now.Add(time.Millisecond))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
