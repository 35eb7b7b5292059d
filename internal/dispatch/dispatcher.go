// Package dispatch sends requests to executors. A placer counts the slots of
// the executors in the partitions it holds, queues what finds no free one, and
// asks other holders when they have room.
//
// A slot is busy from the moment a request may leave until its answer is
// whole. Where the connection fails after that, the executor may still work:
// the slot stays busy until the deadline that the executor was told.
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

// Remote is what another holder last told of its executors.
type Remote struct {
	Name string
	Addr string
	Zone string
	// Free is the number of free slots by service; a hint, never a right.
	Free map[string]int
}

// Config is what a Dispatcher needs of the rest of the process.
type Config struct {
	// Hosts returns the last known host list.
	Hosts func() []platform.Host
	// Settings returns a service's effective values; false: no such service.
	Settings func(service string) (settings.Values, bool)
	// Remotes returns the other holders, without this process and those that
	// are leaving or not heard. It is asked with each refresh, and every
	// offloadEvery while requests wait.
	Remotes func() []Remote
	Right   hold.Right
	Client  executor.Client
	Peers   peer.Caller
	// Zone is this process's availability zone.
	Zone string
	// Partitions is the number of partitions in the cell.
	Partitions int
	// Discipline and Chooser are the ways that measured best when left zero.
	Discipline queue.Discipline
	Chooser    Chooser
	Log        *logrus.Entry
	Metrics    prometheus.Registerer
}

// Dispatcher is the hold.Resident of executors.
type Dispatcher struct {
	cfg     Config
	metrics *metrics

	mu    sync.Mutex
	pools map[string]*pool
	parts map[int]*heldPartition
	// started is when this process began to learn of executors.
	started time.Time
	// remotes are the other holders by name.
	remotes map[string]*remote

	// queued wakes Run when a request begins to wait.
	requestQueued chan struct{}
}

// Work is one request to send. Its Deadline is on this process's clock.
type Work struct {
	Service    string
	Caller     string
	Deadline   time.Time
	Idempotent bool
	Request    executor.Request
	// Begin, when set, is called right before a byte may be sent. When it
	// returns false the request was cancelled and must not be sent.
	Begin func() bool
	// Unsent, when set, is called when after Begin nothing was sent after all.
	Unsent func()
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

// refreshEvery is how often the host list is applied. With the list's own lag
// it has to stay under the 3 s within which a leaving host gets nothing new.
const refreshInterval = 250 * time.Millisecond

// offloadEvery is how often queued requests are offered to other holders.
const offloadInterval = 20 * time.Millisecond

// Run applies the host list, and offers queued requests to other holders while
// there are any, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	offload := time.NewTimer(offloadInterval)
	defer offload.Stop()
	armed := true // offload's timer runs; each new request must not put it off
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

// Refresh applies the host list now.
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

// offload learns of other holders' free slots and hands them queued requests. It
// reports whether requests still wait.
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

// pool returns the pool of a service, made on first use.
func (d *Dispatcher) pool(service string, values settings.Values) *pool {
	p := d.pools[service]
	if p == nil {
		p = newPool(service, d.cfg.Discipline)
		d.pools[service] = p
	}
	p.queue.SetLimit(int(values.Request.QueueLimit))
	return p
}

// Free returns the free slots of the executors held here, by service, for the
// heartbeat's capacity hint. A service without a usable executor is left out.
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

// freeNow is the number of free slots of one service.
func (d *Dispatcher) countFreeSlots(p *pool) int {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return p.freeSlots(now)
}

func newPool(service string, order queue.Discipline) *pool {
	return &pool{
		service:   service,
		endpoints: map[string]*endpoint{},
		queue:     queue.New[chan<- grant](0, order),
		budget:    retrybudget.New(),
	}
}
