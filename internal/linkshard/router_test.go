package linkshard

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/host"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

// fault is a fault of the messages between the holder and one shard.
type fault int

const (
	noFault          fault = iota
	notListening           // connections are refused
	blackhole              // messages and answers are lost
	noAnswers              // calls are made, but neither acknowledged nor reported
	noReports              // batches are acknowledged, outcomes are not reported
	duplicateReports       // each report arrives twice
	notSentInTime          // messages are not sent before their timeout
)

// network transmits messages between a holder at "holder" and shards at "a0" and so on.
type network struct {
	peer.Local
	mu     sync.Mutex
	faults map[string]fault
	sent   map[string]int // batches by address
}

func (n *network) set(f fault, addrs ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addrs {
		n.faults[a] = f
	}
}

func (n *network) batches() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := 0
	for _, s := range n.sent {
		sum += s
	}
	return sum
}

// callsFrom sends messages over the network as a shard or as the holder.
type callsFrom struct {
	*network
	addr string
}

func (f callsFrom) Call(ctx context.Context, addr string, kind peer.Kind, req, resp any) error {
	other := addr
	if other == "holder" {
		other = f.addr
	}
	f.mu.Lock()
	fault := f.faults[other]
	if kind == peer.KindHostCalls {
		f.sent[addr]++
	}
	f.mu.Unlock()
	time.Sleep(time.Millisecond)
	lost := func() error {
		<-ctx.Done()
		return result.New(result.PeerLost, result.RanUnknown, "no answer")
	}
	switch {
	case fault == notListening:
		return result.New(result.PeerNotReached, result.RanNo, "refused")
	case fault == notSentInTime:
		<-ctx.Done()
		return result.New(result.PeerNotReached, result.RanNo, "no link yet")
	case fault == blackhole, fault == noReports && kind == peer.KindHostReport, fault == noAnswers && kind == peer.KindHostReport:
		return lost()
	case fault == noAnswers:
		_ = f.Local.Call(ctx, addr, kind, req, resp)
		return lost()
	case fault == duplicateReports && kind == peer.KindHostReport:
		_ = f.Local.Call(ctx, addr, kind, req, resp)
	}
	return f.Local.Call(ctx, addr, kind, req, resp)
}

// countingHosts counts the starts of each run that arrive, whichever member sends them.
type countingHosts struct {
	mu              sync.Mutex
	starts          map[host.Run]int
	calls           int
	refuse          host.Refusal
	latency         time.Duration
	unreachableFrom string // calls from this shard do not arrive
	fenceEpoch      uint64
}

func (c *countingHosts) callsFrom(shard string) host.Client { return hostsFrom{c, shard} }

type hostsFrom struct {
	*countingHosts
	shard string
}

func (c hostsFrom) arrive(ctx context.Context, epoch uint64) (host.Reply, error) {
	time.Sleep(c.latency)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	switch {
	case c.shard == c.unreachableFrom && c.shard != "":
		return host.Reply{}, host.ErrLost
	case epoch < c.fenceEpoch:
		return host.Reply{Refused: host.RefusedFenced}, nil
	}
	return host.Reply{Clock: 5, Refused: c.refuse}, ctx.Err()
}

func (c hostsFrom) Start(ctx context.Context, _ host.Info, epoch uint64, s host.Start) (host.Reply, error) {
	r, err := c.arrive(ctx, epoch)
	if err == nil && r.Refused == "" {
		c.mu.Lock()
		c.starts[s.Run]++
		c.mu.Unlock()
	}
	return r, err
}

func (c hostsFrom) Stop(ctx context.Context, _ host.Info, epoch uint64, _ host.Run) (host.Reply, error) {
	return c.arrive(ctx, epoch)
}

func (c hostsFrom) Throttle(ctx context.Context, _ host.Info, epoch uint64, _ host.Run, _ int) (host.Reply, error) {
	return c.arrive(ctx, epoch)
}

func (c hostsFrom) Poll(ctx context.Context, _ host.Info, epoch uint64, p host.Poll) (host.View, error) {
	time.Sleep(p.Wait)
	r, err := c.arrive(ctx, epoch)
	return host.View{Clock: r.Clock, Fenced: r.Refused == host.RefusedFenced}, err
}

// fixture is a holder's router with shards, hosts and a network between them.
type fixture struct {
	network *network
	hosts   *countingHosts
	router  *Router
	ctx     context.Context
	busy    atomic.Bool // whether the holder's process is busy

	mu       sync.Mutex
	outcomes map[int][]Outcome // by call
	at       map[int]time.Time
}

