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

// The burst: a cell of 120 hosts whose holder has a link of 2 Mbit/s and 0.12 cores gets
// 40 short jobs a second, and for four seconds 2.3 times as many. The hosts have room for
// three times that. It is the small likeness of the users' large fleet.
const (
	burstHosts  = 120
	burstShards = 16
	calmJobs    = 40 // a second
	burstTimes  = 2.3
	tasksOfJob  = 4
	workOfTask  = 640 * time.Millisecond
	inTimeFor   = workOfTask*3/2 + 250*time.Millisecond
	linkBytes   = 2e6 / 8 // a second, each way
	// A request over HTTP and its answer are some 1,400 bytes and take the caller
	// 0.15 ms of a core; a message between members has 60 bytes around it and takes
	// each side 0.05 ms. The holder's core runs at 0.12 of its speed.
	requestBytes = 700
	frameBytes   = 60
	requestTime  = 150 * time.Microsecond * 100 / 12
	messageTime  = 50 * time.Microsecond * 100 / 12
)

// resource serves one thing after the other, each for a time.
type resource struct {
	mu   sync.Mutex
	free time.Time
}

// use waits until the resource has served for d.
func (r *resource) use(d time.Duration) {
	r.mu.Lock()
	now := time.Now()
	if r.free.Before(now) {
		r.free = now
	}
	r.free = r.free.Add(d)
	wait := r.free.Sub(now)
	r.mu.Unlock()
	time.Sleep(wait)
}

// machine is what the holder's process has.
type machine struct{ in, out, core resource }

func carrying(bytes int) time.Duration {
	return time.Duration(float64(bytes) / linkBytes * float64(time.Second))
}

// ownHosts are the hosts as the holder's own process calls them: over its link, with its
// processor. Shards have a machine each with time to spare, so theirs is nil.
type ownHosts struct {
	fleet *hostsim.Fleet
	from  *machine
}

const oneWay = time.Millisecond

func (o ownHosts) call(ctx context.Context, to host.Info, arrive func(*hostsim.Host)) error {
	if o.from != nil {
		o.from.core.use(requestTime)
		o.from.out.use(carrying(requestBytes))
	}
	time.Sleep(oneWay)
	if ctx.Err() != nil {
		return host.ErrLost
	}
	arrive(o.fleet.Host(to.ID))
	time.Sleep(oneWay)
	if o.from != nil {
		o.from.in.use(carrying(requestBytes))
		o.from.core.use(requestTime)
	}
	if ctx.Err() != nil {
		return host.ErrLost
	}
	return nil
}

func (o ownHosts) Start(ctx context.Context, to host.Info, epoch uint64, s host.Start) (r host.Reply, err error) {
	err = o.call(ctx, to, func(h *hostsim.Host) { r = h.Start(epoch, s) })
	return r, err
}

func (o ownHosts) Stop(ctx context.Context, to host.Info, epoch uint64, run host.Run) (r host.Reply, err error) {
	err = o.call(ctx, to, func(h *hostsim.Host) { r = h.Stop(epoch, run) })
	return r, err
}

func (o ownHosts) Pace(ctx context.Context, to host.Info, epoch uint64, run host.Run, percent int) (r host.Reply, err error) {
	err = o.call(ctx, to, func(h *hostsim.Host) { r = h.Pace(epoch, run, percent) })
	return r, err
}

func (o ownHosts) Look(ctx context.Context, to host.Info, epoch uint64, l host.Look) (v host.View, err error) {
	err = o.call(ctx, to, func(h *hostsim.Host) {
		answer := make(chan host.View, 1)
		h.Look(epoch, l, func(v host.View) { answer <- v })
		select {
		case v = <-answer:
		case <-ctx.Done():
		}
	})
	return v, err
}

// wires carry messages between members; those of the holder go over its link.
type wires struct {
	mu     sync.Mutex
	ends   peer.Local
	holder *machine
	cut    map[string]bool // members that nothing comes through to or from
}

// set has a member's calls come to a mux.
func (w *wires) set(addr string, mux *peer.Mux) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends[addr] = mux
}

// way is what lies between two members now.
func (w *wires) way(from, to string) (there peer.Local, holder *machine, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return peer.Local{to: w.ends[to]}, w.holder, w.cut[from] || w.cut[to]
}

// end is one member's end of the wires.
type end struct {
	*wires
	addr string
}

func (e end) Call(ctx context.Context, addr string, kind peer.Kind, req, resp any) error {
	there, holder, cut := e.way(e.addr, addr)
	if cut {
		<-ctx.Done()
		return result.New(result.PeerLost, result.RanUnknown, "cut")
	}
	body, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	link := &holder.out
	if e.addr != "holder" {
		link = &holder.in
	}
	holder.core.use(messageTime)
	link.use(carrying(len(body) + frameBytes))
	time.Sleep(oneWay)
	err = there.Call(ctx, addr, kind, req, resp)
	time.Sleep(oneWay)
	holder.core.use(messageTime / 2) // the receipt
	return err
}

