// Package crashloop decides when a task is no longer started because the hosts that start it
// crash: which crashes are attributed to a task, and how many of them are enough.
//
// A crash ends everything on its host, and most of the tasks there did not cause it. A single
// crash is therefore weak evidence: the task is started again, apart from other tasks that ran
// on that host. A second crash is stronger evidence if the task had just been started and no
// task of another job was started after it. Otherwise the task is started once more, on a host
// where nothing new is started beside it. Crashes at a time when hosts often fail for other
// causes are recorded but count for little. The failure of a host together with its whole rack is
// not attributed to any task.
//
// The decision to fail a task is final, so it requires confirmed evidence. A crash is proven when
// the run is known to have been on the host at the end of the host's incarnation. If the run
// was observed on the host but may have ended unreported before the crash, the crash counts
// only within a long series of crashes that together are very improbable. Crashes under runs
// that were never observed on the host only keep the task apart from others, and no number of
// them fails the task.
//
// The package does no I/O. The component that places tasks stores the histories.
package crashloop

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits of crashes per task. Each crash makes a host unavailable for seconds and ends all its
// work. The lowest limit is the users' requirement: a task may be failed after its second
// crash.
const (
	// minProvenWithRecent proven crashes are enough to fail a task if one of them came right
	// after the start of the task, with no task of another job started on the host since.
	minProvenWithRecent = 2
	// minProven proven crashes are enough in any case, unless they had another likely cause.
	minProven = 3
	// maxChance is the highest probability that all these hosts failed spontaneously at which the
	// crashes are attributed to the task.
	maxChance = 1e-5
	// minTotal crashes are enough even if each of them may have another cause, provided that
	// enough of them are proven with a joint probability of at most maxChanceProven, or that
	// all of them were observed on different machines with a joint probability of at most
	// maxChanceObserved. This bounds the cost of a wrong guess at a cause. The users' limit is five
	// starts in total: three crashes and two more.
	minTotal          = 5
	maxChanceProven   = 1e-3
	maxChanceObserved = 1e-6
	// quarantineAfter crashes put a task into quarantine: nothing new is started beside it.
	quarantineAfter = 2
)

// HistoryResetAfter is how long a task of a service has to run without a crash for its earlier
// crashes to be dropped, so that a service is failed for consecutive crashes and not for those
// of a whole year.
const HistoryResetAfter = 5 * time.Minute

// Crash is the crash of one host while a task may have been running on it.
type Crash struct {
	// Run is the number of the run that was lost. Several reports of one run count once.
	Run int `cbor:"1,keyasint"`
	// Host is the name of the incarnation that ended.
	Host string `cbor:"2,keyasint"`
	// JustStarted is true if the run had just started and no run of another job started on the host
	// after it.
	JustStarted bool `cbor:"3,keyasint,omitempty"`
	// Excused is true if the crash has a more likely cause than the task.
	Excused bool `cbor:"4,keyasint,omitempty"`
	// Chance is the probability that the host failed spontaneously during the run time.
	Chance float32 `cbor:"5,keyasint,omitempty"`
	// Unconfirmed is true if the run was never observed on the host: its start was not acknowledged.
	Unconfirmed bool `cbor:"6,keyasint,omitempty"`
	// RunMillis is the run time on the host in milliseconds, or zero if unknown.
	RunMillis int64 `cbor:"8,keyasint,omitempty"`
	// LegacyUnproven is read by versions that do not know Proven; without it they take every run as
	// proven.
	LegacyUnproven bool `cbor:"9,keyasint,omitempty"`
	// Machine is the address of the host, which stays the same across its incarnations.
	Machine string `cbor:"10,keyasint,omitempty"`
	// Proven is true if the run is known to have been on the host when the incarnation ended.
	// Crashes stored before this field existed are unproven.
	Proven bool `cbor:"11,keyasint,omitempty"`
}

// Observed reports whether the run was observed on the host.
func (c Crash) Observed() bool { return !c.Unconfirmed }

func (c Crash) isProven() bool { return c.Proven }

// maxCrashes bounds the crashes kept per task. Without this bound, the record of a job could grow
// until the job ends.
const maxCrashes = 16

// Append returns the history with c appended. A history that gets too long loses the oldest of
// the crashes with the weakest evidence.
func (h History) Append(c Crash) History {
	out := append(slices.Clone(h), c)
	if len(out) <= maxCrashes {
		return out
	}
	least := 0
	for i := range out[:len(out)-1] {
		if out[i].evidenceRank() < out[least].evidenceRank() {
			least = i
		}
	}
	return slices.Delete(out, least, least+1)
}

