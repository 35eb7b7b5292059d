package cell

import (
	"sort"
	"time"

	"pulleyquay/internal/ledger"
)

const (
	// silenceThreshold is how long a holder may leave heartbeats unanswered before members
	// suspect it. It spans several heartbeats and exceeds the pauses of a process that is
	// short of processor time.
	silenceThreshold = 700 * time.Millisecond
	// rankDelay is the election delay per rank among the candidates.
	rankDelay = 150 * time.Millisecond
	// stalledWritesThreshold is the time without a write of the holder after which a member that
	// cannot query others claims the partition.
	stalledWritesThreshold = 2 * time.Second
	// storeOutageThreshold is how long a holder may be without the store before a member that
	// reaches the store claims the partition. It exceeds the latency of a store that is merely
	// slow, and is short since nothing is started or stored during the outage.
	storeOutageThreshold = 700 * time.Millisecond
)

// heartbeatIntervalPerMember is the heartbeat interval per member in a large cell. It bounds
// the number of heartbeats that a holder answers per second.
const heartbeatIntervalPerMember = 4 * time.Millisecond

// maxWatchers is the number of members of a large cell that send heartbeats as often as those of a small one: the best
// candidates for the succession. A failed holder is found as soon as in a small cell, however many members there are.
const maxWatchers = 25

// Watchers returns the members that send heartbeats to a holder at MinHeartbeatInterval, in order of preference as its
// successors: all in a small cell.
func Watchers(members []Member, holder string) []Member {
	candidates := Candidates(members, holder)
	if heartbeatInterval(len(members)) <= MinHeartbeatInterval {
		return candidates
	}
	return candidates[:min(len(candidates), maxWatchers)]
}

// heartbeatInterval returns the interval at which each member of a cell with that many members
// sends heartbeats to a holder, unless it is a watcher.
func heartbeatInterval(members int) time.Duration {
	return max(MinHeartbeatInterval, time.Duration(members)*heartbeatIntervalPerMember)
}

// silenceLimit returns how long a holder may leave heartbeats unanswered that are sent at an interval.
func silenceLimit(interval time.Duration) time.Duration {
	return silenceThreshold + interval - MinHeartbeatInterval
}

// Evidence is what a member knows about the health of a partition's holder.
type Evidence struct {
	Holder ledger.Holder
	// Silence is the time since the holder's last reply, Limit the silence limit.
	Silence, Limit time.Duration
	// Replaced is true if another incarnation replies at the holder's address.
	Replaced bool
	// Refused is true if connections from this process to the holder's address are refused.
	Refused bool
	// HolderStoreOutage is the store outage that the holder reports.
	HolderStoreOutage time.Duration
	// Others is the number of queried members, which are neither this one nor the holder.
	// Agreeing counts those that reply that they have no contact with the holder either, InContact
	// those that reply that they have contact.
	Others, Agreeing, InContact int
	// WritesStalled is the time for which the holder has written nothing to the store; zero if
	// unknown.
	WritesStalled time.Duration
}

// Dead reports whether the evidence suffices to claim the partition. A false positive moves the
// partition needlessly, but does not endanger safety.
func (e Evidence) Dead() bool {
	switch {
	case e.Holder.Epoch == 0, e.Replaced, e.HolderStoreOutage >= storeOutageThreshold:
		return true
	case e.InContact > 0:
		return false
	case e.Refused && (e.Agreeing > 0 || e.Others == 0):
		return true
	case e.Silence >= e.Limit && e.Agreeing > 0 && 2*e.Agreeing >= e.Others:
		return true
	}
	return e.Silence >= e.Limit && e.WritesStalled >= stalledWritesThreshold
}

// Candidates returns the members that may succeed the holder, in order of preference: members
// with more processor time first, then members that started later, since they are less likely
// to be restarted next.
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

// strongerFactor is the ratio of processor time above which a holder hands its partition over
// to a stronger member. The factor is well above one because a handover interrupts service.
const strongerFactor = 1.5

// Stronger returns the name of the best candidate with much more processor time than self, or
// "" if there is none.
func Stronger(members []Member, self Member) string {
	for _, m := range Candidates(members, self.Name) {
		if m.Cores > strongerFactor*self.Cores {
			return m.Name
		}
	}
	return ""
}

// ClaimDelay returns the election delay of self: how long it waits before it claims the
// partition, so that candidates do not compete.
func ClaimDelay(members []Member, holder string, self Member) time.Duration {
	candidates := Candidates(members, holder)
	rank := len(candidates)
	for i, m := range candidates {
		if m.Name == self.Name {
			rank = i
		}
	}
	delay := time.Duration(min(rank, maxRank)) * rankDelay
	if self.isMuchWeaker(members) {
		delay += weakDelay
	}
	return delay
}

// maxRank bounds the number of better candidates that a member waits for.
const maxRank = 8

// weakDelay is the additional election delay of a member with much less processor time than
// the strongest one. A strong member is often available again within a second, and a weak
// holder performs poorly.
const weakDelay = 1200 * time.Millisecond

// isMuchWeaker reports whether one of the members, which include the failed holder, has much
// more processor time.
func (m Member) isMuchWeaker(members []Member) bool {
	for _, other := range members {
		if other.Cores > strongerFactor*m.Cores {
			return true
		}
	}
	return false
}
