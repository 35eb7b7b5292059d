// Package fleet manages the workers on behalf of a holder: it claims the workers
// of the partitions this process holds, places tasks on them, renews their leases
// and reports the outcome of each run to the job's owner. A job belongs to the
// home partition of its team; the holder of that partition runs the job owner (see
// package job).
//
// All state is guarded by one mutex, which is also held for scheduling decisions.
// Messages to workers and job owners are sent without holding it, at most one at a time
// to each, so that what accumulates in the meantime is batched into the next message.
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
	// maxTombstones bounds the tombstones for attempts whose stop was requested before
	// they were recorded.
	maxTombstones = 1 << 14
	// maxConcurrentClaims bounds the claims in flight, so that a failover of many
	// workers does not open that many connections at once.
	maxConcurrentClaims = 64
	// scarcityPeriod is how long capacity counts as scarce after a refusal.
	scarcityPeriod = 10 * time.Second
)

// Config contains the parameters and dependencies of a Fleet. Registerer and Log may be nil.
type Config struct {
	// Name is this member's name, which is sent to the workers with each claim.
	Name string
	// Partitions is the number of partitions of the cell.
	Partitions int
	// Lease is the duration of the runs' leases. It must be the same in all
	// placers of a cell; zero means 15 s.
	Lease time.Duration
	// Hosts returns the latest snapshot of the host list.
	Hosts      func() []platform.Host
	Authorizer hold.Authorizer
	Client     worker.Client
	Peers      peer.Caller
	View       view.Source
	// Delegations is the authority to renew leases for dead holders; nil when this
	// process is never a delegate.
	Delegations DelegateAuthority
	// StoreUp reports whether a majority of the members reaches the store,
	// according to the heartbeats that this process has received; nil when the cell
	// has no delegates. While it returns false, a delegate that receives no heartbeats
	// from this process may be renewing leases on its behalf.
	StoreUp    func() bool
	Registerer prometheus.Registerer
	Log        *logrus.Entry
}

// Fleet is a hold.Component that manages the workers of the held partitions.
type Fleet struct {
	cfg     Config
	timings timings
	log     *logrus.Entry
	metrics *metrics
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	claims  chan struct{} // slots for claims in flight

	mu           sync.Mutex
	claimMachine *fsm.FSM // shared by all workers; see claimstate.go
	cell         *scheduler.Cell
	partitions   map[int]*heldPartition
	workers      map[string]*managedWorker
	runs         map[worker.Attempt]*run
	jobOwners    map[int]*jobOwner
	tombstones   *lru.Cache[worker.Attempt, struct{}]
	gangs        map[gangKey]*gangHold
	waitingSlots []*waitingSlot
	// missingRuns are the runs that their workers no longer list, with the upper
	// bound for the end of their leases.
	missingRuns map[*run]time.Time
	// droppedPartitions holds, for each dropped partition, the time until which its
	// orders may still arrive.
	droppedPartitions map[int]droppedPartition
	// overCapacity is the set of workers over capacity, checked again at nextOverCheck.
	overCapacity  map[string]struct{}
	nextOverCheck time.Time
	// excludedWorkers are the workers whose health state is not good.
	health          *health.Workers
	excludedWorkers map[string]struct{}
	// scarceUntil is the time until which capacity counts as scarce, since requests were refused.
	scarceUntil time.Time
	delegations map[int]view.Partition
	delegated   map[string]*delegated
	// lastOutageAt is when the last outage of at least minOutage was observed, zero
	// if there was none since this process started; storeDownSince is when the store
	// became unreachable, zero while it is reachable.
	lastOutageAt, storeDownSince time.Time
}

var _ hold.Component = (*Fleet)(nil)

// New returns a Fleet that holds no partition. It makes no progress unless Run is running.
func New(cfg Config) *Fleet {
	if cfg.Lease <= 0 {
		cfg.Lease = defaultLease
	}
	log := cfg.Log
	if log == nil {
		log = logrus.NewEntry(logrus.StandardLogger())
	}
	tombstones, err := lru.New[worker.Attempt, struct{}](maxTombstones)
	if err != nil {
		panic(err) // only for a size below one
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Fleet{
		cfg: cfg, timings: timingsFor(cfg.Lease), log: log.WithField("part", "fleet"),
		metrics: newMetrics(cfg.Registerer), ctx: ctx, cancel: cancel,
		claims: make(chan struct{}, maxConcurrentClaims), claimMachine: newClaimMachine(),
		cell: scheduler.NewCell(xxhash.Sum64String(cfg.Name)), partitions: map[int]*heldPartition{}, workers: map[string]*managedWorker{},
		runs: map[worker.Attempt]*run{}, jobOwners: map[int]*jobOwner{}, tombstones: tombstones,
		gangs: map[gangKey]*gangHold{}, overCapacity: map[string]struct{}{}, health: health.NewWorkers(health.DefaultConfig()),
		excludedWorkers: map[string]struct{}{}, delegations: map[int]view.Partition{}, delegated: map[string]*delegated{},
		missingRuns: map[*run]time.Time{}, droppedPartitions: map[int]droppedPartition{},
	}
}

// Name returns the resident's name, under which its handover state is stored.
func (f *Fleet) Name() string { return "workers" }

// Run synchronizes with the host list, renews leases and retries failed calls until
// ctx ends; then it cancels the calls in flight, waits for them and returns.
func (f *Fleet) Run(ctx context.Context) {
	ticker := time.NewTicker(f.timings.tick)
	defer ticker.Stop()
	defer f.shutdown()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.tick(time.Now())
		}
	}
}

// shutdown cancels the calls in flight and waits for them. The mutex prevents spawn
// from adding to the wait group after the cancellation.
func (f *Fleet) shutdown() {
	f.mu.Lock()
	f.cancel()
	f.mu.Unlock()
	f.wg.Wait()
}

// tick runs the periodic work.
func (f *Fleet) tick(now time.Time) {
	hosts := f.cfg.Hosts()
	f.syncHosts(hosts, now)
	f.renewDelegated(hosts, now)
	f.declareLost(now)
	table := f.cfg.View.Table()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropTransferred(table)
	f.expireGangHolds(now)
	f.relieveOverCapacity(now)
	f.placeWaitingSlots(now)
	for _, w := range f.workers {
		f.startDriver(w, now)
	}
	for id, o := range f.jobOwners {
		f.startUpdateSender(id, o, now)
	}
}

// spawn runs fn in a goroutine that Run waits for. It returns false once Run is
// ending. The caller holds the mutex.
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
