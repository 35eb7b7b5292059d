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

// fakeHolder is the holder of the one partition, as peers see it.
type fakeHolder struct {
	mu    sync.Mutex
	away  bool
	told  map[string]int
	state record.State // of every job that it was told of
	// front stores jobs for peers; nil where no peer is there.
	front *Front
	loses int // answers to calls to store that are lost
	// owner is the account of each job that it was told of; a former version knows none.
	owner     map[string]string
	former    bool
	cancelled []string
}

func (h *fakeHolder) Call(ctx context.Context, _ string, kind peer.Kind, req, resp any) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.away {
		return result.New(result.PeerNotReached, result.RanNo, "away")
	}
	switch kind {
	case peer.KindAccepted:
		j := req.(holder.Accepted).Job
		h.told[j.ID]++
		h.owner[j.ID] = j.Account
	case peer.KindState, peer.KindCancelJob:
		q := req.(holder.JobRequest)
		known := h.told[q.Job] > 0 && (h.former || h.owner[q.Job] == "" || h.owner[q.Job] == q.Account)
		if known && kind == peer.KindCancelJob {
			h.cancelled = append(h.cancelled, q.Job)
		}
		*resp.(*holder.JobReply) = holder.JobReply{Known: known, State: h.state, Checked: known && !h.former}
	case peer.KindStoreJob:
		if h.front == nil {
			return result.New(result.PeerNotReached, result.RanNo, "away")
		}
		m, err := h.front.store(ctx, req.(StoreRequest).Job)
		if h.loses > 0 {
			h.loses--
			return result.New(result.PeerLost, result.RanUnknown, "lost")
		}
		*resp.(*StoreReply) = StoreReply{There: m == stoodThere, Unsure: m == mayBeHere}
		return err
	case peer.KindPending:
		*resp.(*holder.PendingReply) = holder.PendingReply{Pending: len(h.told)}
	}
	return ctx.Err()
}

// bench is a front with a store that can be given faults.
type bench struct {
	*Front
	store  *memstore.Engine
	holder *fakeHolder
}

func newBench(t *testing.T) *bench {
	t.Helper()
	store := memstore.New()
	t.Cleanup(store.Close)
	c := store.Client("a")
	view := cell.NewView()
	view.Learn(ledger.Holder{Epoch: 1, Name: "b", Addr: "b:1"})
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &fakeHolder{told: map[string]int{}, owner: map[string]string{}, state: record.StateRunning}
	health := follow.NewHealth(nil)
	f := &Front{
		Store: resend.New(c, health), Get: c.Get, Health: health, Peers: h, View: view, Partitions: 1,
		Log: log.WithField("test", t.Name()), Metrics: NewMetrics(prometheus.NewRegistry()),
	}
	f.Start()
	return &bench{f, store, h}
}

var (
	queue = &catalog.Queue{Name: "q", Service: "s"}
	graph = spec.Graph{Steps: []spec.Step{{Count: 2, Size: spec.Resources{MilliCPU: 1000}}}}
)

// stored reports whether the job's record is in the store.
func (b *bench) stored(t *testing.T, id string) bool {
	t.Helper()
	_, ok, err := b.store.Client("judge").Get(t.Context(), record.JobKey(0, id))
	is.New(t).NoErr(err)
	return ok
}

