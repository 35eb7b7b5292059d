package crashloop

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestStanding(t *testing.T) {
	counted := Crash{Run: 1, Host: "a", Proven: true, Chance: 1e-3}
	recent := Crash{Run: 2, Host: "b", Proven: true, Recent: true, Chance: 1e-3}
	often := Crash{Run: 2, Host: "b", Proven: true, Recent: true, Chance: 0.03}
	excused := Crash{Run: 3, Host: "c", Proven: true, Excused: true, Chance: 0.05}
	likely := Crash{Run: 3, Host: "c", Proven: true, Excused: true, Chance: 0.5}
	unseen := Crash{Run: 4, Host: "d", Unsure: true, Chance: 1e-3}
	seen := Crash{Run: 5, Host: "e", Recent: true, Chance: 1e-3}
	many := func(n int, c Crash) History { return slices.Repeat(History{c}, n) }
	for name, tc := range map[string]struct {
		h    History
		want Standing
	}{
		"nothing":                     {nil, Unsuspected},
		"one":                         {History{counted}, Suspect},
		"one, just started":           {History{recent}, Suspect},
		"one, excused":                {History{excused}, Unsuspected},
		"two":                         {History{counted, counted}, OnTrial},
		"two, one just started":       {History{counted, recent}, GivenUp},
		"two, the first just started": {History{recent, counted}, GivenUp},
		"two, one excused":            {History{recent, excused}, Suspect},
		"three":                       {History{counted, counted, counted}, GivenUp},
		"three, one excused":          {History{counted, excused, counted}, OnTrial},
		"two, hosts go often":         {History{often, often}, OnTrial},
		"three, hosts go often":       {History{often, often, often}, OnTrial},
		"four, hosts go often":        {History{often, often, often, often}, GivenUp},
		"four, excused":               {many(4, excused), Unsuspected},
		"five, excused":               {many(5, excused), GivenUp},
		"five, excused, likely":       {many(5, likely), Unsuspected},
		"two, neither seen there":     {History{unseen, unseen}, OnTrial},
		"two, one not seen there":     {History{recent, unseen}, OnTrial},
		"three, two not seen there":   {History{counted, unseen, unseen}, OnTrial},
		"three, none seen there":      {many(3, unseen), OnTrial},
		"nine, none seen there":       {many(9, unseen), OnTrial},
		"five, excused, not seen":     {many(5, Crash{Unsure: true, Excused: true, Chance: 0.05}), Unsuspected},
		"two, one maybe not at end":   {History{recent, seen}, OnTrial},
		"four, maybe not at end":      {many(4, seen), OnTrial},
		"five, maybe not at end":      {onMachines(5, seen), GivenUp},
		"five so, on four machines":   {append(onMachines(4, seen), onMachines(1, seen)...), OnTrial},
		"five so, hosts go often":     {onMachines(5, Crash{Recent: true, Chance: 0.1}), OnTrial},
		"five, two not at end":        {History{counted, counted, excused, seen, seen}, GivenUp},
		"of a version before":         {many(3, Crash{Run: 1, Host: "a", Recent: true, Chance: 1e-3}), OnTrial},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tc.h.Standing(), tc.want)
		})
	}
}

// onMachines is a crash on each of so many machines.
func onMachines(n int, c Crash) (h History) {
	for i := range n {
		c.Machine = string(rune('a' + i))
		h = append(h, c)
	}
	return h
}

func TestJudge(t *testing.T) {
	const calm, stormy = 0.001, 0.1 // hosts that go by themselves, per host and second
	just := Evidence{Run: 4, Host: "a", Ran: 40 * time.Millisecond, Newest: true}
	with := func(change func(*Evidence)) Evidence {
		e := just
		change(&e)
		return e
	}
	for name, tc := range map[string]struct {
		e                Evidence
		rate             float64
		recent, excusing bool
	}{
		"just started, the newest":              {just, calm, true, false},
		"something started since":               {with(func(e *Evidence) { e.Newest = false }), calm, false, false},
		"begun by a former holder":              {with(func(e *Evidence) { e.Unknown = true }), calm, false, false},
		"long at work":                          {with(func(e *Evidence) { e.Ran = 5 * time.Second }), calm, false, false},
		"just started, while hosts go often":    {just, stormy, true, false},
		"a while ago, while hosts go often":     {with(func(e *Evidence) { e.Ran = 300 * time.Millisecond }), stormy, true, false},
		"a second ago, while hosts go often":    {with(func(e *Evidence) { e.Ran = time.Second }), stormy, true, true},
		"former holder's, while hosts go often": {with(func(e *Evidence) { e.Unknown = true; e.Ran = 0 }), stormy, false, true},
		"with its rack":                         {with(func(e *Evidence) { e.Together = true }), calm, true, true},
		"with its rack, and proven":             {with(func(e *Evidence) { e.Together, e.Proven = true, true }), calm, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := Judge(tc.e, tc.rate)
			ran := tc.e.Ran.Milliseconds()
			if tc.e.Unknown {
				ran = 0
			}
			is.Equal(c, Crash{Run: 4, Host: "a", Recent: tc.recent, Excused: tc.excusing, Chance: c.Chance, RanMillis: ran, Proven: tc.e.Proven, Unheard: !tc.e.Proven})
		})
	}
}

