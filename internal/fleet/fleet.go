// Package fleet is the holder's side of the workers: it claims the workers of
// the partitions this process holds, places tasks on them, renews their leases
// and tells the homes of the jobs what became of each run.
//
// All state is guarded by one mutex; the scheduler decides under it. Messages to
// workers and homes are sent outside of it, at most one at a time to each, so
// that whatever gathers meanwhile goes into the next message.
package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/looplab/fsm"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/health"
	"pulleyquay/internal/hold"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/scheduler"
	"pulleyquay/internal/view"
	"pulleyquay/internal/worker"
)

// Bounds of a fleet.
const (
	defaultLease = 15 * time.Second
	// tombstones is how many stopped but unknown attempts are remembered.
	tombstones = 1 << 14
	// claimsAtOnce bounds the claims in flight, so that a takeover of many
	// workers does not open as many connections at one moment.
	claimsAtOnce = 64
	// scarceFor is how long after a refusal room counts as scarce.
	scarceFor = 10 * time.Second
)

// Config is what a Fleet needs. Registerer and Log may be nil.
type Config struct {
	// Name is this member's name, told to the workers.
	Name string
	// Partitions is the number of partitions of the cell.
	Partitions int
	// Lease is the term of the runs' leases. It must be the same in all
	// placers of a cell; zero means 15 s.
	Lease time.Duration
	// Hosts returns the latest snapshot of the host list.
	Hosts  func() []platform.Host
	Right  hold.Right
	Client worker.Client
	Peers  peer.Caller
	View   view.Source
	// Covers is the right to renew for dead holders; nil when this process is
	// never a deputy.
	Covers CoverRight
	// StoreUp reports whether a majority of the members reaches the store, as
	// far as this process has heard; nil when there are no deputies in the
	// cell. While it does not, a deputy that does not hear this process may be
	// renewing leases in its name.
	StoreUp    func() bool
	Registerer prometheus.Registerer
	Log        *logrus.Entry
}

// Fleet is a hold.Resident for the workers of the held partitions.
type Fleet struct {
	cfg     Config
	times   times
	log     *logrus.Entry
	metrics *metrics
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	claims  chan struct{} // slots for claims in flight

	mu      sync.Mutex
	machine *fsm.FSM // shared by all agents; see claimstate.go
	cell    *scheduler.Cell
	parts   map[int]*part
	agents  map[string]*agent
	runs    map[worker.Attempt]*run
	homes   map[int]*home
	tombs   *lru.Cache[worker.Attempt, struct{}]
	gangs   map[gangKey]*gang
	wishes  []*wish
	// lapsing are the runs missing at their workers, with the bound of their
	// leases.
	lapsing map[*run]time.Time
	// left are partitions given up, until when orders of theirs may arrive.
	left map[int]leftPart
	// over are the workers above their size, looked at anew at overAt.
	over   map[string]struct{}
	overAt time.Time
	// suspects are the workers that health does not think well of.
	health   *health.Workers
	suspects map[string]struct{}
	// scarceUntil is until when room counts as scarce: requests were refused.
	scarceUntil time.Time
	covers      map[int]view.Partition
	covered     map[string]*covered
	// storeSince is when the last outage of at least outageMin ended, zero when
	// there was none in this process's life; storeDown is since when the store
	// has been out of reach, zero while it is not.
	storeSince, storeDown time.Time
}

var _ hold.Resident = (*Fleet)(nil)

// New returns a Fleet that holds nothing. Run has to be running for it to work.
func New(cfg Config) *Fleet {
	if cfg.Lease <= 0 {
		cfg.Lease = defaultLease
	}
	log := cfg.Log
	if log == nil {
		log = logrus.NewEntry(logrus.StandardLogger())
	}
	tombs, err := lru.New[worker.Attempt, struct{}](tombstones)
	if err != nil {
		panic(err) // only for a size below one
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Fleet{
		cfg: cfg, times: timesOf(cfg.Lease), log: log.WithField("part", "fleet"),
		metrics: newMetrics(cfg.Registerer), ctx: ctx, cancel: cancel,
		claims: make(chan struct{}, claimsAtOnce), machine: newClaimMachine(),
		cell: scheduler.NewCell(xxhash.Sum64String(cfg.Name)), parts: map[int]*part{}, agents: map[string]*agent{},
		runs: map[worker.Attempt]*run{}, homes: map[int]*home{}, tombs: tombs,
		gangs: map[gangKey]*gang{}, over: map[string]struct{}{}, health: health.NewWorkers(health.DefaultConfig()),
		suspects: map[string]struct{}{}, covers: map[int]view.Partition{}, covered: map[string]*covered{},
		lapsing: map[*run]time.Time{}, left: map[int]leftPart{},
	}
}

// Name is the resident's name.
func (f *Fleet) Name() string { return "workers" }

// Run follows the host list, renews leases and repeats what failed until ctx
// ends; then it ends every call in flight and returns.
func (f *Fleet) Run(ctx context.Context) {
	ticker := time.NewTicker(f.times.tick)
	defer ticker.Stop()
	defer f.end()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.tick(time.Now())
		}
	}
}

// end ends the calls in flight. The mutex keeps spawn from adding to the wait.
func (f *Fleet) end() {
	f.mu.Lock()
	f.cancel()
	f.mu.Unlock()
	f.wg.Wait()
}

// tick does what is due.
func (f *Fleet) tick(now time.Time) {
	hosts := f.cfg.Hosts()
	f.follow(hosts, now)
	f.coverWorkers(hosts, now)
	f.declareLost(now)
	table := f.cfg.View.Table()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropMoved(table)
	f.lapseGangs(now)
	f.relieve(now)
	f.grantWishes(now)
	for _, a := range f.agents {
		f.kick(a, now)
	}
	for id, h := range f.homes {
		f.kickNews(id, h, now)
	}
}

// spawn runs fn in a goroutine that Run waits for; not after the end of Run.
// The caller holds the mutex.
func (f *Fleet) spawn(fn func()) bool {
	if f.ctx.Err() != nil {
		return false
	}
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		fn()
	}()
	return true
}
