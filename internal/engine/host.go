package engine

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/pacing"
	"pulleyquay/internal/spec"
)

// runState is what is known of a run on a host.
type runState uint8

const (
	runOrdered runState = iota // the start was sent, no answer yet
	runDoubt                   // the start was sent and not answered
	runRunning
	runStopping // a stop was answered
)

// String names the state for the log.
func (s runState) String() string {
	return [...]string{"ordered", "in doubt", "running", "stopping"}[s]
}

// run is one entry in a host's books. It counts against the host's size until
// the host has listed its end or can not run it any more.
type run struct {
	host.Run
	group   *group   // nil for a run that belongs to no live job
	account *account // whose it is, as far as that is known
	on      *hostState
	size    spec.Resources
	state   runState
	// unwanted runs are to be stopped; stopSent is when that was last ordered.
	unwanted bool
	stopSent time.Time
	stopping bool // a stop is under way
	resumed  bool // it went on from a checkpoint
	adopted  bool // it was begun by a former holder
	suspect  bool // hosts have crashed under its task
	begun    bool // the host has answered its start, or shown it
	leftOver bool // its task has another run, or had a later one
	there    bool // it was there as its host ended; see evidence.go
	// deadline is the start's deadline by the host's clock.
	deadline host.Millis
	// sent is when the start was ordered, known since when the host answered it, shown when it
	// said that the run is there.
	sent, known, shown time.Time

	// percent is how much of its work was done at progressAt, when that last
	// moved; the first that was seen is kept to tell its rate.
	percent, firstPercent float64
	progressAt, firstAt   time.Time
	gauge                 float64
	checkpoint            string
	pace                  int  // percent of its speed that it was given
	pacing                bool // an order to change that is under way
}

// hostState is one host with its books.
type hostState struct {
	info      host.Info
	pool      *pool     // of its service
	life      host.Life // that it has shown, or the roster told; zero while none is known
	lifeSince time.Time // when it was first shown
	past      []host.Life
	endedBy   time.Time // when this life had ended, at the latest; zero while it goes on
	drained   bool      // it drained until an entry of the next life took its entry's place
	// listed is true while the host stands in the platform's list.
	listed bool
	// claimed is true once the host has shown what it runs under our epoch.
	claimed bool
	// gone hosts have ended for certain.
	gone bool

	// clock is the host's clock at its last answer, which came in at clockAt.
	clock   host.Millis
	clockAt time.Time
	// leased is the latest deadline that this process has sent to the host.
	leased host.Millis

	handled int64 // highest end that was handled
	seen    int64 // highest end that is stored, to be forgotten by the host
	kept    bool  // its last view listed ends that it was to forget

	strange []int64 // numbers of ends of unknown jobs, which the host has to keep

	looking    bool      // a look is under way
	probe      bool      // another look is wanted beside it
	provedFrom time.Time // when a suspect was started there, while it is asked for that; see doubt.go
	proofs     int       // how often it was asked so
	lookAt     time.Time
	heard      time.Time // last answer of any kind
	viewed     time.Time // when the latest view was drawn up, at the earliest
	zero       zeroPoint // of its clock
	// rostered hosts stand as open in the stored roster; see roster.go.
	rostered bool
	// shut hosts are to be closed there, as they are silent.
	shut bool
	// inherited hosts stood in the roster of the former holder; inheritedShut ones
	// were closed, and mayRun is what may run there.
	inherited, inheritedShut bool
	mayRun                   []mayRun
	tried                    []mayRun  // suspects that the former holder started there last
	ended, held              bool      // it has ended for certain; that is held against the runs that were there
	missedAt                 time.Time // when the first question was sent there that was not answered since it was heard
	broken                   time.Time // when a connection to it broke, unless it was heard since
	silent                   time.Time // since when calls have gone unanswered; zero while they are
	refused                  time.Time // since when, besides, it has not even been reached

	runs map[host.Run]*run
	used spec.Resources

	fails    int // failures in a row
	failJob  string
	setAside time.Time // not chosen before
	asides   int

	work paceOfWork // how fast tasks are done here

	reserved []reservation // places that are kept for gangs

	governor *pacing.Governor // nil until serving tasks and fillers have met here
	leavesAt time.Time        // when a draining host leaves, at the earliest
	closed   bool             // to be emptied for its machine's upkeep

	// room is what may be used of the host's size, as old as that is; saidAt is when it was
	// said.
	room   spec.Resources
	saidAt time.Time
	// fullSize is what it has refused for want of room, which is believed until fullUntil;
	// overSince is since when it has been over its room.
	fullSize  spec.Resources
	fullUntil time.Time
	overSince time.Time

	startedAt time.Time // when something was last started there, and of which job
	startedOf *job
	suspects  int // runs there under which hosts have crashed
	// trialOf is the job that is on trial there until trialUntil; see crash.go.
	trialOf    *job
	trialUntil time.Time
	// accused are the runs that were lost when its lease was over, while it is not known
	// whether it has crashed.
	accused []accusation
}

