package front

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/admission"
	"pulleyquay/internal/catalog"
	"pulleyquay/internal/cell"
	"pulleyquay/internal/holder"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/platform/resend"
	"pulleyquay/internal/record"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

// fakeHolder is the holder of the only partition, and the peer that stores relayed jobs.
type fakeHolder struct {
	mu          sync.Mutex
	unreachable bool
	notified    map[string]int
	state       record.State // of every job it was notified of
	// front stores jobs for peers; nil if no peer is reachable.
	front       *Front
	lostReplies int // number of replies to StoreJob calls that are lost
	// owner is the account of each job that the holder was notified of. With oldVersion set the
	// holder ignores accounts.
	owner      map[string]string
	oldVersion bool
	cancelled  []string
}

func (h *fakeHolder) Call(ctx context.Context, _ string, kind peer.Kind, req, resp any) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unreachable {
		return result.New(result.PeerNotReached, result.RanNo, "unreachable")
	}
	switch kind {
	case peer.KindJobAccepted:
		j := req.(holder.JobAccepted).Job
		h.notified[j.ID]++
		h.owner[j.ID] = j.Account
	case peer.KindJobState, peer.KindCancelJob:
		q := req.(holder.JobRequest)
		known := h.notified[q.Job] > 0 && (h.oldVersion || h.owner[q.Job] == "" || h.owner[q.Job] == q.Account)
		if known && kind == peer.KindCancelJob {
			h.cancelled = append(h.cancelled, q.Job)
		}
		*resp.(*holder.JobReply) = holder.JobReply{Found: known, State: h.state, AccessChecked: known && !h.oldVersion}
	case peer.KindStoreJob:
		if h.front == nil {
			return result.New(result.PeerNotReached, result.RanNo, "unreachable")
		}
		m, err := h.front.storeOnPeerRequest(ctx, req.(StoreRequest).Job)
		if h.lostReplies > 0 {
			h.lostReplies--
			return result.New(result.PeerLost, result.RanUnknown, "lost")
		}
		*resp.(*StoreReply) = StoreReply{Existed: m == originExisting, Uncertain: m == originUncertain}
		return err
	case peer.KindPendingJobs:
		*resp.(*holder.PendingReply) = holder.PendingReply{Pending: len(h.notified)}
	}
	return ctx.Err()
}

// fixture is a Front with a store into which faults can be injected.
type fixture struct {
	*Front
	store  *memstore.Engine
	holder *fakeHolder
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	store := memstore.New()
	t.Cleanup(store.Close)
	c := store.Client("a")
	view := cell.NewView()
	view.UpdateHolder(ledger.Holder{Epoch: 1, Name: "b", Addr: "b:1"})
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &fakeHolder{notified: map[string]int{}, owner: map[string]string{}, state: record.StateRunning}
	health := follow.NewHealth(nil)
	f := &Front{
		Store: resend.New(c, health), Get: c.Get, Health: health, Peers: h, View: view, Partitions: 1,
		Log: log.WithField("test", t.Name()), Metrics: NewMetrics(prometheus.NewRegistry()),
	}
	f.Start()
	return &fixture{f, store, h}
}

var (
	queue = &catalog.Queue{Name: "q", Service: "s"}
	graph = spec.Graph{Steps: []spec.Step{{Count: 2, Size: spec.Resources{MilliCPU: 1000}}}}
)

// stored reports whether the job's record is in the store.
func (b *fixture) stored(t *testing.T, id string) bool {
	t.Helper()
	_, ok, err := b.store.Client("judge").Get(t.Context(), record.JobKey(0, id))
	is.New(t).NoErr(err)
	return ok
}

