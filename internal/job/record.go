package job

import (
	"fmt"
	"math/bits"

	"github.com/fxamacker/cbor/v2"

	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

// record is what the store keeps of one job under jobs/<partition>/<id>. It
// holds what can not be learned again from the workers: the specification,
// which tasks are finished, how often tasks failed, and how the job ended.
type record struct {
	Job       spec.Job     `cbor:"1,keyasint"`
	Submitted int64        `cbor:"2,keyasint"` // wall clock, Unix milliseconds
	State     jobmsg.State `cbor:"3,keyasint"`
	Code      result.Code  `cbor:"4,keyasint,omitempty"`
	Reason    string       `cbor:"5,keyasint,omitempty"`
	Ended     int64        `cbor:"6,keyasint,omitempty"` // wall clock, Unix milliseconds
	Done      bitmap       `cbor:"7,keyasint,omitempty"`
	Failures  map[int]int  `cbor:"8,keyasint,omitempty"` // by task index
	// Origin is the epoch of the home that accepted the job.
	Origin uint64 `cbor:"9,keyasint"`
}

// keyPrefix returns the prefix of the records of a partition's jobs.
func keyPrefix(partition int) string { return fmt.Sprintf("jobs/%d/", partition) }

// key returns the key of a job's record.
func key(partition int, id string) string { return keyPrefix(partition) + id }

func encodeRecord(r *record) ([]byte, error) { return cbor.Marshal(r) }

func decodeRecord(b []byte) (*record, error) {
	r := &record{}
	if err := cbor.Unmarshal(b, r); err != nil {
		return nil, fmt.Errorf("job record: %w", err)
	}
	return r, nil
}

// sameSpec reports whether two jobs are the same apart from nothing: an
// idempotent submit repeats every field.
func sameSpec(a, b spec.Job) bool {
	x, errX := cbor.Marshal(a)
	y, errY := cbor.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

// bitmap is a set of small numbers.
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
