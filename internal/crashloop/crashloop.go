// Package crashloop decides when a task is no longer started, as the hosts that start it
// crash: which crashes are held against a task, and how many are enough.
//
// A crash ends everything on its host, and most of the tasks there did not cause it. So a
// single crash says little: the task is started again, away from others that were there.
// The second one tells more, if the task had just been started and nothing else had been
// since; else the task is tried once more, on a host where nothing new comes beside it.
// Crashes while hosts go all the time by themselves are noted, and count for little; hosts
// that go with their whole rack accuse nobody.
//
// Giving a task up is final, so it rests on what is known. A crash is proven when the run
// is known to have been on the host as that ended. One whose run was seen there, but may
// have ended unheard before the host did, counts only where it is the last of many, and all
// of them together are very improbable. What nobody saw there keeps its task apart, and no
// amount of it gives the task up.
//
// Everything here is pure; the records are kept by whoever places tasks.
package crashloop

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits of crashes under one task. Each crash costs a host for seconds, with all its work;
// the least is the users' bound, which lets a task be given up after the second.
const (
	// enoughWithRecent proven crashes are enough to give a task up when one of them came
	// right after its start, with nothing of another job started on the host since.
	enoughWithRecent = 2
	// enough proven crashes are so in any case, unless they had another likely cause.
	enough = 3
	// atRandom is how probable it may be, at the most, that all these hosts just went by
	// themselves.
	atRandom = 1e-5
	// enoughAtAll crashes are so whatever other cause each of them may have, if enough of
	// them are proven, or all of them were seen on machines of their own, and they are as
	// improbable together as atRandomInAll or atRandomSeen: it bounds what a wrong guess at a cause can cost. The
	// users' bound is five starts in all, three crashes and two more.
	enoughAtAll   = 5
	atRandomInAll = 1e-3
	atRandomSeen  = 1e-6
	// trialAfter crashes put a task on trial: nothing new is started beside it.
	trialAfter = 2
)

// ProvenAfter is for how long a task that lasts has to run soundly for earlier crashes to
// be forgotten, so that a service is given up for a row of them and not for those of a year.
const ProvenAfter = 5 * time.Minute

// Crash is one host that crashed under a task.
type Crash struct {
	// Run is the number of the run that was lost; reports of one run count once.
	Run int `cbor:"1,keyasint"`
	// Host is the life that ended.
	Host string `cbor:"2,keyasint"`
	// Recent is true when the run had just begun, and nothing of another job since.
	Recent bool `cbor:"3,keyasint,omitempty"`
	// Excused is true when the crash has a likelier cause than the task.
	Excused bool `cbor:"4,keyasint,omitempty"`
	// Chance is how probable it was for the host to go by itself in that time.
	Chance float32 `cbor:"5,keyasint,omitempty"`
	// Unsure is true when nobody has seen the run on the host: its start was not answered.
	Unsure bool `cbor:"6,keyasint,omitempty"`
	// RanMillis is for how long the run had been there, in milliseconds; zero when unknown.
	RanMillis int64 `cbor:"8,keyasint,omitempty"`
	// Unheard is what versions before Proven read: without it they take a run for proven.
	Unheard bool `cbor:"9,keyasint,omitempty"`
	// Machine is the address of the host, which its next lives have as well.
	Machine string `cbor:"10,keyasint,omitempty"`
	// Proven is true when the run is known to have been on the host as that ended. What was
	// stored before this was told proves nothing.
	Proven bool `cbor:"11,keyasint,omitempty"`
}

// Seen reports whether the run was seen on the host.
func (c Crash) Seen() bool { return !c.Unsure }

func (c Crash) isProven() bool { return c.Proven }

// mostCrashes bounds what is kept of one task, so that a job's record does not grow for as
// long as the job lives.
const mostCrashes = 16

