package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker"
)

// model is an independent account of what the cell should hold. A worker's
// load by the model is the larger of what its runs declare and the last report
// plus the runs held or started in the lag before it or after it.
type model struct {
	cell     *Cell
	now      time.Time
	sizes    map[string]spec.Resources
	runs     map[worker.Attempt]*modelRun
	observed map[string]spec.Resources
	reported map[string]time.Time
	next     int
}

type modelRun struct {
	Run
	worker  string
	started time.Time
	// covered is true once a report surely includes the run.
	covered bool
	// adopted runs were running already when the worker was claimed.
	adopted bool
}

func newModel(workers int, size spec.Resources) *model {
	m := &model{
		cell: NewCell(1), now: start, sizes: map[string]spec.Resources{}, runs: map[worker.Attempt]*modelRun{},
		observed: map[string]spec.Resources{}, reported: map[string]time.Time{},
	}
	for i := range workers {
		m.join(name(i), size)
	}
	return m
}

func (m *model) join(name string, size spec.Resources) {
	m.cell.Upsert(ready(name, "zone", size))
	m.sizes[name] = size
}

func (m *model) load(name string) spec.Resources {
	var declared, fresh spec.Resources
	for _, r := range m.runs {
		if r.worker != name {
			continue
		}
		declared = declared.Add(r.Size)
		if !r.covered {
			fresh = fresh.Add(r.Size)
		}
	}
	return declared.Max(m.observed[name].Add(fresh))
}

func (m *model) book(r Run, name string, adopted bool) {
	m.runs[r.Attempt] = &modelRun{Run: r, worker: name, started: m.now, adopted: adopted}
}

func (m *model) report(name string, usage spec.Resources) {
	m.cell.Observe(name, usage, m.now)
	m.observed[name] = usage
	for _, r := range m.runs {
		if r.worker == name && !r.Held && m.now.Sub(r.started) > m.cell.UsageLag {
			r.covered = true
		}
	}
}

func drawSize(t *rapid.T, label string, most int64) spec.Resources {
	return res(rapid.Int64Range(0, most).Draw(t, label+"-cpu"), rapid.Int64Range(0, most).Draw(t, label+"-mem"), rapid.Int64Range(0, 3).Draw(t, label+"-acc"))
}

// TestNoSequenceOverfills runs random starts, holds, commits, reports, losses,
// claims, cancels and preemptions. A start that the cell accepts must fit by
// the model, and a start that it refuses as full must not.
func TestNoSequenceOverfills(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(3, res(100, 100, 4))
		t.Repeat(map[string]func(*rapid.T){
			"reserve": m.reserve,
			"place":   m.place,
			"end":     m.end,
			"commit":  m.commit,
			"report":  func(t *rapid.T) { m.report(m.anyWorker(t), drawSize(t, "usage", 120)) },
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"lose":      m.lose,
			"claim":     m.claim,
			"preempt":   m.preempt,
			"setStatus": m.setStatus,
			"":          m.check,
		})
	})
}

func (m *model) anyWorker(t *rapid.T) string { return name(rapid.IntRange(0, 2).Draw(t, "worker")) }

// anyRun draws one of the runs, or returns nil when there are none.
func (m *model) anyRun(t *rapid.T) *modelRun {
	if len(m.runs) == 0 {
		return nil
	}
	n := rapid.IntRange(0, m.next).Draw(t, "run")
	for i := range m.next + 1 {
		a := worker.Attempt{Task: spec.TaskID{Job: "job", Index: (n + i) % (m.next + 1)}, Attempt: 1}
		if r, ok := m.runs[a]; ok {
			return r
		}
	}
	return nil
}

func (m *model) newRun(t *rapid.T) Run {
	m.next++
	r := run("job", m.next, drawSize(t, "size", 60))
	r.Held = rapid.Bool().Draw(t, "held")
	r.Urgent = rapid.Bool().Draw(t, "urgent")
	return r
}

