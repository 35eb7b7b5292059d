// Package holder runs one partition that this process holds: it feeds an engine
// with what hosts, members and the store say, and carries out its orders.
package holder

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/advice"
	"pulleyquay/internal/catalog"
	"pulleyquay/internal/engine"
	"pulleyquay/internal/host"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/linkshard"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/upkeep"
)

// Times of the holder.
const (
	// rightTerm is for how long a holder may give orders after it was surely the
	// holder. Its successor waits that long, and a lease on top, before it starts
	// what may run on hosts that it can not reach.
	rightTerm = 3 * time.Second
	// commitEvery is the least time between two transactions; what gathers
	// meanwhile goes together.
	commitEvery = 40 * time.Millisecond
	// commitIdle is how soon a transaction follows the last when there is nothing
	// to write: it renews the right to give orders.
	commitIdle = 600 * time.Millisecond
	// machinePatience bounds a call to the service for machines.
	machinePatience = 1500 * time.Millisecond
	// busySlack is how much longer a busy process waits for the policy service's answer:
	// one that is given up as it is taken in late has to be asked for again.
	busySlack = time.Second
	// mostUnreadable is how many entries that name no host are remembered, so that the
	// log has one line on each and not one a heartbeat.
	mostUnreadable = 1024
	// accountsEvery is how often the metrics of client accounts are renewed.
	accountsEvery = 5 * time.Second
	// gatherFor is how long events are gathered before decisions are made.
	gatherFor = time.Millisecond
)

// Config is what holders of all partitions share.
type Config struct {
	Store  platform.Poller
	Health *follow.Health
	Hosts  host.Client
	Peers  peer.Caller
	// Self and Addr are this process's name and address among its peers.
	Self, Addr string
	// Shards lists the members that can make calls to hosts for a holder.
	Shards func() []linkshard.Member
	Log    *logrus.Entry
	Bounds engine.Bounds
	Tuning engine.Tuning
	// HostPrefix is where hosts enter themselves in the store.
	HostPrefix string
	DecodeHost func(platform.Record) (host.Info, error)
	HostOf     func(key string) host.ID
	// Machines takes machines down for their upkeep; nil where none can be ordered.
	// WavePrefix is where operators ask for it, WaveState the write that tells them.
	Machines   upkeep.Service
	WavePrefix string
	DecodeWave func(platform.Record) (upkeep.Wave, error)
	WaveState  func(upkeep.Progress) platform.Write
	// DutyLease is how long after a former holder's last order to a machine the next
	// holder may give one.
	DutyLease time.Duration
	Catalog   func() *catalog.Catalog
	// Lanes maps the members that can ask the policy service to their addresses.
	Lanes   func() map[string]string
	Metrics *Metrics
	Event   func(engine.Event)
	// Busy reports whether this process lacks processor time.
	Busy func() bool
}

// event counts a decision and tells it to the log.
func (c *Config) event(e engine.Event) {
	c.Metrics.count(e)
	if c.Event != nil {
		c.Event(e)
	}
}

// Holder is one held partition.
type Holder struct {
	cfg    Config
	ledger *ledger.Ledger
	log    *logrus.Entry

	ctx    context.Context
	cancel context.CancelCauseFunc
	wake   chan struct{}
	commit chan struct{}
	calls  sync.WaitGroup
	router *linkshard.Router
	hosts  atomic.Int64 // of the partition
	// unreadable are the keys of entries that name no host, so that each is told once.
	unreadable *lru.Cache[string, struct{}]

	mu     sync.Mutex
	engine *engine.Engine
	// stored is closed, and made anew, after each batch.
	stored chan struct{}
	// jobsAt and hostsAt are the revisions from which on the store is followed.
	jobsAt, hostsAt platform.Revision
}

// errStopping ends a holder at this process's own wish.
var errStopping = errors.New("planned stop")

// New returns the holder of a partition that was claimed with l. It does nothing
// before Run.
func New(cfg Config, l *ledger.Ledger) *Holder {
	self := l.Holder()
	unreadable, err := lru.New[string, struct{}](mostUnreadable)
	if err != nil {
		panic("holder: " + err.Error()) // its size is a constant above zero
	}
	h := &Holder{
		cfg: cfg, ledger: l, unreadable: unreadable,
		log:  cfg.Log.WithFields(logrus.Fields{"partition": self.Partition, "epoch": self.Epoch}),
		wake: make(chan struct{}, 1), commit: make(chan struct{}, 1), stored: make(chan struct{}),
		engine: engine.New(engine.Config{
			Partition: self.Partition, Epoch: self.Epoch, Bounds: cfg.Bounds, Tuning: cfg.Tuning,
			Seed: self.Epoch, Log: cfg.event, WaveState: cfg.WaveState,
		}),
	}
	h.router = linkshard.New(linkshard.Config{
		Partition: self.Partition, Epoch: self.Epoch, Self: cfg.Self, Addr: cfg.Addr, Peers: cfg.Peers, Local: cfg.Hosts,
		Members: cfg.Shards, Hosts: func() int { return int(h.hosts.Load()) }, Apply: h.together, Busy: cfg.Busy, Log: h.log,
	})
	return h
}

