// Package worker is the port to the workers: the messages that a worker
// understands and the client interface for them.
//
// A worker is the record of what runs on it. It remembers the highest epoch it
// has been claimed with and refuses orders of any lower one, and it refuses an
// order whose expiry has passed by its own clock. Tasks run under leases: a
// task whose lease is not renewed is stopped by the worker itself.
package worker

import (
	"context"
	"errors"

	"pulleyquay/internal/spec"
)

// Millis is a reading of one worker's own monotonic clock, in milliseconds.
// Readings of different workers can not be compared.
type Millis int64

// Info is what a worker says of itself.
type Info struct {
	Name            string            `json:"name"`
	Rack            string            `json:"rack"`
	Zone            string            `json:"zone"`
	Size            spec.Resources    `json:"size"`
	AcceleratorKind string            `json:"accelerator_kind,omitempty"`
	Generation      int               `json:"generation,omitempty"`
	Labels          map[string]string `json:"labels,omitempty"`
}

// State is the state of a task on a worker.
type State string

// States of a task on a worker.
const (
	StateRunning  State = "running"
	StateFinished State = "finished" // ended by itself with ExitCode
	StateStopped  State = "stopped"  // stopped by order or lapsed lease
)

// Run is one attempt at one task on one worker. It stays at the worker after
// its end until it is acknowledged.
type Run struct {
	Task    spec.TaskID `json:"task"`
	Attempt int         `json:"attempt"`
	// Home is the job's partition, kept so that an inventory can be routed.
	Home  int            `json:"home"`
	Size  spec.Resources `json:"size,omitzero"`
	Kind  spec.Kind      `json:"kind,omitempty"`
	State State          `json:"state"`
	// Urgent and Priority are kept for choosing what to preempt.
	Urgent   bool   `json:"urgent,omitempty"`
	Priority int64  `json:"priority,omitempty"`
	ExitCode int    `json:"exit_code,omitempty"`
	Started  Millis `json:"started,omitempty"`
	// LeaseUntil is when the worker will stop the run unless renewed.
	LeaseUntil Millis `json:"lease_until,omitempty"`
}

// Ending returns only what names the run and how it ended, as it stands in an
// OrderReply: whoever gets that has the rest from the start or the inventory.
func (r Run) Ending() Run {
	return Run{Task: r.Task, Attempt: r.Attempt, Home: r.Home, State: r.State, ExitCode: r.ExitCode}
}

// ClaimRequest takes over a worker for a partition's new holder.
type ClaimRequest struct {
	Partition int    `json:"partition"`
	Epoch     uint64 `json:"epoch"`
	Holder    string `json:"holder"`
}

// Life tells the lives of one worker apart: the runs of its process. Zero is one that is not
// told.
type Life int64

// ClaimReply is the inventory: everything that runs or waits for its
// acknowledgement.
type ClaimReply struct {
	Info Info `json:"info"`
	// Life is the life that answers, Up for how long it has been there; zero where that is not
	// told.
	Life  Life           `json:"life,omitempty"`
	Up    Millis         `json:"up_ms,omitempty"`
	Now   Millis         `json:"now"`
	Runs  []Run          `json:"runs"`
	Usage spec.Resources `json:"usage"`
}

// Start orders one run.
type Start struct {
	Task      spec.TaskID    `json:"task"`
	Attempt   int            `json:"attempt"`
	Home      int            `json:"home"`
	Kind      spec.Kind      `json:"kind"`
	Urgent    bool           `json:"urgent,omitempty"`
	Priority  int64          `json:"priority,omitempty"`
	Size      spec.Resources `json:"size"`
	RunMillis int64          `json:"run_ms,omitempty"`
	Command   string         `json:"command,omitempty"`
}

// StopMode is how a run is to be ended or slowed.
type StopMode string

// Modes of a stop, mildest first.
const (
	Throttle   StopMode = "throttle"
	Checkpoint StopMode = "checkpoint"
	Kill       StopMode = "stop"
)

// Attempt names one run.
type Attempt struct {
	Task    spec.TaskID `json:"task"`
	Attempt int         `json:"attempt"`
}

// Stop orders the end or the throttling of one run.
type Stop struct {
	Attempt
	Mode StopMode `json:"mode"`
}

// Order is everything a holder has to say to a worker in one message.
type Order struct {
	Partition int    `json:"partition"`
	Epoch     uint64 `json:"epoch"`
	// Life is the one that is meant: another one refuses the order whole, as its clock and its
	// claims begin anew. Zero is any.
	Life Life `json:"life,omitempty"`
	// Expires is by the worker's own clock: an order that arrives later is
	// refused whole. It is worked out from the last reply's Now.
	Expires Millis `json:"expires"`
	// RenewMillis renews the lease of every run on the worker by that much;
	// zero renews nothing.
	RenewMillis int64     `json:"renew_ms,omitempty"`
	Stops       []Stop    `json:"stops,omitempty"`
	Starts      []Start   `json:"starts,omitempty"`
	Acks        []Attempt `json:"acks,omitempty"`
}

// StartResult tells what became of one start, in the order of Order.Starts.
type StartResult struct {
	Started bool   `json:"started"`
	Reason  string `json:"reason,omitempty"`
}

// OrderReply is the worker's answer. Ended holds the endings of the runs that
// are not yet acknowledged; running ones are not repeated, only counted, so
// that the message stays small.
type OrderReply struct {
	Now     Millis         `json:"now"`
	Results []StartResult  `json:"results,omitempty"`
	Ended   []Run          `json:"ended,omitempty"`
	Running int            `json:"running"`
	Usage   spec.Resources `json:"usage"`
}

// Errors of a worker client. Any other error, and ErrLost, leave the outcome of
// an order unknown: only a new claim tells.
var (
	ErrFenced     = errors.New("worker: a higher epoch has claimed it")
	ErrExpired    = errors.New("worker: order came after its expiry")
	ErrNotClaimed = errors.New("worker: not claimed since its start, or another life is meant")
	ErrNotReached = errors.New("worker: not reached, nothing was sent")
	ErrLost       = errors.New("worker: sent, no answer")
)

// Client talks to workers by address. It must not repeat a call by itself.
type Client interface {
	Claim(ctx context.Context, addr string, req ClaimRequest) (ClaimReply, error)
	Order(ctx context.Context, addr string, order Order) (OrderReply, error)
}
