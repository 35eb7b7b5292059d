package advice

import (
	"sort"
	"time"
)

// Lanes spreads questions over the members that can ask. Each member is a lane:
// its questions are answered one after the other, each in a time that is known
// beforehand. Long questions keep off some lanes, so that short ones never wait
// behind them.
type Lanes struct {
	lanes []*lane // by name
}

// lane is one member's queue at the service.
type lane struct {
	name string
	// busyUntil is when the questions asked so far are answered.
	busyUntil time.Time
	asked     int
	// fails counts failures in a row; after one, at failedAt, the lane is left alone
	// until restsUntil.
	fails                int
	failedAt, restsUntil time.Time
}

// Limits of what is asked through one lane.
const (
	// mostWaiting bounds the questions of one lane that are not answered; the
	// service itself refuses at 32.
	mostWaiting = 8
	// short and long divide questions by the time of their answer.
	short = 20 * time.Millisecond
	long  = 200 * time.Millisecond
	// shortBacklog and longBacklog are how far ahead a lane may be booked.
	shortBacklog  = 100 * time.Millisecond
	mediumBacklog = 400 * time.Millisecond
	longBacklog   = 900 * time.Millisecond
	// firstRest is how long a lane is left alone after a failure; it doubles with
	// each in a row, up to doublings times.
	firstRest = 300 * time.Millisecond
	doublings = 5
)

// NewLanes returns no lanes.
func NewLanes() *Lanes { return &Lanes{} }

// SetMembers names the members; what is known of those that stay is kept.
func (l *Lanes) SetMembers(names []string) {
	old := map[string]*lane{}
	for _, x := range l.lanes {
		old[x.name] = x
	}
	l.lanes = l.lanes[:0]
	sorted := append([]string(nil), names...)
	sort.Strings(sorted)
	for _, name := range sorted {
		x := old[name]
		if x == nil {
			x = &lane{name: name}
		}
		l.lanes = append(l.lanes, x)
	}
}

// Book takes the lane that will answer a question of that length first. It
// reports false when all lanes it may use are booked too far ahead.
func (l *Lanes) Book(took time.Duration, now time.Time) (name string, answered time.Time, ok bool) {
	best := l.best(took, now)
	if best == nil {
		return "", time.Time{}, false
	}
	if best.busyUntil.Before(now) {
		best.busyUntil = now
	}
	best.busyUntil = best.busyUntil.Add(took)
	best.asked++
	return best.name, best.busyUntil, true
}

// Open reports whether Book would find a lane.
func (l *Lanes) Open(took time.Duration, now time.Time) bool { return l.best(took, now) != nil }

// Idle reports whether half of the lanes for a question of that length have
// nothing to answer.
func (l *Lanes) Idle(took time.Duration, now time.Time) bool {
	lanes, _ := l.open(took, now)
	idle := 0
	for _, x := range lanes {
		if x.asked == 0 {
			idle++
		}
	}
	return 2*idle >= len(lanes) && idle > 0
}

// best is the least booked lane for a question of that length, or nil.
func (l *Lanes) best(took time.Duration, now time.Time) *lane {
	lanes, backlog := l.open(took, now)
	var best *lane
	for _, x := range lanes {
		if x.asked >= mostWaiting || x.fails > 0 && x.asked > 0 {
			continue // a lane that has failed is tried with one question
		}
		if best == nil || x.busyUntil.Before(best.busyUntil) {
			best = x
		}
	}
	if best == nil || best.busyUntil.Sub(now) > backlog {
		return nil
	}
	return best
}

// Shares of the lanes: the first seventh is for short questions alone, those up to
// a third for medium ones as well, the others for long ones.
const (
	shortShare  = 7
	mediumShare = 3
)

// open returns the lanes for questions of a length and how far ahead they may be
// booked. With few lanes all are shared.
func (l *Lanes) open(took time.Duration, now time.Time) ([]*lane, time.Duration) {
	lanes := l.usable(now)
	n := len(lanes)
	if n < mediumShare {
		return lanes, longBacklog
	}
	forShort := max(n/shortShare, 1)
	forMedium := max(n/mediumShare, forShort)
	switch {
	case took <= short:
		return lanes[:forMedium], shortBacklog
	case took < long:
		return lanes[forShort : forMedium+1], mediumBacklog
	}
	return lanes[forMedium:], longBacklog
}

// usable returns the lanes that work, and after them those that have failed and are
// to be tried again.
func (l *Lanes) usable(now time.Time) []*lane {
	work := make([]*lane, 0, len(l.lanes))
	var failed []*lane
	for _, x := range l.lanes {
		switch {
		case x.fails == 0:
			work = append(work, x)
		case !now.Before(x.restsUntil):
			failed = append(failed, x)
		}
	}
	return append(work, failed...)
}

// Answered frees a lane's place at now, after an answer to a question asked at asked,
// or after its failure. What was asked before the lane failed last says nothing new.
func (l *Lanes) Answered(name string, failed bool, asked, now time.Time) {
	for _, x := range l.lanes {
		if x.name != name {
			continue
		}
		x.asked = max(x.asked-1, 0)
		if x.asked == 0 && x.busyUntil.After(now) {
			x.busyUntil = now
		}
		switch {
		case !failed:
			x.fails = 0
		case x.fails == 0 || !asked.Before(x.failedAt):
			x.restsUntil = now.Add(firstRest << min(x.fails, doublings))
			x.failedAt = now
			x.fails++
		}
	}
}