// Run takes the partition over from the former holder and works on it until ctx
// ends or another process has claimed it. It returns why. Between taken and lost
// the holder answers messages.
func (h *Holder) Run(ctx context.Context, former ledger.Holder, taken, lost func()) error {
	h.ctx, h.cancel = context.WithCancelCause(ctx)
	defer h.cancel(errStopping)
	if err := h.takeOver(former); err != nil {
		return err
	}
	taken()
	defer lost()
	var loops sync.WaitGroup
	work := []func(){h.decideLoop, h.commitLoop, h.followHosts, h.followJobs, h.tellAccounts, func() { h.router.Run(h.ctx) }}
	if h.cfg.Machines != nil {
		work = append(work, h.followWaves)
	}
	for _, loop := range work {
		loops.Go(loop)
	}
	loops.Wait()
	h.router.Wait()
	h.calls.Wait()
	return context.Cause(h.ctx)
}

// tellAccounts keeps the metrics of client accounts up to date.
func (h *Holder) tellAccounts() {
	tick := time.NewTicker(accountsEvery)
	defer tick.Stop()
	defer h.cfg.Metrics.tellAccounts(nil)
	for {
		select {
		case <-h.ctx.Done():
			return
		case now := <-tick.C:
			h.mu.Lock()
			loads := h.engine.AccountLoads(now)
			h.mu.Unlock()
			h.cfg.Metrics.tellAccounts(loads)
		}
	}
}

// do tells the engine something and has it decide again.
func (h *Holder) do(fn func(e *engine.Engine, now time.Time)) {
	begun := time.Now()
	h.mu.Lock()
	now := time.Now()
	fn(h.engine, now)
	h.mu.Unlock()
	h.cfg.Metrics.waited(now.Sub(begun))
	h.rouse()
}

// together runs a function that tells the engine something.
func (h *Holder) together(fn func(now time.Time)) {
	h.do(func(_ *engine.Engine, now time.Time) { fn(now) })
}

func (h *Holder) rouse() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// decideLoop has the engine decide whenever something happened or became due.
func (h *Holder) decideLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.wake:
			time.Sleep(gatherFor)
		case <-timer.C:
		}
		orders, due := h.decide()
		if orders.Deposed {
			h.cancel(ledger.ErrDeposed)
			return
		}
		h.carryOut(orders)
		timer.Reset(time.Until(due))
	}
}

func (h *Holder) decide() (engine.Orders, time.Time) {
	c := h.cfg.Catalog()
	lanes := h.cfg.Lanes()
	names := make([]string, 0, len(lanes))
	for name := range lanes {
		names = append(names, name)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.hosts.Store(int64(h.engine.Hosts()))
	h.engine.SetCatalog(c, now)
	h.engine.SetMembers(names)
	h.engine.SetProved(h.ledger.Proved().Add(rightTerm))
	orders, due := h.engine.Next(now)
	h.cfg.Metrics.decided(time.Since(now))
	return orders, due
}

// carryOut sends the orders. Nothing is waited for here.
func (h *Holder) carryOut(o engine.Orders) {
	h.router.Do(h.ctx, h.hostCalls(o))
	for _, a := range o.Asks {
		h.calls.Go(func() { h.ask(a) })
	}
	for _, u := range o.Upkeeps {
		h.calls.Go(func() { h.beginUpkeep(u) })
	}
	if o.ListMachines {
		h.calls.Go(h.listMachines)
	}
	if o.Commit || o.CommitNow {
		select {
		case h.commit <- struct{}{}:
		default:
		}
	}
}

// hostCalls are the calls to hosts that the orders ask for. Their outcomes are told to
// the engine with the lock held.
func (h *Holder) hostCalls(o engine.Orders) []linkshard.Call {
	e := h.engine
	calls := make([]linkshard.Call, 0, len(o.Stops)+len(o.Starts)+len(o.Paces)+len(o.Looks))
	for _, s := range o.Stops {
		calls = append(calls, linkshard.Call{To: s.To, Stop: &s.Run, Done: func(x linkshard.Outcome, now time.Time) {
			e.Stopped(s, x.Reply, x.Err, now)
		}})
	}
	for _, s := range o.Starts {
		calls = append(calls, linkshard.Call{To: s.To, Start: &s.Start, Done: func(x linkshard.Outcome, now time.Time) {
			e.Started(s, x.Reply, x.Err, now)
		}})
	}
	for _, p := range o.Paces {
		pace := &linkshard.Pace{Run: p.Run, Percent: p.Percent}
		calls = append(calls, linkshard.Call{To: p.To, Pace: pace, Done: func(x linkshard.Outcome, now time.Time) {
			e.Paced(p, x.Reply, x.Err, now)
		}})
	}
	for _, l := range o.Looks {
		calls = append(calls, linkshard.Call{To: l.To, Look: &l.Look, Done: func(x linkshard.Outcome, now time.Time) {
			e.Viewed(l, x.Sent, x.View, x.Err, now)
		}})
	}
	return calls
}

// ask asks the policy service through the member that the engine has chosen.
func (h *Holder) ask(o engine.AskOrder) {
	patience := o.Patience
	if h.cfg.Busy() {
		patience += busySlack
	}
	ctx, cancel := context.WithTimeout(h.ctx, patience)
	defer cancel()
	var answer advice.Answer
	err := h.cfg.Peers.Call(ctx, h.cfg.Lanes()[o.Lane], peer.KindAdvise, AdviseRequest{Step: o.Step, Hosts: o.Hosts}, &answer)
	h.do(func(e *engine.Engine, now time.Time) { e.Advised(o, answer, err, now) })
}
