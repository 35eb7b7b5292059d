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
	"pulleyquay/internal/evacuation"
	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/host"
	"pulleyquay/internal/hostsim"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/upkeep"
)

// world simulates a cell in virtual time: it drives an engine against simulated hosts, a
// policy service and a store that behave as the platform's do, including their faults.
type world struct {
	t    testing.TB
	rnd  *rand.Rand
	time virtualTime

	fleet  *hostsim.Fleet
	store  map[string][]byte
	engine *Engine
	epoch  uint64
	due    time.Time
	// paused is true while the engine may give no orders.
	paused bool
	// commitTakes is how long a write to the store takes, if longer than the default.
	commitTakes time.Duration
	// transactionTakes, if not nil, returns how long a transaction takes; each group of a batch is then written by
	// a transaction of its own, in any order.
	transactionTakes func() time.Duration
	// committing is true while a batch is being written to the store; unstored is that batch.
	committing bool
	unstored   *Batch
	// claimedByNext is true while the next holder has claimed the partition and reads the store: the store
	// rejects the writes of the present one, which may still give orders.
	claimedByNext bool
	// onWrite, if not nil, returns the writes that are made instead of those of a batch.
	onWrite func([]platform.Write) []platform.Write

	faults faults
	bounds Bounds
	// repliesCut are the hosts that receive calls and whose replies get lost.
	repliesCut map[host.ID]bool
	// followsHosts makes the engine receive the platform's list of hosts periodically. While
	// storeUnavailable is set the store accepts no writes.
	followsHosts, storeUnavailable bool
	followedAt                     time.Time
	// entries are the hosts' entries in the store; lastUnavailable is when the store was last
	// unavailable.
	entries         map[host.ID]host.Info
	lastUnavailable time.Time
	// members are the names of the members that can query the policy service.
	members []string
	// queueOf returns the queue of a job, serviceOf its service.
	queueOf, serviceOf func(id string) string
	// permitted reports whether the policy service permits a step on a host.
	permitted func(step spec.StepID, h host.ID) bool
	// accountOf returns the client account of a job; quotas are the quotas of the accounts.
	accountOf func(id string) string
	quotas    map[string]fairshare.Quota
	// weights are the weights of accounts; an account without one has none in the configuration.
	weights map[string]float64
	// policyDelay returns how long the policy service takes to answer a query; if nil,
	// policyReplyDelay.
	policyDelay func(o QueryOrder) time.Duration

	// evacuations are the evacuated zones that every holder knows; nil if there are none.
	evacuations *evacuation.Set

	jobs map[string]*record.Job
	// recordAge is the age of job records at a failover, since their acceptance or end.
	recordAge  time.Duration
	checkedAt  time.Time
	reported   map[string]record.State // the last state returned to a caller
	finalSince map[string]time.Time    // when a final state was first returned

	// overTargetSince holds since when a serving task has exceeded its target; longestOver is the longest
	// time for which any has.
	overTargetSince map[host.Run]time.Time
	// machines are the machines that can be taken down for maintenance; begun marks those whose
	// maintenance has started.
	machines           []upkeep.Machine
	maintenanceStarted map[upkeep.MachineID]bool

	longestOverTarget time.Duration
	// workingSet is used in place of the default tuning, unless it is zero.
	workingSet WorkingSetTuning
	// decisions counts the decisions.
	decisions int
	// benchmark is true in benchmarks, in which the index of hosts isn't checked.
	benchmark bool
	// decisionTime is the real time spent in the engine's decisions.
	decisionTime time.Duration
	// onDecision, if not nil, is called with the real time of each decision.
	onDecision func(took time.Duration)
	// onStart, if not nil, is called with each start order.
	onStart func(StartOrder)
	// onPoll, if not nil, is called with each poll.
	onPoll func(PollOrder)
	// replyDelay is the additional time that the reply to an order takes.
	replyDelay time.Duration
	// hangs, if not nil, reports whether a start order gets lost and is not answered.
	hangs func(StartOrder) bool
	// keepEvents makes the events of the engines be kept in logged.
	keepEvents bool
	events     []loggedEvent
}