func TestHistoryCountsByRun(t *testing.T) {
	is := is.New(t)
	h := History{{Run: 1, Host: "a"}, {Run: 2, Host: "b"}, {Run: 4, Host: "b"}}
	is.True(h.Has(2))
	is.True(!h.Has(3))
	is.Equal(h.Without("b"), History{{Run: 1, Host: "a"}})
	is.Equal(len(h), 3)
}

// TestHistoryTellsHowEachWasSeen: an on-call engineer can check a verdict by its text.
func TestHistoryTellsHowEachWasSeen(t *testing.T) {
	h := History{
		{Run: 1, Host: "a", Unsure: true, Excused: true, RanMillis: 300},
		{Run: 2, Host: "b", RanMillis: 2055},
		{Run: 3, Host: "c", Proven: true, RanMillis: 12, Recent: true},
	}
	is.New(t).Equal(h.String(), "3 hosts crashed under it: c under run 3 (there at its end, after 12 ms, just started), "+
		"b under run 2 (seen there, maybe not at its end, after 2055 ms), a under run 1 (not seen there, excused)")
}

// TestHistoryIsBounded: what proves least goes first, and what is new stays.
func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	var h History
	for i := range 3 * mostCrashes {
		h = h.With(Crash{Run: i, Unsure: i%8 != 0, Proven: i%8 == 0})
	}
	is.Equal(len(h), mostCrashes)
	is.Equal(h[len(h)-1].Run, 3*mostCrashes-1)
	is.Equal(h[0], Crash{Run: 0, Proven: true})
	is.Equal(tallyOf(h, Crash.isProven).all, 6)
}

// TestRevised: what is put down to another cause, or taken back.
func TestRevised(t *testing.T) {
	is := is.New(t)
	h := History{{Run: 1, Host: "a", Recent: true, Proven: true, Chance: 1e-4}, {Run: 2, Host: "b", Proven: true, Chance: 1e-4}, {Run: 3, Host: "c"}}
	is.Equal(h.Standing(), GivenUp)
	is.Equal(h.Excuse("a").Standing(), GivenUp) // its machine was there: it had power and network
	seen := History{{Run: 1, Host: "a", Chance: 1e-4}, {Run: 2, Host: "b", Chance: 1e-4}}
	is.Equal(seen.Standing(), OnTrial)
	is.Equal(seen.Excuse("a").Standing(), Suspect)
	is.Equal(seen.Standing(), OnTrial) // the former one stays as it was
	is.Equal(h.Standing(), GivenUp)
	is.Equal(len(h.WithoutUnproven("a")), 3)
	is.Equal(len(h.WithoutUnproven("c")), 2)
}

// TestAtRate: a host that was the first of many to go is judged by how many went.
func TestAtRate(t *testing.T) {
	is := is.New(t)
	h := History{{Run: 1, Host: "a", RanMillis: 100, Chance: 1e-4}, {Run: 2, Host: "b", RanMillis: 5000, Chance: 1e-2}, {Run: 3, Host: "c", Chance: 1e-3}}
	often := h.AtRate(0.1)
	is.True(often[0].Chance > 0.009 && !often[0].Excused)
	is.True(often[1].Excused)
	is.True(often[2].Excused) // nobody knows for how long it ran
	is.Equal(h.AtRate(1e-9), h)
}

func TestLosses(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	t.Run("rate", func(t *testing.T) {
		is := is.New(t)
		var l Losses
		alone := l.Rate(50, 0, nil, at.Add(moments+time.Second))
		l.Add("a", "r1", at)
		l.Add("a", "r1", at.Add(time.Second)) // told twice
		l.Add("b", "r2", at)
		is.Equal(l.Rate(50, 0, nil, at.Add(moments+time.Second)), 3*alone)
		is.Equal(l.Rate(50, 2, nil, at.Add(moments+time.Second)), max(5*alone, 2/(50*moments.Seconds())))
		is.Equal(l.Rate(50, 0, nil, at), 2/(50*moments.Seconds()))                                  // more went in the last moments
		is.Equal(l.Rate(50, 0, History{{Run: 1, Host: "b"}}, at.Add(moments+time.Second)), 2*alone) // judged by others
		l.Explain(History{{Run: 1, Host: "b"}})
		is.Equal(l.Rate(50, 0, nil, at.Add(moments+time.Second)), 2*alone)
		l.Forget(at.Add(remembered + time.Millisecond))
		is.Equal(l.Rate(50, 0, nil, at.Add(moments+time.Second)), alone)
	})
	t.Run("together", func(t *testing.T) {
		is := is.New(t)
		var l Losses
		l.Add("b", "r1", at.Add(time.Second))
		l.Add("c", "r2", at)
		l.Add("d", "r1", at.Add(-time.Minute))
		is.True(l.Together("a", "r1", at, 2, 2))  // b before it, two are silent
		is.True(!l.Together("a", "r1", at, 1, 2)) // one of the rack lives
		is.True(!l.Together("a", "r1", at, 0, 0)) // two hosts are no rack
		is.True(!l.Together("a", "", at, 9, 9))   // no rack is known
	})
}
