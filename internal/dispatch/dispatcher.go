// Package dispatch sends requests to executors. A placer counts the slots of the executors in the
// partitions it holds, queues requests that find no free slot, and forwards them to other holders
// that have free slots.
//
// A slot is busy from the moment a request may be sent until its whole answer has been received.
// Where the connection fails after that, the executor may still work: the slot stays busy until the
// deadline that was sent to the executor.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/dispatch/queue"
	"pulleyquay/internal/executor"
	"pulleyquay/internal/hold"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/retrybudget"
	"pulleyquay/internal/settings"
)

// Remote is what another holder last reported of its executors.
type Remote struct {
	Name string
	Addr string
	Zone string
	// Free is the number of free slots by service. It is a hint: the holder may refuse all the
	// same.
	Free map[string]int
}

// Config holds the dependencies and settings of a Dispatcher.
type Config struct {
	// Hosts returns the last received host list.
	Hosts func() []platform.Host
	// Settings returns a service's effective values, or false for an unknown service.
	Settings func(service string) (settings.Values, bool)
	// Remotes returns the other holders, without this process and those that are leaving or have
	// sent no recent heartbeat. It is called with each refresh, and every offloadInterval while
	// requests are queued.
	Remotes    func() []Remote
	Authorizer hold.Authorizer
	Client     executor.Client
	Peers      peer.Caller
	// Zone is this process's availability zone.
	Zone string
	// Partitions is the number of partitions in the cell.
	Partitions int
	// Discipline and Chooser default, when left zero, to the variants that measured best.
	Discipline queue.Discipline
	Chooser    Chooser
	Log        *logrus.Entry
	Metrics    prometheus.Registerer
}

// Dispatcher is the hold.Component that owns the executors of held partitions.
type Dispatcher struct {
	cfg     Config
	metrics *metrics

	mu    sync.Mutex
	pools map[string]*pool
	parts map[int]*heldPartition
	// started is when this process began to receive host lists and heartbeats.
	started time.Time
	// remotes are the other holders by name.
	remotes map[string]*remote

	// requestQueued signals Run that a request was queued.
	requestQueued chan struct{}
}

// Work is one request to send. Its Deadline is by this process's clock.
type Work struct {
	Service    string
	Caller     string
	Deadline   time.Time
	Idempotent bool
	Request    executor.Request
	// BeforeSend, when set, is called right before a byte may be sent. When it returns false, the
	// request was cancelled and must not be sent.
	BeforeSend func() bool
	// NotSent, when set, is called when nothing was sent after a call of BeforeSend.
	NotSent func()
}

// New returns a Dispatcher that holds no executors yet.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:           cfg,
		metrics:       newMetrics(cfg.Metrics),
		pools:         map[string]*pool{},
		parts:         map[int]*heldPartition{},
		started:       time.Now(),
		requestQueued: make(chan struct{}, 1),
	}
}

// refreshInterval is how often the host list is applied. Together with the list's own delay it has
// to stay under the 3 s within which a leaving host gets no more requests.
const refreshInterval = 250 * time.Millisecond

// offloadInterval is how often queued requests are offered to other holders.
const offloadInterval = 20 * time.Millisecond

// Run applies the host list, and offers queued requests to other holders while there are any, until
// ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	offload := time.NewTimer(offloadInterval)
	defer offload.Stop()
	armed := true // the offload timer runs; a new request must not postpone it
	for {
		select {
		case <-ctx.Done():
			return
		case <-refresh.C:
			d.Refresh()
			d.offload()
		case <-d.requestQueued:
			if !armed {
				offload.Reset(offloadInterval)
				armed = true
			}
		case <-offload.C:
			if armed = d.offload(); armed {
				offload.Reset(offloadInterval)
			}
		}
	}
}

// Refresh applies the current host list without waiting for the next interval.
func (d *Dispatcher) Refresh() {
	hosts := d.cfg.Hosts()
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyHosts(hosts, now)
	for _, p := range d.pools {
		d.dispatchQueued(p, now)
	}
}

// offload reads the other holders' reported free slots and forwards queued requests to them. It
// reports whether requests are still queued.
func (d *Dispatcher) offload() bool {
	reported := d.cfg.Remotes()
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyRemotes(reported, now)
	stillQueued := false
	for _, p := range d.pools {
		slots, _ := d.usableSlots(p, now)
		d.recordServed(p, slots, now)
		if p.queue.Len() > 0 {
			d.forwardQueued(p, now)
		}
		stillQueued = stillQueued || p.queue.Len() > 0
	}
	return stillQueued
}

// pool returns the pool of a service, and creates it on first use.
func (d *Dispatcher) pool(service string, values settings.Values) *pool {
	p := d.pools[service]
	if p == nil {
		p = newPool(service, d.cfg.Discipline)
		d.pools[service] = p
	}
	p.queue.SetLimit(int(values.Request.QueueLimit))
	return p
}

// Free returns the free slots of the executors held here by service, for the capacity hint in the
// heartbeat. A service without a usable executor is left out.
func (d *Dispatcher) Free() map[string]int {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	free := make(map[string]int, len(d.pools))
	for name, p := range d.pools {
		if slots, _ := d.usableSlots(p, now); slots > 0 {
			free[name] = p.freeSlots(now)
		}
	}
	return free
}

// countFreeSlots returns the number of free slots of one service.
func (d *Dispatcher) countFreeSlots(p *pool) int {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return p.freeSlots(now)
}

func newPool(service string, discipline queue.Discipline) *pool {
	return &pool{
		service:   service,
		endpoints: map[string]*endpoint{},
		queue:     queue.New[chan<- grant](0, discipline),
		budget:    retrybudget.New(),
	}
}