// TestSubmitOutcome: an accepted job is stored, and a job refused with RanNo is never stored, for
// each fault of the calls to the store.
func TestSubmitOutcome(t *testing.T) {
	tests := map[string]struct {
		faults        memstore.Faults
		recoversAfter time.Duration // time until the faults end; zero: never
		want          result.Code   // zero: accepted
		ran           result.Ran
		within        time.Duration
	}{
		"no faults":            {want: 0, within: 100 * time.Millisecond},
		"first answer lost":    {faults: memstore.Faults{LoseAnswers: 1}, want: 0, within: time.Second},
		"first request lost":   {faults: memstore.Faults{LoseRequests: 1}, want: 0, within: time.Second},
		"slow":                 {faults: memstore.Faults{AnswerDelayMS: 240}, want: 0, within: time.Second},
		"very slow":            {faults: memstore.Faults{AnswerDelayMS: 800}, want: 0, within: 1200 * time.Millisecond},
		"refuses for 0.2 s":    {faults: memstore.Faults{Refuse: true}, recoversAfter: 200 * time.Millisecond, want: 0, within: time.Second},
		"refuses":              {faults: memstore.Faults{Refuse: true}, want: result.JobNotStored, ran: result.RanNo, within: 500 * time.Millisecond},
		"no answers":           {faults: memstore.Faults{Hang: true}, want: result.JobStoreUnknown, ran: result.RanUnknown, within: 1300 * time.Millisecond},
		"all answers too late": {faults: memstore.Faults{AnswerDelayMS: 9000}, want: result.JobStoreUnknown, ran: result.RanUnknown, within: 1300 * time.Millisecond},
		"no answers for 0.4 s": {faults: memstore.Faults{Hang: true}, recoversAfter: 400 * time.Millisecond, want: 0, within: 800 * time.Millisecond},
		"no answers for 0.9 s": {faults: memstore.Faults{Hang: true}, recoversAfter: 900 * time.Millisecond, want: 0, within: 1600 * time.Millisecond},
		"no answers for 2 s":   {faults: memstore.Faults{Hang: true}, recoversAfter: 2 * time.Second, want: result.JobStoreUnknown, ran: result.RanUnknown, within: 1300 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(t)
				b.store.Client("a").SetFaults(tc.faults)
				if tc.recoversAfter > 0 {
					time.AfterFunc(tc.recoversAfter, func() { b.store.Client("a").SetFaults(memstore.Faults{}) })
				}
				ctx, cancel := context.WithTimeout(t.Context(), 2940*time.Millisecond)
				defer cancel()
				start := time.Now()
				err := b.Submit(ctx, Caller{}, queue, "00000000000000aa", graph)
				is.True(time.Since(start) <= tc.within)
				time.Sleep(20 * time.Second) // delayed copies of the calls have arrived
				synctest.Wait()
				if tc.want == 0 {
					is.NoErr(err)
					is.True(b.stored(t, "00000000000000aa"))
					is.True(b.holder.notified["00000000000000aa"] > 0) // its holder was notified
					return
				}
				e := result.From(err)
				is.Equal(e.Code, tc.want)
				is.Equal(e.Ran, tc.ran)
				is.True(e.RetryAfter > 0)
				if tc.ran == result.RanNo {
					is.True(!b.stored(t, "00000000000000aa"))
				}
			})
		})
	}
}

// TestUnknownOutcomeIsReportedEarly guards against holding callers until their deadline at the
// start of an outage, when their jobs were already on the way to a store that stopped answering.
// Callers that learn early that the outcome is unknown retry by themselves with the same job ID, so
// the job is stored only once.
func TestUnknownOutcomeIsReportedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		b.store.Client("a").SetFaults(memstore.Faults{Hang: true})
		time.AfterFunc(2500*time.Millisecond, func() {
			b.store.Client("a").SetFaults(memstore.Faults{})
			b.Health.RecordCall(true, time.Now()) // as the process's watches do
		})
		submit := func(id string) (*result.Error, time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), 2940*time.Millisecond)
			defer cancel()
			start := time.Now()
			if err := b.Submit(ctx, Caller{}, queue, id, graph); err != nil {
				return result.From(err), time.Since(start)
			}
			return nil, time.Since(start)
		}
		e, took := submit("00000000000000aa")
		is.Equal(e.Ran, result.RanUnknown)
		is.Equal(e.RetryAfter, admission.RetryDelay)
		is.True(took <= 1300*time.Millisecond)
		time.Sleep(e.RetryAfter)
		e, took = submit("00000000000000bb") // not sent, so the outcome is certain
		is.Equal(e.Ran, result.RanNo)
		is.Equal(took, time.Duration(0))
		time.Sleep(e.RetryAfter)
		e, _ = submit("00000000000000aa")
		is.True(e == nil)
		e, _ = submit("00000000000000bb")
		is.True(e == nil)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		is.True(b.stored(t, "00000000000000aa"))
		is.True(b.holder.notified["00000000000000aa"] > 0)
	})
}