// burstCell is the cell with what its callers see.
type burstCell struct {
	t      *testing.T
	store  *memstore.Engine
	fleet  *hostsim.Fleet
	wires  *wires
	shards []linkshard.Member
	table  *Table
	stop   func()

	mu       sync.Mutex
	begun    time.Time
	arrived  map[string]time.Time
	finished map[string]time.Time
}

func newBurstCell(t *testing.T, shards int) *burstCell {
	c := &burstCell{
		t: t, store: memstore.New(), fleet: hostsim.NewFleet(hostsim.RealClock{}), arrived: map[string]time.Time{}, finished: map[string]time.Time{},
		wires: &wires{ends: peer.Local{}, cut: map[string]bool{}},
	}
	c.fleet.Add(burstHosts, "s", spec.Resources{MilliCPU: 64000, MemoryMiB: 262144})
	c.shards = []linkshard.Member{{Name: "holder", Addr: "holder", Cores: 0.12, LinkMbps: 2}}
	for i := range shards {
		addr := fmt.Sprint("m", i)
		mux := peer.NewMux()
		linkshard.NewServer(mux, ownHosts{fleet: c.fleet}, end{c.wires, addr}, quiet())
		c.wires.set(addr, mux)
		c.shards = append(c.shards, linkshard.Member{Name: addr, Addr: addr, Zone: fmt.Sprint("z", i%3), Cores: 0.12, LinkMbps: 2})
	}
	for _, h := range c.fleet.Listed() {
		c.store.Put(platform.Write{Key: prefix + string(h.ID), Value: []byte(h.Addr)})
	}
	c.hold(ledger.Holder{})
	return c
}

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// hold has a new process claim the partition after a former one.
func (c *burstCell) hold(former ledger.Holder) {
	m := &machine{}
	mux := peer.NewMux()
	health := follow.NewHealth(nil)
	writes := resend.New(c.store.Client("a"), health)
	listed := map[host.ID]host.Info{}
	for _, info := range c.fleet.Listed() {
		listed[info.ID] = info
	}
	c.table = NewTable(Config{
		Store: c.store.Client("a"), Health: health, Hosts: ownHosts{c.fleet, m}, Peers: end{c.wires, "holder"}, Log: quiet(),
		Self: "holder", Addr: "holder", Shards: func() []linkshard.Member { return c.shards }, Tuning: engine.DefaultTuning(),
		Bounds: engine.Bounds{
			LeaseLimit: hostsim.DefaultBounds.LeaseLimit, StopTakes: hostsim.DefaultBounds.StopTakes, GangWait: hostsim.DefaultBounds.GangWait, RememberEnded: time.Hour,
		},
		HostPrefix: prefix, HostOf: func(key string) host.ID { return host.ID(key[len(prefix):]) },
		DecodeHost: func(rec platform.Record) (host.Info, error) { return listed[host.ID(rec.Key[len(prefix):])], nil },
		Catalog:    func() *catalog.Catalog { return &catalog.Catalog{} }, Lanes: func() map[string]string { return nil },
		Metrics: NewMetrics(prometheus.NewRegistry()), Busy: func() bool { return false },
		Event: func(e engine.Event) {
			if e.What == "job ended" && e.Why == string(record.StateCompleted) {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.finished[e.Job] = time.Now()
			}
		},
	}, mux)
	c.wires.mu.Lock()
	c.wires.holder = m
	c.wires.mu.Unlock()
	c.wires.set("holder", mux)
	l, _, err := ledger.Claim(c.t.Context(), writes, former, ledger.Holder{Name: "holder", Incarnation: fmt.Sprint("after-", former.Epoch), Addr: "holder"})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(c.t.Context())
	ended := make(chan struct{})
	go func() {
		_ = c.table.Hold(ctx, l, former) // it ends as it is told to
		close(ended)
	}()
	c.stop = func() { cancel(); <-ended }
}