func newFixture(t *testing.T, shards, partitionHosts int) *fixture {
	r := &fixture{
		network:  &network{Local: peer.Local{}, faults: map[string]fault{}, sent: map[string]int{}},
		hosts:    &countingHosts{starts: map[host.Run]int{}, latency: 2 * time.Millisecond},
		outcomes: map[int][]Outcome{}, at: map[int]time.Time{},
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	members := []Member{{Name: "holder", Addr: "holder", Zone: "z", Cores: 0.12, LinkMbps: 2}}
	for i := range shards {
		addr := fmt.Sprint("a", i)
		mux := peer.NewMux()
		NewServer(mux, r.hosts.callsFrom(addr), callsFrom{r.network, addr}, log)
		r.network.Local[addr] = mux
		members = append(members, Member{Name: addr, Addr: addr, Zone: "z", Cores: 0.12, LinkMbps: 2})
	}
	r.router = New(Config{
		Epoch: 7, Self: "holder", Addr: "holder", Peers: callsFrom{r.network, "holder"}, Local: r.hosts.callsFrom("holder"),
		Members: func() []Member { return members }, Hosts: func() int { return partitionHosts }, Log: log, Busy: r.busy.Load,
		Apply: func(fn func(time.Time)) {
			r.mu.Lock()
			defer r.mu.Unlock()
			fn(time.Now())
		},
	})
	mux := peer.NewMux()
	peer.Handle(mux, peer.KindHostReport, func(_ context.Context, rep Report) (Empty, error) { return Empty{}, r.router.Report(rep) })
	r.network.Local["holder"] = mux
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		r.router.Run(ctx)
		r.router.Wait()
		close(ended)
	}()
	t.Cleanup(func() { cancel(); <-ended; time.Sleep(2 * reportRetryPeriod) })
	r.ctx = ctx
	return r
}

func runNo(i int) host.Run {
	return host.Run{Task: spec.StepTask{StepID: spec.StepID{Job: "j"}, Index: i}, No: 1}
}

// start orders n runs, numbered from first, each on a host of its own.
func (r *fixture) start(first, n int) {
	var calls []Call
	for i := first; i < first+n; i++ {
		calls = append(calls, r.call(i, Call{Start: &host.Start{Run: runNo(i)}}))
	}
	r.router.Do(r.ctx, calls)
}

func (r *fixture) call(i int, c Call) Call {
	c.To = host.Info{ID: host.ID(fmt.Sprint("h", i)), Zone: "z"}
	c.Done = func(o Outcome, now time.Time) {
		r.outcomes[i] = append(r.outcomes[i], o)
		r.at[i] = now
	}
	return c
}

// count counts the calls with exactly one outcome, if that satisfies the function.
func (r *fixture) count(is func(Outcome) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, list := range r.outcomes {
		if len(list) == 1 && is(list[0]) {
			n++
		}
	}
	return n
}

func done(o Outcome) bool { return o.Err == nil && o.Reply.Refused == "" }

// TestShardFailures: if a shard stops, becomes unreachable or does not report, its calls are delayed,
// but each call has one outcome, is carried out at most once, and is never reported as not sent if it
// may have been sent.
func TestShardFailures(t *testing.T) {
	const calls = 40
	tests := map[string]struct {
		fault  fault
		within time.Duration // all outcomes are reported
		done   int           // minimum
	}{
		"no fault":               {noFault, 50 * time.Millisecond, calls},
		"duplicate reports":      {duplicateReports, 50 * time.Millisecond, calls},
		"connections refused":    {notListening, 100 * time.Millisecond, calls},
		"messages lost":          {blackhole, 550 * time.Millisecond, calls},
		"calls made, no answers": {noAnswers, 550 * time.Millisecond, calls},
		"outcomes not reported":  {noReports, 800 * time.Millisecond, calls / 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newFixture(t, 4, 200)
				r.network.set(tc.fault, "a0", "a1")
				r.start(0, calls)
				time.Sleep(tc.within)
				synctest.Wait()
				is.Equal(r.count(func(Outcome) bool { return true }), calls) // one outcome each
				is.True(r.count(done) >= tc.done)
				is.Equal(r.count(func(o Outcome) bool { return failureOf(o.Err) == failureNotSent }), 0)
				before := r.count(done)
				r.network.set(noFault, "a0", "a1")
				time.Sleep(5 * time.Second)
				is.Equal(r.count(done), before) // late reports change nothing
				r.start(1000, calls)
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
				is.Equal(r.count(done), before+calls) // all shards are in use again
			})
		})
	}
}

