// Package record defines the records of jobs, and of the hosts used for them, in the
// platform's store.
//
// Each job has one record under jobs/, written by the process that accepted the job. When the
// job ends, its holder replaces the record by a short one with the outcome. Until then, the
// holder stores under progress/ what hosts cannot report again: which tasks are done, and the
// failed runs of the others.
package record

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/spec"
)

// State is the state of a job as reported to callers.
type State string

// The states of a job. The last three are final.
const (
	StateQueued    State = "queued" // no task has started
	StateRunning   State = "running"
	StateCompleted State = "completed" // every task is done
	StateFailed    State = "failed"    // out of attempts, or failed for another reason
	StateCancelled State = "cancelled"
)

// Final reports whether the state is final.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Job is the record of an accepted job.
type Job struct {
	ID      string `cbor:"1,keyasint"`
	Queue   string `cbor:"2,keyasint,omitempty"`
	Service string `cbor:"3,keyasint,omitempty"`
	// Rules are the rules of the queue when the job was accepted.
	Rules catalog.Rules `cbor:"4,keyasint,omitzero"`
	Graph spec.Graph    `cbor:"5,keyasint,omitzero"`
	// AcceptedUnixMilli is the time of acceptance by the clock of the accepting process.
	AcceptedUnixMilli int64 `cbor:"6,keyasint,omitempty"`
	// Ended is the final state; empty until the job has ended. The record of an ended job has
	// the id and the following fields only.
	Ended State `cbor:"7,keyasint,omitempty"`
	// EndedUnixMilli is the time of the end by the clock of the holder that recorded it.
	EndedUnixMilli int64 `cbor:"8,keyasint,omitempty"`
	// Why is the result code and the reason of the end, for operators; empty where the state
	// is sufficient.
	Why string `cbor:"9,keyasint,omitempty"`
	// Account is the client account that owns the job, also once the job has ended; empty for
	// queues that need no key and for jobs of versions without client accounts.
	Account string `cbor:"10,keyasint,omitempty"`
	// MaxTaskSize is the maximum size of the job's tasks in each dimension. It is set once the job
	// is final, as a task may still be running then.
	MaxTaskSize spec.Resources `cbor:"11,keyasint,omitzero"`
	// RunningAtEnd is the total size of the tasks that may still have been running when the
	// end was recorded, on hosts that had been ordered to stop them. BackfillAtEnd is the part
	// of it that belongs to backfill tasks.
	RunningAtEnd  spec.Resources `cbor:"12,keyasint,omitzero"`
	BackfillAtEnd spec.Resources `cbor:"13,keyasint,omitzero"`
	// Withdrawn is true if the job was cancelled before it was stored. The record only keeps the job from being
	// stored; callers are told that there is no such job.
	Withdrawn bool `cbor:"14,keyasint,omitempty"`
}

// AccessibleTo reports whether a client account may read and cancel the job. Account is empty for
// callers without one.
func (j *Job) AccessibleTo(account string) bool { return !j.Withdrawn && j.ownedBy(account) }

// WithdrawnBy reports whether a client account has cancelled the job before it was stored.
func (j *Job) WithdrawnBy(account string) bool { return j.Withdrawn && j.ownedBy(account) }

func (j *Job) ownedBy(account string) bool { return j.Account == "" || j.Account == account }

// Progress is the recorded progress of the steps of a job that has not ended.
type Progress struct {
	Steps []StepProgress `cbor:"1,keyasint"`
	// PlacementsListed is true if the placements of all long-running tasks are listed. Holders of former
	// versions leave it out.
	PlacementsListed bool `cbor:"2,keyasint,omitempty"`
}

