package advice

import (
	"math/bits"
	"time"
)

// The steps that come first in the queue get the query slots first. Positions count within classes, so
// that few steps with long queries never wait behind hundreds with short ones.

// Placement is how the tasks of a step are placed, which decides how often it queries.
type Placement int

// Placements of steps.
const (
	ByTask    Placement = iota // tasks start one by one
	ByReserve                  // slots are reserved for each large or long-running task
	ByGang                     // all tasks start together
)

// Class is a class of queries: those of the same length, about steps that are placed in the same way.
type Class struct {
	// length is the number of binary digits of the duration in lengthUnit.
	length    int
	placement Placement
}

// lengthUnit is the duration of the shortest queries that are told apart.
const lengthUnit = 10 * time.Millisecond

// ClassOf returns the class of the queries of a step; length is the duration of a query about one host.
func ClassOf(length time.Duration, p Placement) Class {
	return Class{bits.Len64(uint64(max(length, 0) / lengthUnit)), p}
}

// Use is how a step may use the query slots of its class.
type Use int

// Uses of query slots.
const (
	// UseBacklog permits a query while the backlog of a slot is below a share of its limit.
	UseBacklog Use = iota
	// UseIdle permits a query through an idle slot while others stay idle.
	UseIdle
	// UseNone permits no query.
	UseNone
	// Uses is the number of uses.
	Uses = iota
)

// String returns the name of the use in explanations.
func (u Use) String() string { return [...]string{"up to the backlog limit", "idle slots", "none"}[u] }

// The first steps of a class, one for each query slot, use the slots up to the backlog limit. The next ones, as
// many as keep the slots busy, use slots that are about to become idle, so that the first steps still find little
// backlog.
const (
	// minFrontPerSlot is the least number of steps for each slot that come first.
	minFrontPerSlot = 2
	// turnaround is the time between an answer and the next query of a step: a delay and the wait for a pass.
	// While it lasts, other steps have to keep the slot busy: with queries of 7 ms and three steps for each
	// slot, slots were in use 0.73 of the time.
	turnaround = 40 * time.Millisecond
	// soonIdleShare is the share of the backlog limit for these: 15 ms for short queries, as a pass takes
	// place every 20 ms.
	soonIdleShare = 0.15
)

// Request describes a query that a step is to send.
type Request struct {
	Class Class
	// Length is the duration of a query about one host, which decides the slots; Duration is that of
	// this one.
	Length, Duration time.Duration
	Use              Use
	// Share is the part of the backlog limit that counts, for UseBacklog.
	Share float64
}

// Order gives the positions of steps in their classes, in one pass through the queue. The zero value is
// at the begin of a pass.
type Order struct{ classes map[Class]*classOrder }

// classOrder is the number of steps of a class that were planned, that of its slots, and that of the steps
// that come first.
type classOrder struct{ planned, slots, front int }

func newClassOrder(length time.Duration, slots int) *classOrder {
	perSlot := minFrontPerSlot + float64(turnaround)/float64(max(length, time.Millisecond))
	return &classOrder{slots: max(slots, 1), front: int(perSlot * float64(max(slots, 1)))}
}

// Reset begins a new pass.
func (o *Order) Reset() { clear(o.classes) }

// Next counts the next step of a class and returns its share of the backlog limit, zero if it is not one
// of the first steps.
func (o *Order) Next(c Class, length time.Duration, q *QuerySlots, now time.Time) float64 {
	if o.classes == nil {
		o.classes = map[Class]*classOrder{}
	}
	of := o.classes[c]
	if of == nil {
		slots, _ := q.eligible(length, now)
		of = newClassOrder(length, len(slots))
		o.classes[c] = of
	}
	of.planned++
	switch {
	case of.planned <= of.slots:
		return 1
	case of.planned <= of.front:
		return soonIdleShare
	}
	return 0
}

// Times of claims.
const (
	// claimAfter is how long a class finds no slot before one is kept for it, claimExpiry how long after
	// its last refusal it no longer needs it: steps query again within 0.4 s.
	claimAfter  = 300 * time.Millisecond
	claimExpiry = 500 * time.Millisecond
)

// claim is the wait of a class whose first steps find no slot.
type claim struct {
	length      time.Duration
	since, last time.Time // first and last refusal
}

// active reports whether a slot is kept for the class.
func (c *claim) active(now time.Time) bool {
	return now.Sub(c.since) >= claimAfter && now.Sub(c.last) <= claimExpiry
}

// recordRefusal records that one of the first steps of a class found no slot, even with the whole limit.
func (q *QuerySlots) recordRefusal(r Request, now time.Time) {
	r.Share = 1
	if r.Use != UseBacklog || q.leastLoaded(r, now) != nil {
		return
	}
	c := q.claims[r.Class]
	if c == nil || now.Sub(c.last) > claimExpiry {
		c = &claim{length: r.Length, since: now}
		q.claims[r.Class] = c
	}
	c.last = now
}

// claimedBy returns the class for which a slot is kept, the one that has waited longest, and the slot, which is the
// first that the class can use.
func (q *QuerySlots) claimedBy(now time.Time) (Class, *querySlot) {
	var first Class
	var oldest *claim
	for class, c := range q.claims {
		if c.active(now) && (oldest == nil || c.since.Before(oldest.since) || c.since.Equal(oldest.since) && class.before(first)) {
			first, oldest = class, c
		}
	}
	if oldest == nil {
		return Class{}, nil
	}
	slots, _ := q.eligible(oldest.length, now)
	var kept *querySlot
	for _, slot := range slots {
		if kept == nil || slot.busyUntil.Before(kept.busyUntil) {
			kept = slot
		}
	}
	return first, kept
}

// before orders classes that have waited equally long.
func (c Class) before(other Class) bool {
	if c.length != other.length {
		return c.length < other.length
	}
	return c.placement < other.placement
}