// TestPollsSurviveShardFailure: guards against a shard's failure going unnoticed while all of its
// polls are held at their hosts: nothing more is sent to the shard then, so nothing shows the failure.
// As a result, the shard's hosts counted as unresponsive, though each would have answered, and only
// shortly before their leases ended. With the additional time that a busy holder waits, that was too
// late, and leases ended.
func TestPollsSurviveShardFailure(t *testing.T) {
	const polls = 40
	for name, fault := range map[string]fault{"connections refused": notListening, "messages lost": blackhole, "no fault": noFault} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newFixture(t, 4, 200)
				var calls []Call
				for i := range polls {
					calls = append(calls, r.call(i, Call{Poll: &host.Poll{Wait: 2 * time.Second}}))
				}
				r.router.Do(r.ctx, calls)
				time.Sleep(200 * time.Millisecond)
				r.network.set(fault, "a0", "a1")
				time.Sleep(4 * time.Second)
				synctest.Wait()
				is.Equal(r.count(func(o Outcome) bool { return o.Err == nil && o.View.Clock == 5 }), polls)
				before := r.network.batches()
				time.Sleep(10 * time.Second)
				is.True(r.network.batches()-before <= 2*30) // a shard without calls is not probed, an unresponsive one now and then
			})
		})
	}
}

// TestUnsentBatchOfBusyHolder: guards against a busy holder, whose calls to shards are late because
// it is busy, waiting for the outcomes of a batch that it never sent. Its starts then ended as
// lost, and it was unknown whether their runs existed.
func TestUnsentBatchOfBusyHolder(t *testing.T) {
	const calls = 40
	tests := map[string]struct {
		clears time.Duration // zero for never
		want   func(Outcome) bool
	}{
		"sent later":     {500 * time.Millisecond, done},
		"not sent again": {0, func(o Outcome) bool { return failureOf(o.Err) == failureNotSent }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newFixture(t, 4, 200)
				r.busy.Store(true)
				r.network.set(notSentInTime, "a0", "a1", "a2", "a3")
				r.start(0, calls)
				if tc.clears > 0 {
					time.Sleep(tc.clears)
					r.network.set(noFault, "a0", "a1", "a2", "a3")
				}
				time.Sleep(10 * time.Second)
				synctest.Wait()
				is.Equal(r.count(tc.want), calls)
			})
		})
	}
}

// TestNoShardIsReachable: without any reachable shard the holder makes the calls itself.
func TestNoShardIsReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(t, 3, 200)
		r.network.set(notListening, "a0", "a1", "a2")
		r.start(0, 10)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		is.Equal(r.count(func(Outcome) bool { return true }), 10)
		is.Equal(r.count(func(o Outcome) bool { return failureOf(o.Err) == failureNotSent || done(o) }), 10)
		r.start(100, 10)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		is.True(r.count(done) >= 10)
	})
}

// TestSmallCellsUseNoShards: the holder of a small cell sends no message to another member.
func TestSmallCellsUseNoShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(t, 4, 10)
		r.start(0, 10)
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		is.Equal(r.count(done), 10)
		is.Equal(r.network.batches(), 0)
	})
}

