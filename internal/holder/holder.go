// Package holder runs the partitions that this process holds. For each of them it passes
// input from hosts, members and the store to a scheduling engine and executes the engine's
// orders.
package holder

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/advice"
	"pulleyquay/internal/catalog"
	"pulleyquay/internal/engine"
	"pulleyquay/internal/evacuation"
	"pulleyquay/internal/host"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/linkshard"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/unreadable"
	"pulleyquay/internal/upkeep"
)

const (
	// authorityDuration is how long a holder may give orders after its claim was last
	// confirmed. The next holder waits for this duration plus a lease before it restarts
	// tasks that may still run on hosts that it cannot reach, unless the holder is known to have
	// ended; see lastLeaseEnd.
	authorityDuration = 3 * time.Second
	// minCommitInterval is the minimum time between two rounds of transactions. Writes that
	// accumulate in between are committed together.
	minCommitInterval = 40 * time.Millisecond
	// idleCommitInterval is the time until the next transaction when there is nothing to
	// write. An empty transaction renews the authority to give orders.
	idleCommitInterval = 600 * time.Millisecond
	// machineCallTimeout bounds a call to the machine service.
	machineCallTimeout = 1500 * time.Millisecond
	// busyTimeoutExtension is added to the time-out of policy queries while this process is
	// short of processor time. Without it, queries time out only because their replies are
	// processed late, and have to be sent again.
	busyTimeoutExtension = time.Second
	// loadMetricsInterval is the update interval of the metrics of client accounts and of long-running tasks.
	loadMetricsInterval = 5 * time.Second
	// eventBatchDelay is how long events are batched before the engine decides.
	eventBatchDelay = time.Millisecond
)

// Config is shared by the holders of all partitions.
type Config struct {
	Store  platform.Poller
	Health *follow.Health
	Hosts  host.Client
	Peers  peer.Caller
	// Self and Addr are the member name and the peer address of this process.
	Self, Addr string
	// Shards lists the members that can call hosts on behalf of a holder.
	Shards func() []linkshard.Member
	Log    *logrus.Entry
	Bounds engine.Bounds
	Tuning engine.Tuning
	// HostPrefix is the store prefix under which hosts register.
	HostPrefix string
	DecodeHost func(platform.Record) (host.Info, error)
	HostOf     func(key string) host.ID
	// HeartbeatOnly reports whether two entries of a host differ in nothing but the heartbeat number, and returns
	// that of the later one; nil if that can't be told without decoding them.
	HeartbeatOnly func(before, after []byte) (seq int64, ok bool)
	// HostContent returns what is left of an entry without that number; nil to compare whole entries. Unreadable counts
	// the records that can't be decoded; nil to count none.
	HostContent func(value []byte) []byte
	Unreadable  *unreadable.Counters
	// EntryLifetime is how long the entry of a host stays in force after an unreadable one has replaced it; zero ends
	// it at once.
	EntryLifetime time.Duration
	// Machines takes machines down for maintenance; nil where no machine service is
	// configured. WavePrefix is the store prefix of the rollouts that operators request,
	// WaveState returns the write that reports the progress of one.
	Machines   upkeep.Service
	WavePrefix string
	DecodeWave func(platform.Record) (upkeep.Rollout, error)
	WaveState  func(upkeep.Progress) platform.Write
	// DutyLease is the minimum time between the previous holder's last order to a machine
	// and the next holder's first one.
	DutyLease time.Duration
	Catalog   func() *catalog.Catalog
	// Evacuations returns the evacuated availability zones; nil where operators can't evacuate any.
	Evacuations func() *evacuation.Set
	// PolicyMembers returns the members that can query the policy service, with their addresses.
	// They stay the same until a member changes.
	PolicyMembers func() *advice.Members
	Metrics       *Metrics
	Event         func(engine.Event)
	// Busy reports whether this process is short of processor time.
	Busy func() bool
}

// recordEvent counts an event in the metrics and passes it on to Event.
func (c *Config) recordEvent(e engine.Event) {
	c.Metrics.countEvent(e)
	if c.Event != nil {
		c.Event(e)
	}
}

// Holder runs one partition that this process holds.
type Holder struct {
	cfg    Config
	ledger *ledger.Ledger
	log    *logrus.Entry

	ctx             context.Context
	cancel          context.CancelCauseFunc
	wake            chan struct{}
	commitRequested chan struct{}
	calls           sync.WaitGroup
	router          *linkshard.Router
	hostCount       atomic.Int64 // hosts of the partition
	calledHosts     atomic.Int64 // hosts to which calls are made
	limits          atomic.Pointer[measuredLimits]
	entries         hostEntries
	// oddHosts, oddRecords and oddWaves report what cannot be decoded among the entries of hosts, the records of this
	// partition and the rollouts that operators request.
	oddHosts, oddRecords, oddWaves *unreadable.Reporter

	mu     sync.Mutex
	engine *engine.Engine
	kept   keptEntries
	// members are the members that the engine knows.
	members *advice.Members
	// batchStored is closed and replaced after each stored batch.
	batchStored chan struct{}
	// jobsRevision and hostsRevision are the store revisions after which changes of jobs and
	// hosts are followed.
	jobsRevision, hostsRevision platform.Revision
	// reconcileDeadline is when nothing that earlier holders ordered can still run on an unreported
	// host, as long as the end of the previous holder is not known; zero for the first holder.
	reconcileDeadline time.Time
}

