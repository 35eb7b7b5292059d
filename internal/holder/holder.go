// Package holder runs one partition that this process holds: it feeds an engine
// with what hosts, members and the store say, and carries out its orders.
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
	"pulleyquay/internal/host"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/resend"
	"pulleyquay/internal/retrybudget"
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
	// orderPatience bounds the wait for the answer to the copies of a start or a stop.
	orderPatience = 300 * time.Millisecond
	// machinePatience bounds a call to the service for machines.
	machinePatience = 1500 * time.Millisecond
	// gatherFor is how long events are gathered before decisions are made.
	gatherFor = time.Millisecond
)

// Config is what holders of all partitions share.
type Config struct {
	Store  platform.Poller
	Health *follow.Health
	Hosts  host.Client
	Peers  peer.Caller
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
	// Busy reports whether this process lacks processor time: it repeats nothing then.
	Busy func() bool
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
	// answers is how long hosts take to answer orders; losses tells of those that got
	// lost.
	answers resend.Latency
	copies  *retrybudget.Budget // of orders
	losses  *losses
	looks   atomic.Int64 // under way
	hosts   atomic.Int64 // of the partition

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
	return &Holder{
		cfg: cfg, ledger: l,
		log:  cfg.Log.WithFields(logrus.Fields{"partition": self.Partition, "epoch": self.Epoch}),
		wake: make(chan struct{}, 1), commit: make(chan struct{}, 1), stored: make(chan struct{}), losses: newLosses(), copies: retrybudget.New(),
		engine: engine.New(engine.Config{
			Partition: self.Partition, Epoch: self.Epoch, Bounds: cfg.Bounds, Tuning: cfg.Tuning,
			Seed: self.Epoch, Log: cfg.Event, WaveState: cfg.WaveState,
		}),
	}
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
	work := []func(){h.decideLoop, h.commitLoop, h.followHosts, h.followJobs}
	if h.cfg.Machines != nil {
		work = append(work, h.followWaves)
	}
	for _, loop := range work {
		loops.Go(loop)
	}
	loops.Wait()
	h.calls.Wait()
	return context.Cause(h.ctx)
}

// do tells the engine something and has it decide again.
func (h *Holder) do(fn func(e *engine.Engine, now time.Time)) {
	h.mu.Lock()
	fn(h.engine, time.Now())
	h.mu.Unlock()
	h.rouse()
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
	h.engine.SetCatalog(c)
	h.engine.SetMembers(names)
	h.engine.SetProved(h.ledger.Proved().Add(rightTerm))
	return h.engine.Next(now)
}

// carryOut sends the orders, each in a goroutine of its own.
func (h *Holder) carryOut(o engine.Orders) {
	for _, s := range o.Stops {
		h.calls.Go(func() { h.stop(s) })
	}
	for _, s := range o.Starts {
		h.calls.Go(func() { h.start(s) })
	}
	for _, l := range o.Looks {
		h.calls.Go(func() { h.look(l) })
	}
	for _, a := range o.Asks {
		h.calls.Go(func() { h.ask(a) })
	}
	for _, p := range o.Paces {
		h.calls.Go(func() { h.pace(p) })
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

func (h *Holder) epoch() uint64 { return h.ledger.Holder().Epoch }

func (h *Holder) start(o engine.StartOrder) {
	begun := time.Now()
	reply, err := h.repeat(o.To, func(ctx context.Context) (host.Reply, error) {
		return h.cfg.Hosts.Start(ctx, o.To, h.epoch(), o.Start)
	})
	h.cfg.Metrics.order("start", begun, outcome(reply, err))
	h.do(func(e *engine.Engine, now time.Time) { e.Started(o, reply, err, now) })
}

func (h *Holder) stop(o engine.StopOrder) {
	begun := time.Now()
	reply, err := h.repeat(o.To, func(ctx context.Context) (host.Reply, error) {
		return h.cfg.Hosts.Stop(ctx, o.To, h.epoch(), o.Run)
	})
	h.cfg.Metrics.order("stop", begun, outcome(reply, err))
	h.do(func(e *engine.Engine, now time.Time) { e.Stopped(o, reply, err, now) })
}

func (h *Holder) pace(o engine.PaceOrder) {
	ctx, cancel := context.WithTimeout(h.ctx, orderPatience)
	defer cancel()
	begun := time.Now()
	reply, err := h.cfg.Hosts.Pace(ctx, o.To, h.epoch(), o.Run, o.Percent)
	h.cfg.Metrics.order("pace", begun, outcome(reply, err))
	h.do(func(e *engine.Engine, now time.Time) { e.Paced(o, reply, err, now) })
}

// outcome names how an order ended, for the metrics.
func outcome(r host.Reply, err error) string {
	switch {
	case errors.Is(err, host.ErrNotSent):
		return "not-sent"
	case errors.Is(err, host.ErrOtherLife):
		return "other-life"
	case err != nil:
		return "lost"
	case r.Refused != "":
		return string(r.Refused)
	}
	return "done"
}

// ask asks the policy service through the member that the engine has chosen.
func (h *Holder) ask(o engine.AskOrder) {
	ctx, cancel := context.WithTimeout(h.ctx, o.Patience)
	defer cancel()
	var answer advice.Answer
	err := h.cfg.Peers.Call(ctx, h.cfg.Lanes()[o.Lane], peer.KindAdvise, AdviseRequest{Step: o.Step, Hosts: o.Hosts}, &answer)
	h.do(func(e *engine.Engine, now time.Time) { e.Advised(o, answer, err, now) })
}
