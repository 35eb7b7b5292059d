package cell

import (
	"sort"
	"time"

	"pulleyquay/internal/ledger"
)

// Times of the succession.
const (
	// silenceThreshold is how long a holder may be silent before others doubt it; it is
	// several heartbeats, and more than a process is held up for want of processor
	// time.
	silenceThreshold = 700 * time.Millisecond
	// rankDelay is how long each candidate waits for the one before it.
	rankDelay = 150 * time.Millisecond
	// stalledWritesThreshold is how long the holder's writes have to stand still before a
	// member claims that can ask nobody.
	stalledWritesThreshold = 2 * time.Second
	// storeOutageThreshold is how long a holder may have been without the store before one
	// that reaches it takes over: longer than a store that is only slow takes for an answer,
	// and short, as nothing is started or stored meanwhile.
	storeOutageThreshold = 700 * time.Millisecond
)

// heartbeatIntervalPerMember is how much time each member of a large cell adds to the pause between
// heartbeats: it bounds those that a holder answers in a second.
const heartbeatIntervalPerMember = 4 * time.Millisecond

// heartbeatInterval is how often a member of a cell of that size asks the holder.
func heartbeatInterval(members int) time.Duration {
	return max(MinHeartbeatInterval, time.Duration(members)*heartbeatIntervalPerMember)
}

// silenceLimit is how long a holder may be silent in a cell of that size.
func silenceLimit(members int) time.Duration {
	return silenceThreshold + heartbeatInterval(members) - MinHeartbeatInterval
}

// Evidence is what a member knows of a partition's holder.
type Evidence struct {
	Holder ledger.Holder
	// Silence is how long ago the holder was last heard, Limit for how long it may be
	// silent.
	Silence, Limit time.Duration
	// Replaced is true when another incarnation answers at the holder's address.
	Replaced bool
	// Refused is true when nothing listens at the holder's address, as it seems
	// from here.
	Refused bool
	// HolderStoreOutage is for how long the holder has been without the store, as it says.
	HolderStoreOutage time.Duration
	// Others is how many other members there are, the holder left out; Agreeing
	// how many of them do not hear the holder either; Hearing how many do.
	Others, Agreeing, InContact int
	// WritesStalled is how long the holder's writes in the store have stood still;
	// zero when it is not known.
	WritesStalled time.Duration
}

// Dead reports whether the evidence is enough to take the partition over. A wrong
// yes moves the partition needlessly; it makes nothing unsafe.
func (v Evidence) Dead() bool {
	switch {
	case v.Holder.Epoch == 0, v.Replaced, v.HolderStoreOutage >= storeOutageThreshold:
		return true
	case v.InContact > 0:
		return false
	case v.Refused && (v.Agreeing > 0 || v.Others == 0):
		return true
	case v.Silence >= v.Limit && v.Agreeing > 0 && 2*v.Agreeing >= v.Others:
		return true
	}
	return v.Silence >= v.Limit && v.WritesStalled >= stalledWritesThreshold
}

// Candidates orders the members that may succeed the holder: those with the most
// processor time first, then those that started last, as they are the least
// likely to be restarted next.
func Candidates(members []Member, holder string) []Member {
	var out []Member
	for _, m := range members {
		if m.Name != holder && !m.Leaving {
			out = append(out, m)
		}
	}
	sort.SliceStable(out, func(a, b int) bool {
		x, y := out[a], out[b]
		if x.Cores != y.Cores {
			return x.Cores > y.Cores
		}
		if x.StartedUnixMilli != y.StartedUnixMilli {
			return x.StartedUnixMilli > y.StartedUnixMilli
		}
		return x.Name < y.Name
	})
	return out
}

// strongerFactor is by how much more processor time a member has to have for a holder
// to hand its partition over; a hand-over costs a pause.
const strongerFactor = 1.5

// Stronger returns a member with much more processor time than self, or "".
func Stronger(members []Member, self Member) string {
	for _, m := range Candidates(members, self.Name) {
		if m.Cores > strongerFactor*self.Cores {
			return m.Name
		}
	}
	return ""
}

// ClaimDelay is how long a member waits before it claims, so that the candidates
// do not race.
func ClaimDelay(members []Member, holder string, self Member) time.Duration {
	candidates := Candidates(members, holder)
	rank := len(candidates)
	for i, m := range candidates {
		if m.Name == self.Name {
			rank = i
		}
	}
	wait := time.Duration(min(rank, maxRank)) * rankDelay
	if self.weak(members) {
		wait += weakDelay
	}
	return wait
}

// maxRank bounds how many members are waited for.
const maxRank = 8

// weakDelay is how much longer a member waits that has much less processor time
// than the strongest one: those are often back within a second, and a weak holder
// serves badly.
const weakDelay = 1200 * time.Millisecond

// weak reports whether another member, the late holder included, has much more
// processor time.
func (m Member) weak(members []Member) bool {
	for _, other := range members {
		if other.Cores > strongerFactor*m.Cores {
			return true
		}
	}
	return false
}