// arrive hands jobs in for a while, each stored and told to the holder.
func (c *burstCell) arrive(d time.Duration, perSecond func(at time.Duration) float64) {
	c.begun = time.Now()
	rnd := rand.New(rand.NewPCG(1, 2))
	for n := 0; time.Since(c.begun) < d; n++ {
		id := fmt.Sprint("job-", n)
		rec := &record.Job{ID: id, Queue: "ticket", Service: "s", Rules: catalog.Rules{Attempts: 3, Stretch: 1.5, TargetMillis: 250}, Graph: spec.Graph{
			Command: string(make([]byte, 150)),
			Steps:   []spec.Step{{Count: tasksOfJob, Size: spec.Resources{MilliCPU: 8000, MemoryMiB: 8192}, EstimateMillis: workOfTask.Milliseconds()}},
		}}
		c.fleet.Know(rec)
		c.mu.Lock()
		c.arrived[id] = time.Now()
		c.mu.Unlock()
		value, err := record.Encode(*rec)
		if err != nil {
			c.t.Fatal(err)
		}
		c.store.Put(platform.Write{Key: record.JobKey(0, id), Value: value})
		go c.tell(rec)
		time.Sleep(time.Duration(rnd.ExpFloat64() / perSecond(time.Since(c.begun)) * float64(time.Second)))
	}
}

// tell tells the holder of a job as an accepting member does.
func (c *burstCell) tell(rec *record.Job) {
	for range 20 {
		ctx, cancel := context.WithTimeout(c.t.Context(), 2500*time.Millisecond)
		err := end{c.wires, "front"}.Call(ctx, "holder", peer.KindAccepted, Accepted{Job: *rec, Fresh: false}, &Empty{})
		cancel()
		if err == nil {
			return
		}
		time.Sleep(40 * time.Millisecond)
	}
}

// served is which share of the jobs that came in a span completed in time.
func (c *burstCell) served(from, until time.Duration) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	good, all := 0, 0
	for id, at := range c.arrived {
		if since := at.Sub(c.begun); since < from || since >= until {
			continue
		}
		all++
		if end, ok := c.finished[id]; ok && end.Sub(at) <= inTimeFor {
			good++
		}
	}
	return float64(good) / float64(all)
}

// TestBurstOnABoundedHolder: within five seconds after a burst, an outage of the store, the
// loss of a third of the shards or of the holder itself, the cell serves as it did before.
// Alone, with all calls over its own link, the holder served 0 of the jobs that came from
// 5 s after the burst on.
func TestBurstOnABoundedHolder(t *testing.T) {
	const (
		strikes = 6 * time.Second
		lasts   = 4 * time.Second
		back    = 5 * time.Second
		ends    = 22 * time.Second
	)
	calm := func(time.Duration) float64 { return calmJobs }
	burst := func(at time.Duration) float64 {
		if at >= strikes && at < strikes+lasts {
			return burstTimes * calmJobs
		}
		return calmJobs
	}
	cut := func(c *burstCell, cut bool) {
		c.wires.mu.Lock()
		defer c.wires.mu.Unlock()
		for i := 0; i < burstShards; i += 3 {
			c.wires.cut[fmt.Sprint("m", i)] = cut
		}
	}
	tests := map[string]struct {
		rate  func(time.Duration) float64
		begin func(c *burstCell)
		end   func(c *burstCell)
		// least is which share is served while the fault lasts.
		least float64
	}{
		"burst":                     {burst, func(*burstCell) {}, func(*burstCell) {}, 0.9},
		"a third of the shards cut": {calm, func(c *burstCell) { cut(c, true) }, func(c *burstCell) { cut(c, false) }, 0.7},
		"burst on fewer shards":     {burst, func(c *burstCell) { cut(c, true) }, func(c *burstCell) { cut(c, false) }, 0.6},
		"store away":                {calm, func(c *burstCell) { c.store.SetFaults(memstore.Faults{Hang: true}) }, func(c *burstCell) { c.store.SetFaults(memstore.Faults{}) }, 0},
		"holder gone in a burst": {burst, func(c *burstCell) {
			c.stop()
			rec, _, err := c.store.Client("judge").Get(c.t.Context(), ledger.HolderKey(0))
			if err != nil {
				c.t.Error(err)
			}
			former, err := ledger.DecodeHolder(rec)
			if err != nil {
				c.t.Error(err)
			}
			c.hold(former)
		}, func(*burstCell) {}, 0.5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newBurstCell(t, burstShards)
				time.Sleep(3 * time.Second)
				time.AfterFunc(strikes, func() { tc.begin(c) })
				time.AfterFunc(strikes+lasts, func() { tc.end(c) })
				c.arrive(ends, tc.rate)
				time.Sleep(4 * time.Second)
				before, during, after := c.served(time.Second, strikes-time.Second), c.served(strikes, strikes+lasts), c.served(strikes+lasts+back, ends)
				t.Logf("in time: %.3f before, %.3f during, %.3f from %v after on", before, during, after, back)
				c.stop()
				c.store.Close()
				time.Sleep(10 * time.Second) // what is under way ends
				for _, wrong := range c.fleet.Judge().Wrong() {
					t.Error(wrong)
				}
				is.True(before >= 0.95)
				is.True(during >= tc.least)
				is.True(after >= before-0.03)
			})
		})
	}
}
