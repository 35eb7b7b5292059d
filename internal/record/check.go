package record

import (
	"errors"
	"fmt"

	"pulleyquay/internal/spec"
)

// Ranges of the numbers in records.
const (
	// maxUnixMilli bounds times: a time within it is in the next centuries.
	maxUnixMilli = int64(1) << 43
	// maxTotal bounds the resources of all tasks of a job together.
	maxTotal = int64(1) << 56
)

var errRange = errors.New("out of range")

// Check returns an error if the job is none that this version can schedule or report. The graph of an ended job is not
// checked, as its record has none.
func (j *Job) Check() error {
	if j.AcceptedUnixMilli < 0 || j.AcceptedUnixMilli > maxUnixMilli || j.EndedUnixMilli < 0 || j.EndedUnixMilli > maxUnixMilli {
		return fmt.Errorf("accepted at %d, ended at %d: %w", j.AcceptedUnixMilli, j.EndedUnixMilli, errRange)
	}
	if j.Ended == "" {
		return j.Graph.Check()
	}
	if !j.Ended.Final() {
		return fmt.Errorf("ended as %q, which is no final state", j.Ended)
	}
	return nil
}

// limitTotals limits the resources in the record of an ended job, which are added up for its account.
func (j *Job) limitTotals() {
	for _, r := range []*spec.Resources{&j.MaxTaskSize, &j.RunningAtEnd, &j.BackfillAtEnd} {
		*r = r.Max(spec.Resources{}).Min(spec.Resources{MilliCPU: maxTotal, MemoryMiB: maxTotal, Accelerators: maxTotal})
	}
}
