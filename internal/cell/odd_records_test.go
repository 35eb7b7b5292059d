package cell

import (
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"pulleyquay/internal/host"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/platform"
)

// TestOddMembers: an entry with a port out of range is of no member that can be called, and amounts that are no numbers
// would make the order in which members succeed the holder differ between members.
func TestOddMembers(t *testing.T) {
	for name, m := range map[string]Member{
		"port too large": {Name: "x", Addr: "10.0.0.1:70000"}, "port 0": {Name: "x", Addr: "10.0.0.1:0"}, "negative port": {Name: "x", Addr: "10.0.0.1:-1"},
		"port is text": {Name: "x", Addr: "10.0.0.1:http"}, "another name": {Name: "y", Addr: "10.0.0.1:1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			value, err := cbor.Marshal(m)
			is.NoErr(err)
			v := NewView()
			is.True(v.applyMembers([]platform.Record{{Key: memberKey("x"), Value: value}, entry(is, "a")}) != nil)
			is.Equal(names(v.Registered()), []string{"a"})
			is.True(v.applyChange(platform.Change{Record: platform.Record{Key: memberKey("x"), Value: value}}) != nil)
			is.Equal(names(v.Registered()), []string{"a"})
		})
	}
	for _, amount := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e300} {
		is := is.New(t)
		value, err := cbor.Marshal(Member{Name: "x", Addr: "10.0.0.1:1", Cores: amount, LinkMbps: amount, StartedUnixMilli: math.MinInt64})
		is.NoErr(err)
		v := NewView()
		is.NoErr(v.applyMembers([]platform.Record{{Key: memberKey("x"), Value: value}}))
		m := v.Registered()[0]
		is.True(m.Cores >= 0 && m.Cores <= maxCores)
		is.True(m.LinkMbps >= 0 && m.LinkMbps <= maxLinkMbps)
		is.True(m.StartedUnixMilli >= 0)
	}
}

// TestOddHolders guards against a record of another key: a holder record counts for the partition of its key alone. One of another partition would send all
// jobs to a process that does not hold theirs, for good, as its epoch is higher.
func TestOddHolders(t *testing.T) {
	for name, tc := range map[string]struct {
		key    string
		holder ledger.Holder
	}{
		"of another partition": {ledger.HolderKey(9), ledger.Holder{Epoch: 99, Name: "x", Addr: "10.0.0.1:1"}},
		"under no partition":   {ledger.HolderPrefix + "x", ledger.Holder{Epoch: 99, Name: "x", Addr: "10.0.0.1:1"}},
		"no epoch":             {ledger.HolderKey(0), ledger.Holder{Name: "x", Addr: "10.0.0.1:1"}},
		"the last epoch":       {ledger.HolderKey(0), ledger.Holder{Epoch: math.MaxUint64, Name: "x", Addr: "10.0.0.1:1"}},
		"one of the last":      {ledger.HolderKey(0), ledger.Holder{Epoch: math.MaxUint64 - host.TokensPerEpoch + 1, Name: "x", Addr: "10.0.0.1:1"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			value, err := cbor.Marshal(tc.holder)
			is.NoErr(err)
			v := NewView()
			v.UpdateHolder(ledger.Holder{Epoch: 4, Name: "a", Addr: "10.0.0.2:1", Revision: 40})
			is.True(v.applyChange(platform.Change{Record: platform.Record{Key: tc.key, Value: value, ModRevision: 50}}) != nil)
			h, _ := v.Holder(0)
			is.Equal(h.Name, "a")
		})
	}
}