// faults are the probabilities, between 0 and 1, of faults in calls to hosts, and limits of their answers.
type faults struct {
	lostRequest, lostReply, delayedRequest float64
	// delayedPoll is that of a poll that gets no answer and is carried out seconds later.
	delayedPoll float64
	// carriedOver makes the next incarnations of hosts carry out delayed orders to former ones, also while they can
	// not be reached.
	carriedOver bool
	// unidentifiedPolls is that of a poll over a connection on which no incarnation has answered yet; such
	// a poll acknowledges no end records.
	unidentifiedPolls float64
	// latePolls is that of a delayed poll, lateViews that of a delayed reply.
	latePolls, lateViews float64
	// lostView is that of a poll whose reply gets lost, in addition to lostReply.
	lostView float64
	// listedEnds is the maximum number of end records in a view of a host; zero is the usual one.
	listedEnds int
	// lostQuery is that of a query to the policy service whose reply gets lost.
	lostQuery float64
}

// virtualTime is a clock that advances from one scheduled event to the next.
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

// hostsKeepIDs makes crashed hosts of new simulations restart under their former ids.
var hostsKeepIDs bool

// simulationStart is the virtual time at which each simulation starts.
var simulationStart = time.Unix(1_800_000_000, 0)

func newWorld(t testing.TB, seed uint64) *world {
	w := &world{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), time: virtualTime{now: simulationStart},
		store: map[string][]byte{}, jobs: map[string]*record.Job{}, reported: map[string]record.State{}, finalSince: map[string]time.Time{}, entries: map[host.ID]host.Info{},
		queueOf: func(string) string { return "q" }, serviceOf: func(string) string { return "s" }, accountOf: func(string) string { return "" }, quotas: map[string]fairshare.Quota{}, bounds: testBounds, members: []string{"m1", "m2", "m3", "m4", "m5"}, permitted: func(spec.StepID, host.ID) bool { return true },
	}
	_, w.benchmark = t.(*testing.B)
	w.fleet = hostsim.NewFleet(&w.time)
	w.fleet.KeepID = hostsKeepIDs
	if parksEarly {
		w.workingSet = earlyParking
	}
	return w
}

// catalog returns the configuration in force.
func (w *world) catalog() *catalog.Catalog {
	c := &catalog.Catalog{KeysRequired: len(w.quotas) > 0}
	for _, name := range slices.Sorted(maps.Keys(w.quotas)) {
		c.Accounts = append(c.Accounts, catalog.Account{Name: name, Quota: w.quotas[name], Weight: w.weights[name]})
	}
	c.Index()
	return c
}

// setQuota changes the quota of a client account, and passes it to the engine at once.
func (w *world) setQuota(account string, q fairshare.Quota) {
	w.quotas[account] = q
	w.fleet.SetQuota(account, q)
	if e := w.engine; e != nil {
		w.deliver(e, func() { e.SetCatalog(w.catalog(), w.now()) })
	}
}

// now returns the current virtual time.
func (w *world) now() time.Time { return w.time.now }

// after schedules a call of do in d.
func (w *world) after(d time.Duration, do func()) { w.time.AfterFunc(d, do) }

// host returns a simulated host.
func (w *world) host(id host.ID) *hostsim.Host { return w.fleet.Host(id) }

var testBounds = Bounds{
	MaxLease: hostsim.DefaultBounds.MaxLease, MaxStopTime: hostsim.DefaultBounds.MaxStopTime,
	GangTimeout: hostsim.DefaultBounds.GangTimeout, EndedJobTTL: 150 * time.Second,
	CapacityLag: 4500 * time.Millisecond, RemoteDataFactor: 2, RestoreTime: 100 * time.Millisecond, CheckpointInterval: time.Second,
}

// authorityTerm is how long the engine may give orders after its authority was last
// proven; testReconcile is the time after a failover when all earlier leases have expired.
const (
	authorityTerm = 3 * time.Second
	testReconcile = 9200 * time.Millisecond
)

// failOver replaces the engine by one of the next epoch that loads the store; the previous
// engine receives no more calls.
func (w *world) failOver() {
	w.epoch = host.NextEpoch(w.epoch)
	tuning := DefaultTuning()
	if w.workingSet != (WorkingSetTuning{}) {
		tuning.WorkingSet = w.workingSet
	}
	w.engine = New(Config{
		Epoch: w.epoch, Bounds: w.bounds, Tuning: tuning, Seed: w.epoch,
		WaveState: func(p upkeep.Progress) platform.Write {
			return platform.Write{Key: "state", Value: []byte(fmt.Sprint(p.Completed))}
		},
		Log: w.log,
	})
	w.engine.SetMembers(w.members)
	w.engine.SetCatalog(w.catalog(), w.now())
	w.committing, w.unstored, w.claimedByNext = false, nil, false
	var reconcileBy time.Time
	if w.epoch > 1 {
		reconcileBy = w.now().Add(testReconcile)
	}
	jobs, progress, roster := w.stored()
	w.engine.SetUpkeep(reconcileBy, w.storedRollouts())
	w.engine.Load(jobs, progress, roster, reconcileBy, w.now(), func(*record.Job) time.Duration { return w.recordAge })
	w.engine.SetHosts(w.listed(), w.now())
	w.decide()
}

