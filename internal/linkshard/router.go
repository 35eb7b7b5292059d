package linkshard

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/host"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
	"pulleyquay/internal/wait"
)

// Intervals, timeouts and limits of the calls that are given to shards.
const (
	// selectInterval is how often shards are selected anew.
	selectInterval = 200 * time.Millisecond
	// batchesPerSecond bounds the batches to all shards together, and the reports from them: each
	// costs the holder time, whatever its size.
	batchesPerSecond = 500
	// maxBatchCalls bounds the calls in one batch, and with them its size.
	maxBatchCalls = 512
	// batchTimeout bounds the wait for a shard's acknowledgement of a batch, which it sends at
	// once.
	batchTimeout = 400 * time.Millisecond
	// initialBackoff is the time after which an unresponsive shard is probed; it doubles with each
	// consecutive failure, up to maxDoublings times.
	initialBackoff = 500 * time.Millisecond
	maxDoublings   = 3
	// orderTimeout is how long after its sending a start, stop or throttle is given up: a shard
	// waits for the host, and batches and reports are sent one at a time.
	orderTimeout = 700 * time.Millisecond
	// pollSlack is the time that the answer to a poll may take in addition to twice the time that
	// the host may hold it: a shard repeats a poll when its connections have become silent.
	pollSlack = 900 * time.Millisecond
	// busyGrace is the additional time that a busy process waits for reports: less than the
	// duration of a lease.
	busyGrace = 2500 * time.Millisecond
	// expireInterval is how often timed-out calls are ended.
	expireInterval = 50 * time.Millisecond
	// quietTimeout is the time without contact after which a shard that has calls is probed. It is
	// well under the duration of a lease, as the hosts of a failed shard have only their leases
	// until they are called through another one.
	quietTimeout = time.Second
	// maxHostsFactor limits the hosts for which routes are kept, as a multiple of the hosts in use.
	maxHostsFactor = 4
	// maxRoutes bounds the number of shards to which one call is given in turn.
	maxRoutes = 3
)

// Config holds the dependencies and settings of a Router.
type Config struct {
	Partition int
	Epoch     uint64
	// Self and Addr are this process's name and address among its peers.
	Self, Addr string
	Peers      peer.Caller
	// Local makes the calls that are not given to shards.
	Local host.Client
	// Members lists the members that can be shards, including this process.
	Members func() []Member
	// Hosts returns how many hosts the partition has.
	Hosts func() int
	// Apply runs a function that processes outcomes, one at a time.
	Apply func(func(now time.Time))
	// Busy reports whether this process lacks processor time: answers that seem late may then be
	// late because of this process.
	Busy func() bool
	Log  *logrus.Entry
}

// Router gives a holder's calls to shards, or makes them itself.
type Router struct {
	conf        Config
	ctx         context.Context // ends with the holding
	directCalls sync.WaitGroup

	mu     sync.Mutex
	lastID uint64
	calls  map[uint64]*pendingCall
	shards map[string]*shard
	// members are the shards that get calls now; selector chooses among them.
	members    []Member
	selector   *shardSelector
	selectedAt time.Time
	// routes maps each host that was called to its shard.
	routes map[host.ID]*shard
	// failedRoutes is how many times a host was not reached.
	failedRoutes map[host.ID]int
}

// pendingCall is a call that was given to a shard.
type pendingCall struct {
	call        Call
	shard       *shard
	routes      int       // number of shards that it was given to
	firstSentAt time.Time // time of the first sending
	expiresAt   time.Time // deadline; zero while it has not been sent
	// possiblySent is true when an unresponsive shard may have made the call.
	possiblySent bool
}

// shard is one member with the calls queued for the next batch to it.
type shard struct {
	member      Member
	queue       []numberedCall
	sending     bool
	lastBatch   time.Time // when a batch was last sent
	lastContact time.Time // when a batch was last answered, or a report received
	failures    int       // consecutive
	// An unresponsive shard gets no calls until it has answered a probe; it is probed from
	// probeAfter on. probing is true while a probe is in progress.
	unresponsive, probing bool
	probeAfter            time.Time
}

// New returns a router for one holding. Run has to be called.
func New(conf Config) *Router {
	return &Router{
		conf: conf, ctx: context.Background(), calls: map[uint64]*pendingCall{}, shards: map[string]*shard{},
		routes: map[host.ID]*shard{}, failedRoutes: map[host.ID]int{},
	}
}

// Run ends timed-out calls and probes quiet shards until ctx ends.
func (r *Router) Run(ctx context.Context) {
	for wait.For(ctx, expireInterval) {
		r.expire(time.Now())
		r.probeQuietShards(time.Now())
	}
}

// Wait waits for the calls that this process makes itself. It must be called only after the last
// call of Do.
func (r *Router) Wait() { r.directCalls.Wait() }

