package front

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/overload"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

var (
	previews = &catalog.Queue{Name: "previews", Service: "s", Rules: catalog.Rules{CriticalPathFactor: 1.5, TargetMillis: 250}}
	// preview can wait for 2.7 s.
	preview = spec.Graph{Steps: []spec.Step{{Count: 10, Size: spec.Resources{MilliCPU: 11000}, EstimateMillis: 560}}}
	heavy   = Caller{Account: &catalog.Account{Name: "heavy", Weight: 2, Quota: fairshare.Unlimited}}
)

// limitedFixture is a front with limits that admit a fraction of the jobs of the account "heavy".
func limitedFixture(t *testing.T, admit float64) *fixture {
	f := newFixture(t)
	f.Limits = &overload.Limits{}
	f.limit(admit)
	return f
}

func (f *fixture) limit(admit float64) {
	f.Limits.Apply(0, overload.Report{Epoch: 1, Age: 300 * time.Millisecond, Limits: []overload.Limit{
		{Key: overload.Key{Queue: "previews", Account: "heavy"}, Admit: admit, Wait: 5 * time.Second, RetryAfter: 2 * time.Second},
	}}, 1500*time.Millisecond, time.Now())
}

// submitInTime submits a job of the account "heavy" with the time limit of a caller.
func (f *fixture) submitInTime(t *testing.T, id string) error {
	ctx, cancel := context.WithTimeout(t.Context(), DefaultCallTimeout-AnswerMargin)
	defer cancel()
	return f.Submit(ctx, heavy, previews, id, preview)
}

// TestLimitedJobIsNotStored: the caller is told that the job was not accepted, which is true, and when to try again. The log has
// what the decision was based on.
func TestLimitedJobIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := limitedFixture(t, 0)
		lines := logtest.NewLocal(f.Log.Logger)
		err := f.Submit(t.Context(), heavy, previews, "j1", preview)
		e := result.From(err)
		is.Equal(e.Code, result.AccountOverloaded)
		is.Equal(e.Ran, result.RanNo)
		is.True(e.RetryAfter >= 2*time.Second && e.RetryAfter <= 4*time.Second)
		is.True(strings.Contains(e.Detail, "account heavy, queue previews: the next job would wait for 5s; 0% of its jobs are accepted (as of 300ms ago)"))
		is.True(!f.stored(t, "j1"))
		is.Equal(len(lines.AllEntries()), 1)
		line := lines.LastEntry()
		is.Equal(line.Message, "job not accepted")
		is.Equal(line.Data["wait_ms"], int64(5000))
		is.Equal(line.Data["figures_age_ms"], int64(300))
		is.Equal(line.Data["admitted"], 0.0)
		is.Equal(line.Data["code"], result.AccountOverloaded)
		is.Equal(testutil.ToFloat64(f.Metrics.limited.WithLabelValues("previews")), 1.0)
	})
}

// TestWhatIsNeverLimited: jobs that no limit applies to are accepted.
func TestWhatIsNeverLimited(t *testing.T) {
	patient := preview
	patient.Steps = []spec.Step{{Count: 1, Size: spec.Resources{MilliCPU: 1000}, EstimateMillis: 9000}}
	repeated := preview
	repeated.Repeat = spec.Repeat{Times: 2, EveryMillis: 1000}
	tests := map[string]struct {
		by Caller
		q  *catalog.Queue
		g  spec.Graph
	}{
		"another account":          {Caller{Account: &catalog.Account{Name: "light", Weight: 2, Quota: fairshare.Unlimited}}, previews, preview},
		"account without a weight": {Caller{Account: &catalog.Account{Name: "heavy", Quota: fairshare.Unlimited}}, previews, preview},
		"no account":               {Caller{}, previews, preview},
		"queue without a target":   {heavy, &catalog.Queue{Name: "previews"}, preview},
		"in time after the wait":   {heavy, previews, patient},
		"repeated job":             {heavy, previews, repeated},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := limitedFixture(t, 0)
				is.NoErr(f.Submit(t.Context(), tc.by, tc.q, "j1", tc.g))
				is.True(f.stored(t, "j1"))
			})
		})
	}
}

