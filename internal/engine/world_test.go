package engine

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/host"
	"pulleyquay/internal/hostsim"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/upkeep"
)

// world drives an engine in virtual time against simulated hosts, a policy
// service and a store that behave as the platform's do, faults included.
type world struct {
	t    testing.TB
	rnd  *rand.Rand
	time virtualTime

	fleet  *hostsim.Fleet
	store  map[string][]byte
	engine *Engine
	epoch  uint64
	due    time.Time
	// held lets the engine give no orders.
	held        bool
	commitTakes time.Duration
	// committing is true while a batch is on its way to the store.
	committing bool

	faults faults
	bounds Bounds
	// follows has the engine told of the platform's list of hosts as it changes; the
	// store does not take writes while storeAway.
	follows, storeAway bool
	followed           time.Time
	// entries are the hosts' entries in the store, lastAway when that was last away.
	entries  map[host.ID]host.Info
	lastAway time.Time
	// members are those that can ask the policy service.
	members []string
	// queueOf names the queue of a job.
	queueOf func(id string) string
	// good tells whether the policy service lets a step run on a host.
	good func(step spec.StepID, h host.ID) bool
	// accountOf names the client account of a job, quotas are those of accounts.
	accountOf func(id string) string
	quotas    map[string]fairshare.Quota
	// advised is how long the policy service takes for an answer; nil stands for
	// adviceTakes.
	advised func(o AskOrder) time.Duration

	jobs map[string]*record.Job
	// aged is how long ago jobs are said to have been accepted, or to have ended, as a holder
	// takes over.
	aged    time.Duration
	watched time.Time
	shown   map[string]record.State // the last state shown to a caller
	ended   map[string]time.Time    // since when that has been a final one

	// over is since when a serving task is over its target, longestOver for how long
	// one has been on end.
	over map[host.Run]time.Time
	// machines are those that can be taken down for their upkeep, begun those whose
	// upkeep has begun.
	machines []upkeep.Machine
	begun    map[upkeep.MachineID]bool

	longestOver time.Duration
	// deciding is the real time that the engine's decisions took.
	deciding time.Duration
	// decided is told how long each decision took; it may be nil.
	decided func(took time.Duration)
	// onStart is told of each start as it goes out; it may be nil.
	onStart func(StartOrder)
	// logs has the engines' events kept in logged.
	logs   bool
	logged []loggedEvent
}

// faults of calls to hosts; shares between 0 and 1.
type faults struct {
	lostRequest, lostAnswer, late float64
	// unsure looks go over connections on which nobody has answered yet: they have nothing
	// forgotten.
	unsure float64
	// lateLooks come to their hosts late, lateViews back from them.
	lateLooks, lateViews float64
}

// virtualTime is a clock that jumps from one event to the next.
type virtualTime struct {
	now  time.Time
	list []event
	seq  int
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

func (v *virtualTime) Len() int { return len(v.list) }
func (v *virtualTime) Less(a, b int) bool {
	if !v.list[a].at.Equal(v.list[b].at) {
		return v.list[a].at.Before(v.list[b].at)
	}
	return v.list[a].seq < v.list[b].seq
}
func (v *virtualTime) Swap(a, b int) { v.list[a], v.list[b] = v.list[b], v.list[a] }
func (v *virtualTime) Push(x any)    { v.list = append(v.list, x.(event)) }
func (v *virtualTime) Pop() any {
	last := v.list[len(v.list)-1]
	v.list = v.list[:len(v.list)-1]
	return last
}

// Now implements hostsim.Clock.
func (v *virtualTime) Now() time.Time { return v.now }

// AfterFunc implements hostsim.Clock.
func (v *virtualTime) AfterFunc(d time.Duration, do func()) {
	v.seq++
	heap.Push(v, event{v.now.Add(d), v.seq, do})
}

// hostsKeepIDs has hosts that crash in new worlds start again under the ids that they had.
var hostsKeepIDs bool

// worldBegins is the time at which worlds begin.
var worldBegins = time.Unix(1_800_000_000, 0)

func newWorld(t testing.TB, seed uint64) *world {
	w := &world{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), time: virtualTime{now: worldBegins},
		store: map[string][]byte{}, jobs: map[string]*record.Job{}, shown: map[string]record.State{}, ended: map[string]time.Time{}, entries: map[host.ID]host.Info{},
		queueOf: func(string) string { return "q" }, accountOf: func(string) string { return "" }, quotas: map[string]fairshare.Quota{}, bounds: testBounds, members: []string{"m1", "m2", "m3", "m4", "m5"}, good: func(spec.StepID, host.ID) bool { return true },
	}
	w.fleet = hostsim.NewFleet(&w.time)
	w.fleet.KeepsID = hostsKeepIDs
	return w
}

