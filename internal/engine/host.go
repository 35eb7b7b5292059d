package engine

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/hostspeed"
	"pulleyquay/internal/pacing"
	"pulleyquay/internal/spec"
)

// runState is the last known state of a run on a host.
type runState uint8

const (
	runOrdered        runState = iota // start sent, no answer yet
	runUnacknowledged                 // start sent, the call failed without an acknowledgement
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
	group    *group   // nil for a run of no live job
	account  *account // of the run's job; nil while not known
	placedOn *hostState
	size     spec.Resources
	state    runState
	// stopRequested is true if the run is to be stopped; stopSentAt is when the stop was last sent.
	stopRequested bool
	stopSentAt    time.Time
	stopInFlight  bool // the answer to a stop call is to come
	resumed       bool // started from a checkpoint
	adopted       bool // started by a previous holder
	suspect       bool // hosts have crashed under its task
	acknowledged  bool // the host has acknowledged the start or reported the run
	superseded    bool // its task has another run, or had a later one
	presentAtEnd  bool // on the host when the host ended; see evidence.go
	possiblyEnded bool // its end may be among the records that the host has not listed yet
	copyOf        int  // number of the run of which it is a copy; zero if it is none
	lostRace      bool // another run has completed its task
	// deadline is the start's deadline by the host's clock.
	deadline host.Millis
	// generation is that of the start order.
	generation uint64
	// orderedAt is when the start was ordered, confirmedAt when the host's answer or view last confirmed the
	// state, reportedAt the production time of the last answer that confirms the run.
	orderedAt, confirmedAt, reportedAt time.Time

	// percent is the completed share of the work at progressAt, when it last advanced; the first
	// reported values are kept to compute the rate.
	percent, firstPercent float64
	progressAt, firstAt   time.Time
	gauge                 float64
	lateness              runLateness
	checkpoint            string
	throttle              int  // percent of its full speed at which the run may run
	throttleInFlight      bool // an order to change throttle is in flight
}

// hostState is the state of one host and of the runs recorded on it.
type hostState struct {
	entry            hostEntry // in the index of hosts
	info             host.Info
	servicePool      *servicePool     // of its service
	incarnation      host.Incarnation // last reported, or taken from the roster; zero while not known
	incarnationSince time.Time        // when it was first reported
	pastIncarnations []host.Incarnation
	// generation is that of the calls to the host, claimedGeneration that by which this incarnation was claimed;
	// see fencing.go.
	generation, claimedGeneration uint64
	endedBy                       time.Time // latest time at which this incarnation can have ended; zero while it has not ended
	drained                       bool      // was draining before the next incarnation's entry replaced its entry
	// listed is true while the host has an entry in the platform's list.
	listed bool
	// claimed is true once the host has reported its runs under this holder's epoch.
	claimed bool
	// reported is true once the host has reported all end records that it keeps as well, or the leases that this
	// holder granted there have expired: a run of an earlier holder that was not reported is then not there.
	reported bool
	// endsTruncated is true while the host's latest view has not listed all end records that the host keeps.
	endsTruncated bool
	// terminated is true once the host has certainly terminated.
	terminated bool

	// clock is the host's clock in its last answer, which arrived at clockAt.
	clock   host.Millis
	clockAt time.Time
	// leased bounds the leases on the host, as far as this process has granted them.
	leased leaseBound
	// unanswered are the calls to this incarnation without an answer, formerUnanswered those to its former ones.
	unanswered, formerUnanswered unansweredCalls

	endsProcessed   int64 // number of the last run end processed
	endsAcked       int64 // number of the last run end stored, up to which the host may delete them
	acksDelivered   int64 // number of the last run end that the host has certainly deleted
	ackedEndsListed bool  // its last view listed ends that had been acknowledged to it

	orphanEnds []int64 // numbers of orphan ends (of unknown jobs), which the host has to keep

	pollInFlight      bool      // a poll other than a probe is in flight
	probe             bool      // a poll in addition to the one in flight is requested
	presencePollsFrom time.Time // start of a suspect run from which presence polls are timed, zero when there are none
	presencePolls     int       // presence polls made since
	nextPollAt        time.Time
	lastContact       time.Time   // time of the last answer of any kind
	viewProducedAt    time.Time   // earliest time at which the latest view can have been produced
	origin            clockOrigin // of its clock
	// openInRoster is true while the stored roster has the host as open; see roster.go.
	openInRoster bool
	// closeInRoster is true while the host is unresponsive or draining and therefore to be closed in the roster.
	closeInRoster bool
	// inherited is true if the host was in the previous holder's roster, inheritedClosed if it was closed
	// there; possibleRuns lists the runs that may be on it.
	inherited, inheritedClosed  bool
	expiredUnreported           bool // it had not reported when the leases of earlier holders were over
	possibleRuns                []possibleRun
	lastAttempts                []possibleRun // suspect runs that the previous holder last started there
	processEnded, endAttributed bool          // the process has certainly ended; that end was attributed to the runs present
	firstMissedAt               time.Time     // when the first unanswered request since the last answer was sent
	connBrokenAt                time.Time     // when a connection to it broke; zero once it has answered since
	unresponsiveSince           time.Time     // since when calls have gone unanswered; zero while they are answered
	unreachableSince            time.Time     // since when connections to it have failed as well

	runs map[host.Run]*run
	used spec.Resources

	failures      int // consecutive failures
	failedJob     string
	excludedUntil time.Time // excluded from placement until then
	exclusions    int

	speed        hostspeed.Estimate // how fast tasks run here
	unansweredAt time.Time          // when a call last got no answer

	reserved []reservation // capacity reserved for gangs

	throttle  *pacing.Throttle // nil until serving tasks and backfill tasks have shared the host
	departsAt time.Time        // earliest departure of a draining host
	cordoned  bool             // cordoned: to be emptied for the maintenance of its machine
	evacuated bool             // its availability zone is evacuated
	parked    bool             // outside the working set of its service; see working_set.go
	// answerAwaited is true from when the host is unparked until it answers.
	answerAwaited bool

	// capacity is how much of the host's size may be allocated, as last reported by the host;
	// capacityReportedAt is the time of that report.
	capacity           spec.Resources
	capacityReportedAt time.Time
	// refusedSize is the last size refused for lack of capacity, taken as valid until refusedUntil;
	// overCapacitySince is since when the runs have exceeded the capacity.
	refusedSize       spec.Resources
	refusedUntil      time.Time
	overCapacitySince time.Time

	startedAt   time.Time // when a run was last started there; startedJob is its job
	startedJob  *job
	suspectRuns int // runs there under whose tasks hosts have crashed
	// Until quarantineUntil only starts of quarantinedJob are accepted there; see quarantine.go.
	quarantinedJob     *job
	quarantineUntil    time.Time
	quarantineProbedAt time.Time // when it was last asked whether it has outlived the quarantine
	// pendingAttributions are the runs lost when the host's lease was over, while it is not known whether the
	// host has crashed.
	pendingAttributions []attribution
	late                lateEnds
	// leasesOverAt bounds the leases of earlier holders, by the roster; zero if it states no bound.
	leasesOverAt time.Time
}

