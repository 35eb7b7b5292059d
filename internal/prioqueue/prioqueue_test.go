package prioqueue

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestQueueAgainstSortedList compares the first item after random operations with that of a sorted list.
func TestQueueAgainstSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		q := New[int](func(a, b int) bool { return a < b })
		items := make([]*Item[int, int], 12)
		for i := range items {
			items[i] = NewItem[int, int](i)
		}
		priorities := map[int]int{}
		for range rapid.IntRange(1, 60).Draw(t, "operations") {
			i := rapid.IntRange(0, len(items)-1).Draw(t, "item")
			if rapid.Bool().Draw(t, "remove") {
				q.Remove(items[i])
				delete(priorities, i)
			} else {
				p := rapid.IntRange(0, 99).Draw(t, "priority")
				q.Set(items[i], p)
				priorities[i] = p
			}
			is.Equal(q.Len(), len(priorities))
			if len(priorities) == 0 {
				is.True(q.First() == nil)
				continue
			}
			lowest := slices.Min(values(priorities))
			is.Equal(q.First().Priority(), lowest)
			is.Equal(priorities[q.First().Value], lowest)
		}
		for i, it := range items {
			_, queued := priorities[i]
			is.Equal(it.Queued(), queued)
		}
	})
}

func values(m map[int]int) (out []int) {
	for _, v := range m {
		out = append(out, v)
	}
	return out
}