// loggedEvent is an event of an engine's log.
type loggedEvent struct {
	Event
	at time.Duration // since the start of the simulation
}

func (w *world) log(ev Event) {
	if w.keepEvents {
		w.events = append(w.events, loggedEvent{ev, w.now().Sub(simulationStart)})
	}
}

// stored reads the store as the next holder does.
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
			progress[record.JobIDOf(key)] = p
		case strings.HasPrefix(key, "roster/"):
			var err error
			if roster, err = record.DecodeRoster(value); !roster.Unreadable { // this one loads as a holder loads it
				must(err)
			}
		}
	}
	return jobs, progress, roster
}

// decide calls Next on the engine and carries out its orders.
func (w *world) decide() {
	e := w.engine
	e.SetAuthority(w.now().Add(authorityTerm))
	if w.paused {
		e.SetAuthority(w.now())
	}
	e.SetEvacuations(w.evacuations, w.now())
	begun := time.Now()
	o, due := e.Next(w.now())
	took := time.Since(begun)
	w.decisionTime += took
	if w.onDecision != nil {
		w.onDecision(took)
	}
	w.due = due
	w.checkIndexSometimes()
	w.checkReadySteps()
	for _, s := range o.Starts {
		w.start(e, s)
	}
	slices.SortFunc(o.Stops, func(a, b StopOrder) int { return compareOrders(a.To.ID, b.To.ID, a.Run, b.Run) })
	for _, s := range o.Stops {
		stop := func(h *hostsim.Host) host.Reply { return h.Stop(e.Token(s.Generation), s.Run) }
		w.call(s.To, stop, func(h *hostsim.Host) { stop(h) }, func(r host.Reply, err error) {
			e.Stopped(s, r, err, w.now())
		})
	}
	slices.SortFunc(o.Throttles, func(a, b ThrottleOrder) int { return compareOrders(a.To.ID, b.To.ID, a.Run, b.Run) })
	for _, p := range o.Throttles {
		throttle := func(h *hostsim.Host) host.Reply { return h.Throttle(e.Token(p.Generation), p.Run, p.Percent) }
		w.call(p.To, throttle, func(h *hostsim.Host) { throttle(h) }, func(r host.Reply, err error) {
			e.HandleThrottleResult(p, r, err, w.now())
		})
	}
	w.serveMachines(e, o)
	for _, l := range o.Polls {
		w.poll(e, l)
	}
	for _, a := range o.Queries {
		w.query(e, a)
	}
	if (o.Commit || o.CommitNow) && !w.committing {
		w.commit(e)
	}
}

// compareOrders sorts orders whose sequence the engine does not define, so that tests with the
// same seed are reproducible.
func compareOrders(a, b host.ID, x, y host.Run) int {
	return cmp.Or(cmp.Compare(a, b), cmp.Compare(x.Task.String(), y.Task.String()), cmp.Compare(x.No, y.No))
}

// decisionDelay is how long inputs are collected before the engine decides.
const decisionDelay = time.Millisecond

// deliver calls do, which passes an input to engine e, and schedules a decision. It does nothing
// if e was replaced at a failover.
func (w *world) deliver(e *Engine, do func()) {
	if e != w.engine {
		return
	}
	do()
	if next := w.now().Add(decisionDelay); next.Before(w.due) {
		w.due = next
	}
}

// submit stores a job and passes it to the engine.
func (w *world) submit(id string, rules catalog.Rules, steps ...spec.Step) {
	w.submitGraph(id, rules, spec.Graph{Steps: steps})
}