func (e *Engine) newHost(info host.Info) *hostState {
	h := &hostState{info: info, room: info.Size, pool: e.poolOf(info.Service), runs: map[host.Run]*run{}}
	e.hosts[info.ID] = h
	at, _ := e.position(info.ID)
	e.sorted = slices.Insert(e.sorted, at, h)
	e.rosterBehind = true
	return h
}

// position is where a host stands, or would stand, among the sorted ones.
func (e *Engine) position(id host.ID) (int, bool) {
	return slices.BinarySearchFunc(e.sorted, id, func(h *hostState, id host.ID) int {
		return cmp.Compare(h.info.ID, id)
	})
}

// forgetHost takes a host out of the books.
func (e *Engine) forgetHost(h *hostState) {
	delete(e.hosts, h.info.ID)
	if at, found := e.position(h.info.ID); found {
		e.sorted = slices.Delete(e.sorted, at, at+1)
	}
	h.unreserveHost()
	delete(e.unpaced, h)
	e.rosterBehind = true
}

// free is what is left of the host's room.
func (h *hostState) free() spec.Resources { return h.room.Sub(h.used) }

// now estimates the host's clock.
func (h *hostState) now(now time.Time) host.Millis {
	return h.clock + host.Millis(now.Sub(h.clockAt).Milliseconds())
}

// heardFrom notes that the host has answered.
func (h *hostState) heardFrom(now time.Time) {
	h.heard, h.silent, h.refused, h.missedAt, h.broken = now, time.Time{}, time.Time{}, time.Time{}, time.Time{}
}

// knowsClock reports whether the host's clock was ever read. A reading may well be zero, as
// clocks begin with their hosts' lives.
func (h *hostState) knowsClock() bool { return !h.clockAt.IsZero() }

// silentFor is for how long calls have gone unanswered.
func (h *hostState) silentFor(now time.Time) time.Duration {
	if h.silent.IsZero() {
		return 0
	}
	return now.Sub(h.silent)
}

// unanswered notes a call that got no answer.
func (h *hostState) unanswered(err error, now time.Time) {
	if h.silent.IsZero() {
		h.silent = now
	}
	if h.refused.IsZero() && errors.Is(err, host.ErrNotSent) {
		h.refused = now
	}
	if errors.Is(err, host.ErrBroken) && h.broken.IsZero() {
		h.broken = now
	}
	if errors.Is(err, host.ErrRefused) && !h.ended {
		h.witness(now)
	}
}

// booked reports whether a run, or nil, is in its host's books.
func (r *run) booked() bool { return r != nil && r.on.runs[r.Run] == r }

// add books a run.
func (h *hostState) add(r *run) {
	r.on = h
	h.runs[r.Run] = r
	h.used = h.used.Add(r.size)
	r.account.charge(r)
	if r.suspect {
		h.suspects++
	}
	if r.group != nil {
		r.group.perHost[h]++
	}
	if r.leftOver {
		r.group.countLeftOver(r, 1)
	}
}

// remove takes a run out of its host's books.
func (e *Engine) remove(r *run) {
	h := r.on
	if h.runs[r.Run] != r {
		return
	}
	delete(h.runs, r.Run)
	delete(e.unwanted, r)
	h.used = h.used.Sub(r.size)
	r.account.discharge(r)
	if r.state != runOrdered {
		h.fullUntil = time.Time{}
	}
	e.endTrial(r)
	e.room++
	g := r.group
	if g == nil {
		e.countStranger(r, -1)
		return
	}
	if g.perHost[h]--; g.perHost[h] <= 0 {
		delete(g.perHost, h)
	}
	if r.leftOver {
		g.countLeftOver(r, -1)
	}
}

// unwant has a run stopped.
func (e *Engine) unwant(r *run, why string) {
	if r.on.runs[r.Run] != r || r.unwanted {
		return
	}
	r.unwanted = true
	e.unwanted[r] = struct{}{}
	e.log(Event{What: "run stopped", Job: r.Task.Job, Step: r.Task.StepID.String(), Host: string(r.on.info.ID), Why: why, Age: e.now.Sub(r.sent)})
}