// With returns the history with one crash more. Of too many the oldest goes that proves
// least.
func (h History) With(c Crash) History {
	out := append(slices.Clone(h), c)
	if len(out) <= mostCrashes {
		return out
	}
	least := 0
	for i := range out[:len(out)-1] {
		if out[i].weight() < out[least].weight() {
			least = i
		}
	}
	return slices.Delete(out, least, least+1)
}

func (c Crash) weight() int {
	switch {
	case c.Proven:
		return 2
	case c.Seen():
		return 1
	}
	return 0
}

// History is the crashes under one task, the oldest first.
type History []Crash

// Has reports whether the loss of a run is in the history already.
func (h History) Has(run int) bool {
	return slices.ContainsFunc(h, func(c Crash) bool { return c.Run == run })
}

// On reports whether a host of a machine has crashed under the task: the next loss tells more
// on another one.
func (h History) On(machine string) bool {
	return slices.ContainsFunc(h, func(c Crash) bool { return c.Machine == machine })
}

// names reports whether the history holds the crash of a host.
func (h History) names(host string) bool {
	return slices.ContainsFunc(h, func(c Crash) bool { return c.Host == host })
}

// Without returns the history less the crashes of a host, which turned out to live.
func (h History) Without(host string) History {
	return slices.DeleteFunc(slices.Clone(h), func(c Crash) bool { return c.Host == host })
}

// WithoutUnproven returns the history less those crashes of a host that are not proven.
func (h History) WithoutUnproven(host string) History {
	return slices.DeleteFunc(slices.Clone(h), func(c Crash) bool { return c.Host == host && !c.Proven })
}

// Standing is what a task's history says of it.
type Standing uint8

// The standings, each worse than the one before.
const (
	Unsuspected Standing = iota
	// Suspect tasks are kept apart from each other where that costs nothing.
	Suspect
	// OnTrial tasks start where nothing new comes beside them.
	OnTrial
	// GivenUp tasks are not started again.
	GivenUp
)

// AtRate returns the history judged anew at the rate, per second, at which hosts go by
// themselves, where that is higher than before: of many hosts that go for one cause the
// first is judged before the others are known.
func (h History) AtRate(rate float64) History {
	out := slices.Clone(h)
	for i := range out {
		c := &out[i]
		chance := chanceOf(time.Duration(c.RanMillis)*time.Millisecond, c.RanMillis == 0, rate)
		c.Chance = max(c.Chance, float32(chance))
		c.Excused = c.Excused || chance >= likely
	}
	return out
}

// Excuse returns the history with the crashes of a host put down to a cause that it shared with
// its rack, such as power or a switch. One that is proven has none of these: its machine had
// power, and could be reached, as it turned calls away.
func (h History) Excuse(host string) History {
	out := slices.Clone(h)
	for i := range out {
		out[i].Excused = out[i].Excused || out[i].Host == host && !out[i].Proven
	}
	return out
}

// Standing judges the history.
func (h History) Standing() Standing {
	if h.guilty() {
		return GivenUp
	}
	counted := 0
	for _, c := range h {
		if !c.Excused {
			counted++
		}
	}
	switch {
	case counted >= trialAfter:
		return OnTrial
	case counted > 0:
		return Suspect
	}
	return Unsuspected
}

// guilty reports whether the crashes are enough to give the task up.
func (h History) guilty() bool {
	proven, seen := tallyOf(h, Crash.isProven), tallyOf(h, Crash.Seen)
	if proven.chance <= atRandom && (proven.counted >= enough || proven.counted >= enoughWithRecent && proven.recent > 0) {
		return true
	}
	manyProven := proven.all >= enough && proven.chanceInAll <= atRandomInAll
	allSeen := len(seen.machines) >= enoughAtAll && seen.chanceInAll <= atRandomSeen
	return len(h) >= enoughAtAll && (manyProven || allSeen)
}

// tally is what crashes of one kind say together. Those that are excused stand in all and
// chanceInAll alone.
type tally struct {
	all, counted, recent int
	chance, chanceInAll  float64
	machines             map[string]bool
}

