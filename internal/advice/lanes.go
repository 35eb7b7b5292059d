package advice

import (
	"sort"
	"time"
)

// QuerySlots distributes policy queries over the members that can send them. Each member has
// a query slot: its queue at the policy service, which answers the member's queries one
// after the other, each in a duration known in advance. Some query slots take no long
// queries, so that short queries never wait behind long ones.
type QuerySlots struct {
	slots []*querySlot // sorted by name
	// claims are the waits of the classes whose first steps find no slot.
	claims map[Class]*claim
	// usableSlots is the result of usable until usableUntil; nil if it has to be computed.
	usableSlots []*querySlot
	usableUntil time.Time // zero if no slot is in back-off
}

// querySlot is one member's queue of queries at the policy service.
type querySlot struct {
	name string
	// busyUntil is the expected time of the reply to the last query of the queue.
	busyUntil   time.Time
	outstanding int // queries sent and not yet answered
	// failures counts consecutive failures; after the last one, at failedAt, the query slot
	// is not used until backoffUntil.
	failures               int
	failedAt, backoffUntil time.Time
}

// Limits of one query slot.
const (
	// maxOutstanding bounds the unanswered queries of one query slot; the policy service
	// itself refuses queries from 32 on.
	maxOutstanding = 8
	// shortQuery and longQuery separate short, medium and long queries by their duration for
	// one host.
	shortQuery = 20 * time.Millisecond
	longQuery  = 200 * time.Millisecond
	// shortBacklog, mediumBacklog and longBacklog are the largest backlogs at which a query
	// slot takes another short, medium or long query.
	shortBacklog  = 100 * time.Millisecond
	mediumBacklog = 400 * time.Millisecond
	longBacklog   = 900 * time.Millisecond
	// initialBackoff is how long a query slot is not used after a failure; it doubles with
	// each consecutive failure, up to maxDoublings times.
	initialBackoff = 300 * time.Millisecond
	maxDoublings   = 5
)

// Members are the members that can query the policy service. They are immutable.
type Members struct {
	Names []string          // in ascending order
	Addrs map[string]string // peer addresses, by name
}

// NewQuerySlots returns an empty set of query slots; SetMembers adds them.
func NewQuerySlots() *QuerySlots { return &QuerySlots{claims: map[Class]*claim{}} }

// SetMembers replaces the set of members. Members that stay keep their state.
func (q *QuerySlots) SetMembers(names []string) {
	old := map[string]*querySlot{}
	for _, slot := range q.slots {
		old[slot.name] = slot
	}
	q.slots, q.usableSlots = q.slots[:0], nil
	sorted := append([]string(nil), names...)
	sort.Strings(sorted)
	for _, name := range sorted {
		slot := old[name]
		if slot == nil {
			slot = &querySlot{name: name}
		}
		q.slots = append(q.slots, slot)
	}
}

// Assign adds a query to the query slot that will answer it first. It returns the member's
// name and the expected time of the reply, or false if the query may use no query slot now.
func (q *QuerySlots) Assign(r Request, now time.Time) (name string, replyAt time.Time, ok bool) {
	slot := q.leastLoaded(r, now)
	if slot == nil {
		return "", time.Time{}, false
	}
	delete(q.claims, r.Class)
	if slot.busyUntil.Before(now) {
		slot.busyUntil = now
	}
	slot.busyUntil = slot.busyUntil.Add(r.Duration)
	slot.outstanding++
	return slot.name, slot.busyUntil, true
}

// MayAssign reports whether a query slot may take a query now. If one of the first steps of
// a class is refused for long, a slot is kept for its class.
func (q *QuerySlots) MayAssign(r Request, now time.Time) bool {
	if q.leastLoaded(r, now) != nil {
		return true
	}
	q.recordRefusal(r, now)
	return false
}

// HalfIdle reports whether at least half of the query slots for queries of the given length
// have no outstanding queries.
func (q *QuerySlots) HalfIdle(length time.Duration, now time.Time) bool {
	slots, _ := q.eligible(length, now)
	idle := countIdle(slots)
	return 2*idle >= len(slots) && idle > 0
}

// idleReserveDivisor is the divisor that gives the part of the slots of a class that stays
// idle for its first steps.
const idleReserveDivisor = 4

// soonIdleBacklog is the backlog up to which a query slot counts as idle soon: without another
// query it would be idle before the next pass through the queue, 20 ms later.
const soonIdleBacklog = 10 * time.Millisecond

func (s *querySlot) soonIdle(now time.Time) bool { return s.busyUntil.Sub(now) <= soonIdleBacklog }

