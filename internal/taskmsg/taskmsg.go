// Package taskmsg holds the messages between a job's home and the holders of
// workers. The home decides what has to run; the holder decides where and
// speaks to the workers.
//
// A holder remembers, per home partition, the highest home epoch it has been
// asked with and refuses lower ones with result code HomeFenced. A new home
// therefore asks every holder for its inventory before it starts anything.
package taskmsg

import (
	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker"
)

// Home is who speaks for a job: its partition and that partition's epoch.
type Home struct {
	Partition int    `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"`
}

// Policy is the part of a branch's effective settings that placing needs.
type Policy struct {
	Name        string `cbor:"1,keyasint"`
	SpreadZones bool   `cbor:"2,keyasint,omitempty"`
	SpreadRacks bool   `cbor:"3,keyasint,omitempty"`
	// Number 4 was a lease per branch; a worker renews all its runs alike.
	Priority int64 `cbor:"5,keyasint,omitempty"`
	// Number 6 was a learned size; see docs/PLACEMENT.md.
	// MinReplicas is the number of a service's replicas that preemption leaves.
	MinReplicas int64 `cbor:"7,keyasint,omitempty"`
}

// Shape is what all tasks of one request share.
type Shape struct {
	Job    string    `cbor:"1,keyasint"`
	Kind   spec.Kind `cbor:"2,keyasint"`
	Urgent bool      `cbor:"3,keyasint,omitempty"`
	Task   spec.Task `cbor:"4,keyasint"`
	Policy Policy    `cbor:"5,keyasint"`
	// Avoid lists workers that this job has failed on.
	Avoid []string `cbor:"6,keyasint,omitempty"`
	// Zones counts the job's running tasks by availability zone, for spreading.
	Zones map[string]int `cbor:"7,keyasint,omitempty"`
	// Aged is true once the job has waited so long that a holder without room
	// is to keep a worker for it.
	Aged bool `cbor:"8,keyasint,omitempty"`
}

// Slot names one attempt at one task of a shape's job.
type Slot struct {
	Index   int `cbor:"1,keyasint"`
	Attempt int `cbor:"2,keyasint"`
	// Spared is true when the task's previous attempt was preempted; this one
	// is then not chosen as a victim.
	Spared bool `cbor:"3,keyasint,omitempty"`
}

// PlaceRequest asks a holder to start tasks on its own workers.
type PlaceRequest struct {
	Home  Home   `cbor:"1,keyasint"`
	Shape Shape  `cbor:"2,keyasint"`
	Slots []Slot `cbor:"3,keyasint"`
	// Preempt allows stopping less urgent runs to make room.
	Preempt bool `cbor:"4,keyasint,omitempty"`
}

// Outcome is what became of one slot.
type Outcome int

// The outcomes. A slot of OutcomeUnknown stays with the holder, which sends
// news of it once a claim of the worker has told.
const (
	OutcomeStarted Outcome = 1
	OutcomeRefused Outcome = 2 // certainly not started
	OutcomeUnknown Outcome = 3
)

// SlotResult tells what became of one slot.
type SlotResult struct {
	Slot      Slot    `cbor:"1,keyasint"`
	Outcome   Outcome `cbor:"2,keyasint"`
	Worker    string  `cbor:"3,keyasint,omitempty"`
	Zone      string  `cbor:"4,keyasint,omitempty"`
	Partition int     `cbor:"5,keyasint,omitempty"` // the worker's
	Epoch     uint64  `cbor:"6,keyasint,omitempty"` // the worker partition's
}

// Refusal counts, for one decision, how many workers each rule turned down.
type Refusal struct {
	Workers int            `cbor:"1,keyasint" json:"workers"`
	ByRule  map[string]int `cbor:"2,keyasint" json:"by_rule"`
	// Never is true when no worker of the holder could hold the task even empty.
	Never bool `cbor:"3,keyasint,omitempty" json:"never,omitempty"`
}

// PlaceReply answers a PlaceRequest, one result a slot.
type PlaceReply struct {
	Results []SlotResult `cbor:"1,keyasint"`
	Refusal *Refusal     `cbor:"2,keyasint,omitempty"`
}

// GangHold asks a holder to reserve room, without starting, for up to the given
// slots of a gang. The reservation lapses after HoldMS.
type GangHold struct {
	Home   Home   `cbor:"1,keyasint"`
	Shape  Shape  `cbor:"2,keyasint"`
	Slots  []Slot `cbor:"3,keyasint"`
	HoldMS int64  `cbor:"4,keyasint"`
	// Gather asks the holder to keep room that comes free for this gang until
	// all slots are held or the hold lapses: less urgent starts are refused
	// meanwhile. For a gang that has waited long.
	Gather bool `cbor:"5,keyasint,omitempty"`
	// Try numbers the home's tries to start the gang, ascending. A hold of a
	// later try replaces that of an earlier one; a message of an earlier try
	// that comes late is refused.
	Try int `cbor:"6,keyasint"`
}

// GangHeld names the slots that room is held for.
type GangHeld struct {
	Held    []Slot   `cbor:"1,keyasint"`
	Refusal *Refusal `cbor:"2,keyasint,omitempty"`
}

