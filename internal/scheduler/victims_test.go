package scheduler

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"pulleyquay/internal/spec"
)

func TestVictims(t *testing.T) {
	half := resources(500, 500, 0)
	cases := []struct {
		name   string
		change func(req *Request, first, second *Run)
		want   []int // indexes of the victims
	}{
		{"one is enough", func(*Request, *Run, *Run) {}, []int{0}},
		{"both are needed", func(req *Request, _, _ *Run) { req.Shape.Task.Size = resources(600, 0, 0) }, []int{0, 1}},
		{"infeasible task", func(req *Request, _, _ *Run) { req.Shape.Task.Size = resources(1001, 0, 0) }, nil},
		{"lowest priority first", func(_ *Request, first, _ *Run) { first.Priority = 1 }, []int{1}},
		{"not as urgent", func(_ *Request, first, _ *Run) { first.Urgent = true }, []int{1}},
		{"gang after batch", func(_ *Request, first, _ *Run) { first.Kind = spec.KindGang }, []int{1}},
		{"held runs are not preempted", func(_ *Request, first, _ *Run) { first.Held = true }, []int{1}},
		{"spared runs are not preempted", func(_ *Request, first, _ *Run) { first.PreemptionExempt = true }, []int{1}},
		{"priority without urgency", func(req *Request, first, _ *Run) {
			req.Shape.Urgent, req.Shape.Policy.Priority, first.Priority = false, 1, 1
		}, []int{1}},
		{"equally urgent runs are not preempted", func(req *Request, _, _ *Run) { req.Shape.Urgent = false }, nil},
		{"service at its minimum", func(req *Request, first, second *Run) {
			first.Kind, first.MinReplicas = spec.KindService, 1
			second.Urgent = true
		}, nil},
		{"service above its minimum", func(_ *Request, first, second *Run) {
			first.Kind, first.MinReplicas = spec.KindService, 1
			second.Kind, second.MinReplicas = spec.KindService, 1
		}, []int{0}},
		{"service of unknown minimum", func(_ *Request, first, second *Run) {
			first.Kind = spec.KindService
			second.Urgent = true
		}, nil},
		{"down to the minimum and not below", func(req *Request, first, second *Run) {
			req.Shape.Task.Size = resources(600, 0, 0)
			first.Kind, first.MinReplicas = spec.KindService, 1
			second.Kind, second.MinReplicas = spec.KindService, 1
		}, nil},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			req, first, second := requestFor(half), run("job", 0, half), run("job", 1, half)
			req.Shape.Urgent = true
			tt.change(&req, &first, &second)
			c := NewCell(1)
			c.Upsert(readyWorker("w", "a", resources(1000, 1000, 0)))
			is.NoErr(c.Reserve("w", first, start))
			is.NoErr(c.Reserve("w", second, start))
			_, victims := c.Victims(req)
			var got []int
			for _, v := range victims {
				got = append(got, v.Attempt.Task.Index)
			}
			is.Equal(got, tt.want)
		})
	}
}

// TestNeverTheSameVictimTwiceInARow checks that the next attempt of a preempted task is not
// preempted again.
func TestNeverTheSameVictimTwiceInARow(t *testing.T) {
	is := is.New(t)
	c := NewCell(1)
	c.Upsert(readyWorker("w", "a", resources(1000, 1000, 0)))
	first := run("job", 0, resources(1000, 1000, 0))
	is.NoErr(c.Reserve("w", first, start))
	req := requestFor(resources(1000, 1000, 0))
	req.Shape.Urgent = true
	_, victims := c.Victims(req)
	is.Equal(len(victims), 1)
	c.RecordPreemption(victims)
	c.Unreserve(first.Attempt)
	first.Attempt.Attempt++
	is.NoErr(c.Reserve("w", first, start))
	_, victims = c.Victims(req)
	is.Equal(len(victims), 0)
}

// TestVictimsLooksEverywhere checks that the only worker with a suitable victim is found among
// many.
func TestVictimsLooksEverywhere(t *testing.T) {
	is := is.New(t)
	c := NewCell(1)
	for i := range 500 {
		c.Upsert(readyWorker(workerName(i), "a", resources(1000, 1000, 0)))
		r := run("job", i, resources(1000, 1000, 0))
		r.Urgent = i != 321
		is.NoErr(c.Reserve(workerName(i), r, start))
	}
	req := requestFor(resources(10, 10, 0))
	req.Shape.Urgent = true
	for range 20 {
		w, _ := c.Victims(req)
		is.Equal(w, workerName(321))
	}
}

func BenchmarkVictims(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newLoad(n)
			req := requestFor(resources(60000, 100000, 0))
			req.Shape.Urgent = true
			b.ReportAllocs()
			for b.Loop() {
				if w, _ := l.cell.Victims(req); w == "" {
					b.Fatal("no victims")
				}
			}
		})
	}
}