// errStopping is the cause of a stop that this process initiated.
var errStopping = errors.New("planned stop")

// New returns the holder of a partition that was claimed with l. It is idle until Run is
// called.
func New(cfg Config, l *ledger.Ledger) *Holder {
	self := l.Holder()
	h := &Holder{
		cfg: cfg, ledger: l,
		log:  cfg.Log.WithFields(logrus.Fields{"partition": self.Partition, "epoch": self.Epoch}),
		wake: make(chan struct{}, 1), commitRequested: make(chan struct{}, 1), batchStored: make(chan struct{}),
		engine: engine.New(engine.Config{
			Partition: self.Partition, Epoch: self.Epoch, Bounds: cfg.Bounds, Tuning: cfg.Tuning,
			Seed: self.Epoch, Log: cfg.recordEvent, WaveState: cfg.WaveState,
		}),
	}
	h.oddHosts = h.reporter("hosts", "an entry names no host", logrus.WarnLevel)
	h.oddHosts.Content = cfg.HostContent
	h.oddRecords = h.reporter("records", "cannot decode a record", logrus.ErrorLevel)
	h.oddWaves = h.reporter("waves", "cannot decode a maintenance rollout", logrus.ErrorLevel)
	h.router = linkshard.New(linkshard.Config{
		Partition: self.Partition, Epoch: self.Epoch, Self: cfg.Self, Addr: cfg.Addr, Peers: cfg.Peers, Local: cfg.Hosts,
		Members: cfg.Shards, Hosts: func() int { return int(h.calledHosts.Load()) }, Apply: h.applyOutcomes, Busy: cfg.Busy, Log: h.log,
	})
	return h
}

// reporter returns a reporter of the unreadable records of a list.
func (h *Holder) reporter(list, message string, level logrus.Level) *unreadable.Reporter {
	return &unreadable.Reporter{Log: h.log, List: list, Message: message, Level: level, Counters: h.cfg.Unreadable}
}

// Run loads the state that the previous holder stored and runs the partition until ctx ends
// or another process claims it. It returns the cause. Run calls onAcquired once the holder
// can answer messages and onLost when it no longer can.
func (h *Holder) Run(ctx context.Context, previous ledger.Predecessor, onAcquired, onLost func()) error {
	h.ctx, h.cancel = context.WithCancelCause(ctx)
	defer h.cancel(errStopping)
	if err := h.loadFromStore(previous.Holder); err != nil {
		return err
	}
	onAcquired()
	defer onLost()
	var loops sync.WaitGroup
	loopFuncs := []func(){h.decideLoop, h.commitLoop, h.followHosts, h.followJobs, h.reportLoads, func() { h.router.Run(h.ctx) }}
	if h.cfg.Machines != nil {
		loopFuncs = append(loopFuncs, h.followRollouts)
	}
	if !h.reconcileDeadline.IsZero() && previous.AwaitEnd != nil {
		loopFuncs = append(loopFuncs, func() { h.applyPreviousEnd(previous) })
	}
	for _, loop := range loopFuncs {
		loops.Go(loop)
	}
	loops.Wait()
	h.router.Wait()
	h.calls.Wait()
	return context.Cause(h.ctx)
}

// reportLoads updates the metrics of client accounts, of long-running tasks and of copies periodically.
func (h *Holder) reportLoads() {
	tick := time.NewTicker(loadMetricsInterval)
	defer tick.Stop()
	defer h.cfg.Metrics.reportAccounts(nil)
	defer h.cfg.Metrics.reportLongRunningGaps(nil)
	defer h.cfg.Metrics.reportAdmission(nil)
	for {
		select {
		case <-h.ctx.Done():
			return
		case now := <-tick.C:
			h.mu.Lock()
			loads, gaps := h.engine.AccountLoads(now), h.engine.LongRunningGaps(now)
			admission, copies := h.engine.QueueLoads(), h.engine.TakeCopyTotals()
			h.mu.Unlock()
			h.cfg.Metrics.reportCopies(copies)
			h.cfg.Metrics.reportAccounts(loads)
			h.cfg.Metrics.reportLongRunningGaps(gaps)
			h.cfg.Metrics.reportAdmission(admission)
		}
	}
}

