package right

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	testTimes = Times{Term: 3 * time.Second, Margin: 10, OutageLimit: time.Minute}
	baseTime  = time.Unix(1000, 0)
	memberA   = MemberID{Name: "a", Incarnation: "1"}
)

func at(ms int) time.Time { return baseTime.Add(time.Duration(ms) * time.Millisecond) }

func voterSetOf(session uint64, names ...string) VoterSet {
	set := VoterSet{Session: session}
	for _, n := range names {
		set.Voters = append(set.Voters, Voter{Name: n, Incarnation: n + "1", Addr: n})
	}
	return set
}

func TestLeaseIsCountedFromTheSendLessTheMargin(t *testing.T) {
	is := is.New(t)
	a := NewAuthority(testTimes)
	is.True(a.Until(at(0), 0).IsZero())
	a.BeginSession(at(0), voterSetOf(1, "a", "b", "c"))
	is.Equal(a.Until(at(10), 1), at(2970))
	a.RecordRenewal(at(500))
	a.RecordRenewal(at(100)) // a delayed older reply does not shorten the authority
	is.Equal(a.Until(at(600), 1), at(3470))
}

func TestPromisesCountByMajority(t *testing.T) {
	tests := []struct {
		name     string
		voters   []string
		promised []string
		until    time.Time
	}{
		{"none", []string{"a", "b", "c"}, nil, time.Time{}},
		{"one of three", []string{"a", "b", "c"}, []string{"a1"}, time.Time{}},
		{"two of three", []string{"a", "b", "c"}, []string{"a1", "b1"}, at(12970)},
		{"two of four", []string{"a", "b", "c", "d"}, []string{"a1", "b1"}, time.Time{}},
		{"three of four", []string{"a", "b", "c", "d"}, []string{"a1", "b1", "d1"}, at(12970)},
		{"a replacement does not count", []string{"a", "b", "c"}, []string{"a1", "b2"}, time.Time{}},
		{"single voter", []string{"a"}, []string{"a1"}, time.Time{}},
		{"both of two", []string{"a", "b"}, []string{"a1", "b1"}, at(12970)},
		{"one of two", []string{"a", "b"}, []string{"a1"}, time.Time{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := NewAuthority(testTimes)
			a.BeginSession(at(0), voterSetOf(1, tt.voters...))
			for _, v := range tt.promised {
				a.RecordPromise(v, 1, at(10000), testTimes.Term)
			}
			is.Equal(a.Until(at(10010), 1), tt.until)
		})
	}
}

func TestAuthorityThatNoLongerCounts(t *testing.T) {
	promised := func(a *Authority, session uint64, from time.Time) {
		a.RecordPromise("a1", session, from, testTimes.Term)
		a.RecordPromise("b1", session, from, testTimes.Term)
	}
	tests := []struct {
		name string
		do   func(a *Authority)
		want time.Time
	}{
		{"promises to another session", func(a *Authority) { promised(a, 2, at(9000)) }, time.Time{}},
		{"own vote given to a claimant", func(a *Authority) { promised(a, 1, at(9000)); a.MarkFenced() }, time.Time{}},
		{"pending change needs both majorities", func(a *Authority) {
			promised(a, 1, at(9000))
			a.BeginVoterChange(voterSetOf(1, "a", "c", "d"))
		}, time.Time{}},
		{"change resolved to the old voter set", func(a *Authority) {
			promised(a, 1, at(9000))
			a.BeginVoterChange(voterSetOf(1, "a", "c", "d"))
			a.EndVoterChange(voterSetOf(1, "a", "b", "c"))
		}, at(11970)},
		{"outage limit", func(a *Authority) { promised(a, 1, at(58000)) }, at(59400)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := NewAuthority(testTimes)
			a.BeginSession(at(0), voterSetOf(1, "a", "b", "c"))
			tt.do(a)
			is.Equal(a.Until(at(9010), 1), tt.want)
		})
	}
}

func TestPartitionOfThePreviousSessionKeepsItsPromisedEnd(t *testing.T) {
	is := is.New(t)
	a := NewAuthority(testTimes)
	set := voterSetOf(1, "a", "b", "c")
	a.BeginSession(at(0), set)
	a.RecordPromise("a1", 1, at(9000), testTimes.Term)
	a.RecordPromise("b1", 1, at(9000), testTimes.Term)
	set.Session = 2
	a.BeginSession(at(9500), set)
	is.Equal(a.Until(at(9600), 1), at(11970)) // not confirmed yet: end of the promises
	is.Equal(a.Until(at(9600), 2), at(12470)) // confirmed: end of the new lease
	set.Session = 3
	a.BeginSession(at(9700), set)
	is.True(a.Until(at(9800), 1).IsZero())
}

