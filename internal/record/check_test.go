package record

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"pulleyquay/internal/spec"
)

// TestTotalsOfAnEndedJobAreLimited guards against sums over an account's jobs that overflow: such a record is still
// reported to callers.
func TestTotalsOfAnEndedJobAreLimited(t *testing.T) {
	is := is.New(t)
	value, err := Encode(Job{
		Ended: StateFailed, RunningAtEnd: spec.Resources{MilliCPU: math.MaxInt64, MemoryMiB: math.MinInt64, Accelerators: 3},
		MaxTaskSize: spec.Resources{MilliCPU: -1},
	})
	is.NoErr(err)
	j, err := DecodeJob(value)
	is.NoErr(err)
	is.Equal(j.Ended, StateFailed)
	is.Equal(j.RunningAtEnd, spec.Resources{MilliCPU: maxTotal, Accelerators: 3})
	is.Equal(j.MaxTaskSize, spec.Resources{})
}

// TestOddRosters: a roster that cannot be read, or contradicts itself, is not an empty one, with which the next holder
// would wait for no host. A lease bound whose nanoseconds overflow shortened the wait.
func TestOddRosters(t *testing.T) {
	for name, r := range map[string]Roster{
		"a host without a name": {Hosts: []RosterHost{{ID: "a"}, {}}},
		"a host listed twice":   {Hosts: []RosterHost{{ID: "a"}, {ID: "b"}, {ID: "a", Closed: true}}},
	} {
		t.Run(name, func(t *testing.T) {
			value, err := Encode(r)
			is.New(t).NoErr(err)
			r, err := DecodeRoster(value)
			is.New(t).True(err != nil)
			is.New(t).True(r.Unreadable)
		})
	}
	for _, value := range [][]byte{nil, []byte("garbage"), {0xa1, 0x01, 0x01}, {0xff}} {
		r, err := DecodeRoster(value)
		is.New(t).True(err != nil)
		is.New(t).True(r.Unreadable)
	}
	for _, ratio := range []float64{math.NaN(), math.Inf(1), -1, 1.5, 1e300} {
		for _, left := range []int64{math.MaxInt64, math.MinInt64, 1 << 45, -1} {
			is := is.New(t)
			value, err := Encode(Roster{CapacityRatio: ratio, Hosts: []RosterHost{{ID: "a", LeaseLeftMillis: left}, {ID: "b", LeaseLeftMillis: 8000}}})
			is.NoErr(err)
			r, err := DecodeRoster(value)
			is.NoErr(err)
			is.Equal(r.CapacityRatio, 0.0)
			is.Equal(r.Hosts[0].LeaseLeftMillis, int64(0))
			is.Equal(r.Hosts[1].LeaseLeftMillis, int64(8000))
		}
	}
}
