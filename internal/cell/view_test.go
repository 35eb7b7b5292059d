package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"pulleyquay/internal/ledger"
	"pulleyquay/internal/platform"
)

func entry(is *is.I, name string) platform.Record {
	value, err := cbor.Marshal(Member{Name: name, Addr: name + ":1"})
	is.NoErr(err)
	return platform.Record{Key: memberKey(name), Value: value}
}

func names(members []Member) []string {
	out := []string{}
	for _, m := range members {
		out = append(out, m.Name)
	}
	return out
}

// TestReportedMembersExpire guards against deleted members that are kept permanently because a
// peer reported them before it had observed the deletion.
func TestReportedMembersExpire(t *testing.T) {
	is := is.New(t)
	v := NewView()
	is.NoErr(v.applyMembers([]platform.Record{entry(is, "a"), entry(is, "b")}))
	is.NoErr(v.applyChange(platform.Change{Record: platform.Record{Key: memberKey("b")}, Deleted: true}))
	now := time.Unix(1_800_000_000, 0)
	v.applyReport([]Member{{Name: "b"}, {Name: "c"}}, 1, now)
	is.Equal(names(v.Members(now)), []string{"a", "b", "c"})
	is.Equal(names(v.Members(now.Add(reportedMemberTTL))), []string{"a"})
	is.Equal(names(v.Registered()), []string{"a"})
}

func TestLaterHolderStays(t *testing.T) {
	is := is.New(t)
	v := NewView()
	changed := v.Changed()
	v.UpdateHolder(ledger.Holder{Epoch: 3, Name: "a", Revision: 30})
	<-changed
	v.UpdateHolder(ledger.Holder{Epoch: 2, Name: "b", Revision: 20})
	h, ok := v.Holder(0)
	is.True(ok)
	is.Equal(h.Name, "a")
	v.UpdateHolder(ledger.Holder{Epoch: 4, Name: "c", Revision: 40})
	h, _ = v.Holder(0)
	is.Equal(h.Name, "c")
	is.NoErr(v.applyChange(platform.Change{Record: platform.Record{Key: ledger.HolderKey(0)}, Deleted: true}))
	h, _ = v.Holder(0)
	is.Equal(h.Name, "c") // deletions of holder records are ignored
}

func TestEvidence(t *testing.T) {
	held := ledger.Holder{Epoch: 4}
	tests := map[string]struct {
		evidence Evidence
		dead     bool
	}{
		"no holder":  {Evidence{}, true},
		"in contact": {Evidence{Holder: held, Silence: 100 * time.Millisecond}, false},
		"another process at the holder's address":     {Evidence{Holder: held, Replaced: true}, true},
		"refused, another member agrees":              {Evidence{Holder: held, Refused: true, Others: 5, Agreeing: 1}, true},
		"refused, no member replies":                  {Evidence{Holder: held, Refused: true, Others: 5, Silence: time.Second}, false},
		"refused, no other members":                   {Evidence{Holder: held, Refused: true}, true},
		"refused, another member in contact":          {Evidence{Holder: held, Refused: true, Others: 5, Agreeing: 4, InContact: 1}, false},
		"silent, all members agree":                   {Evidence{Holder: held, Silence: time.Second, Others: 5, Agreeing: 5}, true},
		"silent, half of the members agree":           {Evidence{Holder: held, Silence: time.Second, Others: 4, Agreeing: 2}, true},
		"silent, less than half of the members reply": {Evidence{Holder: held, Silence: time.Second, Others: 5, Agreeing: 2}, false},
		"silent, another member in contact":           {Evidence{Holder: held, Silence: 9 * time.Second, Others: 5, Agreeing: 4, InContact: 1, WritesStalled: 9 * time.Second}, false},
		"silent, no member replies, still writing":    {Evidence{Holder: held, Silence: time.Second, Others: 5}, false},
		"silent, no member replies, writes stalled":   {Evidence{Holder: held, Silence: 3 * time.Second, Others: 5, WritesStalled: stalledWritesThreshold}, true},
		"without the store":                           {Evidence{Holder: held, HolderStoreOutage: storeOutageThreshold}, true},
		"briefly without the store":                   {Evidence{Holder: held, HolderStoreOutage: storeOutageThreshold / 2}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tc.evidence.Limit = silenceThreshold
			is.New(t).Equal(tc.evidence.Dead(), tc.dead)
		})
	}
}

