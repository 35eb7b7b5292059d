package confirm_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/confirm"
	"pulleyquay/internal/platform/memstore"
)

// step is one event at a time: new faults of a client, or a commit.
type step struct {
	at       time.Duration
	client   int
	faults   *memstore.Faults
	deadline time.Duration
	blind    bool // without a condition on the contended key
}

const clients = 3

func drawSteps(t *rapid.T) []step {
	at := time.Duration(0)
	millis := func(label string, most int64) int64 { return rapid.Int64Range(0, most).Draw(t, label) }
	steps := make([]step, rapid.IntRange(1, 30).Draw(t, "steps"))
	for i := range steps {
		at += time.Duration(millis("pause", 1500)) * time.Millisecond
		s := step{at: at, client: rapid.IntRange(0, clients-1).Draw(t, "client")}
		if rapid.Bool().Draw(t, "is fault") {
			s.faults = &memstore.Faults{
				Refuse:         rapid.IntRange(0, 5).Draw(t, "refuse") == 0,
				Hang:           rapid.IntRange(0, 5).Draw(t, "hang") == 0,
				RequestDelayMS: millis("request delay", 3000),
				AnswerDelayMS:  millis("answer delay", 3000),
				LoseAnswers:    rapid.IntRange(memstore.EveryCall, 3).Draw(t, "lose answers"),
				LoseRequests:   rapid.IntRange(memstore.EveryCall, 2).Draw(t, "lose requests"),
			}
		} else {
			s.deadline = time.Duration(1+millis("deadline", 15000)) * time.Millisecond
			s.blind = rapid.Bool().Draw(t, "blind")
		}
		steps[i] = s
	}
	return steps
}

// result is the result of a commit as returned to its caller.
type result struct {
	reply platform.TxnReply
	err   error
}

// run executes the steps and compares every result with the contents of the store long after all
// delayed calls have arrived. It returns the mismatches.
func run(steps []step, wrap func(platform.Store) platform.Store) (mismatches []string) {
	engine := memstore.New()
	defer engine.Close()
	stores := make([]platform.Store, clients)
	for i := range stores {
		stores[i] = wrap(engine.Client(fmt.Sprint(i)))
	}
	results := make([]*result, len(steps))
	start := time.Now()
	var wg sync.WaitGroup
	for i, s := range steps {
		time.Sleep(time.Until(start.Add(s.at)))
		if s.faults != nil {
			engine.Client(fmt.Sprint(s.client)).SetFaults(*s.faults)
			continue
		}
		results[i] = &result{}
		present, _, _ := engine.Client("observer").List(context.Background(), "k")
		wg.Go(func() { *results[i] = commit(stores[s.client], i, s, present) })
	}
	wg.Wait()
	time.Sleep(time.Minute)
	found := map[string]bool{}
	records, _, _ := engine.Client("observer").List(context.Background(), "u/")
	for _, r := range records {
		found[r.Key] = true
	}
	for i, a := range results {
		if a != nil && !a.agrees(found[ownKey(i)]) {
			mismatches = append(mismatches, fmt.Sprintf("step %d: applied=%t, returned %+v %v", i, found[ownKey(i)], a.reply, a.err))
		}
	}
	return mismatches
}

// ownKey is a key that only the commit of step i writes, once.
func ownKey(i int) string { return fmt.Sprintf("u/%d", i) }

func commit(s platform.Store, i int, st step, present []platform.Record) result {
	ctx, cancel := context.WithTimeout(context.Background(), st.deadline)
	defer cancel()
	txn := platform.Txn{Then: []platform.Write{{Key: ownKey(i)}, {Key: "k", Value: []byte(ownKey(i))}}}
	if !st.blind {
		txn.If = []platform.Condition{{Key: "k"}}
		for _, r := range present {
			txn.If[0].ModRevision = r.ModRevision
		}
	}
	reply, err := s.Commit(ctx, txn)
	return result{reply, err}
}

// agrees reports whether a result is correct.
func (a *result) agrees(applied bool) bool {
	switch {
	case a.err == nil:
		return a.reply.Applied == applied
	case errors.Is(a.err, platform.ErrUnavailable):
		return !applied
	default:
		return errors.Is(a.err, platform.ErrUnknownOutcome)
	}
}

func confirmed(inner platform.Store) platform.Store {
	s, err := confirm.New(inner, confirm.Options{})
	if err != nil {
		panic(err)
	}
	return s
}

// TestResultsAreCorrect draws faults and commits of several processes.
func TestResultsAreCorrect(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		var mismatches []string
		synctest.Test(t, func(*testing.T) { mismatches = run(steps, confirmed) })
		if len(mismatches) > 0 {
			rt.Fatalf("%v", mismatches)
		}
	})
}

// readBack resolves an unknown outcome by reading the key back without a fence, which is the
// mistake that the marker avoids.
type readBack struct{ platform.Store }

func (h readBack) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	reply, err := h.Store.Commit(ctx, txn)
	if !errors.Is(err, platform.ErrUnknownOutcome) {
		return reply, err
	}
	records, revision, err := h.List(context.WithoutCancel(ctx), "k")
	if err == nil && len(records) == 1 && string(records[0].Value) == string(txn.Then[1].Value) {
		return platform.TxnReply{Applied: true, Revision: revision}, nil
	}
	return platform.TxnReply{}, platform.ErrUnavailable
}

// TestReadBackIsDetected checks that the property detects a wrong resolution: with a late request,
// and with a key that was overwritten since.
func TestReadBackIsDetected(t *testing.T) {
	late := []step{
		{client: 0, faults: &memstore.Faults{RequestDelayMS: 3000}},
		{client: 0, deadline: time.Second, blind: true},
		{at: 500 * time.Millisecond, client: 0, faults: &memstore.Faults{}},
	}
	overwritten := []step{
		{client: 0, faults: &memstore.Faults{AnswerDelayMS: 3000}},
		{client: 0, deadline: time.Second, blind: true},
		{at: 500 * time.Millisecond, client: 1, deadline: time.Second, blind: true},
	}
	for name, steps := range map[string][]step{"late": late, "overwritten": overwritten} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if len(run(steps, func(s platform.Store) platform.Store { return readBack{s} })) == 0 {
					t.Error("mismatch not detected")
				}
				if mismatches := run(steps, confirmed); len(mismatches) > 0 {
					t.Error(mismatches)
				}
			})
		})
	}
}
