package crashloop

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestStanding(t *testing.T) {
	counted := Crash{Run: 1, Host: "a", Proven: true, Chance: 1e-3}
	recent := Crash{Run: 2, Host: "b", Proven: true, JustStarted: true, Chance: 1e-3}
	frequent := Crash{Run: 2, Host: "b", Proven: true, JustStarted: true, Chance: 0.03}
	excused := Crash{Run: 3, Host: "c", Proven: true, Excused: true, Chance: 0.05}
	likely := Crash{Run: 3, Host: "c", Proven: true, Excused: true, Chance: 0.5}
	unobserved := Crash{Run: 4, Host: "d", Unconfirmed: true, Chance: 1e-3}
	unproven := Crash{Run: 5, Host: "e", JustStarted: true, Chance: 1e-3}
	repeat := func(n int, c Crash) History { return slices.Repeat(History{c}, n) }
	for name, tc := range map[string]struct {
		h    History
		want Suspicion
	}{
		"nothing":                          {nil, Unsuspected},
		"one":                              {History{counted}, Suspect},
		"one, just started":                {History{recent}, Suspect},
		"one, excused":                     {History{excused}, Unsuspected},
		"two":                              {History{counted, counted}, Quarantined},
		"two, one just started":            {History{counted, recent}, Failed},
		"two, the first just started":      {History{recent, counted}, Failed},
		"two, one excused":                 {History{recent, excused}, Suspect},
		"three":                            {History{counted, counted, counted}, Failed},
		"three, one excused":               {History{counted, excused, counted}, Quarantined},
		"two, hosts fail often":            {History{frequent, frequent}, Quarantined},
		"three, hosts fail often":          {History{frequent, frequent, frequent}, Quarantined},
		"four, hosts fail often":           {History{frequent, frequent, frequent, frequent}, Failed},
		"four, excused":                    {repeat(4, excused), Unsuspected},
		"five, excused":                    {repeat(5, excused), Failed},
		"five, excused, likely":            {repeat(5, likely), Unsuspected},
		"two, neither observed":            {History{unobserved, unobserved}, Quarantined},
		"two, one not observed":            {History{recent, unobserved}, Quarantined},
		"three, two not observed":          {History{counted, unobserved, unobserved}, Quarantined},
		"three, none observed":             {repeat(3, unobserved), Quarantined},
		"nine, none observed":              {repeat(9, unobserved), Quarantined},
		"five, excused, not observed":      {repeat(5, Crash{Unconfirmed: true, Excused: true, Chance: 0.05}), Unsuspected},
		"two, one unproven":                {History{recent, unproven}, Quarantined},
		"four, unproven":                   {repeat(4, unproven), Quarantined},
		"five, unproven":                   {onMachines(5, unproven), Failed},
		"five, unproven, on four machines": {append(onMachines(4, unproven), onMachines(1, unproven)...), Quarantined},
		"five, unproven, hosts fail often": {onMachines(5, Crash{JustStarted: true, Chance: 0.1}), Quarantined},
		"five, two unproven":               {History{counted, counted, excused, unproven, unproven}, Failed},
		"stored by an earlier version":     {repeat(3, Crash{Run: 1, Host: "a", JustStarted: true, Chance: 1e-3}), Quarantined},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tc.h.Suspicion(), tc.want)
		})
	}
}

// onMachines returns n crashes like c, each on a machine of its own.
func onMachines(n int, c Crash) (h History) {
	for i := range n {
		c.Machine = string(rune('a' + i))
		h = append(h, c)
	}
	return h
}

