// Package worker defines the protocol between holders and workers: the messages and
// the client interface.
//
// A worker is the authoritative record of its runs. It keeps the highest epoch with
// which it has been claimed and refuses orders of a lower epoch. It also refuses orders
// that have expired by its own clock. Tasks run under leases: a worker stops a task
// whose lease is not renewed.
package worker

import (
	"context"
	"errors"

	"pulleyquay/internal/spec"
)

// Millis is a reading of one worker's own monotonic clock, in milliseconds.
// Readings of different workers can not be compared.
type Millis int64

// Info describes a worker, as reported by the worker.
type Info struct {
	Name            string            `json:"name"`
	Rack            string            `json:"rack"`
	Zone            string            `json:"zone"`
	Size            spec.Resources    `json:"size"`
	AcceleratorKind string            `json:"accelerator_kind,omitempty"`
	Generation      int               `json:"generation,omitempty"`
	Labels          map[string]string `json:"labels,omitempty"`
}

// State is the state of a run.
type State string

// The states of a run.
const (
	StateRunning  State = "running"
	StateFinished State = "finished" // exited with ExitCode
	StateStopped  State = "stopped"  // stopped by an order or because its lease expired
)

// Run is one attempt at one task on one worker. The worker keeps an ended run until the
// end is acknowledged.
type Run struct {
	Task    spec.TaskID `json:"task"`
	Attempt int         `json:"attempt"`
	// Home is the job's home partition; it tells where to route an inventory.
	Home  int            `json:"home"`
	Size  spec.Resources `json:"size,omitzero"`
	Kind  spec.Kind      `json:"kind,omitempty"`
	State State          `json:"state"`
	// Urgent and Priority are used to select runs for preemption.
	Urgent   bool   `json:"urgent,omitempty"`
	Priority int64  `json:"priority,omitempty"`
	ExitCode int    `json:"exit_code,omitempty"`
	Started  Millis `json:"started,omitempty"`
	// LeaseUntil is when the worker stops the run unless its lease is renewed.
	LeaseUntil Millis `json:"lease_until,omitempty"`
}

// EndRecord returns the run with only its identity and outcome, the form used in an
// OrderReply. The receiver has the other fields from the start or the inventory.
func (r Run) EndRecord() Run {
	return Run{Task: r.Task, Attempt: r.Attempt, Home: r.Home, State: r.State, ExitCode: r.ExitCode}
}

// ClaimRequest claims a worker for the new holder of a partition.
type ClaimRequest struct {
	Partition int    `json:"partition"`
	Epoch     uint64 `json:"epoch"`
	Holder    string `json:"holder"`
}

// Incarnation identifies an incarnation of a worker: one run of its process. Zero means that the
// incarnation is not reported.
type Incarnation int64

// ClaimReply is the worker's inventory: all runs that are running or whose end is not yet
// acknowledged.
type ClaimReply struct {
	Info Info `json:"info"`
	// Incarnation is the replying incarnation and Up its uptime; zero if they are not reported.
	Incarnation Incarnation    `json:"life,omitempty"`
	Uptime      Millis         `json:"up_ms,omitempty"`
	Now         Millis         `json:"now"`
	Runs        []Run          `json:"runs"`
	Usage       spec.Resources `json:"usage"`
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

// StopMode is how a run is to be stopped or throttled.
type StopMode string

// The stop modes, in order of increasing severity.
const (
	ModeThrottle   StopMode = "throttle"
	ModeCheckpoint StopMode = "checkpoint"
	ModeStop       StopMode = "stop"
)

// Attempt identifies one run.
type Attempt struct {
	Task    spec.TaskID `json:"task"`
	Attempt int         `json:"attempt"`
}

// Stop orders that one run be stopped or throttled.
type Stop struct {
	Attempt
	Mode StopMode `json:"mode"`
}

// Order contains all the instructions of a holder to a worker in one message.
type Order struct {
	Partition int    `json:"partition"`
	Epoch     uint64 `json:"epoch"`
	// Incarnation is the incarnation that the order is for. Another incarnation refuses the whole
	// order, because its clock and its claims start afresh. Zero means any incarnation.
	Incarnation Incarnation `json:"life,omitempty"`
	// Expires is a time by the worker's own clock, computed from Now of the last reply.
	// The worker refuses the whole order if it arrives later.
	Expires Millis `json:"expires"`
	// RenewMillis renews the lease of every run on the worker to that many milliseconds
	// from now; zero renews no lease.
	RenewMillis int64     `json:"renew_ms,omitempty"`
	Stops       []Stop    `json:"stops,omitempty"`
	Starts      []Start   `json:"starts,omitempty"`
	Acks        []Attempt `json:"acks,omitempty"`
}

// StartResult is the result of one start. Results are in the order of Order.Starts.
type StartResult struct {
	Started bool   `json:"started"`
	Reason  string `json:"reason,omitempty"`
}

// OrderReply is the worker's reply to an order. Ended has the end records that are not
// yet acknowledged. Running runs are only counted, which keeps the message small.
type OrderReply struct {
	Now     Millis         `json:"now"`
	Results []StartResult  `json:"results,omitempty"`
	Ended   []Run          `json:"ended,omitempty"`
	Running int            `json:"running"`
	Usage   spec.Resources `json:"usage"`
}

// Errors of a worker client. After ErrLost or any other error the outcome of an order is
// unknown until a new claim returns the inventory.
var (
	ErrFenced      = errors.New("worker: a higher epoch has claimed it")
	ErrExpired     = errors.New("worker: order came after its expiry")
	ErrNotClaimed  = errors.New("worker: not claimed since its start, or another life is meant")
	ErrUnreachable = errors.New("worker: not reached, nothing was sent")
	ErrNoReply     = errors.New("worker: sent, no answer")
)

// Client calls workers by address. It must not retry a call.
type Client interface {
	Claim(ctx context.Context, addr string, req ClaimRequest) (ClaimReply, error)
	Order(ctx context.Context, addr string, order Order) (OrderReply, error)
}
