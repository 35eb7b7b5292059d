// Package host defines the interface to the hosts that run tasks: the data of a host, its calls,
// and what a failed call guarantees.
//
// A host is the authoritative record of what runs on it. It keeps the highest fencing token that its
// present incarnation has received and rejects calls with a lower one. Everything that runs on a host
// shares one lease, measured by the host's own monotonic clock; when the lease expires, the host kills
// everything.
//
// A call that gets no answer may be carried out seconds later, also by the next incarnation of the host
// under the same id, which has received no token yet. A caller keeps such calls out by giving each
// incarnation that it has observed a higher token than its predecessor.
package host

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pulleyquay/internal/spec"
)

// ID identifies a host. A host that crashed returns under the same id or another one.
type ID string

// Incarnation identifies one run of a host's process by the Unix millisecond of its start, on the
// host's own wall clock. Zero is an unknown incarnation. Values are compared for equality only,
// because the wall clock may jump.
type Incarnation int64

// Millis is a reading of one host's own monotonic clock, in milliseconds. Readings of different
// hosts cannot be compared.
type Millis int64

// Info is a host's description of itself.
type Info struct {
	ID          ID
	Incarnation Incarnation
	// HeartbeatSeq increases each time the host sends this description. The content may be as old
	// as the last increase.
	HeartbeatSeq int64
	Addr         string // host:port of its calls
	Zone         string // availability zone
	Service      string
	// Kind and Rack are also among the labels.
	Kind, Rack string
	Labels     []string
	Size       spec.Resources
	// Draining hosts get no new runs; they leave after Remaining at the earliest.
	Draining  bool
	Remaining time.Duration
}

// HasLabel reports whether the host carries the label.
func (i *Info) HasLabel(label string) bool {
	for _, l := range i.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Run identifies one start of a task. The run numbers of a task increase; the members of a gang
// share theirs.
type Run struct {
	Task spec.StepTask
	No   int
}

// Start is an order to start a run.
type Start struct {
	Run
	// Incarnation is the incarnation that has to start the run. Zero is for a host that does not report
	// its incarnation.
	Incarnation Incarnation
	Command     string
	// Deadline is a time on the host's clock: a start that arrives later is refused. A start also
	// extends the host's lease to at least this time.
	Deadline Millis
	// Checkpoint is the checkpoint of an earlier run from which the new run continues. If it is
	// empty, the new run starts from the beginning.
	Checkpoint string
	// Ticket permits the step on the host if a policy requires it.
	Ticket string
}

// Refusal is the reason why a host did not carry out a start.
type Refusal string

// Reasons for a refusal. In all of these cases nothing was started.
const (
	RefusedFenced       Refusal = "fenced"    // it has received a higher token
	RefusedSuperseded   Refusal = "old"       // a run with this number or a higher one was stopped or has ended there
	RefusedPastDeadline Refusal = "late"      // it arrived after its deadline
	RefusedNoCapacity   Refusal = "full"      // not enough free capacity
	RefusedTicket       Refusal = "ticket"    // the ticket is missing or has expired
	RefusedUnhealthy    Refusal = "unhealthy" // the host is not healthy
	RefusedInvalid      Refusal = "invalid"   // the host cannot interpret it
)

// Reply is the host's reply to a start, stop or throttle order.
type Reply struct {
	// Clock is the host's clock at the time of the reply; zero if the host did not report it.
	Clock Millis
	// Refused is empty if the order was carried out.
	Refused Refusal
}

// Poll requests a view of what runs on a host. With a Lease it also renews the host's lease.
type Poll struct {
	// AckedEnds acknowledges the end records up to this number. The numbers belong to one
	// incarnation: another one under the same id has end records of its own with the same numbers,
	// which must not be acknowledged.
	AckedEnds   int64
	Incarnation Incarnation
	// Lease is the time, on the host's clock, until which everything on the host may run; zero
	// does not renew the lease.
	Lease Millis
	// Wait is how long the host may delay the reply until it has an end record to report.
	Wait time.Duration
}

// Running is one run on a host.
type Running struct {
	Run
	Checkpoint string
	// Percent is the progress of the run. For a long-running task it is 100 once the task is
	// working.
	Percent float64
	// Gauge is an approximate value for the last half second: the tail latency in milliseconds
	// for a serving task, the used milli-cores for any other task.
	Gauge float64
}

// EndReason is the way in which a run ended.
type EndReason string

// The ways in which a run ends.
const (
	EndDone         EndReason = "done"
	EndFailed       EndReason = "failed"  // caused by the run or by the host
	EndStopped      EndReason = "stopped" // on request
	EndLeaseExpired EndReason = "lapsed"  // its lease expired
	EndGangBroken   EndReason = "broken"  // another member of the gang ended
	EndGangTimeout  EndReason = "alone"   // it waited too long for the other members
)

// End is the end record of a run. Numbers increase from 1 in each incarnation of a host.
type End struct {
	Number int64
	Run
	EndReason  EndReason
	Checkpoint string
}

// View is the state that a host reports: all runs, and the end records that are not acknowledged, or
// the oldest few hundred of them.
type View struct {
	Clock       Millis
	Incarnation Incarnation
	Running     []Running
	Ended       []End
	// EndsTruncated is true if the host may keep more end records than are listed in Ended: a run
	// that is in neither list may then have ended. The others are listed once those in Ended are
	// acknowledged.
	EndsTruncated bool
	// Fenced is true if the host has received a higher token; all other fields are then empty.
	Fenced bool
}

// Errors of a call. After ErrNotSent and ErrOtherIncarnation the call has had no effect and never
// will; after ErrLost it may take effect, even seconds later and in the host's next incarnation, until
// that has received a higher token.
var (
	ErrNotSent          = errors.New("host: not reachable, nothing was sent")
	ErrLost             = errors.New("host: request sent, no reply")
	ErrOtherIncarnation = errors.New("host: another incarnation of the host replied")
	// ErrConnectionBroken is an ErrLost whose connection broke before the reply. The process at the
	// other end existed until then; a host that is disconnected or without power does not break
	// connections.
	ErrConnectionBroken = fmt.Errorf("%w: connection broken", ErrLost)
	// ErrConnectionRefused is an ErrNotSent for which the host's machine refused the connection,
	// because the host's process has ended.
	ErrConnectionRefused = fmt.Errorf("%w: connection refused", ErrNotSent)
	// ErrUnreported marks an ErrLost or ErrNotSent whose outcome the process that was to make the
	// call has not reported: it says nothing about the host.
	ErrUnreported = errors.New("host: outcome of the call not reported")
)

// Client makes calls to hosts, with a fencing token. Each call is sent at most once.
type Client interface {
	// Start sends the order only to s.Incarnation; zero allows any. An order without an answer may
	// still be carried out by the next incarnation.
	Start(ctx context.Context, to Info, token uint64, s Start) (Reply, error)
	Stop(ctx context.Context, to Info, token uint64, r Run) (Reply, error)
	// Poll acknowledges end records only to p.Incarnation; zero allows any. It may omit the
	// acknowledgement if it is not certain of the incarnation; the host then reports the end records
	// again. A poll without an answer may still be carried out by the next incarnation.
	Poll(ctx context.Context, to Info, token uint64, p Poll) (View, error)
	// Throttle limits a run to a percentage of its full speed, 0 to 100.
	Throttle(ctx context.Context, to Info, token uint64, r Run, percent int) (Reply, error)
}