// newHost adds a host. A parked one is not in the roster.
func (e *Engine) newHost(info host.Info, parked bool) *hostState {
	generation := e.generations[info.ID]
	h := &hostState{
		info: info, capacity: info.Size, servicePool: e.poolOf(info.Service), runs: map[host.Run]*run{},
		generation: generation, claimedGeneration: generation,
	}
	e.index.add(h)
	h.parked = parked
	h.evacuated = e.evacuations.Contains(info.Zone)
	e.hosts[info.ID] = h
	at, _ := e.position(info.ID)
	e.hostsByID = slices.Insert(e.hostsByID, at, h)
	e.rosterOutdated = e.rosterOutdated || !parked
	return h
}

// position returns the index of a host in the sorted list, or where it would be inserted.
func (e *Engine) position(id host.ID) (int, bool) {
	return slices.BinarySearchFunc(e.hostsByID, id, func(h *hostState, id host.ID) int {
		return cmp.Compare(h.info.ID, id)
	})
}

// forgetHost removes a host from the state.
func (e *Engine) forgetHost(h *hostState) {
	e.log(Event{What: "host forgotten", Host: string(h.info.ID), Why: fmt.Sprintf("ends processed up to %d, acknowledged up to %d, %d held back; batch %d taken, %d stored",
		h.endsProcessed, h.endsAcked, len(h.orphanEnds), e.commits, e.durable)})
	e.rememberGeneration(h)
	delete(e.hosts, h.info.ID)
	if at, found := e.position(h.info.ID); found {
		e.hostsByID = slices.Delete(e.hostsByID, at, at+1)
	}
	h.releaseReservations()
	h.entry.forgotten = true
	h.touch()
	delete(e.throttlesOutdated, h)
	e.rosterOutdated = e.rosterOutdated || !h.parked
}

// free returns the capacity that is not allocated.
func (h *hostState) free() spec.Resources { return h.capacity.Sub(h.used) }

// estimateClock estimates the present reading of the host's clock.
func (h *hostState) estimateClock(now time.Time) host.Millis {
	return h.clock + host.Millis(now.Sub(h.clockAt).Milliseconds())
}

// recordContact records an answer of the host.
func (h *hostState) recordContact(now time.Time) {
	h.lastContact, h.unresponsiveSince, h.unreachableSince, h.firstMissedAt, h.connBrokenAt = now, time.Time{}, time.Time{}, time.Time{}, time.Time{}
	h.late.silentAt, h.answerAwaited = time.Time{}, false
	h.touch()
}

// knowsClock reports whether the host's clock was ever read. A reading may be zero, as a host's clock
// starts with its incarnation.
func (h *hostState) knowsClock() bool { return !h.clockAt.IsZero() }

// unresponsiveFor returns how long calls have gone unanswered.
func (h *hostState) unresponsiveFor(now time.Time) time.Duration {
	if h.unresponsiveSince.IsZero() {
		return 0
	}
	return now.Sub(h.unresponsiveSince)
}

