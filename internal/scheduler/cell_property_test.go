package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker"
)

// model calculates independently what the cell should contain. The usage of a worker in the
// model is the larger of what its runs declare and the last report plus the runs that are held
// or started no more than UsageLag before the report, or after it.
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
	// reported is true once a report certainly includes the run.
	reported bool
	// adopted runs were already running when the worker was claimed.
	adopted bool
}

func newModel(workers int, size spec.Resources) *model {
	m := &model{
		cell: NewCell(1), now: start, sizes: map[string]spec.Resources{}, runs: map[worker.Attempt]*modelRun{},
		observed: map[string]spec.Resources{}, reported: map[string]time.Time{},
	}
	for i := range workers {
		m.addWorker(workerName(i), size)
	}
	return m
}

func (m *model) addWorker(name string, size spec.Resources) {
	m.cell.Upsert(readyWorker(name, "zone", size))
	m.sizes[name] = size
}

func (m *model) load(name string) spec.Resources {
	var declared, unreported spec.Resources
	for _, r := range m.runs {
		if r.worker != name {
			continue
		}
		declared = declared.Add(r.Size)
		if !r.reported {
			unreported = unreported.Add(r.Size)
		}
	}
	return declared.Max(m.observed[name].Add(unreported))
}

func (m *model) record(r Run, name string, adopted bool) {
	m.runs[r.Attempt] = &modelRun{Run: r, worker: name, started: m.now, adopted: adopted}
}

func (m *model) report(name string, usage spec.Resources) {
	m.cell.Observe(name, usage, m.now)
	m.observed[name] = usage
	for _, r := range m.runs {
		if r.worker == name && !r.Held && m.now.Sub(r.started) > m.cell.UsageLag {
			r.reported = true
		}
	}
}

func drawSize(t *rapid.T, label string, limit int64) spec.Resources {
	return resources(rapid.Int64Range(0, limit).Draw(t, label+"-cpu"), rapid.Int64Range(0, limit).Draw(t, label+"-mem"), rapid.Int64Range(0, 3).Draw(t, label+"-acc"))
}

// TestNoSequenceOverfills performs random starts, reservations, commits, reports, worker
// failures, claims, cancellations and preemptions. The model must have room for every start
// that the cell accepts, and must not have room for a start that the cell rejects for lack of
// resources.
func TestNoSequenceOverfills(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(3, resources(100, 100, 4))
		t.Repeat(map[string]func(*rapid.T){
			"reserve": m.reserve,
			"place":   m.place,
			"end":     m.end,
			"commit":  m.commit,
			"report":  func(t *rapid.T) { m.report(m.drawWorker(t), drawSize(t, "usage", 120)) },
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"fail":      m.failWorker,
			"claim":     m.claim,
			"preempt":   m.preempt,
			"setStatus": m.setStatus,
			"":          m.check,
		})
	})
}

func (m *model) drawWorker(t *rapid.T) string {
	return workerName(rapid.IntRange(0, 2).Draw(t, "worker"))
}

// drawRun draws one of the runs, or returns nil if there are none.
func (m *model) drawRun(t *rapid.T) *modelRun {
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
	r, w := m.newRun(t), m.drawWorker(t)
	fits := r.Size.Fits(m.sizes[w].Sub(m.load(w)))
	known, _ := m.cell.Worker(w)
	err := m.cell.Reserve(w, r, m.now)
	if open := known.Status == StatusReady; (err == nil) != (fits && open) {
		t.Fatalf("reserve %v on %s: fits %v, ready %v, got %v", r.Size, w, fits, open, err)
	}
	if err == nil {
		m.record(r, w, false)
	}
}

func (m *model) place(t *rapid.T) {
	runs := []Run{m.newRun(t)}
	placed, refusal := m.cell.Place(requestFor(runs[0].Size), runs, m.now)
	if refusal != nil {
		return
	}
	w := placed[0].Worker
	if !runs[0].Size.Fits(m.sizes[w].Sub(m.load(w))) {
		t.Fatalf("placed %v on %s, which uses %v of %v", runs[0].Size, w, m.load(w), m.sizes[w])
	}
	m.record(runs[0], w, false)
}

func (m *model) end(t *rapid.T) {
	r := m.drawRun(t)
	if r == nil {
		return
	}
	if !m.cell.Unreserve(r.Attempt) {
		t.Fatalf("run %v was not allocated", r.Attempt)
	}
	delete(m.runs, r.Attempt)
}

func (m *model) commit(t *rapid.T) {
	r := m.drawRun(t)
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

func (m *model) failWorker(t *rapid.T) {
	w := m.drawWorker(t)
	m.cell.Remove(w)
	for a, r := range m.runs {
		if r.worker == w {
			delete(m.runs, a)
		}
	}
	delete(m.observed, w)
	m.addWorker(w, m.sizes[w])
}

func (m *model) claim(t *rapid.T) {
	w, r := m.drawWorker(t), m.newRun(t)
	r.Held = false
	if err := m.cell.Adopt(w, r, m.now); err != nil {
		t.Fatal(err)
	}
	m.record(r, w, true)
}

func (m *model) preempt(t *rapid.T) {
	req := requestFor(drawSize(t, "ask", 80))
	req.Shape.Urgent = true
	w, victims := m.cell.Victims(req)
	if w == "" {
		return
	}
	m.cell.RecordPreemption(victims)
	for _, v := range victims {
		if m.runs[v.Attempt] == nil || m.runs[v.Attempt].worker != w || v.Urgent || v.Held {
			t.Fatalf("victim %v must not be preempted", v)
		}
		m.cell.Unreserve(v.Attempt)
		delete(m.runs, v.Attempt)
	}
}

func (m *model) setStatus(t *rapid.T) {
	s := rapid.SampledFrom([]Status{StatusReady, StatusReady, StatusReady, StatusDraining}).Draw(t, "status")
	if err := m.cell.SetStatus(m.drawWorker(t), s); err != nil {
		t.Fatal(err)
	}
}

// check compares the cell with the model.
func (m *model) check(t *rapid.T) {
	for w, size := range m.sizes {
		free, _ := m.cell.Free(w)
		if want := size.Sub(m.load(w)); free != want {
			t.Fatalf("%s: the cell has %v free, the model %v", w, free, want)
		}
		if n := len(m.cell.Runs(w)); n != m.count(w) {
			t.Fatalf("%s: the cell has %d runs, the model %d", w, n, m.count(w))
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
	cell.Upsert(readyWorker("w", "a", resources(64000, 131072, 0)))
	fmt.Println(cell.Never(&spec.Task{Size: resources(65000, 1024, 1)}).Detail)
	// Output: milli_cpu: needs 65000, the largest worker has 64000; accelerators: needs 1, the largest worker has 0
}
