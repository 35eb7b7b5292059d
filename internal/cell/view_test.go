package cell

import (
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

// TestHearsayEnds: a member whose entry had gone was told of by a peer that had
// not seen that yet, and then stayed for ever.
func TestHearsayEnds(t *testing.T) {
	is := is.New(t)
	v := NewView()
	is.NoErr(v.applyList([]platform.Record{entry(is, "a"), entry(is, "b")}))
	is.NoErr(v.applyChange(platform.Change{Record: platform.Record{Key: memberKey("b")}, Deleted: true}))
	now := time.Unix(1_800_000_000, 0)
	v.addReported([]Member{{Name: "b"}, {Name: "c"}}, now)
	is.Equal(names(v.Members(now)), []string{"a", "b", "c"})
	is.Equal(names(v.Members(now.Add(reportedMemberTTL))), []string{"a"})
	is.Equal(names(v.Registered()), []string{"a"})
}

func TestLaterHolderStays(t *testing.T) {
	is := is.New(t)
	v := NewView()
	changed := v.Changed()
	v.Learn(ledger.Holder{Epoch: 3, Name: "a", Revision: 30})
	<-changed
	v.Learn(ledger.Holder{Epoch: 2, Name: "b", Revision: 20})
	h, ok := v.Holder(0)
	is.True(ok)
	is.Equal(h.Name, "a")
	v.Learn(ledger.Holder{Epoch: 4, Name: "c", Revision: 40})
	h, _ = v.Holder(0)
	is.Equal(h.Name, "c")
	is.NoErr(v.applyChange(platform.Change{Record: platform.Record{Key: ledger.HolderKey(0)}, Deleted: true}))
	h, _ = v.Holder(0)
	is.Equal(h.Name, "c") // the record of a holder is never taken away
}

func TestEvidence(t *testing.T) {
	held := ledger.Holder{Epoch: 4}
	tests := map[string]struct {
		evidence Evidence
		dead     bool
	}{
		"nobody holds it":                     {Evidence{}, true},
		"heard":                               {Evidence{Holder: held, Silence: 100 * time.Millisecond}, false},
		"another process at its address":      {Evidence{Holder: held, Replaced: true}, true},
		"refused, another agrees":             {Evidence{Holder: held, Refused: true, Others: 5, Agreeing: 1}, true},
		"refused, nobody can be asked":        {Evidence{Holder: held, Refused: true, Others: 5, Silence: time.Second}, false},
		"refused, alone":                      {Evidence{Holder: held, Refused: true}, true},
		"refused here, heard elsewhere":       {Evidence{Holder: held, Refused: true, Others: 5, Agreeing: 4, InContact: 1}, false},
		"silent to all":                       {Evidence{Holder: held, Silence: time.Second, Others: 5, Agreeing: 5}, true},
		"silent to half":                      {Evidence{Holder: held, Silence: time.Second, Others: 4, Agreeing: 2}, true},
		"silent to few, the others not asked": {Evidence{Holder: held, Silence: time.Second, Others: 5, Agreeing: 2}, false},
		"silent here, heard elsewhere":        {Evidence{Holder: held, Silence: 9 * time.Second, Others: 5, Agreeing: 4, InContact: 1, WritesStalled: 9 * time.Second}, false},
		"silent, alone, still writing":        {Evidence{Holder: held, Silence: time.Second, Others: 5}, false},
		"silent, alone, writes no more":       {Evidence{Holder: held, Silence: 3 * time.Second, Others: 5, WritesStalled: stalledWritesThreshold}, true},
		"cut from the store":                  {Evidence{Holder: held, HolderStoreOutage: storeOutageThreshold}, true},
		"cut from the store for a moment":     {Evidence{Holder: held, HolderStoreOutage: storeOutageThreshold / 2}, false},
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
	is.Equal(ClaimDelay(members, "e", members[0]), 2*rankDelay+weakDelay) // the strong may be back soon
}

func TestStronger(t *testing.T) {
	is := is.New(t)
	members := []Member{{Name: "a", Cores: 0.2}, {Name: "b", Cores: 0.8}, {Name: "c", Cores: 0.9, Leaving: true}}
	is.Equal(Stronger(members, Member{Name: "a", Cores: 0.2}), "b")
	is.Equal(Stronger(members, Member{Name: "b", Cores: 0.8}), "")
	is.Equal(Stronger(members, Member{Name: "d", Cores: 0.6}), "") // not by enough
}

// TestLargeCellsBeatLess: a holder answers no more heartbeats a second than it can,
// and is given as much more time as they are apart.
func TestLargeCellsBeatLess(t *testing.T) {
	is := is.New(t)
	for members, want := range map[int]time.Duration{1: MinHeartbeatInterval, 7: MinHeartbeatInterval, 43: MinHeartbeatInterval, 100: 400 * time.Millisecond, 300: 1200 * time.Millisecond} {
		is.Equal(heartbeatInterval(members), want)
		is.Equal(silenceLimit(members)-silenceThreshold, want-MinHeartbeatInterval)
		is.True(float64(members)/heartbeatInterval(members).Seconds() <= 251)
	}
}

// TestEntriesOfOtherWriters: an entry that can not be read, or names another member or no
// address, stands for no member; the others hold.
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
		is.True(v.applyList([]platform.Record{rec, entry(is, "a")}) != nil)
		is.Equal(names(v.Registered()), []string{"a"})
		is.NoErr(v.applyChange(platform.Change{Record: entry(is, "b")}))
		if v.applyChange(platform.Change{Record: rec}) == nil {
			t.Error(name, "taken")
		}
		is.Equal(names(v.Registered()), []string{"a"})
	}
}

// FuzzMembers: no entry ends the process, and none that is taken lacks an address.
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