// recordFailedCall records a call that got no answer.
func (h *hostState) recordFailedCall(err error, now time.Time) {
	if !errors.Is(err, host.ErrNotSent) {
		h.unanswered.record(now)
	}
	if !h.countsAgainst(err, now) {
		return
	}
	h.unansweredAt = now
	h.touch()
	if h.unresponsiveSince.IsZero() {
		h.unresponsiveSince = now
		h.probeSilent(now)
	}
	if h.unreachableSince.IsZero() && errors.Is(err, host.ErrNotSent) {
		h.unreachableSince = now
	}
	if errors.Is(err, host.ErrConnectionBroken) && h.connBrokenAt.IsZero() {
		h.connBrokenAt = now
	}
	if errors.Is(err, host.ErrConnectionRefused) && !h.processEnded {
		h.recordPresence(now)
	}
}

// recorded reports whether a run, which may be nil, is recorded on its host.
func (r *run) recorded() bool { return r != nil && r.placedOn.runs[r.Run] == r }

// addRun records a run on the host.
func (h *hostState) addRun(r *run) {
	r.placedOn = h
	h.runs[r.Run] = r
	h.used = h.used.Add(r.size)
	h.touch()
	r.account.charge(r)
	r.countUsage(1)
	if r.suspect {
		h.suspectRuns++
	}
	if r.group != nil {
		r.group.perHost[h]++
	}
	if r.superseded {
		r.group.countSuperseded(r, 1)
	}
}

// removeRun removes a run from its host.
func (e *Engine) removeRun(r *run) {
	h := r.placedOn
	if h.runs[r.Run] != r {
		return
	}
	delete(h.runs, r.Run)
	delete(e.stopRequested, r)
	h.used = h.used.Sub(r.size)
	h.touch()
	r.account.discharge(r)
	r.countUsage(-1)
	if r.state != runOrdered {
		h.refusedUntil = time.Time{}
	}
	e.endQuarantine(r)
	e.capacityChanges++
	if h.closeInRoster {
		e.rosterOutdated = true // the run is listed there
	}
	g := r.group
	if g == nil {
		e.countOrphan(r, -1)
		return
	}
	if g.perHost[h]--; g.perHost[h] <= 0 {
		delete(g.perHost, h)
	}
	if r.superseded {
		g.countSuperseded(r, -1)
	}
}

// requestStop schedules a run to be stopped.
func (e *Engine) requestStop(r *run, why string) {
	if r.placedOn.runs[r.Run] != r || r.stopRequested {
		return
	}
	r.stopRequested = true
	e.stopRequested[r] = struct{}{}
	e.log(Event{What: "run stopped", Job: r.Task.Job, Step: r.Task.StepID.String(), Host: string(r.placedOn.info.ID), Why: why, Age: e.now.Sub(r.orderedAt)})
}

// placeable reports whether new work may be placed on the host. A host that merely lost a call stays
// eligible for a moment. One that could not even be reached is excluded at once, because its next call
// fails as well and urgent work would be tried there until it is late.
func (e *Engine) placeable(h *hostState, now time.Time) bool {
	placeable, _ := e.placeability(h, now)
	return placeable
}

// deadline returns the reading of the host's clock in d from now.
func (h *hostState) deadline(now time.Time, d time.Duration) host.Millis {
	return h.estimateClock(now) + host.Millis(d.Milliseconds())
}

// leasesExpireAt returns when everything that this process has ever leased on the host has expired, if
// the host's clock runs as slowly as the drift allows.
func (e *Engine) leasesExpireAt(h *hostState) time.Time {
	if h.leased.until <= h.clock {
		return h.clockAt
	}
	left := time.Duration(h.leased.until-h.clock) * time.Millisecond
	return h.clockAt.Add(time.Duration(float64(left) / (1 - e.cfg.Tuning.ClockDrift)))
}

// recordFailure counts a failure against a host. Consecutive failures of a single job count once, as
// they may be the job's own fault.
func (e *Engine) recordFailure(h *hostState, job string, now time.Time) {
	if h.failures == 0 || h.failedJob != job {
		h.failures++
		h.failedJob = job
	}
	if h.failures < e.cfg.Tuning.ExcludeAfter {
		return
	}
	e.exclude(h, now, "consecutive failures")
}

// maxExclusionDoublings bounds the doubling of the time for which a host is excluded from placement.
const maxExclusionDoublings = 3

// exclude excludes a host from placement. What happens while it is excluded has the same cause as the
// exclusion: the host takes no new work meanwhile, and one fault shows on many of its runs.
func (e *Engine) exclude(h *hostState, now time.Time, why string) {
	h.failures = 0
	if now.Before(h.excludedUntil) {
		return
	}
	h.excludedUntil = now.Add(e.cfg.Tuning.ExcludeFor << min(h.exclusions, maxExclusionDoublings))
	h.exclusions++
	h.touch()
	e.log(Event{What: "host set aside", Host: string(h.info.ID), Why: why})
}

// recordSuccess resets a host's failure counts after a completed task.
func (h *hostState) recordSuccess() { h.failures, h.exclusions, h.failedJob = 0, 0, "" }