// TestRefusalsOfPossiblySentCalls: a refusal received through a second shard proves nothing about a
// call that the first may have made, except for a fencing refusal, which means that a later holder
// has taken over.
func TestRefusalsOfPossiblySentCalls(t *testing.T) {
	refused := host.Reply{Refused: host.RefusedNoCapacity}
	tests := map[string]struct {
		outcome      Outcome
		possiblySent bool
		want         failure
		refused      host.Refusal
		start        bool
	}{
		"done":                                      {Outcome{}, true, failureNone, "", false},
		"refused":                                   {Outcome{Reply: refused}, false, failureNone, host.RefusedNoCapacity, false},
		"refused, possibly sent":                    {Outcome{Reply: refused}, true, failureLost, "", false},
		"too old, possibly sent":                    {Outcome{Reply: host.Reply{Refused: host.RefusedSuperseded}}, true, failureLost, "", false},
		"fenced, possibly sent":                     {Outcome{Reply: host.Reply{Refused: host.RefusedFenced}}, true, failureNone, host.RefusedFenced, false},
		"not sent":                                  {Outcome{Err: host.ErrNotSent}, false, failureNotSent, "", false},
		"not sent, possibly sent by another":        {Outcome{Err: host.ErrNotSent}, true, failureLost, "", false},
		"another incarnation, possibly sent":        {Outcome{Err: host.ErrOtherIncarnation}, true, failureOtherIncarnation, "", false},
		"start, another incarnation, possibly sent": {Outcome{Err: host.ErrOtherIncarnation}, true, failureLost, "", true},
		"start, another incarnation":                {Outcome{Err: host.ErrOtherIncarnation}, false, failureOtherIncarnation, "", true},
		"broken, possibly sent":                     {Outcome{Err: host.ErrConnectionBroken}, true, failureBroken, "", false},
		"connection refused":                        {Outcome{Err: host.ErrConnectionRefused}, false, failureRefused, "", false},
		"connection refused, possibly sent":         {Outcome{Err: host.ErrConnectionRefused}, true, failureLost, "", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc.outcome.markUncertain(tc.possiblySent, tc.start)
			is.Equal(failureOf(tc.outcome.Err), tc.want)
			is.Equal(tc.outcome.Reply.Refused, tc.refused)
		})
	}
}

// TestShardDisconnectedFromHosts: a host that its shard does not reach is called through another
// one.
func TestShardDisconnectedFromHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(t, 4, 200)
		r.hosts.unreachableFrom = "a1"
		const hosts = 40
		r.start(0, hosts)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		missed := hosts - r.count(done)
		is.True(missed > 0 && missed < hosts/2)
		for try := range 6 {
			r.mu.Lock()
			clear(r.outcomes)
			r.mu.Unlock()
			r.start(0, hosts)
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			_ = try
		}
		is.Equal(r.count(done), hosts)
	})
}

// TestPollsCountFromTheirSending: a view's age is measured from the time at which the holder sent
// the poll, however long the shard and its report took; a poll held at the host is reported in
// time.
func TestPollsCountFromTheirSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(t, 4, 200)
		started := time.Now()
		r.router.Do(r.ctx, []Call{r.call(0, Call{Poll: &host.Poll{Wait: 2 * time.Second}})})
		time.Sleep(2100 * time.Millisecond)
		synctest.Wait()
		r.mu.Lock()
		defer r.mu.Unlock()
		is.Equal(len(r.outcomes[0]), 1)
		o := r.outcomes[0][0]
		is.NoErr(o.Err)
		is.Equal(o.View.Clock, host.Millis(5))
		is.True(o.Sent.Sub(started) < 10*time.Millisecond)
	})
}

// TestBurstTravelsInFewBatches: 4,000 calls in a second, the burst of a cell of 1,100 hosts, and
// their outcomes take a bounded number of messages.
func TestBurstTravelsInFewBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(t, 15, 1100)
		for i := range 1000 {
			r.start(4*i, 4)
			time.Sleep(time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		is.Equal(r.count(done), 4000)
		is.True(r.network.batches() <= batchesPerSecond*11/10)
	})
}

// TestReportsForPreviousHoldersAreDropped: reports for a holding that is over are not retried.
func TestReportsForPreviousHoldersAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(t, 1, 200)
		mux := peer.NewMux()
		reports := 0
		peer.Handle(mux, peer.KindHostReport, func(context.Context, Report) (Empty, error) {
			reports++
			return Empty{}, result.New(result.HolderUnreachable, result.RanNo, "not held")
		})
		r.network.Local["holder"] = mux
		r.start(0, 1)
		time.Sleep(2 * reportRetryPeriod)
		synctest.Wait()
		is.Equal(reports, 1)
	})
}

// TestUnreportedOutcomes: guards against hosts that count as unresponsive because a link shard does not report the
// outcomes of their calls, or because no shard can be reached.
func TestUnreportedOutcomes(t *testing.T) {
	for name, fault := range map[string]fault{"outcomes not reported": noReports, "connections refused": notListening} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newFixture(t, 4, 200)
				r.network.set(fault, "a0", "a1", "a2", "a3")
				r.start(0, 40)
				time.Sleep(2 * time.Second)
				synctest.Wait()
				is.Equal(r.count(func(o Outcome) bool { return errors.Is(o.Err, host.ErrUnreported) }), 40)
			})
		})
	}
}