func TestCandidates(t *testing.T) {
	is := is.New(t)
	members := []Member{
		{Name: "a", Cores: 0.2, StartedUnixMilli: 9}, {Name: "b", Cores: 0.8, StartedUnixMilli: 5},
		{Name: "c", Cores: 0.8, StartedUnixMilli: 7}, {Name: "d", Cores: 0.8, Leaving: true}, {Name: "e", Cores: 0.8},
	}
	is.Equal(names(Candidates(members, "e")), []string{"c", "b", "a"})
	is.Equal(ClaimDelay(members, "e", members[2]), time.Duration(0))
	is.Equal(ClaimDelay(members, "e", members[1]), rankDelay)
	is.Equal(ClaimDelay(members, "e", members[0]), 2*rankDelay+weakDelay) // a stronger member may return soon
}

func TestStronger(t *testing.T) {
	is := is.New(t)
	members := []Member{{Name: "a", Cores: 0.2}, {Name: "b", Cores: 0.8}, {Name: "c", Cores: 0.9, Leaving: true}}
	is.Equal(Stronger(members, Member{Name: "a", Cores: 0.2}), "b")
	is.Equal(Stronger(members, Member{Name: "b", Cores: 0.8}), "")
	is.Equal(Stronger(members, Member{Name: "d", Cores: 0.6}), "") // b has less than strongerFactor times as much
}

// TestHeartbeatIntervalOfLargeCells checks that the number of heartbeats per second that a
// holder answers is bounded, and that the silence limit grows with the interval.
func TestHeartbeatIntervalOfLargeCells(t *testing.T) {
	is := is.New(t)
	for members, want := range map[int]time.Duration{1: MinHeartbeatInterval, 7: MinHeartbeatInterval, 43: MinHeartbeatInterval, 100: 400 * time.Millisecond, 300: 1200 * time.Millisecond} {
		is.Equal(heartbeatInterval(members), want)
		is.Equal(silenceLimit(heartbeatInterval(members))-silenceThreshold, want-MinHeartbeatInterval)
		is.True(float64(members)/heartbeatInterval(members).Seconds() <= 251)
	}
}

// TestFailureIsNoticedAsSoonInLargeCells guards against a failure detection that slows down as the cell grows: members of
// a cell of 585 sent a heartbeat each 2.3 s, and a holder that had lost the store was replaced after 4.2 s.
func TestFailureIsNoticedAsSoonInLargeCells(t *testing.T) {
	const (
		maxHeartbeats = 400 // a second, that the holder answers
		noticedAfter  = silenceThreshold
	)
	is := is.New(t)
	for _, size := range []int{7, 43, 300, 585, 1170, 12000} {
		var members []Member
		for i := range size {
			members = append(members, Member{Name: fmt.Sprintf("m%05d", i), Cores: 0.2 + float64(i%3), Addr: "x"})
		}
		var w watch
		rate, soonest := 0.0, time.Hour
		for _, m := range members[1:] {
			interval := w.interval(members, members[0].Name, m.Name)
			rate += 1 / interval.Seconds()
			soonest = min(soonest, silenceLimit(interval))
		}
		is.True(rate <= maxHeartbeats)
		is.Equal(soonest, noticedAfter)
		best := Candidates(members, members[0].Name)[0]
		is.Equal(silenceLimit(w.interval(members, members[0].Name, best.Name)), noticedAfter)
	}
}

// TestEntriesOfOtherWriters checks that an entry that cannot be decoded, has another member's
// name or has no address is skipped, and that the other entries remain valid.
func TestEntriesOfOtherWriters(t *testing.T) {
	is := is.New(t)
	other := entry(is, "x")
	other.Key = memberKey("b")
	bad := map[string]platform.Record{
		"garbage":        {Key: memberKey("b"), Value: []byte("\xff\x00")},
		"nothing":        {Key: memberKey("b")},
		"another name":   other,
		"another shape":  {Key: memberKey("b"), Value: []byte{0x83, 1, 2, 3}},
		"without fields": {Key: memberKey("b"), Value: []byte{0xa0}},
	}
	for name, rec := range bad {
		v := NewView()
		is.True(v.applyMembers([]platform.Record{rec, entry(is, "a")}) != nil)
		is.Equal(names(v.Registered()), []string{"a"})
		is.NoErr(v.applyChange(platform.Change{Record: entry(is, "b")}))
		if v.applyChange(platform.Change{Record: rec}) == nil {
			t.Error(name, "accepted")
		}
		is.Equal(names(v.Registered()), []string{"a"})
	}
}

// FuzzMembers checks that no entry causes a panic, and that every accepted entry has an address.
func FuzzMembers(f *testing.F) {
	f.Add("a", entry(is.New(f), "a").Value)
	f.Add("b", []byte{0xa1, 1, 0x61, 'b'})
	f.Fuzz(func(t *testing.T, name string, value []byte) {
		v := NewView()
		err := v.applyChange(platform.Change{Record: platform.Record{Key: memberKey(name), Value: value}})
		for _, m := range v.Registered() {
			if err != nil || m.Addr == "" || m.Name != name {
				t.Errorf("%+v, %v", m, err)
			}
		}
	})
}