// catalog is the configuration in force.
func (w *world) catalog() *catalog.Catalog {
	c := &catalog.Catalog{Keyed: len(w.quotas) > 0}
	for _, name := range slices.Sorted(maps.Keys(w.quotas)) {
		c.Accounts = append(c.Accounts, catalog.Account{Name: name, Quota: w.quotas[name]})
	}
	c.Index()
	return c
}

// setQuota changes what a client account may have running; the holder hears of it at once.
func (w *world) setQuota(account string, q fairshare.Quota) {
	w.quotas[account] = q
	w.fleet.SetQuota(account, q)
	if e := w.engine; e != nil {
		w.tell(e, func() { e.SetCatalog(w.catalog(), w.now()) })
	}
}

// now is the present virtual time.
func (w *world) now() time.Time { return w.time.now }

// after schedules something.
func (w *world) after(d time.Duration, do func()) { w.time.AfterFunc(d, do) }

// host returns a simulated host.
func (w *world) host(id host.ID) *hostsim.Host { return w.fleet.Host(id) }

var testBounds = Bounds{
	LeaseLimit: hostsim.DefaultBounds.LeaseLimit, StopTakes: hostsim.DefaultBounds.StopTakes,
	GangWait: hostsim.DefaultBounds.GangWait, RememberEnded: 150 * time.Second,
	RoomNews: 4500 * time.Millisecond, FarFactor: 2, RestoreTakes: 100 * time.Millisecond, CheckpointEvery: time.Second,
}

// rightTerm is for how long the engine may give orders after it was surely the
// holder; testSettle is when nothing that a former holder ordered can run any more.
const (
	rightTerm  = 3 * time.Second
	testSettle = 9200 * time.Millisecond
)

// takeOver makes a new engine from what the store holds; the former one hears of
// nothing any more.
func (w *world) takeOver() {
	w.epoch++
	w.engine = New(Config{
		Epoch: w.epoch, Bounds: w.bounds, Tuning: DefaultTuning(), Seed: w.epoch,
		WaveState: func(p upkeep.Progress) platform.Write {
			return platform.Write{Key: "state", Value: []byte(fmt.Sprint(p.Completed))}
		},
		Log: w.log,
	})
	w.engine.SetMembers(w.members)
	w.engine.SetCatalog(w.catalog(), w.now())
	w.committing = false
	var settleBy time.Time
	if w.epoch > 1 {
		settleBy = w.now().Add(testSettle)
	}
	jobs, progress, roster := w.stored()
	w.engine.SetUpkeep(settleBy, w.waves())
	w.engine.Load(jobs, progress, roster, settleBy, w.now(), func(*record.Job) time.Duration { return w.aged })
	w.engine.SetHosts(w.listed(), w.now())
	w.decide()
}

// loggedEvent is an event of an engine's log.
type loggedEvent struct {
	Event
	at time.Duration // since the world began
}

func (w *world) log(ev Event) {
	if w.logs {
		w.logged = append(w.logged, loggedEvent{ev, w.now().Sub(worldBegins)})
	}
}