func TestJudge(t *testing.T) {
	const lowRate, highRate = 0.001, 0.1 // spontaneous failures per host and second
	base := Evidence{Run: 4, Host: "a", RunTime: 40 * time.Millisecond, LastStarted: true}
	modified := func(change func(*Evidence)) Evidence {
		e := base
		change(&e)
		return e
	}
	for name, tc := range map[string]struct {
		e                    Evidence
		rate                 float64
		justStarted, excused bool
	}{
		"just started, the newest":            {base, lowRate, true, false},
		"another job started since":           {modified(func(e *Evidence) { e.LastStarted = false }), lowRate, false, false},
		"started by a previous holder":        {modified(func(e *Evidence) { e.RunTimeUnknown = true }), lowRate, false, false},
		"long-running":                        {modified(func(e *Evidence) { e.RunTime = 5 * time.Second }), lowRate, false, false},
		"just started, hosts fail often":      {base, highRate, true, false},
		"after 300 ms, hosts fail often":      {modified(func(e *Evidence) { e.RunTime = 300 * time.Millisecond }), highRate, true, false},
		"after one second, hosts fail often":  {modified(func(e *Evidence) { e.RunTime = time.Second }), highRate, true, true},
		"previous holder's, hosts fail often": {modified(func(e *Evidence) { e.RunTimeUnknown = true; e.RunTime = 0 }), highRate, false, true},
		"with its rack":                       {modified(func(e *Evidence) { e.WithRack = true }), lowRate, true, true},
		"with its rack, and proven":           {modified(func(e *Evidence) { e.WithRack, e.Proven = true, true }), lowRate, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := Assess(tc.e, tc.rate)
			ran := tc.e.RunTime.Milliseconds()
			if tc.e.RunTimeUnknown {
				ran = 0
			}
			is.Equal(c, Crash{Run: 4, Host: "a", JustStarted: tc.justStarted, Excused: tc.excused, Chance: c.Chance, RunMillis: ran, Proven: tc.e.Proven, LegacyUnproven: !tc.e.Proven})
		})
	}
}

func TestHistoryCountsByRun(t *testing.T) {
	is := is.New(t)
	h := History{{Run: 1, Host: "a"}, {Run: 2, Host: "b"}, {Run: 4, Host: "b"}}
	is.True(h.HasRun(2))
	is.True(!h.HasRun(3))
	is.Equal(h.WithoutHost("b"), History{{Run: 1, Host: "a"}})
	is.Equal(len(h), 3)
}

// TestHistoryTellsHowEachWasSeen checks the text of a history, by which an on-call engineer can
// verify why a task was failed.
func TestHistoryTellsHowEachWasSeen(t *testing.T) {
	h := History{
		{Run: 1, Host: "a", Unconfirmed: true, Excused: true, RunMillis: 300},
		{Run: 2, Host: "b", RunMillis: 2055},
		{Run: 3, Host: "c", Proven: true, RunMillis: 12, JustStarted: true},
	}
	is.New(t).Equal(h.String(), "3 hosts crashed under it: c under run 3 (there at its end, after 12 ms, just started), "+
		"b under run 2 (seen there, maybe not at its end, after 2055 ms), a under run 1 (not seen there, excused)")
}

// TestHistoryIsBounded checks that the weakest evidence is dropped first and that the newest
// crash is kept.
func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	var h History
	for i := range 3 * maxCrashes {
		h = h.Append(Crash{Run: i, Unconfirmed: i%8 != 0, Proven: i%8 == 0})
	}
	is.Equal(len(h), maxCrashes)
	is.Equal(h[len(h)-1].Run, 3*maxCrashes-1)
	is.Equal(h[0], Crash{Run: 0, Proven: true})
	is.Equal(tallyOf(h, Crash.isProven).total, 6)
}

// TestRevised checks that crashes can be excused or removed without changing the original
// history.
func TestRevised(t *testing.T) {
	is := is.New(t)
	h := History{{Run: 1, Host: "a", JustStarted: true, Proven: true, Chance: 1e-4}, {Run: 2, Host: "b", Proven: true, Chance: 1e-4}, {Run: 3, Host: "c"}}
	is.Equal(h.Suspicion(), Failed)
	is.Equal(h.ExcuseHost("a").Suspicion(), Failed) // proven, so its machine had power and network
	unproven := History{{Run: 1, Host: "a", Chance: 1e-4}, {Run: 2, Host: "b", Chance: 1e-4}}
	is.Equal(unproven.Suspicion(), Quarantined)
	is.Equal(unproven.ExcuseHost("a").Suspicion(), Suspect)
	is.Equal(unproven.Suspicion(), Quarantined) // the original history is unchanged
	is.Equal(h.Suspicion(), Failed)
	is.Equal(len(h.WithoutUnproven("a")), 3)
	is.Equal(len(h.WithoutUnproven("c")), 2)
}

// TestAtRate checks that a host failure is assessed again with the higher rate that later
// failures show.
func TestAtRate(t *testing.T) {
	is := is.New(t)
	h := History{{Run: 1, Host: "a", RunMillis: 100, Chance: 1e-4}, {Run: 2, Host: "b", RunMillis: 5000, Chance: 1e-2}, {Run: 3, Host: "c", Chance: 1e-3}}
	reassessed := h.Reassess(0.1)
	is.True(reassessed[0].Chance > 0.009 && !reassessed[0].Excused)
	is.True(reassessed[1].Excused)
	is.True(reassessed[2].Excused) // its run time is unknown
	is.Equal(h.Reassess(1e-9), h)
}