func (m *model) reserve(t *rapid.T) {
	r, w := m.newRun(t), m.anyWorker(t)
	fits := r.Size.Fits(m.sizes[w].Sub(m.load(w)))
	known, _ := m.cell.Worker(w)
	err := m.cell.Reserve(w, r, m.now)
	if open := known.Status == StatusReady; (err == nil) != (fits && open) {
		t.Fatalf("reserve %v on %s: fits %v, open %v, got %v", r.Size, w, fits, open, err)
	}
	if err == nil {
		m.book(r, w, false)
	}
}

func (m *model) place(t *rapid.T) {
	runs := []Run{m.newRun(t)}
	placed, refusal := m.cell.Place(askFor(runs[0].Size), runs, m.now)
	if refusal != nil {
		return
	}
	w := placed[0].Worker
	if !runs[0].Size.Fits(m.sizes[w].Sub(m.load(w))) {
		t.Fatalf("placed %v on %s, which holds %v of %v", runs[0].Size, w, m.load(w), m.sizes[w])
	}
	m.book(runs[0], w, false)
}

func (m *model) end(t *rapid.T) {
	r := m.anyRun(t)
	if r == nil {
		return
	}
	if !m.cell.Unreserve(r.Attempt) {
		t.Fatalf("run %v was not booked", r.Attempt)
	}
	delete(m.runs, r.Attempt)
}

func (m *model) commit(t *rapid.T) {
	r := m.anyRun(t)
	if r == nil {
		return
	}
	if err := m.cell.Commit(r.Attempt, m.now); err != nil {
		t.Fatal(err)
	}
	if r.Held {
		r.Held, r.started = false, m.now
	}
}

func (m *model) lose(t *rapid.T) {
	w := m.anyWorker(t)
	m.cell.Remove(w)
	for a, r := range m.runs {
		if r.worker == w {
			delete(m.runs, a)
		}
	}
	delete(m.observed, w)
	m.join(w, m.sizes[w])
}

func (m *model) claim(t *rapid.T) {
	w, r := m.anyWorker(t), m.newRun(t)
	r.Held = false
	if err := m.cell.Adopt(w, r, m.now); err != nil {
		t.Fatal(err)
	}
	m.book(r, w, true)
}

func (m *model) preempt(t *rapid.T) {
	a := askFor(drawSize(t, "ask", 80))
	a.Shape.Urgent = true
	w, victims := m.cell.Victims(a)
	if w == "" {
		return
	}
	m.cell.Preempted(victims)
	for _, v := range victims {
		if m.runs[v.Attempt] == nil || m.runs[v.Attempt].worker != w || v.Urgent || v.Held {
			t.Fatalf("victim %v may not be taken", v)
		}
		m.cell.Unreserve(v.Attempt)
		delete(m.runs, v.Attempt)
	}
}

func (m *model) setStatus(t *rapid.T) {
	s := rapid.SampledFrom([]Status{StatusReady, StatusReady, StatusReady, StatusLeaving}).Draw(t, "status")
	if err := m.cell.SetStatus(m.anyWorker(t), s); err != nil {
		t.Fatal(err)
	}
}

// check compares the books with the model.
func (m *model) check(t *rapid.T) {
	for w, size := range m.sizes {
		free, _ := m.cell.Free(w)
		if want := size.Sub(m.load(w)); free != want {
			t.Fatalf("%s: free by the books %v, by the model %v", w, free, want)
		}
		if n := len(m.cell.Runs(w)); n != m.count(w) {
			t.Fatalf("%s: %d runs in the books, %d in the model", w, n, m.count(w))
		}
	}
}

func (m *model) count(w string) int {
	n := 0
	for _, r := range m.runs {
		if r.worker == w {
			n++
		}
	}
	return n
}

func ExampleNever() {
	cell := NewCell(1)
	cell.Upsert(ready("w", "a", res(64000, 131072, 0)))
	fmt.Println(cell.Never(&spec.Task{Size: res(65000, 1024, 1)}).Detail)
	// Output: milli_cpu: needs 65000, the largest worker has 64000; accelerators: needs 1, the largest worker has 0
}