func (w *world) submitGraph(id string, rules catalog.Rules, g spec.Graph) {
	if rules.MaxAttempts == 0 {
		rules.MaxAttempts = 3
	}
	rec := &record.Job{ID: id, Account: w.accountOf(id), Queue: w.queueOf(id), Service: w.serviceOf(id), Rules: rules, Graph: g}
	value, err := record.Encode(rec)
	if err != nil {
		w.t.Fatal(err)
	}
	w.store[record.JobKey(0, id)] = value
	w.jobs[id] = rec
	w.fleet.AddJob(rec)
	e := w.engine
	w.deliver(e, func() { e.Accept(rec, true, w.now(), w.now()) })
}

// run advances the virtual time by d.
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
		w.checkCallerStates()
		w.followHosts()
	}
}

// followInterval is the interval at which the engine receives the list of hosts.
const followInterval = 400 * time.Millisecond

func (w *world) followHosts() {
	if w.storeUnavailable {
		w.lastUnavailable = w.now()
	}
	if !w.followsHosts || w.storeUnavailable || w.now().Sub(w.followedAt) < followInterval {
		return
	}
	w.followedAt = w.now()
	w.deliver(w.engine, func() { w.engine.SetHosts(w.listed(), w.now()) })
}

// heartbeat is the interval at which hosts write their entries, besides at changes.
const heartbeat = 1500 * time.Millisecond

// listed returns the hosts' entries in the store. Changes that hosts could not write while the
// store was unavailable are written with their next heartbeats.
func (w *world) listed() []host.Info {
	var out []host.Info
	for i, info := range w.fleet.Listed() {
		stored, there := w.entries[info.ID]
		beat := int64((time.Duration(w.now().UnixNano()) + time.Duration(i)*heartbeat/7) / heartbeat)
		info.HeartbeatSeq = stored.HeartbeatSeq
		changed := !reflect.DeepEqual(info, stored) && w.now().Sub(w.lastUnavailable) > heartbeat
		if !there || !w.storeUnavailable && (beat != stored.HeartbeatSeq || changed) {
			info.HeartbeatSeq = beat
			w.entries[info.ID] = info
		}
		out = append(out, w.entries[info.ID])
	}
	return out
}

// checkCallerStates checks, every few milliseconds, the job states that callers would get.
func (w *world) checkCallerStates() {
	if w.now().Sub(w.checkedAt) < 5*time.Millisecond {
		return
	}
	w.checkedAt = w.now()
	w.recordTails()
	for id := range w.jobs {
		s, known := w.engine.State(id)
		before := w.reported[id]
		if !known || s == before {
			continue
		}
		if before.Final() {
			w.fleet.Checker().RecordViolation("job %s was reported as %s and is now reported as %s", id, before, s)
		}
		if s == record.StateCompleted && !w.fleet.Checker().JobDone(id) {
			w.fleet.Checker().RecordViolation("job %s is reported as completed but is not", id)
		}
		if s == record.StateFailed {
			w.fleet.Checker().CheckFailedJob(id, w.endReason(id))
		}
		w.reported[id] = s
		if s.Final() {
			w.finalSince[id] = w.now()
		}
	}
}

// endReason returns the stored reason for the end of a job.
func (w *world) endReason(id string) string {
	rec, err := record.DecodeJob(w.store[record.JobKey(0, id)])
	if err != nil {
		w.t.Fatal(err)
	}
	return rec.Why
}

// completed returns the number of jobs reported as completed.
func (w *world) completed() int {
	n := 0
	for _, reported := range w.reported {
		if reported == record.StateCompleted {
			n++
		}
	}
	return n
}

// checkInvariants fails the test if any invariant was violated.
func (w *world) checkInvariants() {
	w.t.Helper()
	violations := w.fleet.Checker().Violations()
	for _, s := range violations[:min(len(violations), 10)] {
		w.t.Error(s)
	}
}

// describe formats the engine's state of a job for the message of a failed test.
func (w *world) describe(id string) string {
	var out strings.Builder
	for _, g := range w.engine.jobs[id].groups {
		fmt.Fprintf(&out, "%v needs %d left %d waiting %d ready %t asking %d;", g.id, g.pendingDeps, g.undone, g.waiting, !g.dueSince.IsZero(), g.policy.openQueries)
		for i := range g.tasks {
			t := &g.tasks[i]
			fmt.Fprintf(&out, " %d:%d", i, t.state)
			if t.cur != nil {
				fmt.Fprintf(&out, "(%s run %d state %d unwanted %t)", t.cur.placedOn.info.ID, t.cur.No, t.cur.state, t.cur.stopRequested)
			}
		}
	}
	return out.String()
}