// TestSubmitTellsTheTruth: a job that is accepted is stored, one that was refused
// as not run never is, whatever becomes of the calls.
func TestSubmitTellsTheTruth(t *testing.T) {
	tests := map[string]struct {
		faults memstore.Faults
		heals  time.Duration // after which the faults end; zero for never
		want   result.Code   // zero for accepted
		ran    result.Ran
		within time.Duration
	}{
		"calm":                          {want: 0, within: 100 * time.Millisecond},
		"first answer lost":             {faults: memstore.Faults{LoseAnswers: 1}, want: 0, within: time.Second},
		"first request lost":            {faults: memstore.Faults{LoseRequests: 1}, want: 0, within: time.Second},
		"slow":                          {faults: memstore.Faults{AnswerDelayMS: 240}, want: 0, within: time.Second},
		"very slow":                     {faults: memstore.Faults{AnswerDelayMS: 800}, want: 0, within: 1200 * time.Millisecond},
		"refuses for a moment":          {faults: memstore.Faults{Refuse: true}, heals: 200 * time.Millisecond, want: 0, within: time.Second},
		"refuses":                       {faults: memstore.Faults{Refuse: true}, want: result.JobNotStored, ran: result.RanNo, within: 500 * time.Millisecond},
		"silent":                        {faults: memstore.Faults{Hang: true}, want: result.JobStoreUnknown, ran: result.RanUnknown, within: 1300 * time.Millisecond},
		"every answer comes too late":   {faults: memstore.Faults{AnswerDelayMS: 9000}, want: result.JobStoreUnknown, ran: result.RanUnknown, within: 1300 * time.Millisecond},
		"silent for a moment":           {faults: memstore.Faults{Hang: true}, heals: 400 * time.Millisecond, want: 0, within: 800 * time.Millisecond},
		"silent for 0.9 s":              {faults: memstore.Faults{Hang: true}, heals: 900 * time.Millisecond, want: 0, within: 1600 * time.Millisecond},
		"silent, then back in due time": {faults: memstore.Faults{Hang: true}, heals: 2 * time.Second, want: result.JobStoreUnknown, ran: result.RanUnknown, within: 1300 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(t)
				b.store.Client("a").SetFaults(tc.faults)
				if tc.heals > 0 {
					time.AfterFunc(tc.heals, func() { b.store.Client("a").SetFaults(memstore.Faults{}) })
				}
				ctx, cancel := context.WithTimeout(t.Context(), 2940*time.Millisecond)
				defer cancel()
				begun := time.Now()
				err := b.Submit(ctx, Caller{}, queue, "00000000000000aa", graph)
				is.True(time.Since(begun) <= tc.within)
				time.Sleep(20 * time.Second) // copies under way have arrived
				synctest.Wait()
				if tc.want == 0 {
					is.NoErr(err)
					is.True(b.stored(t, "00000000000000aa"))
					is.True(b.holder.told["00000000000000aa"] > 0) // its holder knows of it
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

// TestCallersInDoubtAreToldInTime replays the start of an outage. Jobs that were on
// their way to the store when it fell silent were held until their callers had no time
// left; told at once, the callers come back by themselves and it stays one job.
func TestCallersInDoubtAreToldInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		b.store.Client("a").SetFaults(memstore.Faults{Hang: true})
		time.AfterFunc(2500*time.Millisecond, func() {
			b.store.Client("a").SetFaults(memstore.Faults{})
			b.Health.Note(true, time.Now()) // as the process's watches do
		})
		submit := func(id string) (*result.Error, time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), 2940*time.Millisecond)
			defer cancel()
			begun := time.Now()
			if err := b.Submit(ctx, Caller{}, queue, id, graph); err != nil {
				return result.From(err), time.Since(begun)
			}
			return nil, time.Since(begun)
		}
		e, took := submit("00000000000000aa")
		is.Equal(e.Ran, result.RanUnknown)
		is.Equal(e.RetryAfter, admission.ComeBack)
		is.True(took <= 1300*time.Millisecond)
		time.Sleep(e.RetryAfter)
		e, took = submit("00000000000000bb") // one that comes now is known to be impossible
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
		is.True(b.holder.told["00000000000000aa"] > 0)
	})
}

// TestSlowStoreIsNotTakenForAway: a store that takes 1.5 s all at once is heard again
// after the first calls were given up, as their answers are still listened to.
func TestSlowStoreIsNotTakenForAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
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

// TestRefusedAtOnceWhileTheStoreIsAway: what is known to be impossible does not
// wait for the caller's deadline.
func TestRefusedAtOnceWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		now := time.Now()
		b.Health.Note(true, now.Add(-time.Minute))
		b.Health.Note(false, now.Add(-time.Second))
		b.store.Client("a").SetFaults(memstore.Faults{Hang: true})
		begun := time.Now()
		e := result.From(b.Submit(t.Context(), Caller{}, queue, "00000000000000aa", graph))
		is.Equal(e.Code, result.JobNotStored)
		is.Equal(e.Ran, result.RanNo)
		is.True(e.RetryAfter > 0)
		is.Equal(time.Since(begun), time.Duration(0))
	})
}

func TestHandedInAgainItStaysOneJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		for range 3 {
			is.NoErr(b.Submit(t.Context(), Caller{}, queue, "00000000000000aa", graph))
			time.Sleep(time.Second)
		}
		synctest.Wait()
		is.Equal(b.holder.told["00000000000000aa"], 1) // only the first made it
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
		"after itself":         {step(func(s *spec.Step) { s.After = []int{0} }), "steps[0].after"},
		"negative budget":      {step(func(s *spec.Step) { s.MayMiss = -1 }), "steps[0].count"},
		"too long a command":   {spec.Graph{Command: string(make([]byte, 4001)), Steps: graph.Steps}, "spec"},
		"too many occurrences": {spec.Graph{Repeat: spec.Repeat{Times: 1 << 20}, Steps: graph.Steps}, "repetitions"},
		"too many tasks":       {step(func(s *spec.Step) { s.Count = 1 << 20 }), "steps[0].count"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			e := result.From(b.Submit(t.Context(), Caller{}, queue, "00000000000000aa", tc.graph))
			is.Equal(e.Code, result.JobBodyInvalid)
			is.Equal(e.Field, tc.field)
			is.Equal(e.Ran, result.RanNo)
			is.True(!b.stored(t, "00000000000000aa"))
		})
	}
}

// TestStates: a state comes from the holder, or from the store where the holder is
// not reached; a job that nobody knows is said not to exist.
func TestStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
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
		b.holder.away = true
		s, err = b.State(ctx, Caller{}, queue, "00000000000000aa")
		is.NoErr(err)
		is.Equal(s, record.StateQueued) // all that the store tells
		b.store.Client("a").SetFaults(memstore.Faults{Refuse: true})
		_, err = b.State(ctx, Caller{}, queue, "00000000000000aa")
		is.Equal(result.CodeOf(err), result.HolderAway)
		time.Sleep(2 * tellFor) // the holder is told no more
	})
}

// TestCancelWaitsForTheHolder: a cancellation is confirmed only once a holder has
// stored it, and the caller is told when to come back when none does.
func TestCancelWaitsForTheHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		is.NoErr(b.Submit(t.Context(), Caller{}, queue, "00000000000000aa", graph))
		b.holder.mu.Lock()
		b.holder.away = true
		b.holder.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		e := result.From(b.Cancel(ctx, Caller{}, queue, "00000000000000aa"))
		cancel()
		is.Equal(e.Code, result.HolderAway)
		is.True(e.RetryAfter > 0)
		ctx, cancel = context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		time.AfterFunc(time.Second, func() {
			b.holder.mu.Lock()
			defer b.holder.mu.Unlock()
			b.holder.away = false
		})
		is.NoErr(b.Cancel(ctx, Caller{}, queue, "00000000000000aa"))
		is.Equal(result.CodeOf(b.Cancel(ctx, Caller{}, queue, "00000000000000bb")), result.JobUnknown)
		time.Sleep(2 * tellFor)
	})
}

// TestRelay: a process that the store turns away has its jobs stored by a peer, and
// tells the truth when that fails as well.
func TestRelay(t *testing.T) {
	tests := map[string]struct {
		peer  func(b *bench) // what the peer is like
		want  result.Code    // zero for accepted
		ran   result.Ran
		again bool // the job is stored already
	}{
		"the peer has the store":            {peer: func(*bench) {}},
		"it was there":                      {peer: func(*bench) {}, again: true},
		"one answer of the peer is lost":    {peer: func(b *bench) { b.holder.loses = 1 }},
		"all answers of the peers are lost": {peer: func(b *bench) { b.holder.loses = 9 }, want: result.JobStoreUnknown, ran: result.RanUnknown},
		"no peer is there":                  {peer: func(b *bench) { b.holder.front = nil }, want: result.JobNotStored, ran: result.RanNo},
		"the peer has not the store either": {peer: func(b *bench) {
			b.holder.front.Health.Note(true, time.Now().Add(-time.Minute))
			b.holder.front.Health.Note(false, time.Now().Add(-time.Second))
		}, want: result.JobNotStored, ran: result.RanNo},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b, other := newBench(t), newBench(t)
				other.Front.Store, other.Front.Get = resend.New(b.store.Client("b"), other.Health), b.store.Client("b").Get
				b.holder.front = other.Front
				b.View.Learn(ledger.Holder{Epoch: 2, Name: "c", Addr: "c:1"})
				if tc.again {
					is.NoErr(b.Submit(t.Context(), Caller{}, queue, "00000000000000aa", graph))
					time.Sleep(time.Second)
				}
				b.Health.Note(true, time.Now().Add(-time.Minute))
				b.Health.Note(false, time.Now().Add(-time.Second))
				b.store.Client("a").SetFaults(memstore.Faults{Hang: true})
				tc.peer(b)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				err := b.Submit(ctx, Caller{}, queue, "00000000000000aa", graph)
				time.Sleep(2 * tellFor)
				synctest.Wait()
				if tc.want == 0 {
					is.NoErr(err)
					is.True(b.stored(t, "00000000000000aa"))
					is.True(b.holder.told["00000000000000aa"] > 0)
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
