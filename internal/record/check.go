package record

import (
	"errors"
	"fmt"
	"time"

	"pulleyquay/internal/spec"
)

// Ranges of the numbers in records.
const (
	// maxUnixMilli bounds times: a time within it is in the next centuries.
	maxUnixMilli = int64(1) << 43
	// maxTotal bounds the resources of all tasks of a job together.
	maxTotal = int64(1) << 56
)

// maxLeaseLeftMillis bounds the leases that a roster states: a longer one is none.
const maxLeaseLeftMillis = int64(24 * time.Hour / time.Millisecond)

var errRange = errors.New("out of range")

// Sanitize returns an error if the job is none that this version can schedule or report, and brings the other numbers
// into their ranges. It has to be called for each job of another writer.
func (j *Job) Sanitize() error {
	if err := j.check(); err != nil {
		return err
	}
	j.Rules = j.Rules.Limited()
	j.limitTotals()
	return nil
}

// check checks the times and the state, and the graph unless the job has ended: its record has none then.
func (j *Job) check() error {
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

// check returns an error if the roster does not tell which hosts have received orders.
func (r *Roster) check() error {
	seen := make(map[string]bool, len(r.Hosts))
	for i := range r.Hosts {
		id := r.Hosts[i].ID
		if id == "" || seen[id] {
			return fmt.Errorf("host %q without a name or listed twice", id)
		}
		seen[id] = true
	}
	return nil
}

// limit removes figures beyond their range. Without them the next holder waits longer and assumes no reduction.
func (r *Roster) limit() {
	if !(r.CapacityRatio > 0 && r.CapacityRatio <= 1) { // also NaN
		r.CapacityRatio = 0
	}
	for i := range r.Hosts {
		if left := &r.Hosts[i].LeaseLeftMillis; *left < 0 || *left > maxLeaseLeftMillis {
			*left = 0
		}
	}
}
