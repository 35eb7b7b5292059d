// Package jobmsg defines the messages between the entries and the owners of jobs.
package jobmsg

import "pulleyquay/internal/spec"

// State is the state of a job as callers see it.
type State string

// The states of a job. Finished, Failed and Cancelled are final.
const (
	StateWaiting   State = "waiting" // accepted, no task runs
	StateRunning   State = "running" // at least one task runs
	StateStopping  State = "stopping"
	StateFinished  State = "finished"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state is final: no task of the job will run any more.
func (s State) Final() bool {
	return s == StateFinished || s == StateFailed || s == StateCancelled
}

// SubmitRequest asks the owner of the team's jobs to accept a job.
type SubmitRequest struct {
	Job spec.Job `cbor:"1,keyasint"`
}

// TaskCounts holds the number of tasks of a job by state.
type TaskCounts struct {
	Waiting  int `cbor:"1,keyasint,omitempty" json:"waiting"`
	Starting int `cbor:"2,keyasint,omitempty" json:"starting"` // start requested, outcome not known yet
	Running  int `cbor:"3,keyasint,omitempty" json:"running"`
	Stopping int `cbor:"4,keyasint,omitempty" json:"stopping"`
	Finished int `cbor:"5,keyasint,omitempty" json:"finished"`
	// Failures counts attempts that ended with an exit code other than zero.
	Failures int `cbor:"6,keyasint,omitempty" json:"failures"`
}

// Status is a job as callers see it.
type Status struct {
	Job        spec.Job   `cbor:"1,keyasint" json:"job"`
	State      State      `cbor:"2,keyasint" json:"state"`
	TaskCounts TaskCounts `cbor:"3,keyasint" json:"tasks"`
	// Reason states why the job ended, or what it waits for.
	Reason string `cbor:"4,keyasint,omitempty" json:"reason,omitempty"`
	// Code is the result code that belongs to Reason; zero if there is none.
	Code int `cbor:"5,keyasint,omitempty" json:"code,omitempty"`
	// SubmittedUnixMilli is when the job was accepted.
	SubmittedUnixMilli int64 `cbor:"6,keyasint" json:"submitted_unix_ms"`
	// Recorded is true once the state returned is in the platform's store.
	Recorded bool `cbor:"7,keyasint" json:"recorded"`
	// Partition and Epoch identify the job owner that replied.
	Partition int    `cbor:"8,keyasint" json:"partition"`
	Epoch     uint64 `cbor:"9,keyasint" json:"epoch"`
	// Generation counts the specifications of a service, from 1.
	Generation int `cbor:"10,keyasint,omitempty" json:"generation"`
}

// GetRequest asks for one job. A process replies for all job owners it runs, so without a team the
// request is sent to every holder.
type GetRequest struct {
	ID      string `cbor:"1,keyasint"`
	Explain bool   `cbor:"2,keyasint,omitempty"`
}

// GetReply is the job, with its explanation if requested.
type GetReply struct {
	Status  Status       `cbor:"1,keyasint"`
	Explain *Explanation `cbor:"2,keyasint,omitempty"`
}

// ListRequest asks for the jobs of all job owners of a process.
type ListRequest struct {
	// Team restricts the list; empty lists all teams.
	Team string `cbor:"1,keyasint,omitempty"`
	// After is the last identifier of the previous page.
	After string `cbor:"2,keyasint,omitempty"`
	// Limit is the most jobs to return; zero takes DefaultListLimit.
	Limit int `cbor:"3,keyasint,omitempty"`
}

// Limits of the page size of a list.
const (
	DefaultListLimit = 100
	MaxListLimit     = 1000
)

// ListReply is one page, in ascending order of identifiers.
type ListReply struct {
	Jobs []Status `cbor:"1,keyasint"`
	More bool     `cbor:"2,keyasint,omitempty"`
}

// CancelRequest ends a job.
type CancelRequest struct {
	ID string `cbor:"1,keyasint"`
}

// UpdateRequest changes the number of replicas or the tasks of a service.
type UpdateRequest struct {
	Job spec.Job `cbor:"1,keyasint"`
	// Generation, if not zero, is the generation that the job must have.
	Generation int `cbor:"2,keyasint,omitempty"`
}

// Placement is a host that runs tasks of a job.
type Placement struct {
	Worker    string `cbor:"1,keyasint" json:"worker"`
	Zone      string `cbor:"2,keyasint" json:"zone"`
	Partition int    `cbor:"3,keyasint" json:"partition"`
	Tasks     []int  `cbor:"4,keyasint" json:"tasks"`
}

// Decision is an entry of the job owner's log of decisions about a job.
type Decision struct {
	UnixMilli int64  `cbor:"1,keyasint" json:"unix_ms"`
	What      string `cbor:"2,keyasint" json:"what"`
	Why       string `cbor:"3,keyasint" json:"why"`
	// Times counts consecutive equal decisions.
	Times int `cbor:"4,keyasint" json:"times"`
}

// Wait is a resource or event that a job waits for.
type Wait struct {
	Tasks   int    `cbor:"1,keyasint" json:"tasks"`
	For     string `cbor:"2,keyasint" json:"for"`
	FreedBy string `cbor:"3,keyasint,omitempty" json:"freed_by,omitempty"`
	Holder  string `cbor:"4,keyasint,omitempty" json:"holder,omitempty"`
	// ByRule counts the hosts that each rule of the holder's placement decision excluded.
	ByRule map[string]int `cbor:"5,keyasint,omitempty" json:"refused_by_rule,omitempty"`
}

// Explanation states why a job runs where it does, or what it waits for and what would end the
// wait, as recorded by the job owner.
type Explanation struct {
	Placements []Placement `cbor:"1,keyasint" json:"sites"`
	Waits      []Wait      `cbor:"2,keyasint" json:"waits"`
	Decisions  []Decision  `cbor:"3,keyasint" json:"decisions"`
}