// GangEnd starts the held slots of a gang, or releases them.
type GangEnd struct {
	Home  Home   `cbor:"1,keyasint"`
	Job   string `cbor:"2,keyasint"`
	Start bool   `cbor:"3,keyasint"`
	// Try is that of the holds which the message is about.
	Try int `cbor:"4,keyasint"`
}

// StopRequest asks for runs to be ended.
type StopRequest struct {
	Home Home             `cbor:"1,keyasint"`
	Runs []worker.Attempt `cbor:"2,keyasint"`
	Mode worker.StopMode  `cbor:"3,keyasint"`
	// Reason goes to the log and the explanation.
	Reason string `cbor:"4,keyasint,omitempty"`
}

// StopReply names the runs that the holder does not know, which certainly do
// not run on its claimed workers.
type StopReply struct {
	Unknown []worker.Attempt `cbor:"1,keyasint,omitempty"`
}

// RunState is a run's state as a holder reports it to the home.
type RunState int

// The states in news and inventories.
const (
	RunRunning   RunState = 1
	RunFinished  RunState = 2 // ended by itself; ExitCode holds
	RunStopped   RunState = 3 // stopped by order; it no longer runs
	RunLost      RunState = 4 // worker gone and its lease certainly over
	RunPreempted RunState = 5 // stopped to make room; it no longer runs
	RunNever     RunState = 6 // a start of unknown outcome that did not happen
)

// RunNews is the state of one run.
type RunNews struct {
	Run       worker.Attempt `cbor:"1,keyasint"`
	State     RunState       `cbor:"2,keyasint"`
	ExitCode  int            `cbor:"3,keyasint,omitempty"`
	Worker    string         `cbor:"4,keyasint,omitempty"`
	Zone      string         `cbor:"5,keyasint,omitempty"`
	Partition int            `cbor:"6,keyasint"`
	Epoch     uint64         `cbor:"7,keyasint"`
	// Unseen and There tell what is known of a lost run; see Sight. Members that do not know
	// There read Unseen alone, and hold no run against its task that has it.
	Unseen bool `cbor:"8,keyasint,omitempty"`
	There  bool `cbor:"9,keyasint,omitempty"`
}

// Sight is what is known of a run that was lost with its worker.
type Sight int

// What is known, each more than the one before.
const (
	// SightNone: the worker may only be silent, or nobody has seen the run there.
	SightNone Sight = iota
	// SightThere: the run was there, and its worker is in another life. It may have ended
	// unheard before the former one did.
	SightThere
	// SightCrash: the run was there as the worker's former life ended.
	SightCrash
)

// String names what is known, for the log.
func (s Sight) String() string { return [...]string{"none", "there", "crash"}[s] }

// Saw notes what is known of a lost run.
func (n *RunNews) Saw(s Sight) { n.Unseen, n.There = s < SightCrash, s == SightThere }

// Sight is what is known of a lost run.
func (n RunNews) Sight() Sight {
	switch {
	case !n.Unseen:
		return SightCrash
	case n.There:
		return SightThere
	}
	return SightNone
}

// News goes from a holder to the home at HomePartition. The holder repeats it
// until it is acknowledged.
type News struct {
	HomePartition int       `cbor:"1,keyasint"`
	Runs          []RunNews `cbor:"2,keyasint"`
}

// NewsReply names the runs whose end is recorded, so that the worker may forget
// them.
type NewsReply struct {
	Acked []worker.Attempt `cbor:"1,keyasint,omitempty"`
	// Orphans do not belong to any job the home knows; the holder stops them.
	Orphans []worker.Attempt `cbor:"2,keyasint,omitempty"`
}

// InventoryRequest fences older homes of the partition at the holder and asks
// what runs of its jobs.
type InventoryRequest struct {
	Home Home `cbor:"1,keyasint"`
}

// WorkerPartition is a partition of workers as its holder sees it.
type WorkerPartition struct {
	ID    int    `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	// Complete is true once every listed worker has answered a claim of this
	// epoch or its leases are certainly over.
	Complete bool `cbor:"3,keyasint"`
}

// InventoryReply is what a holder knows of one home's runs.
type InventoryReply struct {
	Partitions []WorkerPartition `cbor:"1,keyasint"`
	Runs       []RunNews         `cbor:"2,keyasint"`
}

// Digest is a holder's room, carried in its heartbeat so that homes can choose
// whom to ask. It is a hint.
type Digest struct {
	Workers int            `cbor:"1,keyasint" json:"workers"`
	Free    spec.Resources `cbor:"2,keyasint" json:"free"`
	// Largest is the largest free amount on any one worker, per component.
	Largest spec.Resources `cbor:"3,keyasint" json:"largest"`
	// Sizes lists the distinct whole sizes of workers, to tell what can never run.
	Sizes []Size `cbor:"4,keyasint" json:"sizes"`
}

// Size is one distinct make of worker.
type Size struct {
	Size            spec.Resources    `cbor:"1,keyasint" json:"size"`
	AcceleratorKind string            `cbor:"2,keyasint,omitempty" json:"accelerator_kind,omitempty"`
	Generation      int               `cbor:"3,keyasint,omitempty" json:"generation,omitempty"`
	Labels          map[string]string `cbor:"4,keyasint,omitempty" json:"labels,omitempty"`
	Workers         int               `cbor:"5,keyasint" json:"workers"`
}
