// Package engine decides for one partition: which task starts on which host and
// when, what is stopped, whom the policy service is asked about, and what has to
// be written to the store before anybody may be told.
//
// An Engine is pure: it does no I/O, starts no goroutines and reads no clock.
// Whoever drives it tells it what happened, at what time, and carries out the
// Orders that it then asks for. Calls must not overlap.
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

// Config is what an Engine works with.
type Config struct {
	Partition int
	// Epoch is that of the claim under which all orders are given.
	Epoch  uint64
	Bounds Bounds
	Tuning Tuning
	// Seed decides between equal choices.
	Seed uint64
	// WaveState gives the write that tells operators the state of a wave.
	WaveState func(upkeep.Progress) platform.Write
	// Log is told of decisions; nil tells nobody.
	Log func(Event)
}

// Bounds are the platform's own times; they come with the process's settings.
type Bounds struct {
	// LeaseLimit is the longest lease that a host grants.
	LeaseLimit time.Duration
	// StopTakes is how long a stop takes at most.
	StopTakes time.Duration
	// GangWait is how long a member of a gang waits for the others.
	GangWait time.Duration
	// RememberEnded is how long the end of a job can be asked for.
	RememberEnded time.Duration
	// FarFactor is how many times as long a task takes away from its data's rack.
	FarFactor float64
	// RestoreTakes is how long a task needs to go on from a checkpoint.
	RestoreTakes time.Duration
	// CheckpointEvery is how much work lies between two checkpoints.
	CheckpointEvery time.Duration
	// RoomNews is how long after a room has shrunk starts may still go by what it was.
	RoomNews time.Duration
}

// Engine is the state of one partition's holder.
type Engine struct {
	cfg Config
	rnd *rand.Rand

	catalog *catalog.Catalog
	// accounts are the client accounts that have jobs here, by name.
	accounts map[string]*account
	// promising are those of them that have promised quota in this going through the queue.
	promising []*account
	// unheard are the hosts that were not heard of since the takeover, unowned is what runs of
	// jobs that are not known take.
	unheard unheardHosts
	unowned spec.Resources
	jobs    map[string]*job
	live    map[string]*job
	// ready holds the steps with tasks to start, in no order.
	ready map[spec.StepID]*group
	// queue holds those of them whose turn it is, the first to serve first, fresh those
	// that are to join it.
	queue, fresh []*group
	// planAt is when the queue is to be gone through next.
	planAt time.Time
	hosts  map[host.ID]*hostState
	// foreign are the listed hosts of services that the configuration does not name.
	foreign map[host.ID]host.Info
	// sorted are the hosts in the order of their ids.
	sorted []*hostState
	// unwanted are the runs to be stopped.
	unwanted map[*run]struct{}
	// room counts the moments at which room came free or hosts became usable, so
	// that a step that found none is tried again only after the next.
	room       uint64
	orderedAt  time.Time // when the queue was last sorted anew
	loadToldAt time.Time // when the log last told the load of the cell
	watchedAt  time.Time // when the runs were last looked through
	expiredAt  time.Time // when hosts were last looked through for silent ones
	lookDue    time.Time // when the next host is to be looked at
	// unsettled is true after a takeover until it is known what every host runs.
	unsettled bool
	// settleBy is when hosts that were not heard of can run nothing any more.
	settleBy time.Time
	// proved is until when this process may give orders.
	proved time.Time
	// deposed is true once a host has shown that there is a later holder.
	deposed bool
	// now is the time of the present call, for the log.
	now time.Time

	lanes *advice.Lanes
	// runtimes is what tasks' run times have been, by queue.
	runtimes *runtimes.Learner
	// good is the share of hosts that a queue's steps may run on, by queue.
	good  map[string]float64
	asks  map[uint64]*question
	askID uint64

	dirty   map[string]*job // jobs whose stored record is behind
	ended   []endedJob      // in the order of ending, to be forgotten
	forget  []string        // jobs whose records are to be deleted
	commits uint64          // batches taken
	durable uint64          // batches known to be stored
	marks   int             // ends not yet covered by a batch
	// rosterBehind is true when the stored roster is not as it should be.
	rosterBehind bool
	// strangerEnds are ends of runs whose jobs are not known, by job.
	strangerEnds map[string][]strangerEnd
	// strangers counts the runs in the books whose jobs are not known.
	strangers int
	// claiming are the hosts whose first looks are under way.
	claiming map[host.ID]struct{}
	// held counts, for each task, the hosts not heard of on which it may run.
	held map[spec.StepTask]int

	pools map[string]*pool // by service
	out   Orders
	// unpaced are the hosts whose fillers may not have the pace that they should.
	unpaced map[*hostState]struct{}
	// fillShare is the share at which fillers of an image were last too much for the
	// serving tasks beside them, by image.
	fillShare map[string]int
	shrunk    shrinking // what rooms have lately shrunk to
	// losses are the lives of hosts that ended lately, exiles those that are held against
	// tasks though they may come back, trials the hosts on which a job is on trial.
	losses crashloop.Losses
	exiles map[string]time.Time
	trials int
	// verdicts are accusations that wait, foundGone counts the inherited hosts that were
	// gone before this holder spoke to them, of inheritedHosts.
	verdicts                  []verdict
	foundGone, inheritedHosts int
	// retried is true while the store lacks a run of a task under which hosts crashed.
	retried bool
	// upkeep plans waves; nil where no machines can be ordered.
	upkeep   *upkeep.Planner
	upkeepAt time.Time // when waves were last moved on
	// reserving counts the gangs of this plan that have places reserved,
	// reservingLarge the steps of large tasks.
	reserving, reservingLarge int
	// scratch is reused for the hosts of one plan.
	scratch []*hostState
	// waitsTold counts the steps of which the log was told lately why they wait.
	waitsTold int
}