// TestStoredJobIsNotLimited: a job that was accepted, here or by another process, is reported as accepted when it is
// submitted again. An answer that it was not would be false.
func TestStoredJobIsNotLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := limitedFixture(t, 1)
		is.NoErr(f.Submit(t.Context(), heavy, previews, "j1", preview))
		f.limit(0)
		is.NoErr(f.Submit(t.Context(), heavy, previews, "j1", preview))
		is.Equal(result.CodeOf(f.Submit(t.Context(), heavy, previews, "j2", preview)), result.AccountOverloaded)
	})
}

// TestJobInDoubtIsNotLimited: the first try of a job gets no answer of the store, and the write takes effect after the
// caller was told so. The limit that begins meanwhile does not apply to it.
func TestJobInDoubtIsNotLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := limitedFixture(t, 1)
		is.True(!f.JobsInDoubt(time.Now()))
		f.store.Client("a").SetFaults(memstore.Faults{RequestDelayMS: 9000})
		is.Equal(result.From(f.submitInTime(t, "j1")).Ran, result.RanUnknown)
		is.True(f.JobsInDoubt(time.Now()))
		f.store.Client("a").SetFaults(memstore.Faults{})
		time.Sleep(time.Second)
		f.Health.RecordCall(true, time.Now()) // another call of this process was answered
		f.limit(0)
		is.True(!f.stored(t, "j1")) // a read does not tell
		is.True(result.CodeOf(f.submitInTime(t, "j1")) != result.AccountOverloaded)
		time.Sleep(doubtRetention + 5*time.Second) // delayed copies of the calls have arrived
		is.NoErr(f.submitInTime(t, "j2"))          // the store answers this process again
		is.True(!f.JobsInDoubt(time.Now()))
	})
}

// TestDoubtEndsWithTheJobs: once the store has answered for all jobs, limits apply everywhere again.
func TestDoubtEndsWithTheJobs(t *testing.T) {
	is := is.New(t)
	var u unresolvedJobs
	now := time.Now()
	u.add("j1", now)
	u.add("j2", now)
	u.remove("j1")
	is.True(u.addedSince(now))
	is.True(!u.addedSince(now.Add(1)))
	u.remove("j2")
	is.True(!u.addedSince(now))
}

// TestStoreDecidesWhileItDoesNotAnswer: without the store nothing is known of earlier tries, so the answer is that of
// package admission, not that of a limit.
func TestStoreDecidesWhileItDoesNotAnswer(t *testing.T) {
	for name, faults := range map[string]memstore.Faults{"no answers": {Hang: true}, "refuses": {Refuse: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := limitedFixture(t, 0)
				f.store.Client("a").SetFaults(faults)
				for i := range 5 {
					f.limit(0)
					err := f.submitInTime(t, fmt.Sprint("j", i))
					is.True(err != nil)
					is.True(result.CodeOf(err) != result.AccountOverloaded)
					time.Sleep(200 * time.Millisecond)
				}
				f.store.Client("a").SetFaults(memstore.Faults{})
				time.Sleep(20 * time.Second) // delayed copies of the calls have arrived
			})
		})
	}
}

// TestExpiredLimitsAdmitAll: a member that the holder does not reach accepts everything 1.5 s after the figures were
// measured.
func TestExpiredLimitsAdmitAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := limitedFixture(t, 0)
		is.Equal(result.CodeOf(f.Submit(t.Context(), heavy, previews, "j1", preview)), result.AccountOverloaded)
		time.Sleep(1200 * time.Millisecond)
		is.NoErr(f.Submit(t.Context(), heavy, previews, "j1", preview))
	})
}
