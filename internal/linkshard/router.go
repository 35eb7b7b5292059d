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

// Times and bounds of the calls that are given to shards.
const (
	// membersEvery is how often it is worked out who is a shard.
	selectInterval = 200 * time.Millisecond
	// batchesPerSecond bounds the batches to all shards together, and the reports from
	// them: each costs the holder time, whatever it holds.
	batchesPerSecond = 500
	// mostCalls bounds the calls in one batch, and with them its size.
	maxBatchCalls = 512
	// batchPatience bounds the wait until a shard has a batch: it answers at once.
	batchTimeout = 400 * time.Millisecond
	// firstRest is after how long a shard that did not answer is asked whether it is
	// back; it doubles with each failure in a row, up to doublings times.
	initialBackoff = 500 * time.Millisecond
	maxDoublings   = 3
	// orderPatience is how long after its sending a start, stop or pace is given up: a
	// shard waits for the host, and batches and reports wait for each other.
	orderTimeout = 700 * time.Millisecond
	// lookSlack is how much longer than it may be held back, twice, an answer to a look
	// is waited for: a shard asks again when its connections have fallen silent.
	pollSlack = 900 * time.Millisecond
	// busyPatience is how much longer a busy process waits for reports: less than a
	// lease lasts.
	busyGrace = 2500 * time.Millisecond
	// expireEvery is how often calls are given up.
	expireInterval = 50 * time.Millisecond
	// quietAfter is for how long a shard that has calls may say nothing before it is asked
	// whether it is there. It is well under a lease, which the hosts of a shard that ended
	// live on until they are called through another one.
	quietTimeout = time.Second
	// forgetFactor is how many times more hosts than there are may be remembered.
	maxHostsFactor = 4
	// mostRoutes is how many shards one call is given to, one after the other.
	maxRoutes = 3
)

// Config is what a Router works with.
type Config struct {
	Partition int
	Epoch     uint64
	// Self and Addr are this process's name and address among its peers.
	Self, Addr string
	Peers      peer.Caller
	// Local makes the calls that are not given to others.
	Local host.Client
	// Members lists the members that can be shards, this process included.
	Members func() []Member
	// Hosts is how many hosts the partition has.
	Hosts func() int
	// Apply runs a function that takes in outcomes, one at a time.
	Apply func(func(now time.Time))
	// Busy reports whether this process lacks processor time: what seems late elsewhere
	// is late here then.
	Busy func() bool
	Log  *logrus.Entry
}

// Router gives a holder's calls to shards, or makes them itself.
type Router struct {
	conf        Config
	ctx         context.Context // of the holding
	directCalls sync.WaitGroup

	mu     sync.Mutex
	lastID uint64
	calls  map[uint64]*pending
	shards map[string]*shard
	// members are those that get calls now, spread chooses among them.
	members    []Member
	selector   *shardSelector
	selectedAt time.Time
	// routes keeps the shard of each host that was called.
	routes map[host.ID]*shard
	// passed is how many times a host was not reached.
	failedRoutes map[host.ID]int
}

// pending is a call that was given to a shard.
type pending struct {
	call        Call
	shard       *shard
	routes      int       // shards that it was given to
	firstSentAt time.Time // first
	expiresAt   time.Time // given up then; zero while it has not been sent
	// doubt is true when a shard that was lost may have made the call.
	possiblySent bool
}

// shard is one member with the calls that wait for the next batch to it.
type shard struct {
	member      Member
	queue       []numberedCall
	sending     bool
	lastBatch   time.Time // when a batch was last sent
	lastContact time.Time // when a batch was last answered, or a report came
	failures    int       // in a row
	// lost shards get no calls before they have answered again; they are asked from
	// askAfter on, and asking is true meanwhile.
	unresponsive, probing bool
	probeAfter            time.Time
}

// New returns a router for one holding. Run has to be called.
func New(conf Config) *Router {
	return &Router{
		conf: conf, ctx: context.Background(), calls: map[uint64]*pending{}, shards: map[string]*shard{},
		routes: map[host.ID]*shard{}, failedRoutes: map[host.ID]int{},
	}
}

// Run gives calls up in time until ctx ends.
func (r *Router) Run(ctx context.Context) {
	for wait.For(ctx, expireInterval) {
		r.expire(time.Now())
		r.probeQuietShards(time.Now())
	}
}

// Wait waits for the calls that this process makes itself. It is to be called once no more
// are made.
func (r *Router) Wait() { r.directCalls.Wait() }

// Do makes calls. It does not wait for their outcomes. It is for one goroutine, and not
// to be called after ctx has ended.
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
		r.calls[r.lastID] = &pending{call: c, shard: s, routes: 1}
		r.enqueue(s, numberedCall{r.lastID, c})
	}
	r.mu.Unlock()
	for _, c := range direct {
		r.directCalls.Go(func() { r.callDirectly(ctx, c) })
	}
}

// makeOwn makes a call from this process.
func (r *Router) callDirectly(ctx context.Context, c Call) {
	sent := time.Now()
	o := perform(ctx, r.conf.Local, r.conf.Epoch, &c)
	o.Sent = sent
	r.conf.Apply(func(now time.Time) { c.Done(o, now) })
}

// enqueue has a call sent with the next batch to a shard. The lock is held.
func (r *Router) enqueue(s *shard, n numberedCall) {
	s.queue = append(s.queue, n)
	if !s.sending {
		s.sending = true
		go r.send(r.ctx, s)
	}
}

// every is the least time between two batches to a shard, and two reports of one. The
// lock is held.
func (r *Router) batchInterval() time.Duration {
	return time.Duration(len(r.members)) * time.Second / batchesPerSecond
}

// send sends batches to a shard until nothing waits, each after the one before has
// arrived: while a shard or this process is slow, the batches grow.
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

// take returns the calls of the next batch, or nil when nothing waits.
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
		if p := r.calls[c.id]; p != nil { // else it has been reported or given up meanwhile
			p.recordSent(now)
			batch = append(batch, c)
		}
	}
	s.queue = append([]numberedCall(nil), s.queue[n:]...)
	s.lastBatch = now
	return batch
}

// sendAt notes that the call is sent.
func (p *pending) recordSent(now time.Time) {
	if p.firstSentAt.IsZero() {
		p.firstSentAt = now
	}
	p.expiresAt = now.Add(orderTimeout)
	if p.call.Look != nil {
		p.expiresAt = now.Add(2*p.call.Look.Wait + pollSlack)
	}
}

// ended is a call with its outcome.
type endedCall struct {
	call    *pending
	outcome Outcome
}

// UnderWay is how many calls wait for their outcome, at shards or for a batch to them.
func (r *Router) UnderWay() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls)
}

// Report takes in what a shard has heard from hosts.
func (r *Router) Report(report Report) error {
	list, err := report.outcomes()
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
		r.recordReach(p.call.To.ID, f.outcome.Err)
		done = append(done, endedCall{p, f.outcome})
	}
	r.mu.Unlock()
	r.finish(done)
	return nil
}
