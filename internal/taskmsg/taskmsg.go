// Package taskmsg defines the messages between job owners and holders of workers.
// The owner of a job, which is the holder of its home partition, decides what has to
// run. The holder of a worker decides where it runs and sends orders to the worker.
//
// Holders fence job owners: a holder records, per home partition, the highest epoch
// in a request and refuses lower ones with result code HomeFenced. A new job owner
// therefore requests every holder's inventory before it starts a task.
package taskmsg

import (
	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker"
)

// Home identifies a job's owner: the job's home partition and its epoch there.
type Home struct {
	Partition int    `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"`
}

// Policy is the part of a branch's effective settings that placement needs.
type Policy struct {
	Name        string `cbor:"1,keyasint"`
	SpreadZones bool   `cbor:"2,keyasint,omitempty"`
	SpreadRacks bool   `cbor:"3,keyasint,omitempty"`
	// Key 4 was a lease per branch; it is not used any more, because a worker renews the
	// leases of all its runs together.
	Priority int64 `cbor:"5,keyasint,omitempty"`
	// Key 6 was an estimated size; see docs/PLACEMENT.md.

	// MinReplicas is the minimum number of a service's replicas that preemption leaves running.
	MinReplicas int64 `cbor:"7,keyasint,omitempty"`
}

// Shape contains what all tasks of one request have in common.
type Shape struct {
	Job    string    `cbor:"1,keyasint"`
	Kind   spec.Kind `cbor:"2,keyasint"`
	Urgent bool      `cbor:"3,keyasint,omitempty"`
	Task   spec.Task `cbor:"4,keyasint"`
	Policy Policy    `cbor:"5,keyasint"`
	// Avoid lists workers that are excluded because the job has failed on them.
	Avoid []string `cbor:"6,keyasint,omitempty"`
	// RunningByZone counts the job's running tasks by availability zone, for spreading.
	RunningByZone map[string]int `cbor:"7,keyasint,omitempty"`
	// Aged is true if the job has waited so long that a holder without free capacity
	// reserves a worker for it.
	Aged bool `cbor:"8,keyasint,omitempty"`
}

// Slot names one attempt at one task of a shape's job.
type Slot struct {
	Index   int `cbor:"1,keyasint"`
	Attempt int `cbor:"2,keyasint"`
	// PreemptionExempt is true if the task's previous attempt was preempted. This attempt is then
	// exempt from preemption.
	PreemptionExempt bool `cbor:"3,keyasint,omitempty"`
}

// PlaceRequest requests that a holder start tasks on its workers.
type PlaceRequest struct {
	Home  Home   `cbor:"1,keyasint"`
	Shape Shape  `cbor:"2,keyasint"`
	Slots []Slot `cbor:"3,keyasint"`
	// Preempt permits preemption of less urgent runs.
	Preempt bool `cbor:"4,keyasint,omitempty"`
}

// Outcome is the result of placing one slot.
type Outcome int

// The outcomes. A slot with OutcomeUnknown stays allocated at the holder, which reports
// the run's state once a claim of the worker has determined it.
const (
	OutcomeStarted Outcome = 1
	OutcomeRefused Outcome = 2 // definitely not started
	OutcomeUnknown Outcome = 3
)

// SlotResult is the outcome of one slot and, if it was started, where.
type SlotResult struct {
	Slot      Slot    `cbor:"1,keyasint"`
	Outcome   Outcome `cbor:"2,keyasint"`
	Worker    string  `cbor:"3,keyasint,omitempty"`
	Zone      string  `cbor:"4,keyasint,omitempty"`
	Partition int     `cbor:"5,keyasint,omitempty"` // of the worker
	Epoch     uint64  `cbor:"6,keyasint,omitempty"` // of the worker's partition
}

