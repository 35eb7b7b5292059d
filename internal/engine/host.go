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

// runState is the last known state of a run on a host.
type runState uint8

const (
	runOrdered runState = iota // start sent, no answer yet
	runDoubt                   // start sent, the call failed without an acknowledgement
	runRunning
	runStopping // the host has answered a stop
)

// String returns the name of the state in log lines and state dumps.
func (s runState) String() string {
	return [...]string{"ordered", "in doubt", "running", "stopping"}[s]
}

// run is one run recorded on a host. Its size counts against the host's until the host has listed its
// end or can not run it any more.
type run struct {
	host.Run
	group   *group   // nil for a run of no live job
	account *account // of the run's job; nil while not known
	on      *hostState
	size    spec.Resources
	state   runState
	// A run with unwanted set is to be stopped; stopSentAt is when the stop was last sent.
	unwanted     bool
	stopSent     time.Time
	stopping     bool // the answer to a stop call is to come
	resumed      bool // started from a checkpoint
	adopted      bool // started by a previous holder
	suspect      bool // hosts have crashed under its task
	begun        bool // the host has acknowledged the start or reported the run
	leftOver     bool // superseded: its task has another run, or had a later one
	presentAtEnd bool // on the host when the host ended; see evidence.go
	// deadline is the start's deadline by the host's clock.
	deadline host.Millis
	// sent is when the start was ordered, known when the host's answer or view last confirmed the state,
	// shown the production time of the last answer that confirms the run.
	sent, known, shown time.Time

	// percent is the completed share of the work at progressAt, when it last advanced; the first
	// reported values are kept to compute the rate.
	percent, firstPercent float64
	progressAt, firstAt   time.Time
	gauge                 float64
	checkpoint            string
	pace                  int  // percent of its full speed that the run was given
	pacing                bool // an order to change pace is in flight
}

