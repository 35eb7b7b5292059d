package job

import (
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

// record is what the store keeps of one job under jobs/<partition>/<id>. It holds what the hosts
// cannot report again: the specification, which tasks are finished, how often tasks failed, and
// how the job ended.
type record struct {
	Job       spec.Job     `cbor:"1,keyasint"`
	Submitted int64        `cbor:"2,keyasint"` // wall clock, Unix milliseconds
	State     jobmsg.State `cbor:"3,keyasint"`
	Code      result.Code  `cbor:"4,keyasint,omitempty"`
	Reason    string       `cbor:"5,keyasint,omitempty"`
	Ended     int64        `cbor:"6,keyasint,omitempty"` // wall clock, Unix milliseconds
	Done      bitmap       `cbor:"7,keyasint,omitempty"`
	Failures  map[int]int  `cbor:"8,keyasint,omitempty"` // by task index
	// OriginEpoch is the epoch of the job owner that accepted the job.
	OriginEpoch uint64 `cbor:"9,keyasint"`
	// Generation counts the changes of a service's specification; TaskGeneration is the generation
	// that its current tasks were started with.
	Generation     int `cbor:"10,keyasint,omitempty"`
	TaskGeneration int `cbor:"13,keyasint,omitempty"`
	// PastSpecs holds earlier specifications whose tasks may still run, PeakReplicas the largest
	// number of replicas that may run.
	PastSpecs    []pastSpec `cbor:"11,keyasint,omitempty"`
	PeakReplicas int        `cbor:"14,keyasint,omitempty"`
	// Submission is the fingerprint of the specification as first submitted.
	Submission uint64 `cbor:"12,keyasint"`
	// Crashes lists the host failures attributed to each task, by task index.
	Crashes map[int]crashloop.History `cbor:"15,keyasint,omitempty"`
	// LastFailedAttempt is the latest attempt counted in Failures, by task index, and
	// LastFailedGangAttempt the latest attempt of the gang run that was counted last. The report of
	// a failure is repeated to the next job owner, which must not count it again.
	LastFailedAttempt     map[int]int `cbor:"16,keyasint,omitempty"`
	LastFailedGangAttempt int         `cbor:"17,keyasint,omitempty"`
}

// recordKeyPrefix returns the prefix of the records of a partition's jobs.
func recordKeyPrefix(partition int) string { return fmt.Sprintf("jobs/%d/", partition) }

// recordKey returns the key of a job's record.
func recordKey(partition int, id string) string { return recordKeyPrefix(partition) + id }

func encodeRecord(r *record) ([]byte, error) { return cbor.Marshal(r) }

func decodeRecord(b []byte) (*record, error) {
	r := &record{}
	if err := cbor.Unmarshal(b, r); err != nil {
		return nil, fmt.Errorf("decode job record: %w", err)
	}
	return r, nil
}

// fingerprint is a hash over all fields of a specification.
func fingerprint(j spec.Job) uint64 {
	b, err := canonicalMode.Marshal(j)
	if err != nil {
		return 0 // a struct of plain values always encodes
	}
	return xxhash.Sum64(b)
}

// canonicalMode encodes maps in a fixed order, so that equal values give equal bytes.
var canonicalMode = newCanonicalMode()

func newCanonicalMode() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // only on contradictory options
	}
	return mode
}

// sameSpec reports whether two specifications are equal in every field.
func sameSpec(a, b spec.Job) bool { return fingerprint(a) == fingerprint(b) }

// bitmap is a set of small integers.
type bitmap []byte

func newBitmap(n int) bitmap { return make(bitmap, (n+7)/8) }

func (b bitmap) has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

func (b bitmap) set(i int) { b[i/8] |= 1 << (i % 8) }

func (b bitmap) count() int {
	n := 0
	for _, x := range b {
		n += bits.OnesCount8(x)
	}
	return n
}
