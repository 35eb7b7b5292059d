package httplimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestEvictFrom(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	const long, short = 2 * phaseGrace, phaseGrace / 2
	for name, tc := range map[string]struct {
		since [phaseCount]time.Time
		want  phase
		ok    bool
	}{
		"none":                             {},
		"only handled requests":            {[phaseCount]time.Time{phaseServing: ago(time.Hour)}, 0, false},
		"a stuck head before all":          {[phaseCount]time.Time{ago(long), ago(time.Hour), ago(time.Hour), ago(time.Hour)}, phaseHead, true},
		"a stuck drain before a body":      {[phaseCount]time.Time{ago(short), ago(long), ago(long), ago(long)}, phaseDrain, true},
		"a stuck body before an idle one":  {[phaseCount]time.Time{ago(short), ago(time.Hour), ago(long), ago(short)}, phaseBody, true},
		"an idle one before those at work": {[phaseCount]time.Time{ago(short), ago(0), ago(short), ago(short)}, phaseIdle, true},
		"a drain before a head":            {[phaseCount]time.Time{phaseHead: ago(short), phaseBody: ago(short), phaseDrain: ago(short)}, phaseDrain, true},
		"a head before a body":             {[phaseCount]time.Time{phaseHead: ago(short), phaseBody: ago(short)}, phaseHead, true},
		"a body at last":                   {[phaseCount]time.Time{phaseBody: ago(0)}, phaseBody, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, ok := evictFrom(tc.since, now)
			is.Equal(ok, tc.ok)
			is.Equal(got, tc.want)
		})
	}
}

// TestTableHoldsItsLimit checks that one connection is given up for each beyond the limit, the longest one of its
// phase, and that a connection is counted until it is closed.
func TestTableHoldsItsLimit(t *testing.T) {
	is := is.New(t)
	tab, now := &table{limit: 2}, time.Unix(1000, 0)
	add := func() (*Conn, *Conn) {
		now = now.Add(time.Millisecond)
		c := &Conn{table: tab}
		victim, _ := tab.add(c, now)
		return c, victim
	}
	a, victim := add()
	is.Equal(victim, nil)
	b, victim := add()
	is.Equal(victim, nil)
	c, victim := add()
	is.Equal(victim, a)
	tab.move(b, phaseServing, now)
	tab.move(c, phaseServing, now)
	d, victim := add()
	is.Equal(victim, d) // the requests of the others are handled
	tab.remove(b)
	tab.remove(b) // a second time has no effect
	_, victim = add()
	is.Equal(victim, nil)
	is.Equal(tab.open, 2)
	tab.move(a, phaseIdle, now) // no longer in the table
	is.Equal(tab.phases[phaseIdle].Len(), 0)
}