// hostState is the state of one host and of the runs recorded on it.
type hostState struct {
	info             host.Info
	pool             *pool     // of its service
	life             host.Life // last reported, or taken from the roster; zero while not known
	incarnationSince time.Time // when it was first reported
	pastIncarnations []host.Life
	endedBy          time.Time // latest time at which this incarnation can have ended; zero while it lives
	drained          bool      // was draining before the next incarnation's entry replaced its entry
	// listed is true while the host has an entry in the platform's list.
	listed bool
	// claimed is true once the host has reported its runs under this holder's epoch.
	claimed bool
	// gone is true once the host has certainly terminated.
	gone bool

	// clock is the host's clock in its last answer, which arrived at clockAt.
	clock   host.Millis
	clockAt time.Time
	// leased is the latest deadline that this process has sent to the host.
	leased host.Millis

	handled int64 // number of the last run end processed
	seen    int64 // number of the last run end stored, up to which the host may forget them
	kept    bool  // its last view listed ends that it had been told to forget

	strange []int64 // numbers of orphan ends (of unknown jobs), which the host has to keep

	looking           bool      // a poll other than a probe is in flight
	probe             bool      // an extra poll beside the one in flight is wanted
	presencePollsFrom time.Time // start of a suspect run from which presence polls are timed, zero when there are none
	presencePolls     int       // presence polls made since
	lookAt            time.Time
	heard             time.Time   // time of the last answer of any kind
	viewed            time.Time   // earliest time at which the latest view can have been produced
	origin            clockOrigin // of its clock
	// rostered is true while the stored roster has the host as open; see roster.go.
	rostered bool
	// shut is true while the host is unresponsive and therefore to be closed in the roster.
	shut bool
	// inherited is true if the host was in the previous holder's roster, inheritedShut if it was closed
	// there; mayRun lists the runs that may be on it.
	inherited, inheritedShut    bool
	mayRun                      []mayRun
	tried                       []mayRun  // suspect runs that the previous holder last started there
	processEnded, endAttributed bool      // the process has certainly ended; that end was attributed to the runs present
	missedAt                    time.Time // when the first unanswered request since the last answer was sent
	connBrokenAt                time.Time // when a connection to it broke; zero once it has answered since
	silent                      time.Time // since when calls have gone unanswered; zero while they are answered
	refused                     time.Time // since when connections to it have failed as well

	runs map[host.Run]*run
	used spec.Resources

	fails      int // consecutive failures
	failedJob  string
	setAside   time.Time // excluded from placement until then
	exclusions int

	work paceOfWork // how fast tasks run here

	reserved []reservation // capacity reserved for gangs

	governor *pacing.Governor // nil until serving tasks and fillers have shared the host
	leavesAt time.Time        // earliest departure of a draining host
	closed   bool             // cordoned: to be emptied for the maintenance of its machine

	// room is how much of the host's size may be allocated, as last reported by the host; capacityReportedAt is
	// the time of that report.
	room   spec.Resources
	saidAt time.Time
	// fullSize is the last size refused for lack of capacity, taken as valid until refusedUntil;
	// overCapacitySince is since when the runs have exceeded the capacity.
	fullSize  spec.Resources
	fullUntil time.Time
	overSince time.Time

	startedAt  time.Time // when a run was last started there, and of which job
	startedJob *job
	suspects   int // runs there whose tasks have crashed hosts
	// Until quarantineUntil only starts of quarantinedJob are accepted there; see quarantine.go.
	quarantinedJob  *job
	quarantineUntil time.Time
	// accused are the runs lost when the host's lease was over, while it is not known whether the host
	// has crashed.
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

// position returns the index of a host in the sorted list, or where it would be inserted.
func (e *Engine) position(id host.ID) (int, bool) {
	return slices.BinarySearchFunc(e.sorted, id, func(h *hostState, id host.ID) int {
		return cmp.Compare(h.info.ID, id)
	})
}

// forgetHost removes a host from the state.
func (e *Engine) forgetHost(h *hostState) {
	delete(e.hosts, h.info.ID)
	if at, found := e.position(h.info.ID); found {
		e.sorted = slices.Delete(e.sorted, at, at+1)
	}
	h.unreserveHost()
	delete(e.unpaced, h)
	e.rosterBehind = true
}

// free returns the capacity that is not allocated.
func (h *hostState) free() spec.Resources { return h.room.Sub(h.used) }

// now estimates the present reading of the host's clock.
func (h *hostState) now(now time.Time) host.Millis {
	return h.clock + host.Millis(now.Sub(h.clockAt).Milliseconds())
}

// recordContact records an answer of the host.
func (h *hostState) heardFrom(now time.Time) {
	h.heard, h.silent, h.refused, h.missedAt, h.connBrokenAt = now, time.Time{}, time.Time{}, time.Time{}, time.Time{}
}

// knowsClock reports whether the host's clock was ever read. A reading may be zero, as a host's clock
// starts with its incarnation.
func (h *hostState) knowsClock() bool { return !h.clockAt.IsZero() }

// silentFor returns how long calls have gone unanswered.
func (h *hostState) silentFor(now time.Time) time.Duration {
	if h.silent.IsZero() {
		return 0
	}
	return now.Sub(h.silent)
}

// recordFailedCall records a call that got no answer.
func (h *hostState) unanswered(err error, now time.Time) {
	if h.silent.IsZero() {
		h.silent = now
	}
	if h.refused.IsZero() && errors.Is(err, host.ErrNotSent) {
		h.refused = now
	}
	if errors.Is(err, host.ErrBroken) && h.connBrokenAt.IsZero() {
		h.connBrokenAt = now
	}
	if errors.Is(err, host.ErrRefused) && !h.processEnded {
		h.recordPresence(now)
	}
}

// recorded reports whether a run, which may be nil, is recorded on its host.
func (r *run) booked() bool { return r != nil && r.on.runs[r.Run] == r }

// addRun records a run on the host.
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

// removeRun removes a run from its host.
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
	e.endQuarantine(r)
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

// requestStop schedules a run to be stopped.
func (e *Engine) unwant(r *run, why string) {
	if r.on.runs[r.Run] != r || r.unwanted {
		return
	}
	r.unwanted = true
	e.unwanted[r] = struct{}{}
	e.log(Event{What: "run stopped", Job: r.Task.Job, Step: r.Task.StepID.String(), Host: string(r.on.info.ID), Why: why, Age: e.now.Sub(r.sent)})
}

// SetHosts replaces the list of hosts by the platform's whole list.
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

// SetHost updates one host from its entry.
func (e *Engine) SetHost(info host.Info, now time.Time) { e.setHost(info, now) }

// DropHost handles the removal of a host's entry from the list.
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
	e.checkListedIncarnation(h, info, now)
	e.roomSaid(h, info, now)
	h.listed = true
	h.info, h.pool = info, e.poolOf(info.Service)
	h.pool.biggest = h.pool.biggest.Max(info.Size)
	if info.Draining {
		h.leavesAt = now.Add(info.Remaining)
	}
}

