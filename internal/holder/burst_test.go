package holder

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/advice"
	"pulleyquay/internal/catalog"
	"pulleyquay/internal/engine"
	"pulleyquay/internal/host"
	"pulleyquay/internal/hostsim"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/linkshard"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/platform/resend"
	"pulleyquay/internal/record"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

// A scaled-down model of a large fleet: a cell of 120 hosts whose holder has a link of
// 2 Mbit/s and 0.12 cores receives 40 short jobs a second, and 2.3 times as many in a burst
// of four seconds. The hosts have capacity for three times the burst.
const (
	burstHosts         = 120
	burstShards        = 16
	baseJobsPerSecond  = 40
	burstFactor        = 2.3
	tasksPerJob        = 4
	taskRunTime        = 640 * time.Millisecond
	latencyLimit       = taskRunTime*3/2 + 250*time.Millisecond
	linkBytesPerSecond = 2e6 / 8 // each way
	// An HTTP request and its response together have about 1,400 bytes and cost the caller
	// 0.15 ms of a core. A message between members has 60 bytes of framing and costs each
	// side 0.05 ms. The holder has 0.12 of a core.
	requestBytes   = 700
	frameBytes     = 60
	requestCPUTime = 150 * time.Microsecond * 100 / 12
	messageCPUTime = 50 * time.Microsecond * 100 / 12
)

// resource models a link or a core that serves requests one after the other.
type resource struct {
	mu     sync.Mutex
	freeAt time.Time
}

// occupy queues a request that occupies the resource for d and waits until it is served.
func (r *resource) occupy(d time.Duration) {
	r.mu.Lock()
	now := time.Now()
	if r.freeAt.Before(now) {
		r.freeAt = now
	}
	r.freeAt = r.freeAt.Add(d)
	wait := r.freeAt.Sub(now)
	r.mu.Unlock()
	time.Sleep(wait)
}

// processResources are the link and the core of the holder's process.
type processResources struct{ in, out, core resource }

func transferTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / linkBytesPerSecond * float64(time.Second))
}

// directHosts is a host client that uses the link and the core of caller. Caller is nil for
// link shards, which have spare capacity.
type directHosts struct {
	fleet  *hostsim.Fleet
	caller *processResources
}

const oneWayLatency = time.Millisecond

func (d directHosts) call(ctx context.Context, to host.Info, deliver func(*hostsim.Host)) error {
	if d.caller != nil {
		d.caller.core.occupy(requestCPUTime)
		d.caller.out.occupy(transferTime(requestBytes))
	}
	time.Sleep(oneWayLatency)
	if ctx.Err() != nil {
		return host.ErrLost
	}
	deliver(d.fleet.Host(to.ID))
	time.Sleep(oneWayLatency)
	if d.caller != nil {
		d.caller.in.occupy(transferTime(requestBytes))
		d.caller.core.occupy(requestCPUTime)
	}
	if ctx.Err() != nil {
		return host.ErrLost
	}
	return nil
}

func (d directHosts) Start(ctx context.Context, to host.Info, epoch uint64, s host.Start) (r host.Reply, err error) {
	err = d.call(ctx, to, func(h *hostsim.Host) { r = h.Start(epoch, s) })
	return r, err
}

func (d directHosts) Stop(ctx context.Context, to host.Info, epoch uint64, run host.Run) (r host.Reply, err error) {
	err = d.call(ctx, to, func(h *hostsim.Host) { r = h.Stop(epoch, run) })
	return r, err
}

func (d directHosts) Throttle(ctx context.Context, to host.Info, epoch uint64, run host.Run, percent int) (r host.Reply, err error) {
	err = d.call(ctx, to, func(h *hostsim.Host) { r = h.Throttle(epoch, run, percent) })
	return r, err
}

