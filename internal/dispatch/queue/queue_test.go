package queue

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(0, 0)

// pushAll pushes items named after their caller, with deadlines in seconds.
func pushAll(q *Queue[string], callers ...string) {
	for i, c := range callers {
		q.Push(&Item[string]{Caller: c, Value: c, Deadline: epoch.Add(time.Duration(100-i) * time.Second)})
	}
}

// drain pops every item and returns the values.
func drain(q *Queue[string]) []string {
	var out []string
	for {
		it, _ := q.Pop(epoch)
		if it == nil {
			return out
		}
		out = append(out, it.Value)
	}
}

func TestOrder(t *testing.T) {
	cases := []struct {
		name  string
		order Discipline
		limit int
		want  []string
	}{
		{"FIFO", FIFO, 10, []string{"0", "1", "2", "3"}},
		{"EDF", EDF, 10, []string{"3", "2", "1", "0"}}, // later items have earlier deadlines
		{"adaptive LIFO, below half full", AdaptiveLIFO, 10, []string{"0", "1", "2", "3"}},
		{"adaptive LIFO, overload", AdaptiveLIFO, 4, []string{"3", "2", "0", "1"}}, // until the queue is half full
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			q := New[string](tc.limit, tc.order)
			for i := range 4 {
				q.Push(&Item[string]{Caller: "caller-a", Value: string(rune('0' + i)), Deadline: epoch.Add(time.Duration(9-i) * time.Second)})
			}
			is.New(t).Equal(drain(q), tc.want)
		})
	}
}

func TestCallersTakeTurns(t *testing.T) {
	q := New[string](10, FIFO)
	pushAll(q, "a", "a", "a", "b", "c")
	is.New(t).Equal(drain(q), []string{"a", "b", "c", "a", "a"})
}

func TestFullQueueIsShared(t *testing.T) {
	is := is.New(t)
	q := New[string](4, FIFO)
	pushAll(q, "a", "a", "a", "a")
	pushed, displaced := q.Push(&Item[string]{Caller: "a"})
	is.Equal(pushed, Full)
	is.Equal(displaced, nil)
	pushed, displaced = q.Push(&Item[string]{Caller: "b", Value: "b", Deadline: epoch.Add(time.Second)})
	is.Equal(pushed, Accepted)
	is.Equal(displaced.Value, "a")
	is.True(!displaced.Queued())
	pushed, _ = q.Push(&Item[string]{Caller: "a"})
	is.Equal(pushed, OverShare)
	is.Equal(q.Len(), 4)
}

func TestExpiredItemsAreReturned(t *testing.T) {
	is := is.New(t)
	q := New[string](10, FIFO)
	q.Push(&Item[string]{Caller: "a", Value: "late", Deadline: epoch})
	q.Push(&Item[string]{Caller: "a", Value: "in time", Deadline: epoch.Add(time.Second)})
	it, late := q.Pop(epoch)
	is.Equal(it.Value, "in time")
	is.Equal(len(late), 1)
}

// For any sequence of pushes, pops and removals, each item leaves the queue once and the length is
// correct.
func TestQueueKeepsCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[string](rapid.IntRange(1, 20).Draw(t, "limit"), Discipline(rapid.IntRange(0, 2).Draw(t, "order")))
		queued := map[*Item[string]]bool{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			caller := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "caller")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				it := &Item[string]{Caller: caller, Deadline: epoch.Add(time.Duration(rapid.IntRange(-1, 3).Draw(t, "deadline")) * time.Second)}
				pushed, displaced := q.Push(it)
				delete(queued, displaced)
				if pushed == Accepted {
					queued[it] = true
				}
			case 1:
				it, late := q.Pop(epoch)
				for _, removed := range append(late, it) {
					if removed != nil && !queued[removed] {
						t.Fatal("item was popped twice")
					}
					delete(queued, removed)
				}
			case 2:
				for it := range queued {
					if !q.Remove(it) || q.Remove(it) {
						t.Fatal("item was not removed exactly once")
					}
					delete(queued, it)
					break
				}
			}
			if q.Len() != len(queued) {
				t.Fatalf("length %d, expected %d", q.Len(), len(queued))
			}
		}
	})
}

func TestAheadCountsTurns(t *testing.T) {
	is := is.New(t)
	q := New[string](20, FIFO)
	pushAll(q, "a", "a", "a", "a", "b", "b", "c")
	is.Equal(q.Ahead("new"), 3) // one item of each caller
	is.Equal(q.Ahead("c"), 5)   // its one item, two of a and two of b
	is.Equal(q.Ahead("a"), 7)
}