// StepProgress is the recorded progress of the tasks of one step in one occurrence of a job.
type StepProgress struct {
	Occurrence int    `cbor:"1,keyasint,omitempty"`
	Step       int    `cbor:"2,keyasint,omitempty"`
	Done       Bitmap `cbor:"3,keyasint,omitempty"`
	// Failed lists the numbers of the failed runs by task; the failed runs of a gang are under
	// task 0. A host may report a failure again to the next holder, which must not count it
	// twice.
	Failed map[int][]int `cbor:"4,keyasint,omitempty"`
	// Crashed has the host crashes attributed to each task, also for the tasks of a gang.
	Crashed map[int]crashloop.History `cbor:"5,keyasint,omitempty"`
	// CurrentRuns has the current runs of the tasks in Crashed.
	CurrentRuns map[int]RunOn `cbor:"6,keyasint,omitempty"`
	// Placements has, for each task of a long-running step, the runs that may exist. If Roster.PlacementsStored
	// is true, a task without an entry runs nowhere, and one with an entry without a host may run anywhere.
	Placements map[int][]RunOn `cbor:"7,keyasint,omitempty"`
}

// RunOn is a run and the host on which it was ordered.
type RunOn struct {
	Run  int    `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	// Observed is true once the run is known to exist on the host.
	Observed bool `cbor:"3,keyasint,omitempty"`
}

// JobPrefix returns the key prefix of the records of a partition's jobs.
func JobPrefix(partition int) string { return "jobs/" + strconv.Itoa(partition) + "/" }

// JobKey returns the key of the record of job id.
func JobKey(partition int, id string) string { return JobPrefix(partition) + id }

// ProgressPrefix returns the key prefix of the progress records of a partition's jobs.
func ProgressPrefix(partition int) string { return "progress/" + strconv.Itoa(partition) + "/" }

// ProgressKey returns the key of a job's progress record.
func ProgressKey(partition int, id string) string { return ProgressPrefix(partition) + id }

// WavePrefix returns the key prefix of the progress records of maintenance rollouts,
// which the stored keys call waves.
func WavePrefix(partition int) string { return "waves/" + strconv.Itoa(partition) + "/" }

// WaveKey returns the key of the progress record of a rollout.
func WaveKey(partition int, rollout int64) string {
	return WavePrefix(partition) + strconv.FormatInt(rollout, 10)
}

// JobIDOf returns the job id from a key of a job record or of a progress record.
func JobIDOf(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// Encode returns the CBOR encoding in which records are stored.
func Encode(v any) ([]byte, error) { return cbor.Marshal(v) }

// DecodeJob decodes a job record. It ignores fields that this version does not know. A record that Sanitize refuses is an
// error: another version, or another writer, has made it.
func DecodeJob(value []byte) (*Job, error) {
	j := &Job{}
	err := cbor.Unmarshal(value, j)
	if err == nil {
		err = j.Sanitize()
	}
	if err != nil {
		return nil, fmt.Errorf("job record: %w", err)
	}
	return j, nil
}

// DecodeProgress decodes a progress record. It ignores fields that this version does not know.
func DecodeProgress(value []byte) (*Progress, error) {
	p := &Progress{}
	if err := cbor.Unmarshal(value, p); err != nil {
		return nil, fmt.Errorf("progress record: %w", err)
	}
	return p, nil
}

// Bitmap is a set of small numbers.
type Bitmap []byte

// NewBitmap returns an empty set of numbers below n.
func NewBitmap(n int) Bitmap { return make(Bitmap, (n+7)/8) }

// Has reports whether i is in the set.
func (b Bitmap) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// Set adds i, which has to be below the capacity given to NewBitmap.
func (b Bitmap) Set(i int) { b[i/8] |= 1 << (i % 8) }

// SetFailed records the numbers of the failed runs of a task.
func (s *StepProgress) SetFailed(task int, runs []int) {
	if len(runs) == 0 {
		return
	}
	if s.Failed == nil {
		s.Failed = map[int][]int{}
	}
	s.Failed[task] = runs
}

// SetPlacements records the runs of a long-running task that may exist.
func (s *StepProgress) SetPlacements(task int, runs []RunOn) {
	if len(runs) == 0 {
		return
	}
	if s.Placements == nil {
		s.Placements = map[int][]RunOn{}
	}
	s.Placements[task] = runs
}

// PlacementsOf returns the placements of a step by task. There are none without a progress record.
func (p *Progress) PlacementsOf(occurrence, step int) map[int][]RunOn {
	if p == nil {
		return nil
	}
	for _, s := range p.Steps {
		if s.Occurrence == occurrence && s.Step == step {
			return s.Placements
		}
	}
	return nil
}

// SetCrashes records the host crashes attributed to a task, and its current run unless
// that is nil.
func (s *StepProgress) SetCrashes(task int, h crashloop.History, current *RunOn) {
	if len(h) == 0 {
		return
	}
	if s.Crashed == nil {
		s.Crashed, s.CurrentRuns = map[int]crashloop.History{}, map[int]RunOn{}
	}
	s.Crashed[task] = h
	if current != nil {
		s.CurrentRuns[task] = *current
	}
}

// Roster lists the hosts to which the holder of a partition may have given orders. For each of
// them, the next holder has to obtain a report or to wait until its lease has expired.
type Roster struct {
	Hosts []RosterHost `cbor:"1,keyasint"`
	// CapacityRatio is the smallest fraction of its previous capacity to which a host was
	// recently reduced; zero if none was.
	CapacityRatio float64 `cbor:"2,keyasint,omitempty"`
	// UnattributedFailures are the hosts that recently failed without the failure being
	// attributed to a task.
	UnattributedFailures []string `cbor:"4,keyasint,omitempty"`
	// PlacementsStored is true if no run of a long-running task was ordered before the progress record of its
	// job listed the run. Holders of former versions leave it out.
	PlacementsStored bool `cbor:"5,keyasint,omitempty"`
	// Epoch is that of the holder that wrote the roster. Holders of former versions leave it out.
	Epoch uint64 `cbor:"6,keyasint,omitempty"`
	// Batch is the number of the batch in which that holder wrote the roster. Holders of former versions leave it out.
	Batch uint64 `cbor:"7,keyasint,omitempty"`
	// Unreadable is true if the stored roster could not be decoded: any host may then have received orders. It is
	// not part of the record.
	Unreadable bool `cbor:"-"`
}

// RosterHost is a host in a Roster, the list of the hosts that may have received orders
// from the holder of a partition.
type RosterHost struct {
	ID   string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"`
	// Closed is true if the host was unresponsive or draining when the roster was written. Only Tasks may
	// be running on it, and nothing is started on it until it is stored as open again.
	Closed bool         `cbor:"3,keyasint,omitempty"`
	Tasks  []RosterTask `cbor:"4,keyasint,omitempty"`
	// Incarnation is the incarnation of the host that last answered the holder; zero if unknown.
	Incarnation int64 `cbor:"5,keyasint,omitempty"`
	// LeaseLeftMillis bounds the leases on a host that has not answered the writing holder: all of them are
	// over so many milliseconds after the roster was written, if the next holder is that of the next epoch.
	// Zero means that no bound is known.
	LeaseLeftMillis int64 `cbor:"6,keyasint,omitempty"`
}

// RosterTask identifies a run of a task that may be on a closed host.
type RosterTask struct {
	Job        string `cbor:"1,keyasint"`
	Occurrence int    `cbor:"2,keyasint,omitempty"`
	Step       int    `cbor:"3,keyasint,omitempty"`
	Index      int    `cbor:"4,keyasint,omitempty"`
	// Run is the number of the run.
	Run int `cbor:"5,keyasint,omitempty"`
	// Unconfirmed is true if the start was not acknowledged and the host has never reported the run.
	Unconfirmed bool `cbor:"6,keyasint,omitempty"`
}

// RosterKey returns the key of the single roster record of a partition.
func RosterKey(partition int) string { return "roster/" + strconv.Itoa(partition) }

// DecodeRoster decodes a roster. It ignores fields that this version does not know. With an error it returns a roster
// that is marked as unreadable.
func DecodeRoster(value []byte) (Roster, error) {
	var r Roster
	err := cbor.Unmarshal(value, &r)
	if err == nil {
		err = r.check()
	}
	if err != nil {
		return Roster{Unreadable: true}, fmt.Errorf("roster: %w", err)
	}
	r.limit()
	return r, nil
}