func (d directHosts) Poll(ctx context.Context, to host.Info, epoch uint64, poll host.Poll) (v host.View, err error) {
	err = d.call(ctx, to, func(h *hostsim.Host) {
		reply := make(chan host.View, 1)
		h.Poll(epoch, poll, func(v host.View) { reply <- v })
		select {
		case v = <-reply:
		case <-ctx.Done():
		}
	})
	return v, err
}

// network carries messages between members; those of the holder use its link and core.
type network struct {
	mu              sync.Mutex
	muxes           peer.Local
	holderResources *processResources
	disconnected    map[string]bool // members without connection to the others
}

// register sets the mux that receives the calls to a member.
func (n *network) register(addr string, mux *peer.Mux) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.muxes[addr] = mux
}

// route returns the destination of calls between two members, the resources of the current
// holder, and whether either member is disconnected.
func (n *network) route(from, to string) (dest peer.Local, holderResources *processResources, disconnected bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return peer.Local{to: n.muxes[to]}, n.holderResources, n.disconnected[from] || n.disconnected[to]
}

// networkPort is one member's connection to the network.
type networkPort struct {
	*network
	addr string
}

func (p networkPort) Call(ctx context.Context, addr string, kind peer.Kind, req, resp any) error {
	dest, holderResources, disconnected := p.route(p.addr, addr)
	if disconnected {
		<-ctx.Done()
		return result.New(result.PeerLost, result.RanUnknown, "disconnected")
	}
	body, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	link := &holderResources.out
	if p.addr != "holder" {
		link = &holderResources.in
	}
	holderResources.core.occupy(messageCPUTime)
	link.occupy(transferTime(len(body) + frameBytes))
	time.Sleep(oneWayLatency)
	err = dest.Call(ctx, addr, kind, req, resp)
	time.Sleep(oneWayLatency)
	holderResources.core.occupy(messageCPUTime / 2) // acknowledgement
	return err
}

// burstCell is the simulated cell, with the times at which jobs were submitted and completed.
type burstCell struct {
	t       *testing.T
	store   *memstore.Engine
	fleet   *hostsim.Fleet
	network *network
	shards  []linkshard.Member
	table   *Table
	stop    func()

	mu        sync.Mutex
	startedAt time.Time
	arrived   map[string]time.Time
	finished  map[string]time.Time
}

func newBurstCell(t *testing.T, shards int) *burstCell {
	c := &burstCell{
		t: t, store: memstore.New(), fleet: hostsim.NewFleet(hostsim.RealClock{}), arrived: map[string]time.Time{}, finished: map[string]time.Time{},
		network: &network{muxes: peer.Local{}, disconnected: map[string]bool{}},
	}
	c.fleet.Add(burstHosts, "s", spec.Resources{MilliCPU: 64000, MemoryMiB: 262144})
	c.shards = []linkshard.Member{{Name: "holder", Addr: "holder", Cores: 0.12, LinkMbps: 2}}
	for i := range shards {
		addr := fmt.Sprint("m", i)
		mux := peer.NewMux()
		linkshard.NewServer(mux, directHosts{fleet: c.fleet}, networkPort{c.network, addr}, discardLogger())
		c.network.register(addr, mux)
		c.shards = append(c.shards, linkshard.Member{Name: addr, Addr: addr, Zone: fmt.Sprint("z", i%3), Cores: 0.12, LinkMbps: 2})
	}
	for _, h := range c.fleet.Listed() {
		c.store.Put(platform.Write{Key: prefix + string(h.ID), Value: []byte(h.Addr)})
	}
	c.startHolder(ledger.Holder{})
	return c
}

func discardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// startHolder starts a new process that claims the partition after the previous holder.
func (c *burstCell) startHolder(previous ledger.Holder) {
	resources := &processResources{}
	mux := peer.NewMux()
	health := follow.NewHealth(nil)
	writes := resend.New(c.store.Client("a"), health)
	listed := map[host.ID]host.Info{}
	for _, info := range c.fleet.Listed() {
		listed[info.ID] = info
	}
	c.table = NewTable(Config{
		Store: c.store.Client("a"), Health: health, Hosts: directHosts{c.fleet, resources}, Peers: networkPort{c.network, "holder"}, Log: discardLogger(),
		Self: "holder", Addr: "holder", Shards: func() []linkshard.Member { return c.shards }, Tuning: engine.DefaultTuning(),
		Bounds: engine.Bounds{
			MaxLease: hostsim.DefaultBounds.MaxLease, MaxStopTime: hostsim.DefaultBounds.MaxStopTime, GangTimeout: hostsim.DefaultBounds.GangTimeout, EndedJobTTL: time.Hour,
		},
		HostPrefix: prefix, HostOf: func(key string) host.ID { return host.ID(key[len(prefix):]) },
		DecodeHost: func(rec platform.Record) (host.Info, error) { return listed[host.ID(rec.Key[len(prefix):])], nil },
		Catalog:    func() *catalog.Catalog { return &catalog.Catalog{} }, PolicyMembers: func() *advice.Members { return &advice.Members{} },
		Metrics: NewMetrics(prometheus.NewRegistry()), Busy: func() bool { return false },
		Event: func(e engine.Event) {
			if e.What == "job ended" && e.Why == string(record.StateCompleted) {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.finished[e.Job] = time.Now()
			}
		},
	}, mux)
	c.network.mu.Lock()
	c.network.holderResources = resources
	c.network.mu.Unlock()
	c.network.register("holder", mux)
	l, _, err := ledger.Claim(c.t.Context(), writes, previous, ledger.Holder{Name: "holder", Incarnation: fmt.Sprint("after-", previous.Epoch), Addr: "holder"})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(c.t.Context())
	ended := make(chan struct{})
	go func() {
		_ = c.table.Hold(ctx, l, ledger.Predecessor{Holder: previous}) // returns the error of the cancelled ctx
		close(ended)
	}()
	c.stop = func() { cancel(); <-ended }
}

// submitJobs submits jobs for d: it stores each job and notifies the holder.
func (c *burstCell) submitJobs(d time.Duration, rate func(at time.Duration) float64) {
	c.startedAt = time.Now()
	rng := rand.New(rand.NewPCG(1, 2))
	for n := 0; time.Since(c.startedAt) < d; n++ {
		id := fmt.Sprint("job-", n)
		job := &record.Job{ID: id, Queue: "ticket", Service: "s", Rules: catalog.Rules{MaxAttempts: 3, CriticalPathFactor: 1.5, TargetMillis: 250}, Graph: spec.Graph{
			Command: string(make([]byte, 150)),
			Steps:   []spec.Step{{Count: tasksPerJob, Size: spec.Resources{MilliCPU: 8000, MemoryMiB: 8192}, EstimateMillis: taskRunTime.Milliseconds()}},
		}}
		c.fleet.AddJob(job)
		c.mu.Lock()
		c.arrived[id] = time.Now()
		c.mu.Unlock()
		value, err := record.Encode(*job)
		if err != nil {
			c.t.Fatal(err)
		}
		c.store.Put(platform.Write{Key: record.JobKey(0, id), Value: value})
		go c.notifyHolder(job)
		time.Sleep(time.Duration(rng.ExpFloat64() / rate(time.Since(c.startedAt)) * float64(time.Second)))
	}
}

// notifyHolder sends the notification of an accepted job, with retries, as an accepting
// member does.
func (c *burstCell) notifyHolder(job *record.Job) {
	for range 20 {
		ctx, cancel := context.WithTimeout(c.t.Context(), 2500*time.Millisecond)
		err := networkPort{c.network, "front"}.Call(ctx, "holder", peer.KindJobAccepted, JobAccepted{Job: *job, Fresh: false}, &Empty{})
		cancel()
		if err == nil {
			return
		}
		time.Sleep(40 * time.Millisecond)
	}
}