// Do makes calls. It does not wait for their outcomes. It must be called by one goroutine only, and
// not after ctx has ended.
func (r *Router) Do(ctx context.Context, calls []Call) {
	if len(calls) == 0 {
		return
	}
	now := time.Now()
	r.mu.Lock()
	r.ctx = ctx
	r.chooseShards(now)
	var direct []Call
	for _, c := range calls {
		s := r.shardFor(&c.To)
		if s == nil {
			direct = append(direct, c)
			continue
		}
		r.lastID++
		r.calls[r.lastID] = &pendingCall{call: c, shard: s, routes: 1}
		r.enqueue(s, numberedCall{r.lastID, c})
	}
	r.mu.Unlock()
	for _, c := range direct {
		r.directCalls.Go(func() { r.callDirectly(ctx, c) })
	}
}

// callDirectly makes a call from this process.
func (r *Router) callDirectly(ctx context.Context, c Call) {
	sent := time.Now()
	o := perform(ctx, r.conf.Local, &c)
	o.Sent = sent
	r.conf.Apply(func(now time.Time) { c.Done(o, now) })
}

// enqueue queues a call for the next batch to a shard. The lock is held.
func (r *Router) enqueue(s *shard, n numberedCall) {
	s.queue = append(s.queue, n)
	if !s.sending {
		s.sending = true
		go r.send(r.ctx, s)
	}
}

// batchInterval is the least time between two batches to a shard, and two reports of one. The lock
// is held.
func (r *Router) batchInterval() time.Duration {
	return time.Duration(len(r.members)) * time.Second / batchesPerSecond
}

// send sends batches to a shard until none is queued, each after the one before was acknowledged:
// while a shard or this process is slow, the batches grow.
func (r *Router) send(ctx context.Context, s *shard) {
	for {
		r.mu.Lock()
		batchInterval, addr := r.batchInterval(), s.member.Addr
		pause := batchInterval - time.Since(s.lastBatch)
		r.mu.Unlock()
		if pause > 0 && !wait.For(ctx, pause) {
			return
		}
		batch := r.takeBatch(s, time.Now())
		if batch == nil || ctx.Err() != nil {
			return
		}
		if len(batch) == 0 {
			continue
		}
		b := newBatch(batch)
		b.Partition, b.Epoch, b.Holder, b.ReportEvery = r.conf.Partition, r.conf.Epoch, r.conf.Addr, batchInterval
		callCtx, cancel := context.WithTimeout(ctx, batchTimeout)
		err := r.conf.Peers.Call(callCtx, addr, peer.KindHostCalls, b, &Empty{})
		switch {
		case err == nil:
			r.recordContact(s, time.Now())
		case ctx.Err() != nil:
		case !r.conf.Busy() || !timedOut(callCtx):
			r.markFailed(s, batch, err, time.Now())
		case result.From(err).Ran == result.RanNo:
			r.requeueUnsent(s, batch)
		}
		cancel()
	}
}

// takeBatch returns the calls of the next batch, or nil when none is queued.
func (r *Router) takeBatch(s *shard, now time.Time) []numberedCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(len(s.queue), maxBatchCalls)
	if n == 0 {
		s.sending = false
		return nil
	}
	batch := make([]numberedCall, 0, n)
	for _, c := range s.queue[:n] {
		if p := r.calls[c.id]; p != nil { // otherwise it has been reported or given up meanwhile
			p.recordSent(now)
			batch = append(batch, c)
		}
	}
	s.queue = append([]numberedCall(nil), s.queue[n:]...)
	s.lastBatch = now
	return batch
}

// recordSent records that the call is sent, and sets its deadline.
func (p *pendingCall) recordSent(now time.Time) {
	if p.firstSentAt.IsZero() {
		p.firstSentAt = now
	}
	p.expiresAt = now.Add(orderTimeout)
	if p.call.Poll != nil {
		p.expiresAt = now.Add(2*p.call.Poll.Wait + pollSlack)
	}
}

// endedCall is a call with its outcome.
type endedCall struct {
	call    *pendingCall
	outcome Outcome
}

// PendingCalls returns how many calls wait for their outcome, queued or at shards.
func (r *Router) PendingCalls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls)
}

// Report processes the outcomes that a shard has received from hosts.
func (r *Router) Report(report Report) error {
	list, err := report.decode()
	if err != nil {
		return result.New(result.BadInput, result.RanNo, "%v", err)
	}
	var done []endedCall
	r.mu.Lock()
	for _, f := range list {
		p := r.calls[f.id]
		if p == nil {
			continue // given up, or reported before
		}
		delete(r.calls, f.id)
		p.shard.failures, p.shard.lastContact = 0, time.Now()
		r.rerouteIfUnreached(p.call.To.ID, f.outcome.Err)
		done = append(done, endedCall{p, f.outcome})
	}
	r.mu.Unlock()
	r.finish(done)
	return nil
}
