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