// unlist keeps a host without an entry for as long as anything may run on it; nothing new is started
// there.
func (e *Engine) unlist(h *hostState, now time.Time) {
	h.listed = false
	e.log(Event{What: "host not listed", Host: string(h.info.ID)})
	if len(h.runs) == 0 && h.claimed {
		e.attributeCrash(h, h.accused, now)
		e.forgetHost(h)
		return
	}
	if !h.looking {
		h.lookAt = now
	}
}

// placeable reports whether new work may be placed on the host. A host that merely lost a call stays
// eligible for a moment. One that could not even be reached is excluded at once, because its next call
// fails as well and urgent work would be tried there until it is late.
func (e *Engine) placeable(h *hostState, now time.Time) bool {
	return h.listed && h.claimed && h.rostered && !h.gone && !h.info.Draining && !h.closed && !now.Before(h.setAside) &&
		h.refused.IsZero() && (h.silent.IsZero() || now.Sub(h.silent) < e.cfg.Tuning.SilentAfter)
}

// deadline returns the reading of the host's clock in d from now.
func (h *hostState) deadline(now time.Time, d time.Duration) host.Millis {
	return h.now(now) + host.Millis(d.Milliseconds())
}

// leaseOver returns when everything that this process has ever leased on the host is over, by the
// slowest clock that the host may have.
func (e *Engine) leaseOver(h *hostState) time.Time {
	if h.leased <= h.clock {
		return h.clockAt
	}
	left := time.Duration(h.leased-h.clock) * time.Millisecond
	return h.clockAt.Add(time.Duration(float64(left) / (1 - e.cfg.Tuning.ClockDrift)))
}

// recordFailure counts a failure against a host. Consecutive failures of a single job count once, as
// they may be the job's own fault.
func (e *Engine) blame(h *hostState, job string, now time.Time) {
	if h.fails == 0 || h.failedJob != job {
		h.fails++
		h.failedJob = job
	}
	if h.fails < e.cfg.Tuning.SetAsideAfter {
		return
	}
	e.setAside(h, now, "consecutive failures")
}

// maxExclusionDoublings bounds the doubling of the time for which a host is excluded from placement.
const maxExclusionDoublings = 3

func (e *Engine) setAside(h *hostState, now time.Time, why string) {
	h.setAside = now.Add(e.cfg.Tuning.SetAsideFor << min(h.exclusions, maxExclusionDoublings))
	h.exclusions++
	h.fails = 0
	e.log(Event{What: "host set aside", Host: string(h.info.ID), Why: why})
}

// recordSuccess resets a host's failure counts after a completed task.
func (h *hostState) praise() { h.fails, h.exclusions, h.failedJob = 0, 0, "" }