// TestSlowStoreStaysAvailable: the latency of the store rises to 1.5 s at once. The first calls
// are abandoned, but their late answers still count, so the store is considered available again.
func TestSlowStoreStaysAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		for i := range 5 {
			is.NoErr(b.Submit(t.Context(), Caller{}, queue, fmt.Sprintf("%016x", i), graph))
		}
		b.store.Client("a").SetFaults(memstore.Faults{AnswerDelayMS: 1500})
		e := result.From(b.Submit(t.Context(), Caller{}, queue, "00000000000000aa", graph))
		is.Equal(e.Ran, result.RanUnknown)
		time.Sleep(e.RetryAfter)
		is.NoErr(b.Submit(t.Context(), Caller{}, queue, "00000000000000aa", graph))
		is.NoErr(b.Submit(t.Context(), Caller{}, queue, "00000000000000bb", graph))
		time.Sleep(20 * time.Second)
	})
}

// TestRefusedAtOnceWhileTheStoreIsUnavailable: a job that cannot be stored is refused without
// waiting for the caller's deadline.
func TestRefusedAtOnceWhileTheStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		now := time.Now()
		b.Health.RecordCall(true, now.Add(-time.Minute))
		b.Health.RecordCall(false, now.Add(-time.Second))
		b.store.Client("a").SetFaults(memstore.Faults{Hang: true})
		start := time.Now()
		e := result.From(b.Submit(t.Context(), Caller{}, queue, "00000000000000aa", graph))
		is.Equal(e.Code, result.JobNotStored)
		is.Equal(e.Ran, result.RanNo)
		is.True(e.RetryAfter > 0)
		is.Equal(time.Since(start), time.Duration(0))
	})
}

func TestResubmittedJobStaysOneJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		for range 3 {
			is.NoErr(b.Submit(t.Context(), Caller{}, queue, "00000000000000aa", graph))
			time.Sleep(time.Second)
		}
		synctest.Wait()
		is.Equal(b.holder.notified["00000000000000aa"], 1) // only the first submission created the record
	})
}

func TestBadJobsAreRefused(t *testing.T) {
	step := func(change func(*spec.Step)) spec.Graph {
		s := spec.Step{Count: 1}
		change(&s)
		return spec.Graph{Steps: []spec.Step{s}}
	}
	tests := map[string]struct {
		graph spec.Graph
		field string
	}{
		"no steps":             {spec.Graph{}, "steps"},
		"no tasks":             {step(func(s *spec.Step) { s.Count = 0 }), "steps[0].count"},
		"negative size":        {step(func(s *spec.Step) { s.Size.MemoryMiB = -1 }), "steps[0].size"},
		"depends on itself":    {step(func(s *spec.Step) { s.After = []int{0} }), "steps[0].after"},
		"negative budget":      {step(func(s *spec.Step) { s.MaxUnavailable = -1 }), "steps[0].count"},
		"command too long":     {spec.Graph{Command: string(make([]byte, 4001)), Steps: graph.Steps}, "spec"},
		"too many occurrences": {spec.Graph{Repeat: spec.Repeat{Times: 1 << 20}, Steps: graph.Steps}, "repetitions"},
		"too many tasks":       {step(func(s *spec.Step) { s.Count = 1 << 20 }), "steps[0].count"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newFixture(t)
			e := result.From(b.Submit(t.Context(), Caller{}, queue, "00000000000000aa", tc.graph))
			is.Equal(e.Code, result.JobBodyInvalid)
			is.Equal(e.Field, tc.field)
			is.Equal(e.Ran, result.RanNo)
			is.True(!b.stored(t, "00000000000000aa"))
		})
	}
}