// SetHosts takes in the platform's list of hosts, whole.
func (e *Engine) SetHosts(list []host.Info, now time.Time) {
	clear(e.foreign)
	listed := make(map[host.ID]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		e.setHost(info, now)
	}
	for _, h := range slices.Clone(e.sorted) {
		if h.listed && !listed[h.info.ID] {
			e.unlist(h, now)
		}
	}
}

// SetHost takes in one host's entry.
func (e *Engine) SetHost(info host.Info, now time.Time) { e.setHost(info, now) }

// DropHost notes that a host's entry has gone from the list.
func (e *Engine) DropHost(id host.ID, now time.Time) {
	delete(e.foreign, id)
	if h := e.hosts[id]; h != nil && h.listed {
		e.unlist(h, now)
	}
}

func (e *Engine) setHost(info host.Info, now time.Time) {
	h := e.hosts[info.ID]
	if !e.named(info.Service) {
		e.foreign[info.ID] = info
		if h != nil && h.listed {
			e.unlist(h, now)
		}
		return
	}
	delete(e.foreign, info.ID)
	if h == nil {
		h = e.newHost(info)
		h.lookAt = now
		e.log(Event{What: "host listed", Host: string(info.ID), Why: info.Zone + " " + strings.Join(info.Labels, " ")})
	}
	if info.Draining && !h.info.Draining {
		e.log(Event{What: "host draining", Host: string(info.ID)})
		h.unreserveHost()
	}
	if !h.listed && h.claimed {
		h.lookAt = now
	}
	if !h.listed || h.info.Draining != info.Draining || h.info.Size != info.Size {
		e.room++
		h.fullUntil = time.Time{}
	}
	e.lifeListed(h, info, now)
	e.roomSaid(h, info, now)
	h.listed = true
	h.info, h.pool = info, e.poolOf(info.Service)
	h.pool.biggest = h.pool.biggest.Max(info.Size)
	if info.Draining {
		h.leavesAt = now.Add(info.Remaining)
	}
}

// unlist keeps a host that has gone from the list for as long as anything may
// run on it; nothing new goes there.
func (e *Engine) unlist(h *hostState, now time.Time) {
	h.listed = false
	e.log(Event{What: "host not listed", Host: string(h.info.ID)})
	if len(h.runs) == 0 && h.claimed {
		e.accuse(h, h.accused, now)
		e.forgetHost(h)
		return
	}
	if !h.looking {
		h.lookAt = now
	}
}

// placeable reports whether new work may go to the host. One that merely lost a call stays
// in the choice for a moment; one that was not even reached leaves it at once, as its next
// call is turned away as well, and urgent work would be tried there until it is late.
func (e *Engine) placeable(h *hostState, now time.Time) bool {
	return h.listed && h.claimed && h.rostered && !h.gone && !h.info.Draining && !h.closed && !now.Before(h.setAside) &&
		h.refused.IsZero() && (h.silent.IsZero() || now.Sub(h.silent) < e.cfg.Tuning.SilentAfter)
}

// deadline is the host's clock in d.
func (h *hostState) deadline(now time.Time, d time.Duration) host.Millis {
	return h.now(now) + host.Millis(d.Milliseconds())
}

// leaseOver is when everything that this process has ever leased on the host is
// over, by the slowest clock that the host may have.
func (e *Engine) leaseOver(h *hostState) time.Time {
	if h.leased <= h.clock {
		return h.clockAt
	}
	left := time.Duration(h.leased-h.clock) * time.Millisecond
	return h.clockAt.Add(time.Duration(float64(left) / (1 - e.cfg.Tuning.ClockDrift)))
}

// blame counts a failure against a host. Failures of one job alone may be the
// job's own fault.
func (e *Engine) blame(h *hostState, job string, now time.Time) {
	if h.fails == 0 || h.failJob != job {
		h.fails++
		h.failJob = job
	}
	if h.fails < e.cfg.Tuning.SetAsideAfter {
		return
	}
	e.setAside(h, now, "failures in a row")
}

// maxAsides bounds the doubling of the time for which a host is set aside.
const maxAsides = 3

func (e *Engine) setAside(h *hostState, now time.Time, why string) {
	h.setAside = now.Add(e.cfg.Tuning.SetAsideFor << min(h.asides, maxAsides))
	h.asides++
	h.fails = 0
	e.log(Event{What: "host set aside", Host: string(h.info.ID), Why: why})
}

// praise notes that a host has done a task.
func (h *hostState) praise() { h.fails, h.asides, h.failJob = 0, 0, "" }
