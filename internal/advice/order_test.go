package advice

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newSlots returns n idle query slots.
func newSlots(n int) *QuerySlots {
	q := NewQuerySlots()
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("m%02d", i))
	}
	q.SetMembers(names)
	return q
}

// Durations of queries about one host and about the usual number.
const (
	shortLength, shortDuration = 16 * time.Millisecond, 22 * time.Millisecond
	imageLength, imageDuration = 203 * time.Millisecond, 300 * time.Millisecond
	gangLength, gangDuration   = 730 * time.Millisecond, 1235 * time.Millisecond
)

// pendingReply is a query that the policy service has yet to answer.
type pendingReply struct {
	name     string
	sent, at time.Time
}

// queryLoad sends the queries of waiting steps in the order of the steps. Each step has one query at a time, and
// sends the next one requeryDelay after the reply.
type queryLoad struct {
	slots   *QuerySlots
	order   Order
	pending []pendingReply
	nextAt  map[int]time.Time // by step
}

// requeryDelay is the engine's delay between a reply and the next query of a step.
const requeryDelay = 20 * time.Millisecond

// answer records the replies that are due.
func (l *queryLoad) answer(now time.Time) {
	left := l.pending[:0]
	for _, p := range l.pending {
		if p.at.After(now) {
			left = append(left, p)
			continue
		}
		l.slots.RecordReply(p.name, false, p.sent, now)
	}
	l.pending = left
}

// isOpen reports whether a step has a query that is not answered yet.
func (l *queryLoad) isOpen(step int, now time.Time) bool {
	return now.Add(requeryDelay).Before(l.nextAt[step])
}

// query lets a step, the next one of its class, query, and returns how long the reply takes.
func (l *queryLoad) query(step int, c Class, length, duration time.Duration, now time.Time) (time.Duration, bool) {
	r := Request{Class: c, Length: length, Duration: duration, Share: l.order.Next(c, length, l.slots, now)}
	if r.Share == 0 {
		r.Use = UseIdle
	}
	if now.Before(l.nextAt[step]) || !l.slots.MayAssign(r, now) {
		return 0, false
	}
	name, at, ok := l.slots.Assign(r, now)
	if !ok {
		return 0, false
	}
	l.pending = append(l.pending, pendingReply{name, now, at})
	l.nextAt[step] = at.Add(requeryDelay)
	return at.Sub(now), true
}

// TestFirstStepFindsLittleBacklog: guards against the first step in the queue waiting for the queries of hundreds of
// steps behind it (HARD-LOAD.md, d: 140 ms in place of 30 ms). With 600 waiting steps, each of which queries again as
// soon as it may, the first finds less backlog than one query of the others, in the mean.
func TestFirstStepFindsLittleBacklog(t *testing.T) {
	is := is.New(t)
	l := &queryLoad{slots: newSlots(32), nextAt: map[int]time.Time{}}
	short := ClassOf(shortLength, ByTask)
	sum, longest, n := time.Duration(0), time.Duration(0), 0
	for ms := 0; ms < 2000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		l.answer(now)
		l.order.Reset()
		if reply, ok := l.query(ms, short, shortLength, shortDuration, now); ok { // another step comes first each time
			sum, longest, n = sum+reply-shortDuration, max(longest, reply-shortDuration), n+1
		}
		for i := range 599 {
			l.query(-1-i, short, shortLength, shortDuration, now)
		}
	}
	t.Logf("backlog found by the first step: mean %v, longest %v, %d queries", sum/time.Duration(n), longest, n)
	is.Equal(n, 200)
	is.True(sum/time.Duration(n) <= 2*shortDuration)
	is.True(longest <= shortBacklog-shortDuration)
}

// claimBound is the time within which a class whose steps find no slot gets one: that until a slot is kept for it, and
// one query, the longest, for each class for which its slots are kept before.
func claimBound(classes, slots int) time.Duration {
	turns := (classes + slots - 1) / slots
	return claimAfter + time.Duration(turns)*gangDuration + 20*time.Millisecond
}

