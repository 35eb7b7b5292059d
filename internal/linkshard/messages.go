package linkshard

import (
	"errors"
	"fmt"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

// Batch holds the calls that a holder gives to a shard. Hosts, steps and commands are stored in
// tables, to which the rows of the calls refer by index: the tasks of one job share their step and
// their command, the calls to one host its address.
type Batch struct {
	Partition int    `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"`
	// Holder is the address to report to, at most every ReportEvery.
	Holder      string        `cbor:"3,keyasint"`
	ReportEvery time.Duration `cbor:"4,keyasint"`

	Hosts     []hostRow     `cbor:"5,keyasint"`
	Steps     []spec.StepID `cbor:"6,keyasint,omitempty"`
	Commands  []string      `cbor:"7,keyasint,omitempty"`
	Starts    []startRow    `cbor:"8,keyasint,omitempty"`
	Stops     []stopRow     `cbor:"9,keyasint,omitempty"`
	Polls     []pollRow     `cbor:"10,keyasint,omitempty"`
	Throttles []throttleRow `cbor:"11,keyasint,omitempty"`
	// PollIncarnations and StartIncarnations are the incarnations that the polls and the starts are
	// meant for, in their order. They are separate from the rows, as members of versions before and
	// after a change of the rows could not read each other's. A sender of an earlier version omits
	// them, which specifies no incarnation.
	PollIncarnations  []host.Incarnation `cbor:"12,keyasint,omitempty"`
	StartIncarnations []host.Incarnation `cbor:"13,keyasint,omitempty"`
	// HostTokens are the fencing tokens of the calls to the hosts, in the order of Hosts. A sender of an
	// earlier version omits them; its token is the epoch.
	HostTokens []uint64 `cbor:"14,keyasint,omitempty"`
}

// hostToken identifies a row of Hosts: calls to one host may have different tokens.
type hostToken struct {
	id    host.ID
	token uint64
}

// tokenAt returns the fencing token of the calls to the host at an index.
func (b *Batch) tokenAt(index int) uint64 {
	if index < 0 || index >= len(b.HostTokens) {
		return b.Epoch
	}
	return b.HostTokens[index]
}

type hostRow struct {
	_    struct{} `cbor:",toarray"`
	ID   host.ID
	Addr string
}

// runRow identifies a run; Step is the index of its step in the table.
type runRow struct {
	_               struct{} `cbor:",toarray"`
	Step, Index, No int
}

type startRow struct {
	_          struct{} `cbor:",toarray"`
	ID         uint64
	Host       int
	Run        runRow
	Command    int
	Deadline   host.Millis
	Checkpoint string
	Ticket     string
}

type stopRow struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Host int
	Run  runRow
}

type pollRow struct {
	_         struct{} `cbor:",toarray"`
	ID        uint64
	Host      int
	AckedEnds int64
	Lease     host.Millis
	Wait      int64 // milliseconds
}

type throttleRow struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Host    int
	Run     runRow
	Percent int
}

// Report holds the outcomes that a shard has received from hosts.
type Report struct {
	Partition int           `cbor:"1,keyasint"`
	Epoch     uint64        `cbor:"2,keyasint"`
	Steps     []spec.StepID `cbor:"3,keyasint,omitempty"`
	Replies   []replyRow    `cbor:"4,keyasint,omitempty"`
	Views     []viewRow     `cbor:"5,keyasint,omitempty"`
	// ViewIncarnations are the incarnations that the views report, in their order; see
	// Batch.PollIncarnations.
	ViewIncarnations []host.Incarnation `cbor:"6,keyasint,omitempty"`
	// TruncatedViews are the indexes, in Views, of the views with host.View.EndsTruncated.
	TruncatedViews []int `cbor:"7,keyasint,omitempty"`
}

type replyRow struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Failure failure
	Clock   host.Millis
	Refused host.Refusal
}

type viewRow struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Failure failure
	Clock   host.Millis
	Fenced  bool
	Running []runningRow
	Ended   []endRow
}

type runningRow struct {
	_          struct{} `cbor:",toarray"`
	Run        runRow
	Checkpoint string
	Percent    float64
	Gauge      float64
}

type endRow struct {
	_          struct{} `cbor:",toarray"`
	Number     int64
	Run        runRow
	EndReason  host.EndReason
	Checkpoint string
}

// Empty is an acknowledgement without content.
type Empty struct{}

// failure is the encoded error of a call to a host.
type failure uint8

const (
	failureNone failure = iota
	failureNotSent
	failureOtherIncarnation
	failureLost
	failureBroken // earlier versions decode this value and the next as lost
	failureRefused
)

// errReported marks an error at the holder that a shard has reported.
var errReported = errors.New("reported by a link shard")

func failureOf(err error) failure {
	switch {
	case err == nil:
		return failureNone
	case errors.Is(err, host.ErrConnectionRefused):
		return failureRefused
	case errors.Is(err, host.ErrNotSent):
		return failureNotSent
	case errors.Is(err, host.ErrOtherIncarnation):
		return failureOtherIncarnation
	case errors.Is(err, host.ErrConnectionBroken):
		return failureBroken
	}
	return failureLost
}

func (f failure) err() error {
	switch f {
	case failureNone:
		return nil
	case failureNotSent:
		return fmt.Errorf("%w: %w", host.ErrNotSent, errReported)
	case failureOtherIncarnation:
		return fmt.Errorf("%w: %w", host.ErrOtherIncarnation, errReported)
	case failureRefused:
		return fmt.Errorf("%w: %w", host.ErrConnectionRefused, errReported)
	case failureBroken:
		return fmt.Errorf("%w: %w", host.ErrConnectionBroken, errReported)
	}
	return fmt.Errorf("%w: %w", host.ErrLost, errReported)
}

// table assigns indexes to values in the order in which they first occur.
type table[T comparable] struct {
	indexes map[T]int
	values  []T
}

func (t *table[T]) index(v T) int {
	if i, ok := t.indexes[v]; ok {
		return i
	}
	if t.indexes == nil {
		t.indexes = map[T]int{}
	}
	t.indexes[v] = len(t.values)
	t.values = append(t.values, v)
	return len(t.values) - 1
}

// stepTable assigns indexes to the steps of runs.
type stepTable struct{ table[spec.StepID] }

func (t *stepTable) row(r host.Run) runRow {
	return runRow{Step: t.index(r.Task.StepID), Index: r.Task.Index, No: r.No}
}

// errBadRow: a row refers to an index that its table does not have.
var errBadRow = errors.New("linkshard: a row refers to nothing")

// rowAt returns the value at an index of a table.
func rowAt[T any](values []T, index int) (T, error) {
	if index < 0 || index >= len(values) {
		var zero T
		return zero, errBadRow
	}
	return values[index], nil
}

func runOf(steps []spec.StepID, r runRow) (host.Run, error) {
	step, err := rowAt(steps, r.Step)
	return host.Run{Task: spec.StepTask{StepID: step, Index: r.Index}, No: r.No}, err
}
