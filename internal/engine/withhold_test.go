package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

// withholdingWorld is a cell of 64 cores with an account "crew" that has a quota of 32 and uses 10 of them.
func withholdingWorld(t testing.TB) *world {
	w := accountWorld(t, 43, 4)
	w.setQuota("crew", cores(32))
	w.failOver()
	w.run(time.Second)
	w.submit("crew-running", catalog.Rules{}, step(1, 10, 1, 60_000))
	w.run(time.Second)
	return w
}

// TestStepsThatLackMoreThanQuotaWithholdNone guards against steps that withhold quota although something
// else keeps them from starting: "42,540 cores promised to steps before it" stopped an account that used
// 16,034 of 17,259.
func TestStepsThatLackMoreThanQuotaWithholdNone(t *testing.T) {
	gang := gangOf(3, 9, 1, 1000)
	cases := map[string]struct {
		step   spec.Step
		policy bool
	}{
		"a gang without permission":        {gang, true},
		"tasks without permission":         {step(3, 9, 1, 1000), true},
		"a gang without capacity":          {withLabel(gang, "absent"), false},
		"a gang larger than the quota":     {gangOf(4, 9, 1, 1000), false},
		"a task larger than the quota":     {step(1, 33, 1, 1000), false},
		"tasks, some of which may start":   {withLabel(step(30, 2, 1, 1000), "absent"), false},
		"large tasks without permission":   {step(2, 15, 1, 1000), true},
		"long-running tasks without hosts": {withLabel(longRunningStep(3, 9, 1), "absent"), false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := withholdingWorld(t)
			w.permitted = func(s spec.StepID, _ host.ID) bool { return s.Job != "crew-first" }
			rules := catalog.Rules{Priority: 1}
			if tc.policy {
				rules.PolicyQuery = &catalog.PolicyQuery{DecideMillis: 10, PerHostMillis: 1, ValidMillis: 2000}
			}
			w.submit("crew-first", rules, tc.step)
			w.run(200 * time.Millisecond)
			w.submit("crew-small", catalog.Rules{Priority: 2}, step(20, 1, 1, 60_000))
			w.run(200 * time.Millisecond)
			is.Equal(w.coresOf("crew"), int64(30))
			w.checkInvariants()
		})
	}
}

// TestStepsThatLackOnlyQuotaWithholdWhatTheyNeedNext checks that such a step leaves the rest of the quota to
// later steps, and gets its own before them.
func TestStepsThatLackOnlyQuotaWithholdWhatTheyNeedNext(t *testing.T) {
	is := is.New(t)
	w := accountWorld(t, 43, 4)
	w.setQuota("crew", fairshare.Quota{MilliCPU: 40_000, MemoryMiB: 20 << 10, Accelerators: -1})
	w.failOver()
	w.run(time.Second)
	w.submit("crew-running", catalog.Rules{}, step(1, 2, 16, 1000))
	w.run(200 * time.Millisecond)
	w.submit("crew-first", catalog.Rules{Priority: 1}, step(20, 1, 8, 500)) // lacks memory
	w.run(200 * time.Millisecond)
	w.submit("crew-small", catalog.Rules{Priority: 2}, step(30, 1, 0, 60_000)) // needs none
	w.run(200 * time.Millisecond)
	is.Equal(w.coresOf("crew"), int64(32)) // one task of the first step is withheld, not twenty
	w.run(13 * time.Second)
	is.True(w.reported["crew-first"].Final())
	w.checkInvariants()
}

// TestStepsThatLackQuotaAndCapacityDoNotStarve guards against small tasks that take each amount of quota as
// it comes free, while a gang of their account, which comes first, waits for capacity as well.
func TestStepsThatLackQuotaAndCapacityDoNotStarve(t *testing.T) {
	is := is.New(t)
	w := accountWorld(t, 47, 4)
	w.setQuota("crew", cores(32))
	w.setQuota("full", cores(64))
	w.failOver()
	w.run(time.Second)
	for i := range 200 {
		w.after(time.Duration(i)*100*time.Millisecond, func() {
			w.submit(fmt.Sprint("crew-small-", i), catalog.Rules{Priority: 2}, step(4, 1, 1, 2000))
			w.submit(fmt.Sprint("full-small-", i), catalog.Rules{Priority: 2}, step(4, 1, 1, 2000))
		})
	}
	w.run(3 * time.Second)
	w.submit("crew-gang", catalog.Rules{Priority: 1}, gangOf(3, 9, 1, 1000))
	w.run(8 * time.Second)
	is.True(w.reported["crew-gang"].Final())
	w.checkInvariants()
}

func withLabel(s spec.Step, label string) spec.Step {
	s.Label = label
	return s
}