// Refusal counts the workers that were excluded in one placement decision, by rule.
type Refusal struct {
	Workers int            `cbor:"1,keyasint" json:"workers"`
	ByRule  map[string]int `cbor:"2,keyasint" json:"by_rule"`
	// Never is true if the task is infeasible here: it would not fit any worker of the
	// holder even without other tasks.
	Never bool `cbor:"3,keyasint,omitempty" json:"never,omitempty"`
}

// PlaceReply is the reply to a PlaceRequest, with one result per slot.
type PlaceReply struct {
	Results []SlotResult `cbor:"1,keyasint"`
	Refusal *Refusal     `cbor:"2,keyasint,omitempty"`
}

// GangReserveRequest requests that a holder reserve capacity for as many of the given slots of a
// gang as it can, without starting them. The reservation has a time limit.
type GangReserveRequest struct {
	Home          Home   `cbor:"1,keyasint"`
	Shape         Shape  `cbor:"2,keyasint"`
	Slots         []Slot `cbor:"3,keyasint"`
	ReservationMS int64  `cbor:"4,keyasint"`
	// AccumulateCapacity is set for a gang that has waited long. The holder then reserves capacity
	// that becomes free for this gang, and refuses less urgent starts, until all slots
	// are reserved or the reservation expires.
	AccumulateCapacity bool `cbor:"5,keyasint,omitempty"`
	// Try is the ascending number of the job owner's try to start the gang. The
	// reservation of a later try replaces that of an earlier one. A delayed message of
	// an earlier try is refused.
	Try int `cbor:"6,keyasint"`
}

// GangReserveReply is the reply to a reservation request: the slots with reserved capacity.
type GangReserveReply struct {
	Reserved []Slot   `cbor:"1,keyasint"`
	Refusal  *Refusal `cbor:"2,keyasint,omitempty"`
}

// GangFinishRequest starts the tasks of a gang's reserved slots, or releases the reservation.
type GangFinishRequest struct {
	Home  Home   `cbor:"1,keyasint"`
	Job   string `cbor:"2,keyasint"`
	Start bool   `cbor:"3,keyasint"`
	// Try is the Try of the GangReserveRequest that made the reservation.
	Try int `cbor:"4,keyasint"`
}

// StopRequest requests that runs be stopped.
type StopRequest struct {
	Home Home             `cbor:"1,keyasint"`
	Runs []worker.Attempt `cbor:"2,keyasint"`
	Mode worker.StopMode  `cbor:"3,keyasint"`
	// Reason is for the log and the job's explanation.
	Reason string `cbor:"4,keyasint,omitempty"`
}

// StopReply lists the runs that the holder has no record of. They definitely do not run
// on its claimed workers.
type StopReply struct {
	Unknown []worker.Attempt `cbor:"1,keyasint,omitempty"`
}

// RunState is a run's state as a holder reports it to the job owner.
type RunState int

// The states in run reports and inventories.
const (
	RunRunning    RunState = 1
	RunFinished   RunState = 2 // exited by itself; ExitCode is valid
	RunStopped    RunState = 3 // stopped on request; no longer runs
	RunLost       RunState = 4 // worker lost and its lease definitely expired
	RunPreempted  RunState = 5 // preempted; no longer runs
	RunNotStarted RunState = 6 // a start of unknown outcome that turned out not to have happened
)

// RunReport is a report of the state of one run.
type RunReport struct {
	Run       worker.Attempt `cbor:"1,keyasint"`
	State     RunState       `cbor:"2,keyasint"`
	ExitCode  int            `cbor:"3,keyasint,omitempty"`
	Worker    string         `cbor:"4,keyasint,omitempty"`
	Zone      string         `cbor:"5,keyasint,omitempty"`
	Partition int            `cbor:"6,keyasint"`
	Epoch     uint64         `cbor:"7,keyasint"`
	// EndUnconfirmed and WasPresent encode the evidence about a lost run. Members of versions
	// without WasPresent read only EndUnconfirmed; if it is true, they do not attribute the loss
	// of the host to the run's task.
	EndUnconfirmed bool `cbor:"8,keyasint,omitempty"`
	WasPresent     bool `cbor:"9,keyasint,omitempty"`
}