// endedJob is a job that is final, until it is forgotten.
type endedJob struct {
	id string
	at time.Time
}

// New returns an engine that knows nothing yet. Unless it is the first holder
// ever, it starts nothing of older jobs before Settle or until settleBy.
func New(cfg Config) *Engine {
	return &Engine{
		cfg:          cfg,
		rnd:          rand.New(rand.NewPCG(cfg.Seed, cfg.Epoch)),
		accounts:     map[string]*account{},
		jobs:         map[string]*job{},
		live:         map[string]*job{},
		ready:        map[spec.StepID]*group{},
		hosts:        map[host.ID]*hostState{},
		foreign:      map[host.ID]host.Info{},
		asks:         map[uint64]*question{},
		unwanted:     map[*run]struct{}{},
		dirty:        map[string]*job{},
		good:         map[string]float64{},
		unpaced:      map[*hostState]struct{}{},
		fillShare:    map[string]int{},
		lanes:        advice.NewLanes(),
		runtimes:     runtimes.NewLearner(),
		strangerEnds: map[string][]strangerEnd{},
		claiming:     map[host.ID]struct{}{},
		held:         map[spec.StepTask]int{},
		pools:        map[string]*pool{},
		exiles:       map[string]time.Time{},
	}
}

// Orders is what is to be done next. Every order is carried out once; its
// outcome is reported with the method named beside it.
type Orders struct {
	Starts []StartOrder // Started
	Stops  []StopOrder  // Stopped
	Looks  []LookOrder  // Viewed
	Asks   []AskOrder   // Advised
	Paces  []PaceOrder  // Paced
	// Upkeeps take machines down; see Upkept.
	Upkeeps []UpkeepOrder
	// ListMachines asks for the platform's machines; see SetMachines.
	ListMachines bool
	// Deposed is true when another process has claimed the partition.
	Deposed bool
	// Commit asks for TakeBatch soon; CommitNow for TakeBatch at once.
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

// PaceOrder lets a run work at a share of its speed.
type PaceOrder struct {
	To      host.Info
	Run     host.Run
	Percent int
}

// LookOrder asks a host what it runs.
type LookOrder struct {
	To   host.Info
	Look host.Look
	// Probe looks are made beside the one that waits.
	Probe bool
}

// AskOrder asks the policy service through a member.
type AskOrder struct {
	ID    uint64
	Lane  string // the member that asks
	Step  spec.StepID
	Hosts []host.ID
	// Patience is when an answer is not to be expected any more.
	Patience time.Duration
}

// SetCatalog takes in the configuration in force. Hosts of services that it does not
// name are not used; it may name them later.
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

// named reports whether a service is one that the configuration names, as far as there
// is one.
func (e *Engine) named(service string) bool {
	return e.catalog == nil || len(e.catalog.Services) == 0 || e.catalog.Service(service) != nil
}

// SetProved says until when this process may give orders.
func (e *Engine) SetProved(until time.Time) { e.proved = until }

// Hosts is how many hosts are known, those included that are gone from the list and may
// still run something.
func (e *Engine) Hosts() int { return len(e.sorted) }

// SetMembers names the members through which the policy service can be asked.
func (e *Engine) SetMembers(names []string) { e.lanes.SetMembers(names) }

// Next decides what is due at now. The second value is when to call again if
// nothing happens before.
func (e *Engine) Next(now time.Time) (Orders, time.Time) {
	e.now = now
	e.out = Orders{Deposed: e.deposed}
	if e.deposed {
		return e.out, now.Add(restInterval)
	}
	e.settle(now)
	e.begin(now)
	e.expireHosts(now)
	e.watchRuns(now)
	if now.Before(e.proved) && !now.Before(e.planAt) {
		e.plan(now)
	}
	e.planStops(now)
	e.planPaces(now)
	e.planUpkeep(now)
	e.tellLoad(now)
	e.planLooks(now)
	e.forgetEnded(now)
	e.planCommit()
	return e.out, e.nextDue(now)
}

// restInterval is the longest time between two calls of Next.
const restInterval = 100 * time.Millisecond

// nextDue returns when something becomes due by the passing of time alone.
func (e *Engine) nextDue(now time.Time) time.Time {
	next := now.Add(restInterval)
	if e.planAt.After(now) && e.planAt.Before(next) {
		next = e.planAt
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