// servedShare returns the fraction of the jobs submitted in a time span that completed
// within latencyLimit.
func (c *burstCell) servedShare(from, until time.Duration) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	inTime, submitted := 0, 0
	for id, at := range c.arrived {
		if since := at.Sub(c.startedAt); since < from || since >= until {
			continue
		}
		submitted++
		if end, ok := c.finished[id]; ok && end.Sub(at) <= latencyLimit {
			inTime++
		}
	}
	return float64(inTime) / float64(submitted)
}

// TestBurstOnABoundedHolder checks that, from five seconds after the end of a fault on, the
// cell completes as many jobs in time as before the fault. The holder is bounded by its link and
// its processor time. The faults are a burst, a store outage,
// and the loss of a third of the link shards or of the holder. A holder without link shards,
// which makes all calls over its own link, completed none of the jobs submitted later than 5 s
// after the burst.
func TestBurstOnABoundedHolder(t *testing.T) {
	const (
		faultAt       = 6 * time.Second
		faultDuration = 4 * time.Second
		recoveryTime  = 5 * time.Second
		submitFor     = 22 * time.Second
	)
	baseRate := func(time.Duration) float64 { return baseJobsPerSecond }
	burstRate := func(at time.Duration) float64 {
		if at >= faultAt && at < faultAt+faultDuration {
			return burstFactor * baseJobsPerSecond
		}
		return baseJobsPerSecond
	}
	setDisconnected := func(c *burstCell, disconnected bool) {
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		for i := 0; i < burstShards; i += 3 {
			c.network.disconnected[fmt.Sprint("m", i)] = disconnected
		}
	}
	tests := map[string]struct {
		rate  func(time.Duration) float64
		begin func(c *burstCell)
		end   func(c *burstCell)
		// minServed is the minimum of servedShare during the fault.
		minServed float64
	}{
		"burst":                              {burstRate, func(*burstCell) {}, func(*burstCell) {}, 0.9},
		"a third of the shards disconnected": {baseRate, func(c *burstCell) { setDisconnected(c, true) }, func(c *burstCell) { setDisconnected(c, false) }, 0.7},
		"burst on fewer shards":              {burstRate, func(c *burstCell) { setDisconnected(c, true) }, func(c *burstCell) { setDisconnected(c, false) }, 0.6},
		"store unavailable":                  {baseRate, func(c *burstCell) { c.store.SetFaults(memstore.Faults{Hang: true}) }, func(c *burstCell) { c.store.SetFaults(memstore.Faults{}) }, 0},
		"holder replaced in a burst": {burstRate, func(c *burstCell) {
			c.stop()
			rec, _, err := c.store.Client("judge").Get(c.t.Context(), ledger.HolderKey(0))
			if err != nil {
				c.t.Error(err)
			}
			previous, err := ledger.DecodeHolder(rec)
			if err != nil {
				c.t.Error(err)
			}
			c.startHolder(previous)
		}, func(*burstCell) {}, 0.5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newBurstCell(t, burstShards)
				time.Sleep(3 * time.Second)
				time.AfterFunc(faultAt, func() { tc.begin(c) })
				time.AfterFunc(faultAt+faultDuration, func() { tc.end(c) })
				c.submitJobs(submitFor, tc.rate)
				time.Sleep(4 * time.Second)
				before, duringFault, after := c.servedShare(time.Second, faultAt-time.Second), c.servedShare(faultAt, faultAt+faultDuration), c.servedShare(faultAt+faultDuration+recoveryTime, submitFor)
				t.Logf("completed in time: %.3f before the fault, %.3f during it, %.3f from %v after it", before, duringFault, after, recoveryTime)
				c.stop()
				c.store.Close()
				time.Sleep(10 * time.Second) // pending calls and runs end
				for _, violation := range c.fleet.Checker().Violations() {
					t.Error(violation)
				}
				is.True(before >= 0.95)
				is.True(duringFault >= tc.minServed)
				is.True(after >= before-0.03)
			})
		})
	}
}