// TestStates: the state comes from the holder, or from the store if the holder is not reachable.
// A job of which neither has a record is reported as unknown.
func TestStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := b.State(ctx, Caller{}, queue, "00000000000000aa")
		is.Equal(result.CodeOf(err), result.JobUnknown)
		is.NoErr(b.Submit(ctx, Caller{}, queue, "00000000000000aa", graph))
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		s, err := b.State(ctx, Caller{}, queue, "00000000000000aa")
		is.NoErr(err)
		is.Equal(s, record.StateRunning)
		b.holder.unreachable = true
		s, err = b.State(ctx, Caller{}, queue, "00000000000000aa")
		is.NoErr(err)
		is.Equal(s, record.StateQueued) // the store has no other state of a job that has not ended
		b.store.Client("a").SetFaults(memstore.Faults{Refuse: true})
		_, err = b.State(ctx, Caller{}, queue, "00000000000000aa")
		is.Equal(result.CodeOf(err), result.HolderUnreachable)
		time.Sleep(2 * notifyPeriod) // notifications have stopped
	})
}

// TestCancelWaitsForTheHolder: a cancellation is confirmed only after a holder has stored it. If
// none does, the caller gets a Retry-After.
func TestCancelWaitsForTheHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		is.NoErr(b.Submit(t.Context(), Caller{}, queue, "00000000000000aa", graph))
		b.holder.mu.Lock()
		b.holder.unreachable = true
		b.holder.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		e := result.From(b.Cancel(ctx, Caller{}, queue, "00000000000000aa"))
		cancel()
		is.Equal(e.Code, result.HolderUnreachable)
		is.True(e.RetryAfter > 0)
		ctx, cancel = context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		time.AfterFunc(time.Second, func() {
			b.holder.mu.Lock()
			defer b.holder.mu.Unlock()
			b.holder.unreachable = false
		})
		is.NoErr(b.Cancel(ctx, Caller{}, queue, "00000000000000aa"))
		is.Equal(result.CodeOf(b.Cancel(ctx, Caller{}, queue, "00000000000000bb")), result.JobUnknown)
		time.Sleep(2 * notifyPeriod)
	})
}

// TestRelay: a process that gets no answers from the store has its jobs stored by a peer, and
// reports the correct outcome if that fails as well.
func TestRelay(t *testing.T) {
	tests := map[string]struct {
		peer        func(b *fixture) // sets up the peer
		want        result.Code      // zero: accepted
		ran         result.Ran
		resubmitted bool // the job is already stored
	}{
		"the peer reaches the store":        {peer: func(*fixture) {}},
		"the job is already stored":         {peer: func(*fixture) {}, resubmitted: true},
		"one answer of the peer is lost":    {peer: func(b *fixture) { b.holder.lostReplies = 1 }},
		"all answers of the peers are lost": {peer: func(b *fixture) { b.holder.lostReplies = 9 }, want: result.JobStoreUnknown, ran: result.RanUnknown},
		"no peer is reachable":              {peer: func(b *fixture) { b.holder.front = nil }, want: result.JobNotStored, ran: result.RanNo},
		"the peer does not reach the store": {peer: func(b *fixture) {
			b.holder.front.Health.RecordCall(true, time.Now().Add(-time.Minute))
			b.holder.front.Health.RecordCall(false, time.Now().Add(-time.Second))
		}, want: result.JobNotStored, ran: result.RanNo},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b, other := newFixture(t), newFixture(t)
				other.Front.Store, other.Front.Get = resend.New(b.store.Client("b"), other.Health), b.store.Client("b").Get
				b.holder.front = other.Front
				b.View.UpdateHolder(ledger.Holder{Epoch: 2, Name: "c", Addr: "c:1"})
				if tc.resubmitted {
					is.NoErr(b.Submit(t.Context(), Caller{}, queue, "00000000000000aa", graph))
					time.Sleep(time.Second)
				}
				b.Health.RecordCall(true, time.Now().Add(-time.Minute))
				b.Health.RecordCall(false, time.Now().Add(-time.Second))
				b.store.Client("a").SetFaults(memstore.Faults{Hang: true})
				tc.peer(b)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				err := b.Submit(ctx, Caller{}, queue, "00000000000000aa", graph)
				time.Sleep(2 * notifyPeriod)
				synctest.Wait()
				if tc.want == 0 {
					is.NoErr(err)
					is.True(b.stored(t, "00000000000000aa"))
					is.True(b.holder.notified["00000000000000aa"] > 0)
					return
				}
				e := result.From(err)
				is.Equal(e.Code, tc.want)
				is.Equal(e.Ran, tc.ran)
				is.True(e.RetryAfter > 0)
				if tc.ran == result.RanNo {
					is.True(!b.stored(t, "00000000000000aa"))
				}
			})
		})
	}
}
