// Package host is the port to the hosts that run tasks: what a host is, the
// calls it takes, and what a failed call promises.
//
// A host is the record of what runs on it. It keeps the highest epoch that it
// was spoken to with and does nothing for a lower one. Everything that runs on
// it shares one lease, counted on the host's own steady clock; when the lease
// ends, everything on the host is killed.
package host

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pulleyquay/internal/spec"
)

// ID names a host. One that crashed comes back under the same id or another one.
type ID string

// Life tells the lives of one host apart: the Unix millisecond of its start, by the host's
// own time of day. Zero is a life that is not known. Lives are compared for equality only,
// as the time of day may jump.
type Life int64

// Millis is a reading of one host's own steady clock, in milliseconds. Readings
// of different hosts can not be compared.
type Millis int64

// Info is what a host says of itself.
type Info struct {
	ID   ID
	Life Life
	// Beat rises with each time that the host has said this; what it said may be as old as
	// the last rise.
	Beat    int64
	Addr    string // host:port of its calls
	Zone    string // availability zone
	Service string
	// Kind and Rack are also among the labels.
	Kind, Rack string
	Labels     []string
	Size       spec.Resources
	// Draining hosts get nothing new; they leave after Remaining at the earliest.
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

// Run names one start of a task. Runs of a task rise; the members of a gang
// share theirs.
type Run struct {
	Task spec.StepTask
	No   int
}

// Start orders a run.
type Start struct {
	Run
	// Life is the life of the host that is to begin it. Another one under the same id has its
	// clock and its highest epoch begin anew, so neither keeps it from a start that comes late.
	// Zero is a host that does not tell its lives apart.
	Life    Life
	Command string
	// Deadline is by the host's clock: a start that arrives later is refused. It
	// also makes the host's lease last at least as long.
	Deadline Millis
	// Checkpoint continues an earlier run; empty begins anew.
	Checkpoint string
	// Ticket allows the step on the host where a policy asks for one.
	Ticket string
}

// Refusal is a reason for which a host did not carry out a start.
type Refusal string

// The reasons of a host. None of them starts anything.
const (
	RefusedFenced    Refusal = "fenced"    // it was spoken to with a higher epoch
	RefusedOld       Refusal = "old"       // a run as high was stopped or ended there
	RefusedLate      Refusal = "late"      // it came after its deadline
	RefusedFull      Refusal = "full"      // no room
	RefusedTicket    Refusal = "ticket"    // the ticket is missing or has run out
	RefusedUnhealthy Refusal = "unhealthy" // the host is not well
	RefusedInvalid   Refusal = "invalid"   // the host can not understand it
)

// Reply is the answer to a start, stop or pace.
type Reply struct {
	// Clock is the host's clock when it answered; zero when it did not say.
	Clock Millis
	// Refused is empty when the order was carried out.
	Refused Refusal
}

// Look asks what runs on a host. With a Lease it also renews the host's lease.
type Look struct {
	// Seen forgets the ends up to this number. They are those of one life: another one
	// under the same id has ends of its own with these numbers, and is not told.
	Seen int64
	Life Life
	// Lease is until when, by the host's clock, everything there may run; zero
	// renews nothing.
	Lease Millis
	// Wait is how long the host may hold the answer back for an end to report.
	Wait time.Duration
}

// Running is one run on a host.
type Running struct {
	Run
	Checkpoint string
	// Percent is how much of its work is done, or, for a long-running task, 100
	// once it is at work.
	Percent float64
	// Gauge is a rough figure for the last half second: the tail of the response
	// times in milliseconds of a serving task, the milli-cores in use of another.
	Gauge float64
}

// How tells how a run ended.
type How string

// The ways in which a run ends.
const (
	EndDone    How = "done"
	EndFailed  How = "failed"  // by its own fault or the host's
	EndStopped How = "stopped" // by order
	EndLapsed  How = "lapsed"  // its lease ended
	EndBroken  How = "broken"  // another member of the gang ended
	EndAlone   How = "alone"   // it waited too long for the other members
)

// End is the end of a run. Numbers rise from 1 in each life of a host.
type End struct {
	Number int64
	Run
	How        How
	Checkpoint string
}

// View is what a host shows: all that runs, and ends not yet forgotten (the
// oldest few hundred of them).
type View struct {
	Clock   Millis
	Life    Life
	Running []Running
	Ended   []End
	// Fenced is true when the host was spoken to with a higher epoch; the rest is
	// then empty.
	Fenced bool
}

// Errors of a call. After ErrNotSent and ErrOtherLife the call has had no effect
// and never will; after ErrLost it may take effect, also seconds later.
var (
	ErrNotSent   = errors.New("host: not reached, nothing was sent")
	ErrLost      = errors.New("host: sent, no answer")
	ErrOtherLife = errors.New("host: another life of the host answered")
	// ErrBroken is an ErrLost whose connection broke before the answer. The process at its
	// other end was there until then; a host that is cut off or without power breaks none.
	ErrBroken = fmt.Errorf("%w: the connection broke", ErrLost)
	// ErrRefused is an ErrNotSent where the host's machine turned the call away, as its
	// process is gone.
	ErrRefused = fmt.Errorf("%w: turned away", ErrNotSent)
)

// Client makes calls to hosts. Each call is sent at most once.
type Client interface {
	// Start never has another life than s.Life begin the run, unless that is zero.
	Start(ctx context.Context, to Info, epoch uint64, s Start) (Reply, error)
	Stop(ctx context.Context, to Info, epoch uint64, r Run) (Reply, error)
	// Look never has another life than l.Life forget anything, unless that is zero. It may
	// leave l.Seen out when it can not be sure; the host then lists the ends once more.
	Look(ctx context.Context, to Info, epoch uint64, l Look) (View, error)
	// Pace lets a run work at a share of its speed, 0 to 100 percent.
	Pace(ctx context.Context, to Info, epoch uint64, r Run, percent int) (Reply, error)
}
