package crashloop

import (
	"slices"
	"time"
)

// Times and shares of hosts that go.
const (
	// remembered is for how long a host's end tells how often hosts go by themselves. Over a
	// longer time the rate is found too low when hosts begin to go, and innocent jobs are
	// given up.
	remembered = 20 * time.Second
	// moments is how far back the last moments go: about as long as a host is away.
	moments = 4 * time.Second
	// together is within which time hosts go that have one cause. The end of a host
	// without power is noticed by the look that waits there, so it is noticed late.
	togetherFor = 3 * time.Second
	// leastTogether hosts, and their whole rack, have gone together when they share a
	// cause, such as power or a switch. If a part of a rack were enough, tasks that crash
	// their hosts at the same moment would excuse each other.
	leastTogether = 3
)

// Losses remembers which hosts have gone lately.
type Losses struct {
	lost []loss
}

type loss struct {
	host, rack string
	at         time.Time
	// explained is true once a task was found to have caused it.
	explained bool
}

// Add notes a host that has gone; at is since when it was silent. It reports whether that
// is news.
func (l *Losses) Add(host, rack string, at time.Time) bool {
	if slices.ContainsFunc(l.lost, func(x loss) bool { return x.host == host }) {
		return false
	}
	l.lost = append(l.lost, loss{host: host, rack: rack, at: at})
	return true
}

// mostTold is how many hosts that have gone a next holder is told of.
const mostTold = 64

// Names lists hosts that have gone lately and that no task is known to have caused, the
// last ones if there are many.
func (l *Losses) Names() []string {
	var out []string
	for _, x := range l.lost {
		if !x.explained {
			out = append(out, x.host)
		}
	}
	return out[max(0, len(out)-mostTold):]
}

// Inherit takes in the hosts that a former holder had seen go, at the latest now.
func (l *Losses) Inherit(names []string, now time.Time) {
	for _, name := range names {
		l.Add(name, "", now)
	}
}

// With lists the hosts of a rack that went at about a moment.
func (l *Losses) With(rack string, at time.Time) []string {
	var out []string
	for _, x := range l.lost {
		if x.rack == rack && Near(x.at, at) {
			out = append(out, x.host)
		}
	}
	return out
}

// Forget drops losses that are too long ago.
func (l *Losses) Forget(now time.Time) {
	l.lost = slices.DeleteFunc(l.lost, func(x loss) bool { return now.Sub(x.at) > remembered })
}

// Explain notes that tasks were found to have caused the losses in a history.
func (l *Losses) Explain(h History) {
	for i := range l.lost {
		if h.names(l.lost[i].host) {
			l.lost[i].explained = true
		}
	}
}

// Rate is how often one of so many hosts goes by itself, per second: as of the whole time
// that is remembered, or as of the last moments, when more went then. It counts those that
// are silent now, and over the whole time one more than was seen: that none was says little
// in a small cell. Those that went under the task that is judged by it are left out.
func (l *Losses) Rate(hosts, silent int, under History, now time.Time) float64 {
	all, late := 1+silent, silent
	for _, x := range l.lost {
		if x.explained || under.names(x.host) {
			continue
		}
		all++
		if now.Sub(x.at) <= moments {
			late++
		}
	}
	whole := float64(all) / remembered.Seconds()
	return max(whole, float64(late)/moments.Seconds()) / float64(max(hosts, 1))
}

// Together reports whether the host that went at a moment went with its whole rack, of
// which so many others are still there, and so many of them silent since about then.
func (l *Losses) Together(host, rack string, at time.Time, silent, present int) bool {
	if rack == "" || silent < present {
		return false
	}
	gone := 0
	for _, x := range l.lost {
		if x.rack == rack && x.host != host && Near(x.at, at) {
			gone++
		}
	}
	return 1+gone+silent >= leastTogether
}

// Near reports whether two hosts that fell silent at these moments may have done so for
// one cause.
func Near(a, b time.Time) bool { return a.Sub(b).Abs() <= togetherFor }