func TestLosses(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	t.Run("rate", func(t *testing.T) {
		is := is.New(t)
		var l HostFailures
		alone := l.SpontaneousRate(50, 0, nil, at.Add(recentWindow+time.Second))
		l.Add("a", "r1", at)
		l.Add("a", "r1", at.Add(time.Second)) // reported twice
		l.Add("b", "r2", at)
		is.Equal(l.SpontaneousRate(50, 0, nil, at.Add(recentWindow+time.Second)), 3*alone)
		is.Equal(l.SpontaneousRate(50, 2, nil, at.Add(recentWindow+time.Second)), max(5*alone, 2/(50*recentWindow.Seconds())))
		is.Equal(l.SpontaneousRate(50, 0, nil, at), 2/(50*recentWindow.Seconds()))                                  // the recent window has the higher rate
		is.Equal(l.SpontaneousRate(50, 0, History{{Run: 1, Host: "b"}}, at.Add(recentWindow+time.Second)), 2*alone) // failures in the assessed history do not count
		l.MarkAttributed(History{{Run: 1, Host: "b"}})
		is.Equal(l.SpontaneousRate(50, 0, nil, at.Add(recentWindow+time.Second)), 2*alone)
		l.Expire(at.Add(failureRetention + time.Millisecond))
		is.Equal(l.SpontaneousRate(50, 0, nil, at.Add(recentWindow+time.Second)), alone)
	})
	t.Run("rate beside a step", func(t *testing.T) {
		is := is.New(t)
		var l HostFailures
		later := at.Add(recentWindow + time.Second)
		alone := l.RateBeside("s", 20, 0, later)
		fail := func(host, machine string, steps ...string) {
			l.Add(host, "", at)
			l.SetRuns(host, machine, steps)
		}
		fail("a/1", "a", "s")
		fail("b/1", "b", "s", "other")
		is.Equal(l.RateBeside("s", 20, 0, later), alone) // failures under the step say nothing
		is.Equal(l.RateBeside("other", 20, 0, later), 2*alone)
		fail("c/1", "c")
		is.Equal(l.RateBeside("s", 20, 0, later), 2*alone)
		fail("a/2", "a", "other")
		is.Equal(l.RateBeside("s", 20, 0, later), 4*alone) // the machine fails with the step and without it
		l.Add("d/1", "", at)
		is.Equal(l.RateBeside("s", 20, 0, later), 5*alone) // it is not known what ran there
		is.Equal(l.RateBeside("s", 20, 1, later), max(6*alone, 1/(20*recentWindow.Seconds())))
		is.Equal(l.RateBeside("s", 5, 0, later), 20*alone)
		l.MarkAttributed(History{{Run: 1, Host: "c/1"}})
		is.Equal(l.RateBeside("s", 20, 0, later), 4*alone)
	})
	t.Run("rack failure", func(t *testing.T) {
		is := is.New(t)
		var l HostFailures
		l.Add("b", "r1", at.Add(time.Second))
		l.Add("c", "r2", at)
		l.Add("d", "r1", at.Add(-time.Minute))
		is.True(l.RackFailed("a", "r1", at, 2, 2))  // b failed before it, two are unresponsive
		is.True(!l.RackFailed("a", "r1", at, 1, 2)) // one host of the rack is alive
		is.True(!l.RackFailed("a", "r1", at, 0, 0)) // two hosts are fewer than minRackFailures
		is.True(!l.RackFailed("a", "", at, 9, 9))   // the rack is unknown
	})
}

// TestAssessBeside guards against a service that is failed for runs that may have ended before their hosts,
// because the failures under the service itself were left out of the rate that excuses them.
func TestAssessBeside(t *testing.T) {
	const high, low = 0.1, 1e-4
	seen := Evidence{Run: 1, Host: "a", RunTime: 2 * time.Second}
	proven, withRack := seen, seen
	proven.Proven, withRack.WithRack = true, true
	for name, tc := range map[string]struct {
		evidence Evidence
		chance   float32
		excused  bool
	}{
		"there at its end":                    {proven, 2 * low, false},
		"seen there":                          {seen, 2 * high, false},
		"seen there, its rack failed as well": {withRack, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := AssessBeside(tc.evidence, high, low)
			is.Equal(c.Chance, tc.chance)
			is.Equal(c.Excused, tc.excused)
		})
	}
}