func (c Crash) evidenceRank() int {
	switch {
	case c.Proven:
		return 2
	case c.Observed():
		return 1
	}
	return 0
}

// History is the crashes attributed to one task, oldest first.
type History []Crash

// HasRun reports whether the loss of a run is already in the history.
func (h History) HasRun(run int) bool {
	return slices.ContainsFunc(h, func(c Crash) bool { return c.Run == run })
}

// HasMachine reports whether the history contains a crash of a host at the given address, that is, a
// crash while a run of the task was, or may have been, on that host. A further loss on another
// machine is stronger evidence.
func (h History) HasMachine(machine string) bool {
	return slices.ContainsFunc(h, func(c Crash) bool { return c.Machine == machine })
}

// hasHost reports whether the history contains the crash of a host.
func (h History) hasHost(host string) bool {
	return slices.ContainsFunc(h, func(c Crash) bool { return c.Host == host })
}

// WithoutHost returns the history without the crashes of a host that turned out to be alive.
func (h History) WithoutHost(host string) History {
	return slices.DeleteFunc(slices.Clone(h), func(c Crash) bool { return c.Host == host })
}

// WithoutUnproven returns the history without the unproven crashes of a host.
func (h History) WithoutUnproven(host string) History {
	return slices.DeleteFunc(slices.Clone(h), func(c Crash) bool { return c.Host == host && !c.Proven })
}

// Suspicion is the level of suspicion that a history puts on its task.
type Suspicion uint8

// The levels of suspicion, in ascending order.
const (
	Unsuspected Suspicion = iota
	// Suspect tasks prefer hosts without other suspect tasks, but may share a host.
	Suspect
	// Quarantined tasks are in quarantine: they start only where nothing new is started beside
	// them.
	Quarantined
	// Failed tasks are not started again.
	Failed
)

// Reassess returns the history assessed again at a rate of spontaneous failures per host and
// second. A crash keeps its previous probability if that is higher. When many hosts fail for one
// cause, the first failure is assessed before the others are known.
func (h History) Reassess(rate float64) History {
	out := slices.Clone(h)
	for i := range out {
		c := &out[i]
		chance := spontaneousFailureChance(time.Duration(c.RunMillis)*time.Millisecond, c.RunMillis == 0, rate)
		c.Chance = max(c.Chance, float32(chance))
		c.Excused = c.Excused || chance >= minExcusedChance
	}
	return out
}

// ExcuseHost returns the history with the unproven crashes of a host attributed to a cause that the
// host shared with its rack, such as power or a switch. A proven crash has no such cause: its
// machine had power and network, since it refused connections.
func (h History) ExcuseHost(host string) History {
	out := slices.Clone(h)
	for i := range out {
		out[i].Excused = out[i].Excused || out[i].Host == host && !out[i].Proven
	}
	return out
}

// Suspicion returns the level of suspicion for the history.
func (h History) Suspicion() Suspicion {
	if h.isConclusive() {
		return Failed
	}
	counted := 0
	for _, c := range h {
		if !c.Excused {
			counted++
		}
	}
	switch {
	case counted >= quarantineAfter:
		return Quarantined
	case counted > 0:
		return Suspect
	}
	return Unsuspected
}

// isConclusive reports whether the crashes are enough to fail the task.
func (h History) isConclusive() bool {
	proven, observed := tallyOf(h, Crash.isProven), tallyOf(h, Crash.Observed)
	if proven.chance <= maxChance && (proven.counted >= minProven || proven.counted >= minProvenWithRecent && proven.recent > 0) {
		return true
	}
	enoughProven := proven.total >= minProven && proven.chanceTotal <= maxChanceProven
	enoughObserved := len(observed.machines) >= minTotal && observed.chanceTotal <= maxChanceObserved
	return len(h) >= minTotal && (enoughProven || enoughObserved)
}

// tally summarises the crashes of one kind. Excused crashes, which have a more likely cause than
// the task, are included only in total, chanceTotal and machines.
type tally struct {
	total, counted, recent int
	chance, chanceTotal    float64
	machines               map[string]bool
}

func tallyOf(h History, include func(Crash) bool) tally {
	t := tally{chance: 1, chanceTotal: 1, machines: map[string]bool{}}
	for _, c := range h {
		if !include(c) {
			continue
		}
		t.total++
		t.machines[c.Machine] = true
		t.chanceTotal *= min(float64(c.Chance), 1)
		if c.Excused {
			continue
		}
		t.counted++
		t.chance *= float64(c.Chance)
		if c.JustStarted {
			t.recent++
		}
	}
	return t
}