// LossEvidence is the evidence about a run that was lost with its worker, for crash attribution.
type LossEvidence int

// The evidence, from the weakest to the strongest.
const (
	// EvidenceNone means that the worker may only be unresponsive, or that the run was never
	// reported by it.
	EvidenceNone LossEvidence = iota
	// EvidencePresent means that the run was present on the worker, which has since started a new
	// incarnation. The run may have ended before the previous incarnation did, without a
	// report of that.
	EvidencePresent
	// EvidenceCrash means that the run was present when the worker's previous incarnation ended.
	EvidenceCrash
)

// String returns the evidence as it is logged.
func (s LossEvidence) String() string { return [...]string{"none", "there", "crash"}[s] }

// SetEvidence sets the evidence about a lost run.
func (n *RunReport) SetEvidence(s LossEvidence) {
	n.EndUnconfirmed, n.WasPresent = s < EvidenceCrash, s == EvidencePresent
}

// LossEvidence returns the evidence about a lost run.
func (n RunReport) LossEvidence() LossEvidence {
	switch {
	case !n.EndUnconfirmed:
		return EvidenceCrash
	case n.WasPresent:
		return EvidencePresent
	}
	return EvidenceNone
}

// RunReports is sent by a holder to the job owner of HomePartition. The holder repeats it until
// it is acknowledged.
type RunReports struct {
	HomePartition int         `cbor:"1,keyasint"`
	Runs          []RunReport `cbor:"2,keyasint"`
}

// RunReportsReply lists the runs whose end the job owner has recorded, so that the worker may
// delete its records of them.
type RunReportsReply struct {
	Acked []worker.Attempt `cbor:"1,keyasint,omitempty"`
	// Orphans do not belong to any job of the job owner; the holder stops them.
	Orphans []worker.Attempt `cbor:"2,keyasint,omitempty"`
}

// InventoryRequest fences previous owners of the home partition at the holder and requests
// the runs of the partition's jobs.
type InventoryRequest struct {
	Home Home `cbor:"1,keyasint"`
}

// WorkerPartition is the state of a partition of workers as recorded by its holder.
type WorkerPartition struct {
	ID    int    `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	// Complete is true if every listed worker has replied to a claim of this epoch, or
	// its leases have definitely expired.
	Complete bool `cbor:"3,keyasint"`
}

// InventoryReply lists the runs of one home partition's jobs that a holder has recorded.
type InventoryReply struct {
	Partitions []WorkerPartition `cbor:"1,keyasint"`
	Runs       []RunReport       `cbor:"2,keyasint"`
}

// Digest is a summary of a holder's free capacity. It is sent with the holder's heartbeats
// so that job owners can choose which holders to send requests to. It may be outdated.
type Digest struct {
	Workers int            `cbor:"1,keyasint" json:"workers"`
	Free    spec.Resources `cbor:"2,keyasint" json:"free"`
	// LargestFree is the largest free amount on any one worker, per component.
	LargestFree spec.Resources `cbor:"3,keyasint" json:"largest"`
	// Sizes lists the distinct types of workers, to detect tasks that fit none of them.
	Sizes []Size `cbor:"4,keyasint" json:"sizes"`
}

// Size is a type of worker, with the number of workers of that type.
type Size struct {
	Size            spec.Resources    `cbor:"1,keyasint" json:"size"`
	AcceleratorKind string            `cbor:"2,keyasint,omitempty" json:"accelerator_kind,omitempty"`
	Generation      int               `cbor:"3,keyasint,omitempty" json:"generation,omitempty"`
	Labels          map[string]string `cbor:"4,keyasint,omitempty" json:"labels,omitempty"`
	Workers         int               `cbor:"5,keyasint" json:"workers"`
}