// countSoonIdle counts the query slots that are idle or will be soon.
func countSoonIdle(slots []*querySlot, now time.Time) int {
	idle := 0
	for _, slot := range slots {
		if slot.soonIdle(now) {
			idle++
		}
	}
	return idle
}

// countIdle counts the query slots without outstanding queries.
func countIdle(slots []*querySlot) int {
	idle := 0
	for _, slot := range slots {
		if slot.outstanding == 0 {
			idle++
		}
	}
	return idle
}

// leastLoaded returns the query slot with the shortest backlog for a query, or nil if none
// may take the query now.
func (q *QuerySlots) leastLoaded(r Request, now time.Time) *querySlot {
	slots, backlog := q.eligible(r.Length, now)
	if r.Use == UseNone || r.Use == UseIdle && countSoonIdle(slots, now) <= len(slots)/idleReserveDivisor {
		return nil
	}
	claimant, claimed := q.claimedBy(now)
	if claimant == r.Class {
		r.Share = 1
	}
	var best *querySlot
	for _, slot := range slots {
		if slot.outstanding >= maxOutstanding || slot.failures > 0 && slot.outstanding > 0 {
			continue // after a failure a query slot gets one query at a time
		}
		if r.Use == UseIdle && !slot.soonIdle(now) || claimant != r.Class && slot == claimed {
			continue
		}
		if best == nil || slot.busyUntil.Before(best.busyUntil) {
			best = slot
		}
	}
	if best == nil || best.busyUntil.Sub(now) > time.Duration(r.Share*float64(backlog)) {
		return nil
	}
	return best
}

// Division of the query slots: the first seventh serves short queries only, the slots up
// to the first third serve medium queries too, and the others serve long queries.
const (
	shortDivisor         = 7
	shortOrMediumDivisor = 3
)

// SlotLength returns the duration by which the slots of a query are chosen, from its duration if it is about one host
// and if it is about the usual number. A short query stays one whatever the number of hosts; longer ones keep their
// slots busy for as long as they usually take.
func SlotLength(aboutOne, usual time.Duration) time.Duration {
	if aboutOne <= shortQuery {
		return aboutOne
	}
	return usual
}

// eligible returns the query slots for queries of the given length, and their largest
// permitted backlog. Queries of all lengths share the slots if there are few. The length of
// a query is its duration if it is about one host: with more hosts, short queries would
// otherwise count as medium ones and take the backlog of those to slots for short ones.
func (q *QuerySlots) eligible(length time.Duration, now time.Time) ([]*querySlot, time.Duration) {
	slots := q.usable(now)
	n := len(slots)
	if n < shortOrMediumDivisor {
		return slots, longBacklog
	}
	shortOnly := max(n/shortDivisor, 1)
	shortOrMedium := max(n/shortOrMediumDivisor, shortOnly)
	switch {
	case length <= shortQuery:
		return slots[:shortOrMedium], shortBacklog
	case length < longQuery:
		return slots[shortOnly : shortOrMedium+1], mediumBacklog
	}
	return slots[shortOrMedium:], longBacklog
}

// usable returns the query slots without failures, followed by those whose back-off after
// a failure has ended.
func (q *QuerySlots) usable(now time.Time) []*querySlot {
	if q.usableSlots != nil && (q.usableUntil.IsZero() || now.Before(q.usableUntil)) {
		return q.usableSlots
	}
	working := make([]*querySlot, 0, len(q.slots))
	var failed []*querySlot
	q.usableUntil = time.Time{}
	for _, slot := range q.slots {
		switch {
		case slot.failures == 0:
			working = append(working, slot)
		case !now.Before(slot.backoffUntil):
			failed = append(failed, slot)
		case q.usableUntil.IsZero() || slot.backoffUntil.Before(q.usableUntil):
			q.usableUntil = slot.backoffUntil
		}
	}
	q.usableSlots = append(working, failed...)
	return q.usableSlots
}

// RecordReply records at now the reply to a query sent at sent, or its failure. A failure
// of a query that was sent before the query slot's last failure is ignored.
func (q *QuerySlots) RecordReply(name string, failed bool, sent, now time.Time) {
	for _, slot := range q.slots {
		if slot.name != name {
			continue
		}
		slot.outstanding = max(slot.outstanding-1, 0)
		if slot.outstanding == 0 && slot.busyUntil.After(now) {
			slot.busyUntil = now
		}
		if failed || slot.failures > 0 {
			q.usableSlots = nil
		}
		switch {
		case !failed:
			slot.failures = 0
		case slot.failures == 0 || !sent.Before(slot.failedAt):
			slot.backoffUntil = now.Add(initialBackoff << min(slot.failures, maxDoublings))
			slot.failedAt = now
			slot.failures++
		}
	}
}
