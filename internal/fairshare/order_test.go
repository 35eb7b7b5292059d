package fairshare

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pulleyquay/internal/spec"
)

func TestWeightedShare(t *testing.T) {
	is := is.New(t)
	used := spec.Resources{MilliCPU: 100, MemoryMiB: 500, Accelerators: 1}
	is.Equal(WeightedShare(used, total, 2), 0.25)
	is.Equal(WeightedShare(used, total, 0), 0.5) // no weight counts as one
	is.Equal(WeightedShare(used, spec.Resources{}, 2), 0.0)
}

// TestOrderTakesTheSmallestShare compares the lazy order with a search through all flows for each entry. An
// entry taken from the wrong flow would shift capacity between accounts.
func TestOrderTakesTheSmallestShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			flow, rank int
			size       spec.Resources
		}
		flows := make([]*Flow[entry], rapid.IntRange(1, 12).Draw(t, "flows"))
		rest := make([][]entry, len(flows))
		var o Order[entry]
		byRank := func(a, b entry) int { return cmp.Compare(a.rank, b.rank) }
		o.Reset(total, byRank)
		rank := 0
		for i := range flows {
			for range rapid.IntRange(1, 6).Draw(t, "entries") {
				rank++
				rest[i] = append(rest[i], entry{i, rank, one.Times(rapid.Int64Range(0, 5).Draw(t, "size"))})
			}
			flows[i] = &Flow[entry]{Head: rest[i][0], Weight: rapid.Float64Range(0, 4).Draw(t, "weight"), Used: one.Times(rapid.Int64Range(0, 9).Draw(t, "used"))}
			o.Add(flows[i])
		}
		for range rank {
			var want *Flow[entry]
			for i, f := range flows {
				if len(rest[i]) == 0 {
					continue
				}
				share := WeightedShare(f.Used, total, f.Weight)
				if want == nil || cmp.Or(cmp.Compare(share, WeightedShare(want.Used, total, want.Weight)), byRank(f.Head, want.Head)) < 0 {
					want = f
				}
			}
			got := o.First()
			if got != want {
				t.Fatalf("flow %d is next, want %d", got.Head.flow, want.Head.flow)
			}
			taken := got.Head
			rest[taken.flow] = rest[taken.flow][1:]
			if len(rest[taken.flow]) == 0 {
				o.Remove(got)
				continue
			}
			got.Head = rest[taken.flow][0]
			o.Take(got, taken.size)
		}
		if o.First() != nil {
			t.Fatal("entries are left")
		}
	})
}

// TestRoundSharesByWeight checks that teams with a backlog get tasks by their weights.
func TestRoundSharesByWeight(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Config{AgeAfter: time.Hour, AgedEvery: 1 << 30, Batch: 1, Weights: map[string]float64{"a": 3}})
	for _, team := range []string{"a", "b"} {
		for i := range 10 {
			q.Put(entry(fmt.Sprint(team, i), team, 1000))
		}
	}
	tasks := map[string]int{}
	for _, p := range q.Round(start, 400, total, noUsage) {
		tasks[p.Job[:1]] += p.Tasks
	}
	is.Equal(tasks, map[string]int{"a": 300, "b": 100})
}