// TestVoterSetChangeWaitsForPromisedAuthority shows why MayChangeVoters exists: two voters of the
// new set complete a fence while authority that the old set promised is still valid.
func TestVoterSetChangeWaitsForPromisedAuthority(t *testing.T) {
	is := is.New(t)
	a := NewAuthority(testTimes)
	a.BeginSession(at(0), voterSetOf(1, "a", "d"))
	a.RecordPromise("a1", 1, at(2960), testTimes.Term)
	a.RecordPromise("d1", 1, at(2960), testTimes.Term)
	until := a.Until(at(2980), 1)
	is.Equal(until, at(5930)) // by promises: the lease has expired

	next := voterSetOf(1, "a", "b", "c")
	f := NewFencing(testTimes, next, at(3000))
	f.RecordAnswer(next.Voters[1], FenceAnswer{Incarnation: "b1"})
	f.RecordAnswer(next.Voters[2], FenceAnswer{Incarnation: "c1"})
	is.True(f.Done(at(3010))) // complete although until has not been reached

	is.True(!a.MayChangeVoters(at(3000)))
	is.True(!a.MayChangeVoters(at(5929)))
	is.True(a.MayChangeVoters(at(5930)))
}

func TestVoterFencesAfterItsPromise(t *testing.T) {
	is := is.New(t)
	v := NewVoterState()
	is.True(v.Ask(at(0), memberA, 1, testTimes.Term))
	is.Equal(v.Fence(at(1000), memberA, 1), 2*time.Second)
	is.True(!v.Ask(at(1001), memberA, 1, testTimes.Term)) // fenced
	is.Equal(v.Fence(at(3000), memberA, 1), time.Duration(0))
	is.True(v.Ask(at(3001), memberA, 2, testTimes.Term)) // a new session is not fenced
	is.True(v.Fenced(memberA, 1))
	is.True(!v.Fenced(memberA, 2))
}

func TestFenceNeedsABlockingNumberOfVoters(t *testing.T) {
	is := is.New(t)
	needed := map[int]int{0: 0, 1: 0, 2: 1, 3: 2, 4: 2, 5: 3, 6: 3, 7: 4}
	for n, want := range needed {
		set := voterSetOf(1, []string{"a", "b", "c", "d", "e", "f", "g"}[:n]...)
		f := NewFencing(testTimes, set, at(0))
		got := 0
		for ; !f.Done(at(0)); got++ {
			f.RecordAnswer(set.Voters[got], FenceAnswer{Incarnation: set.Voters[got].Incarnation})
		}
		is.Equal(got, want)
	}
}

func TestFencingIsDone(t *testing.T) {
	old := testTimes.plusMargin(testTimes.Term)
	tests := []struct {
		name    string
		answers []FenceAnswer // of voters a, b, c; an empty incarnation means no reply
		after   time.Duration
		want    bool
	}{
		{"no replies", make([]FenceAnswer, 3), 0, false},
		{"majority", []FenceAnswer{{Incarnation: "a1"}, {Incarnation: "b1"}, {}}, 0, true},
		{"a promise has not expired", []FenceAnswer{{Incarnation: "a1"}, {Incarnation: "b1", Remaining: 1}, {}}, 0, false},
		{"a replacement is not in the majority", []FenceAnswer{{Incarnation: "a1"}, {Incarnation: "b2", Age: old}, {}}, 0, false},
		{"all replaced or fenced", []FenceAnswer{{Incarnation: "a1"}, {Incarnation: "b2", Age: old}, {Incarnation: "c2", Age: old}}, 0, true},
		{"all replaced, one too young", []FenceAnswer{{Incarnation: "a2", Age: old}, {Incarnation: "b2", Age: old}, {Incarnation: "c2", Age: old - 1}}, 0, false},
		{"an older process proves nothing", []FenceAnswer{{Incarnation: "a0", Age: old}, {Incarnation: "b0", Age: old}, {Incarnation: "c0", Age: old}}, 0, false},
		{"outage limit", make([]FenceAnswer, 3), testTimes.plusMargin(testTimes.OutageLimit), true},
		{"just before the outage limit", make([]FenceAnswer, 3), testTimes.plusMargin(testTimes.OutageLimit) - 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			set := voterSetOf(1, "a", "b", "c")
			f := NewFencing(testTimes, set, at(0))
			for i, a := range tt.answers {
				if a.Incarnation != "" {
					f.RecordAnswer(set.Voters[i], a)
				}
			}
			is.Equal(f.Done(at(0).Add(tt.after)), tt.want)
		})
	}
}