// String lists the hosts and runs for operators, newest first, with how each run was observed.
func (h History) String() string {
	parts := make([]string, 0, len(h))
	for _, c := range slices.Backward(h) {
		parts = append(parts, c.String())
	}
	return fmt.Sprintf("%d hosts crashed under it: %s", len(h), strings.Join(parts, ", "))
}

// The ways in which a run that was lost with its host was observed there.
const (
	ObservedNever  = "not seen there"
	ObservedBefore = "seen there, maybe not at its end"
	ObservedAtEnd  = "there at its end"
)

// Observation returns how the run was observed on the host.
func (c Crash) Observation() string {
	switch {
	case c.Unconfirmed:
		return ObservedNever
	case !c.Proven:
		return ObservedBefore
	}
	return ObservedAtEnd
}

// String describes the host and the run, and how the run was observed, for operators.
func (c Crash) String() string {
	notes := []string{c.Observation()}
	if c.RunMillis > 0 && !c.Unconfirmed {
		notes = append(notes, fmt.Sprintf("after %d ms", c.RunMillis))
	}
	if c.JustStarted {
		notes = append(notes, "just started")
	}
	if c.Excused {
		notes = append(notes, "excused")
	}
	return fmt.Sprintf("%s under run %d (%s)", c.Host, c.Run, strings.Join(notes, ", "))
}

// Evidence describes a run that was lost with its host.
type Evidence struct {
	Run int
	// Host is the name of the incarnation that ended, Machine its address.
	Host, Machine string
	// RunTime is how long the run had been on the host when the host was last known to be alive.
	// Unknown is true if another process started the run.
	RunTime        time.Duration
	RunTimeUnknown bool
	// Unconfirmed is true if the run was never observed on the host, Proven if it is known to have
	// been there when the incarnation ended.
	Unconfirmed, Proven bool
	// LastStarted is true if no run of another job was started on the host at the same time or
	// later.
	LastStarted bool
	// WithRack is true if the host failed together with its rack, presumably for one cause; see
	// ExcuseHost.
	WithRack bool
}

func (e Evidence) runMillis() int64 {
	if e.RunTimeUnknown {
		return 0
	}
	return max(e.RunTime.Milliseconds(), 1)
}

// Times and probabilities for the assessment of one crash.
const (
	// maxRecentRunTime is the run time up to which a crash is evidence against a task by
	// itself. Tasks that crash their hosts do so at once, but a poll may detect the end of a
	// host late.
	maxRecentRunTime = time.Second
	// minExcusedChance is the probability of a spontaneous host failure during the run time
	// from which on a crash is excused.
	minExcusedChance = 0.05
	// minRunTime is the lower bound of the run time in the calculation, since the moment at
	// which a host ends is not known more precisely.
	minRunTime = 20 * time.Millisecond
)

// Assess assesses the evidence. The rate is that of spontaneous failures per host and second.
func Assess(e Evidence, rate float64) Crash {
	chance := spontaneousFailureChance(e.RunTime, e.RunTimeUnknown, rate)
	return Crash{
		Run: e.Run, Host: e.Host, Machine: e.Machine, Chance: float32(chance), Unconfirmed: e.Unconfirmed, Proven: e.Proven, LegacyUnproven: !e.Proven, RunMillis: e.runMillis(),
		JustStarted: e.LastStarted && !e.RunTimeUnknown && !e.Unconfirmed && e.RunTime <= maxRecentRunTime,
		Excused:     e.WithRack && !e.Proven || chance >= minExcusedChance,
	}
}

// AssessBeside assesses the evidence with the rate of spontaneous failures beside the step, which leaves out the
// failures that the step may have caused. A run that may have ended before its host keeps the probability by the
// rate of all failures, or certainty if its rack has failed: such a crash makes its task suspect, so that the next
// one can be proven, and adds little or nothing to the evidence on which the task is failed.
func AssessBeside(e Evidence, rate, beside float64) Crash {
	c := Assess(e, beside)
	switch {
	case e.Proven:
	case e.WithRack:
		c.Chance = 1
	default:
		c.Chance = max(c.Chance, Assess(e, rate).Chance)
	}
	return c
}

// IsLikely reports whether a crash is likely enough to be spontaneous, at a rate of spontaneous failures per host
// and second, that it is excused for that alone.
func IsLikely(e Evidence, rate float64) bool {
	return spontaneousFailureChance(e.RunTime, e.RunTimeUnknown, rate) >= minExcusedChance
}

// spontaneousFailureChance returns the probability that a host failed spontaneously during the
// run time.
func spontaneousFailureChance(runTime time.Duration, unknown bool, rate float64) float64 {
	if unknown {
		runTime = maxRecentRunTime
	}
	return rate * max(runTime, minRunTime).Seconds()
}
