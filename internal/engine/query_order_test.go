package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/advice"
	"pulleyquay/internal/catalog"
	"pulleyquay/internal/spec"
)

// TestPassIsShared: guards against steps that are not attempted in any pass because hundreds of steps of another kind
// come before them, and against passes that take much longer because of that.
func TestPassIsShared(t *testing.T) {
	is := is.New(t)
	var shares passShares
	attempts := map[stepKind]int{}
	left, all := passBudget, 0
	kinds := []stepKind{{"tiles", advice.ByTask}, {"images", advice.ByTask}, {"images", advice.ByGang}}
	for _, k := range kinds {
		cost := 1
		if k.placement == advice.ByGang {
			cost = bulkAttemptCost
		}
		for range 1000 {
			if left <= 0 || !shares.mayAttempt(k) {
				continue
			}
			left -= shares.charge(k, cost)
			attempts[k]++
			all += cost
		}
	}
	is.Equal(attempts[kinds[0]], passBudget)
	is.True(attempts[kinds[1]] >= passBudget/5)
	is.True(attempts[kinds[2]] >= 2)
	is.True(all <= passBudget*4/3)
}

// TestNoQueryInVain: guards against steps far back in the queue that use query slots for tickets that expire before
// the steps can start. Steps far back query if what becomes free is enough for them.
func TestNoQueryInVain(t *testing.T) {
	for name, tc := range map[string]struct {
		runTime int64 // of all tasks, in milliseconds
		want    advice.Use
	}{
		"long tasks":  {8000, advice.UseNone},
		"short tasks": {50, advice.UseIdle},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 1)
			w.members = []string{"m1", "m2", "m3"} // one slot for short queries
			w.fleet.Add(2, "s", size(60, 60))
			w.failOver()
			w.run(time.Second)
			rules := catalog.Rules{PolicyQuery: shortQuery}
			task := spec.Step{Count: 1, Size: size(10, 1), EstimateMillis: tc.runTime}
			const jobs = 150
			for i := range jobs {
				w.submit(fmt.Sprintf("job-%03d", i), rules, task)
			}
			w.run(1000 * time.Millisecond)
			first, last := advice.UseNone, advice.UseBacklog
			for _, g := range w.engine.queue {
				if g.ready && g.policy.use < first {
					first = g.policy.use
				}
				if g.ready {
					last = g.policy.use
				}
			}
			is.Equal(first, advice.UseBacklog) // the first steps always query
			is.Equal(last, tc.want)
			w.checkInvariants()
		})
	}
}