// updateEngine applies an update to the engine under the lock and triggers a decision.
func (h *Holder) updateEngine(update func(e *engine.Engine, now time.Time)) {
	start := time.Now()
	h.mu.Lock()
	now := time.Now()
	update(h.engine, now)
	h.mu.Unlock()
	h.cfg.Metrics.observeWait(now.Sub(start))
	h.wakeDecider()
}

// applyOutcomes runs update, which passes outcomes of host calls to the engine, under the lock.
func (h *Holder) applyOutcomes(update func(now time.Time)) {
	h.updateEngine(func(_ *engine.Engine, now time.Time) { update(now) })
}

func (h *Holder) wakeDecider() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// decideLoop runs the engine after each update and when a decision becomes due.
func (h *Holder) decideLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.wake:
			time.Sleep(eventBatchDelay)
		case <-timer.C:
		}
		orders, due := h.decide()
		if orders.Deposed {
			h.cancel(ledger.ErrDeposed)
			return
		}
		h.dispatchOrders(orders)
		timer.Reset(time.Until(due))
	}
}

func (h *Holder) decide() (engine.Orders, time.Time) {
	c := h.cfg.Catalog()
	members := h.cfg.PolicyMembers()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.hostCount.Store(int64(h.engine.Hosts()))
	h.engine.SetCatalog(c, now)
	if h.cfg.Evacuations != nil {
		h.engine.SetEvacuations(h.cfg.Evacuations(), now)
	}
	if members != h.members {
		h.members = members
		h.engine.SetMembers(members.Names)
	}
	h.engine.SetAuthority(h.ledger.LastConfirmed().Add(authorityDuration))
	orders, due := h.engine.Next(now)
	h.calledHosts.Store(int64(h.engine.CalledHosts()))
	h.publishLimits()
	h.cfg.Metrics.observeDecision(time.Since(now))
	return orders, due
}

// dispatchOrders starts the execution of the orders without waiting for any result.
func (h *Holder) dispatchOrders(o engine.Orders) {
	h.router.Do(h.ctx, h.hostCalls(o))
	for _, q := range o.Queries {
		h.calls.Go(func() { h.queryPolicy(q) })
	}
	for _, u := range o.MachineOrders {
		h.calls.Go(func() { h.startMaintenance(u) })
	}
	if o.ListMachines {
		h.calls.Go(h.listMachines)
	}
	if o.Commit || o.CommitNow {
		select {
		case h.commitRequested <- struct{}{}:
		default:
		}
	}
}

// hostCalls returns the host calls for the orders. The Done callbacks pass the outcomes to
// the engine and have to be called with the lock held.
func (h *Holder) hostCalls(o engine.Orders) []linkshard.Call {
	e := h.engine
	calls := make([]linkshard.Call, 0, len(o.Stops)+len(o.Starts)+len(o.Throttles)+len(o.Polls))
	for _, s := range o.Stops {
		calls = append(calls, linkshard.Call{To: s.To, Token: e.Token(s.Generation), Stop: &s.Run, Done: func(x linkshard.Outcome, now time.Time) {
			e.Stopped(s, x.Reply, x.Err, now)
		}})
	}
	for _, s := range o.Starts {
		calls = append(calls, linkshard.Call{To: s.To, Token: e.Token(s.Generation), Start: &s.Start, Done: func(x linkshard.Outcome, now time.Time) {
			e.Started(s, x.Reply, x.Err, now)
		}})
	}
	for _, p := range o.Throttles {
		throttle := &linkshard.Throttle{Run: p.Run, Percent: p.Percent}
		calls = append(calls, linkshard.Call{To: p.To, Token: e.Token(p.Generation), Throttle: throttle, Done: func(x linkshard.Outcome, now time.Time) {
			e.HandleThrottleResult(p, x.Reply, x.Err, now)
		}})
	}
	for _, p := range o.Polls {
		calls = append(calls, linkshard.Call{To: p.To, Token: e.Token(p.Generation), Poll: &p.Poll, Done: func(x linkshard.Outcome, now time.Time) {
			e.Polled(p, x.Sent, x.View, x.Err, now)
		}})
	}
	return calls
}

// queryPolicy queries the policy service through the member that the engine selected.
func (h *Holder) queryPolicy(o engine.QueryOrder) {
	timeout := o.Timeout
	if h.cfg.Busy() {
		timeout += busyTimeoutExtension
	}
	ctx, cancel := context.WithTimeout(h.ctx, timeout)
	defer cancel()
	var reply advice.Reply
	err := h.cfg.Peers.Call(ctx, h.cfg.PolicyMembers().Addrs[o.Member], peer.KindPolicyQuery, PolicyQuery{Step: o.Step, Hosts: o.Hosts}, &reply)
	h.updateEngine(func(e *engine.Engine, now time.Time) { e.PolicyAnswered(o, reply, err, now) })
}