// stored reads the store as a next holder does.
func (w *world) stored() (jobs []*record.Job, progress map[string]*record.Progress, roster record.Roster) {
	progress = map[string]*record.Progress{}
	must := func(err error) {
		if err != nil {
			w.t.Fatal(err)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(w.store)) {
		value := w.store[key]
		switch {
		case strings.HasPrefix(key, "jobs/"):
			j, err := record.DecodeJob(value)
			must(err)
			jobs = append(jobs, j)
		case strings.HasPrefix(key, "progress/"):
			p, err := record.DecodeProgress(value)
			must(err)
			progress[record.IDOf(key)] = p
		case strings.HasPrefix(key, "roster/"):
			var err error
			roster, err = record.DecodeRoster(value)
			must(err)
		}
	}
	return jobs, progress, roster
}

// decide has the engine decide and carries out its orders.
func (w *world) decide() {
	e := w.engine
	e.SetProved(w.now().Add(rightTerm))
	if w.held {
		e.SetProved(w.now())
	}
	begun := time.Now()
	o, due := e.Next(w.now())
	took := time.Since(begun)
	w.deciding += took
	if w.decided != nil {
		w.decided(took)
	}
	w.due = due
	for _, s := range o.Starts {
		w.start(e, s)
	}
	slices.SortFunc(o.Stops, func(a, b StopOrder) int { return compareOrders(a.To.ID, b.To.ID, a.Run, b.Run) })
	for _, s := range o.Stops {
		w.call(s.To, func(h *hostsim.Host) host.Reply { return h.Stop(e.cfg.Epoch, s.Run) }, func(r host.Reply, err error) {
			e.Stopped(s, r, err, w.now())
		})
	}
	slices.SortFunc(o.Paces, func(a, b PaceOrder) int { return compareOrders(a.To.ID, b.To.ID, a.Run, b.Run) })
	for _, p := range o.Paces {
		w.call(p.To, func(h *hostsim.Host) host.Reply { return h.Pace(e.cfg.Epoch, p.Run, p.Percent) }, func(r host.Reply, err error) {
			e.Paced(p, r, err, w.now())
		})
	}
	w.service(e, o)
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

// compareOrders puts orders that may go out in any order into one, so that the runs of a
// seed are alike.
func compareOrders(a, b host.ID, x, y host.Run) int {
	return cmp.Or(cmp.Compare(a, b), cmp.Compare(x.Task.String(), y.Task.String()), cmp.Compare(x.No, y.No))
}

// gatherFor is how long events are gathered before the engine decides.
const gatherFor = time.Millisecond

// tell runs something for the present engine and has it decide a moment later; a
// deposed engine hears nothing.
func (w *world) tell(e *Engine, do func()) {
	if e != w.engine {
		return
	}
	do()
	if next := w.now().Add(gatherFor); next.Before(w.due) {
		w.due = next
	}
}

// submit stores a job and tells the engine.
func (w *world) submit(id string, rules catalog.Rules, steps ...spec.Step) {
	w.submitGraph(id, rules, spec.Graph{Steps: steps})
}

func (w *world) submitGraph(id string, rules catalog.Rules, g spec.Graph) {
	if rules.Attempts == 0 {
		rules.Attempts = 3
	}
	rec := &record.Job{ID: id, Account: w.accountOf(id), Queue: w.queueOf(id), Service: "s", Rules: rules, Graph: g}
	value, err := record.Encode(rec)
	if err != nil {
		w.t.Fatal(err)
	}
	w.store[record.JobKey(0, id)] = value
	w.jobs[id] = rec
	w.fleet.Know(rec)
	e := w.engine
	w.tell(e, func() { e.Accept(rec, true, w.now(), w.now()) })
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now().Add(d)
	for {
		next := end
		if w.time.Len() > 0 && w.time.list[0].at.Before(next) {
			next = w.time.list[0].at
		}
		if w.due.Before(next) {
			next = w.due
		}
		if !next.Before(end) {
			w.time.now = end
			return
		}
		if next.After(w.time.now) {
			w.time.now = next
		}
		if w.time.Len() > 0 && !w.time.list[0].at.After(w.now()) {
			heap.Pop(&w.time).(event).do()
		} else {
			w.decide()
		}
		w.watch()
		w.followHosts()
	}
}

// followEvery is how often the holder hears of changes in the list of hosts.
const followEvery = 400 * time.Millisecond

func (w *world) followHosts() {
	if w.storeAway {
		w.lastAway = w.now()
	}
	if !w.follows || w.storeAway || w.now().Sub(w.followed) < followEvery {
		return
	}
	w.followed = w.now()
	w.tell(w.engine, func() { w.engine.SetHosts(w.listed(), w.now()) })
}

// heartbeat is how often hosts write their entries, besides when these change.
const heartbeat = 1500 * time.Millisecond

// listed is what the store holds of the hosts. What they could not write while it was away
// comes with their next heartbeats.
func (w *world) listed() []host.Info {
	var out []host.Info
	for i, info := range w.fleet.Listed() {
		stored, there := w.entries[info.ID]
		beat := int64((time.Duration(w.now().UnixNano()) + time.Duration(i)*heartbeat/7) / heartbeat)
		info.Beat = stored.Beat
		changed := !reflect.DeepEqual(info, stored) && w.now().Sub(w.lastAway) > heartbeat
		if !there || !w.storeAway && (beat != stored.Beat || changed) {
			info.Beat = beat
			w.entries[info.ID] = info
		}
		out = append(out, w.entries[info.ID])
	}
	return out
}

// watch checks, every few milliseconds, what callers are shown.
func (w *world) watch() {
	if w.now().Sub(w.watched) < 5*time.Millisecond {
		return
	}
	w.watched = w.now()
	w.watchTails()
	for id := range w.jobs {
		s, known := w.engine.State(id)
		before := w.shown[id]
		if !known || s == before {
			continue
		}
		if before.Final() {
			w.fleet.Judge().Breach("job %s was shown as %s and is shown as %s", id, before, s)
		}
		if s == record.StateCompleted && !w.fleet.Judge().JobDone(id) {
			w.fleet.Judge().Breach("job %s is shown as completed and is not", id)
		}
		if s == record.StateFailed {
			w.fleet.Judge().GaveUpFor(id, w.whyOf(id))
		}
		w.shown[id] = s
		if s.Final() {
			w.ended[id] = w.now()
		}
	}
}

// whyOf is the reason for a job's end that the store holds.
func (w *world) whyOf(id string) string {
	rec, err := record.DecodeJob(w.store[record.JobKey(0, id)])
	if err != nil {
		w.t.Fatal(err)
	}
	return rec.Why
}

// completed counts the jobs shown as completed.
func (w *world) completed() int {
	n := 0
	for _, shown := range w.shown {
		if shown == record.StateCompleted {
			n++
		}
	}
	return n
}

// check fails the test if any promise was broken.
func (w *world) check() {
	w.t.Helper()
	wrong := w.fleet.Judge().Wrong()
	for _, s := range wrong[:min(len(wrong), 10)] {
		w.t.Error(s)
	}
}

// describe tells what the engine holds of a job, for a failed test.
func (w *world) describe(id string) string {
	var out strings.Builder
	for _, g := range w.engine.jobs[id].groups {
		fmt.Fprintf(&out, "%v needs %d left %d waiting %d ready %t asking %d;", g.id, g.needs, g.left, g.waiting, !g.readySince.IsZero(), g.advice.asking)
		for i := range g.tasks {
			t := &g.tasks[i]
			fmt.Fprintf(&out, " %d:%d", i, t.state)
			if t.cur != nil {
				fmt.Fprintf(&out, "(%s run %d state %d unwanted %t)", t.cur.on.info.ID, t.cur.No, t.cur.state, t.cur.unwanted)
			}
		}
	}
	return out.String()
}