// TestNoClassStarves: guards against few steps with long queries that wait behind hundreds of others: with
// positions in the whole queue, two jobs had nothing running for 3 s although there was capacity. One step of image
// work that comes last gets a slot within the bound, again and again.
func TestNoClassStarves(t *testing.T) {
	for name, tc := range map[string]struct {
		members, gangs, shorts int
		classes, slots         int     // that wait for the slots of image work, and these slots
		others                 []Class // further classes with as many steps as gangs, and queries as long
	}{
		"behind gangs":                      {32, 300, 0, 2, 22, nil},
		"behind gangs and short work":       {32, 100, 500, 2, 22, nil},
		"behind both, few members":          {3, 100, 500, 2, 2, nil},
		"behind both, one member":           {1, 20, 100, 3, 1, nil},
		"behind short work only, 4 members": {4, 0, 500, 1, 3, nil},
		"behind three classes, few members": {4, 50, 100, 4, 3, []Class{ClassOf(gangLength, ByReserve), ClassOf(2*gangLength, ByGang)}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := &queryLoad{slots: newSlots(tc.members), nextAt: map[int]time.Time{}}
			image, gang, short := ClassOf(imageLength, ByTask), ClassOf(gangLength, ByGang), ClassOf(shortLength, ByTask)
			waitsSince, longest, served := start, time.Duration(0), 0
			for ms := 0; ms < 20000; ms += 10 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				l.answer(now)
				l.order.Reset()
				for i := range tc.gangs {
					l.query(1+i, gang, gangLength, gangDuration, now)
				}
				for n, class := range tc.others {
					for i := range tc.gangs {
						l.query(1000*(n+1)+i, class, gangLength, gangDuration, now)
					}
				}
				for i := range tc.shorts {
					l.query(-1-i, short, shortLength, shortDuration, now)
				}
				if now.Before(waitsSince) {
					continue
				}
				longest = max(longest, now.Sub(waitsSince))
				if _, ok := l.query(0, image, imageLength, imageDuration, now); ok {
					served++
					waitsSince = now.Add(time.Second) // its next query
				}
			}
			t.Logf("longest wait for a slot %v, %d queries", longest, served)
			is.True(longest <= claimBound(tc.classes, tc.slots))
			is.True(served >= 6)
		})
	}
}

// TestShortStepsBesideLongerQueries guards against steps of urgent work that wait for seconds in a cell that is mostly
// idle: queries ten times as long used the same slots, as they would be a little shorter if they were about one host.
// Each of 70 steps a second needs one answer; 30 steps of other work query again and again.
func TestShortStepsBesideLongerQueries(t *testing.T) {
	const (
		perSecond, lasts             = 70, 8 * time.Second
		urgentLength, urgentDuration = 21 * time.Millisecond, 25 * time.Millisecond
		longerOne, longerUsual       = 198 * time.Millisecond, 222 * time.Millisecond
		longerDuration               = 330 * time.Millisecond
		longerSteps, firstUrgent     = 30, 1000
		longestWait                  = 100 * time.Millisecond // a third of the target of such work
		passInterval                 = 20 * time.Millisecond
	)
	is := is.New(t)
	l := &queryLoad{slots: newSlots(43), nextAt: map[int]time.Time{}}
	longerLength := SlotLength(longerOne, longerUsual)
	urgent, longer := ClassOf(urgentLength, ByTask), ClassOf(longerLength, ByReserve)
	arrived := map[int]time.Time{}
	var waiting []int
	worst := time.Duration(0)
	for now := start; now.Before(start.Add(lasts)); now = now.Add(passInterval) {
		l.answer(now)
		l.order.Reset()
		for next := firstUrgent + len(arrived); float64(next-firstUrgent) < now.Sub(start).Seconds()*perSecond; next++ {
			arrived[next] = now
			waiting = append(waiting, next)
		}
		var left []int
		for _, step := range waiting {
			at := l.nextAt[step]
			if !at.IsZero() && !l.isOpen(step, now) {
				continue // it has its answer and starts
			}
			left = append(left, step)
			if at.IsZero() {
				worst = max(worst, now.Sub(arrived[step]))
			}
			l.query(step, urgent, urgentLength, urgentDuration, now)
		}
		waiting = left
		for step := range longerSteps {
			l.query(step, longer, longerLength, longerDuration, now)
		}
	}
	t.Logf("longest wait for a query %v, %d steps wait", worst, len(waiting))
	is.True(worst <= longestWait)
}
