package engine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pulleyquay/internal/advice"
	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// world drives an engine in virtual time against hosts, a policy service and a
// store that behave as the platform's do, faults included, and judges what runs.
type world struct {
	t    testing.TB
	rnd  *rand.Rand
	now  time.Time
	todo events

	hosts  map[host.ID]*fakeHost
	store  map[string][]byte
	engine *Engine
	epoch  uint64
	due    time.Time
	// committing is true while a batch is on its way to the store.
	committing bool
	proved     time.Time

	faults faults
	// spreadOfWork is by how much more the last member of a gang works than the first.
	spreadOfWork float64
	// failNext runs of first tasks fail.
	failNext int
	// good tells whether the policy service lets a step run on a host.
	good func(step spec.StepID, h host.ID) bool

	jobs    map[string]*record.Job
	watched time.Time
	shown   map[string]record.State // the last state shown to a caller
	running map[spec.StepTask]map[host.ID]int
	// noted are tasks whose end as done was acknowledged.
	noted map[spec.StepTask]bool
	// doneSeen are tasks that have ended as done on some host.
	doneSeen map[spec.StepTask]bool
	failed   map[spec.StepTask]map[int]bool
	starts   int
	wrong    []string
}

// faults of calls to hosts; shares between 0 and 1.
type faults struct {
	lostRequest, lostAnswer, late float64
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events struct {
	list []event
	seq  int
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(a, b int) bool {
	if !e.list[a].at.Equal(e.list[b].at) {
		return e.list[a].at.Before(e.list[b].at)
	}
	return e.list[a].seq < e.list[b].seq
}
func (e *events) Swap(a, b int) { e.list[a], e.list[b] = e.list[b], e.list[a] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

func newWorld(t testing.TB, seed uint64) *world {
	w := &world{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_800_000_000, 0),
		hosts: map[host.ID]*fakeHost{}, store: map[string][]byte{}, jobs: map[string]*record.Job{},
		shown: map[string]record.State{}, running: map[spec.StepTask]map[host.ID]int{},
		noted: map[spec.StepTask]bool{}, doneSeen: map[spec.StepTask]bool{}, failed: map[spec.StepTask]map[int]bool{},
		good: func(spec.StepID, host.ID) bool { return true },
	}
	return w
}

// after schedules something.
func (w *world) after(d time.Duration, do func()) {
	w.todo.seq++
	heap.Push(&w.todo, event{w.now.Add(d), w.todo.seq, do})
}

func (w *world) wrongf(format string, args ...any) {
	w.wrong = append(w.wrong, fmt.Sprintf("%v: ", w.now.Sub(time.Unix(1_800_000_000, 0)))+fmt.Sprintf(format, args...))
}

// addHosts adds like hosts, four to a rack.
func (w *world) addHosts(n int, size spec.Resources) {
	for range n {
		i := len(w.hosts)
		id := host.ID(fmt.Sprintf("h%02d", i))
		w.hosts[id] = &fakeHost{
			w: w, up: true, listed: true, born: w.now.Add(-time.Duration(w.rnd.IntN(1e6)) * time.Millisecond), rate: 1,
			info: host.Info{ID: id, Addr: string(id), Zone: fmt.Sprint("z", i%3), Service: "s", Rack: fmt.Sprint("r", i/4), Labels: []string{"a", fmt.Sprint("r", i/4)}, Size: size},
			runs: map[host.Run]*fakeRun{}, over: map[spec.StepTask]int{},
		}
	}
}

var testBounds = Bounds{
	LeaseLimit: 6 * time.Second, StopTakes: 200 * time.Millisecond, GangWait: 3 * time.Second,
	RememberEnded: 150 * time.Second, FarFactor: 2, RestoreTakes: 100 * time.Millisecond, CheckpointEvery: time.Second,
}

// takeOver makes a new engine from what the store holds; the former one hears of
// nothing any more.
func (w *world) takeOver() {
	w.epoch++
	w.engine = New(Config{Epoch: w.epoch, Bounds: testBounds, Tuning: DefaultTuning(), Seed: w.epoch})
	w.engine.SetMembers([]string{"m1", "m2", "m3", "m4", "m5"})
	w.engine.SetCatalog(&catalog.Catalog{})
	w.committing = false
	var jobs []*record.Job
	progress := map[string]*record.Progress{}
	var roster []host.Info
	for key, value := range w.store {
		switch {
		case hasPrefix(key, "jobs/"):
			j, err := record.DecodeJob(value)
			if err != nil {
				w.t.Fatal(err)
			}
			jobs = append(jobs, j)
		case hasPrefix(key, "progress/"):
			p, err := record.DecodeProgress(value)
			if err != nil {
				w.t.Fatal(err)
			}
			progress[record.IDOf(key)] = p
		case hasPrefix(key, "roster/"):
			r, err := record.DecodeRoster(value)
			if err != nil {
				w.t.Fatal(err)
			}
			for _, h := range r.Hosts {
				roster = append(roster, host.Info{ID: host.ID(h.ID), Addr: h.Addr})
			}
		}
	}
	var settleBy time.Time
	if w.epoch > 1 {
		settleBy = w.now.Add(9200 * time.Millisecond)
	}
	w.engine.Load(jobs, progress, roster, settleBy, w.now, func(*record.Job) time.Duration { return 0 })
	w.engine.SetHosts(w.list(), w.now)
	w.proved = w.now
	w.decide()
}

func hasPrefix(s, p string) bool { return len(s) >= len(p) && s[:len(p)] == p }

func (w *world) list() []host.Info {
	var out []host.Info
	for _, h := range w.hosts {
		if h.listed {
			out = append(out, h.info)
		}
	}
	return out
}

// decide has the engine decide and carries out its orders.
func (w *world) decide() {
	e := w.engine
	w.proved = w.now
	e.SetProved(w.proved.Add(3 * time.Second))
	o, due := e.Next(w.now)
	w.due = due
	for _, s := range o.Starts {
		w.call(s.To, func(h *fakeHost) any { return h.start(e.cfg.Epoch, s.Start) }, func(reply any, err error) {
			r, _ := reply.(host.Reply)
			e.Started(s, r, err, w.now)
		})
	}
	for _, s := range o.Stops {
		w.call(s.To, func(h *fakeHost) any { return h.stop(e.cfg.Epoch, s.Run) }, func(reply any, err error) {
			r, _ := reply.(host.Reply)
			e.Stopped(s, r, err, w.now)
		})
	}
	for _, p := range o.Paces {
		w.call(p.To, func(h *fakeHost) any { return host.Reply{Clock: h.clock()} }, func(reply any, err error) {
			r, _ := reply.(host.Reply)
			e.Paced(p, r, err, w.now)
		})
	}
	for _, l := range o.Looks {
		w.look(e, l)
	}
	for _, a := range o.Asks {
		w.ask(e, a)
	}
	if (o.Commit || o.CommitNow) && !w.committing {
		w.commit(e)
	}
}

// tell runs something for the present engine and has it decide; a deposed
// engine hears nothing.
func (w *world) tell(e *Engine, do func()) {
	if e != w.engine {
		return
	}
	do()
	w.decide()
}

const oneWay = time.Millisecond

// call carries an order to a host and its answer back, through the faults.
func (w *world) call(to host.Info, arrive func(*fakeHost) any, answer func(any, error)) {
	e := w.engine
	patience := 500 * time.Millisecond
	done := false
	finish := func(reply any, err error) {
		if !done {
			done = true
			w.tell(e, func() { answer(reply, err) })
		}
	}
	h := w.hosts[to.ID]
	switch {
	case h == nil:
		w.after(oneWay, func() { finish(nil, host.ErrNotSent) })
		return
	case w.rnd.Float64() < w.faults.lostRequest:
		w.after(patience, func() { finish(nil, host.ErrLost) })
		return
	case w.rnd.Float64() < w.faults.late:
		w.after(2*time.Second+time.Duration(w.rnd.IntN(10000))*time.Millisecond, func() {
			if h.reachable() {
				arrive(h)
			}
		})
		w.after(patience, func() { finish(nil, host.ErrLost) })
		return
	}
	lost := w.rnd.Float64() < w.faults.lostAnswer
	w.after(oneWay, func() {
		if !h.reachable() {
			w.after(patience, func() { finish(nil, host.ErrLost) })
			return
		}
		reply := arrive(h)
		if lost {
			w.after(patience, func() { finish(nil, host.ErrLost) })
			return
		}
		w.after(oneWay, func() { finish(reply, nil) })
	})
}

// look carries a look to a host, which answers when an end is there or the wait
// is over.
func (w *world) look(e *Engine, o LookOrder) {
	sent := w.now
	h := w.hosts[o.To.ID]
	fail := func() { w.tell(e, func() { e.Viewed(o, sent, host.View{}, host.ErrLost, w.now) }) }
	if h == nil || w.rnd.Float64() < w.faults.lostRequest {
		w.after(o.Look.Wait+500*time.Millisecond, fail)
		return
	}
	w.after(oneWay, func() {
		if !h.reachable() {
			w.after(o.Look.Wait+500*time.Millisecond, fail)
			return
		}
		h.look(e.cfg.Epoch, o.Look, func(v host.View) {
			if w.rnd.Float64() < w.faults.lostAnswer || !h.reachable() {
				w.after(500*time.Millisecond, fail)
				return
			}
			w.after(oneWay, func() { w.tell(e, func() { e.Viewed(o, sent, v, nil, w.now) }) })
		})
	})
}

func (w *world) ask(e *Engine, o AskOrder) {
	var a advice.Answer
	a.Valid = 1500 * time.Millisecond
	for _, id := range o.Hosts {
		if w.good(o.Step, id) {
			a.Good = append(a.Good, advice.Ticket{Host: id, Ticket: o.Step.String() + string(id)})
		}
	}
	w.after(10*time.Millisecond, func() { w.tell(e, func() { e.Advised(o, a, nil, w.now) }) })
}

// commit stores a batch some milliseconds later.
func (w *world) commit(e *Engine) {
	b := e.TakeBatch(w.now)
	if b == nil {
		return
	}
	w.committing = true
	w.after(6*time.Millisecond, func() {
		if e != w.engine {
			return
		}
		w.apply(b.Writes)
		w.committing = false
		w.tell(e, func() { e.Stored(b, w.now) })
	})
}

func (w *world) apply(writes []platform.Write) {
	for _, x := range writes {
		if x.Delete {
			delete(w.store, x.Key)
			continue
		}
		w.store[x.Key] = x.Value
	}
}

// submit stores a job and tells the engine.
func (w *world) submit(id string, rules catalog.Rules, steps ...spec.Step) {
	if rules.Attempts == 0 {
		rules.Attempts = 3
	}
	rec := &record.Job{ID: id, Queue: "q", Service: "s", Rules: rules, Graph: spec.Graph{Steps: steps}}
	value, err := record.Encode(rec)
	if err != nil {
		w.t.Fatal(err)
	}
	w.store[record.JobKey(0, id)] = value
	w.jobs[id] = rec
	e := w.engine
	w.tell(e, func() { e.Accept(rec, true, w.now, w.now) })
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for {
		next := end
		if w.todo.Len() > 0 && w.todo.list[0].at.Before(next) {
			next = w.todo.list[0].at
		}
		if w.engine != nil && w.due.Before(next) {
			next = w.due
		}
		if !next.Before(end) {
			w.now = end
			return
		}
		if next.After(w.now) {
			w.now = next
		}
		if w.todo.Len() > 0 && !w.todo.list[0].at.After(w.now) {
			heap.Pop(&w.todo).(event).do()
		} else {
			w.decide()
		}
		w.watch()
	}
}

// watch checks, every few milliseconds, what callers are shown.
func (w *world) watch() {
	if w.now.Sub(w.watched) < 5*time.Millisecond {
		return
	}
	w.watched = w.now
	for id, rec := range w.jobs {
		s, known := w.engine.State(id)
		if !known {
			continue
		}
		before := w.shown[id]
		if s == before {
			continue
		}
		if before.Final() && s != before {
			w.wrongf("job %s was shown as %s and is shown as %s", id, before, s)
		}
		if s == record.StateCompleted && !before.Final() {
			for i, step := range rec.Graph.Steps {
				if !w.stepDone(id, i, step) {
					w.wrongf("job %s is shown as completed, step %d is not done", id, i)
				}
			}
		}
		w.shown[id] = s
	}
}

func (w *world) stepDone(id string, i int, step spec.Step) bool {
	for k := range step.Count {
		if !w.doneSeen[spec.StepTask{StepID: spec.StepID{Job: id, Step: i}, Index: k}] {
			return false
		}
	}
	return true
}

// completed counts the jobs shown as completed.
func (w *world) completed() int { return w.inState(record.StateCompleted) }

func (w *world) inState(s record.State) int {
	n := 0
	for _, shown := range w.shown {
		if shown == s {
			n++
		}
	}
	return n
}

// check fails the test if anything was wrong.
func (w *world) check() {
	w.t.Helper()
	for i, s := range w.wrong {
		if i == 10 {
			w.t.Errorf("and %d more", len(w.wrong)-i)
			return
		}
		w.t.Error(s)
	}
}

// uneven is the share of its step's estimate that a member of a gang works.
func (w *world) uneven(index int) float64 { return 1 + w.spreadOfWork*float64(index) }

// describe tells what the engine holds of a job, for a failed test.
func (w *world) describe(id string) string {
	out := ""
	for _, g := range w.engine.jobs[id].groups {
		out += fmt.Sprintf("%v needs %d left %d waiting %d ready %t asking %d;", g.id, g.needs, g.left, g.waiting, !g.readySince.IsZero(), g.advice.asking)
		for i := range g.tasks {
			t := &g.tasks[i]
			out += fmt.Sprintf(" %d:%d", i, t.state)
			if t.cur != nil {
				out += fmt.Sprintf("(%s run %d state %d unwanted %t)", t.cur.on.info.ID, t.cur.No, t.cur.state, t.cur.unwanted)
			}
		}
	}
	return out
}