func tallyOf(h History, is func(Crash) bool) tally {
	t := tally{chance: 1, chanceInAll: 1, machines: map[string]bool{}}
	for _, c := range h {
		if !is(c) {
			continue
		}
		t.all++
		t.machines[c.Machine] = true
		t.chanceInAll *= min(float64(c.Chance), 1)
		if c.Excused {
			continue
		}
		t.counted++
		t.chance *= float64(c.Chance)
		if c.Recent {
			t.recent++
		}
	}
	return t
}

// String tells the hosts and runs, and how each was seen, the last first, for people.
func (h History) String() string {
	parts := make([]string, 0, len(h))
	for _, c := range slices.Backward(h) {
		parts = append(parts, c.String())
	}
	return fmt.Sprintf("%d hosts crashed under it: %s", len(h), strings.Join(parts, ", "))
}

// The ways in which a run that was lost with its host was seen there.
const (
	HowUnsure = "not seen there"
	HowSeen   = "seen there, maybe not at its end"
	HowProven = "there at its end"
)

// How tells how the run was seen on the host.
func (c Crash) How() string {
	switch {
	case c.Unsure:
		return HowUnsure
	case !c.Proven:
		return HowSeen
	}
	return HowProven
}

// String tells the host and run, and how that was seen, for people.
func (c Crash) String() string {
	notes := []string{c.How()}
	if c.RanMillis > 0 && !c.Unsure {
		notes = append(notes, fmt.Sprintf("after %d ms", c.RanMillis))
	}
	if c.Recent {
		notes = append(notes, "just started")
	}
	if c.Excused {
		notes = append(notes, "excused")
	}
	return fmt.Sprintf("%s under run %d (%s)", c.Host, c.Run, strings.Join(notes, ", "))
}

// Evidence is what is known of a run that was lost with its host.
type Evidence struct {
	Run int
	// Host is the life that ended, Machine its address.
	Host, Machine string
	// Ran is for how long the run had been there when the host was last known to live;
	// Unknown where this process did not start it.
	Ran     time.Duration
	Unknown bool
	// Unsure is true when nobody has seen the run on the host, Proven when it is known to
	// have been there as the host ended.
	Unsure, Proven bool
	// Newest is true when no run of another job was started on the host as late.
	Newest bool
	// Together is true when the host went with its rack, as for one cause; see Excuse.
	Together bool
}

func (e Evidence) ranMillis() int64 {
	if e.Unknown {
		return 0
	}
	return max(e.Ran.Milliseconds(), 1)
}

// Times and shares for the judgement of one crash.
const (
	// justStarted is how soon after its start a crash comes that speaks against a task by
	// itself: such tasks crash their hosts at once, but a look may tell of a host's end late.
	justStarted = time.Second
	// likely is how probable it is for the host to have gone by itself in the time that
	// the run was there, for a crash to be excused.
	likely = 0.05
	// leastRan is the least time that is reckoned with: the moment at which a host ends is
	// known no better.
	leastRan = 20 * time.Millisecond
)

// Judge makes a crash of the evidence; rate is how often a host goes by itself, per second.
func Judge(e Evidence, rate float64) Crash {
	chance := chanceOf(e.Ran, e.Unknown, rate)
	return Crash{
		Run: e.Run, Host: e.Host, Machine: e.Machine, Chance: float32(chance), Unsure: e.Unsure, Proven: e.Proven, Unheard: !e.Proven, RanMillis: e.ranMillis(),
		Recent:  e.Newest && !e.Unknown && !e.Unsure && e.Ran <= justStarted,
		Excused: e.Together && !e.Proven || chance >= likely,
	}
}

// chanceOf is how probable it was for a host to go by itself in the time that a run was
// there.
func chanceOf(ran time.Duration, unknown bool, rate float64) float64 {
	if unknown {
		ran = justStarted
	}
	return rate * max(ran, leastRan).Seconds()
}
