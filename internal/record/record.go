// Package record holds what the platform's store keeps of jobs.
//
// A job has one record under jobs/, made once by the process that accepted it.
// When the job has ended its holder replaces it by a short one that tells how.
// In between, the holder keeps under progress/ what the hosts can not tell
// again: which tasks are done and which have failed how often.
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

// State is the state of a job as callers see it.
type State string

// The states of a job. The last three are final.
const (
	StateQueued    State = "queued" // nothing of it has started
	StateRunning   State = "running"
	StateCompleted State = "completed" // every task is done
	StateFailed    State = "failed"    // a task failed as often as it may
	StateCancelled State = "cancelled"
)

// Final reports whether the state never changes again.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Job is an accepted job.
type Job struct {
	ID      string `cbor:"1,keyasint"`
	Queue   string `cbor:"2,keyasint,omitempty"`
	Service string `cbor:"3,keyasint,omitempty"`
	// Rules are those of the queue when the job was accepted.
	Rules catalog.Rules `cbor:"4,keyasint,omitzero"`
	Graph spec.Graph    `cbor:"5,keyasint,omitzero"`
	// AcceptedUnixMilli is by the clock of the process that accepted it.
	AcceptedUnixMilli int64 `cbor:"6,keyasint,omitempty"`
	// Ended is set, and the rest but the id left out, once the job is final.
	Ended State `cbor:"7,keyasint,omitempty"`
	// EndedUnixMilli is by the clock of the holder that recorded the end.
	EndedUnixMilli int64 `cbor:"8,keyasint,omitempty"`
	// Why is the result code and the reason for which it ended, for operators; empty where
	// the state says all.
	Why string `cbor:"9,keyasint,omitempty"`
	// Account is the client account whose job it is, also once it has ended; empty where its
	// queue needs no key, and for jobs of versions that knew no accounts.
	Account string `cbor:"10,keyasint,omitempty"`
	// Largest is the most that a task of it takes in each dimension, once the job is final: one
	// may still run.
	Largest spec.Resources `cbor:"11,keyasint,omitzero"`
	// Left is what its tasks may have had running, on hosts that were told to stop them, when its
	// end was recorded; LeftFillers those of them that fill.
	Left        spec.Resources `cbor:"12,keyasint,omitzero"`
	LeftFillers spec.Resources `cbor:"13,keyasint,omitzero"`
}

// Open reports whether the job may be read and cancelled for a client account; empty for
// callers without one.
func (j *Job) Open(account string) bool { return j.Account == "" || j.Account == account }

// Progress is what is known of a live job's steps.
type Progress struct {
	Steps []StepProgress `cbor:"1,keyasint"`
}

// StepProgress is what is known of the tasks of one step of one occurrence.
type StepProgress struct {
	Occurrence int    `cbor:"1,keyasint,omitempty"`
	Step       int    `cbor:"2,keyasint,omitempty"`
	Done       Bitmap `cbor:"3,keyasint,omitempty"`
	// Failed lists the numbers of the runs that failed, by task; a gang has them
	// under task 0. A host may show a failure again to a next holder, which must
	// not count it twice.
	Failed map[int][]int `cbor:"4,keyasint,omitempty"`
	// Crashed lists the hosts that crashed under a task, by task, also of a gang.
	Crashed map[int]crashloop.History `cbor:"5,keyasint,omitempty"`
	// Trying lists the present runs of those tasks, by task.
	Trying map[int]RunOn `cbor:"6,keyasint,omitempty"`
}

// RunOn is a run and the life of the host that it was ordered on.
type RunOn struct {
	Run  int    `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	// Seen is true once the run is known to be there.
	Seen bool `cbor:"3,keyasint,omitempty"`
}

// JobPrefix returns the prefix of the records of a partition's jobs.
func JobPrefix(partition int) string { return "jobs/" + strconv.Itoa(partition) + "/" }

// JobKey returns the key of a job's record.
func JobKey(partition int, id string) string { return JobPrefix(partition) + id }

// ProgressPrefix returns the prefix of the progress of a partition's jobs.
func ProgressPrefix(partition int) string { return "progress/" + strconv.Itoa(partition) + "/" }

// ProgressKey returns the key of a job's progress.
func ProgressKey(partition int, id string) string { return ProgressPrefix(partition) + id }

// WavePrefix returns the prefix of the progress of waves of upkeep.
func WavePrefix(partition int) string { return "waves/" + strconv.Itoa(partition) + "/" }

// WaveKey returns the key of a wave's progress.
func WaveKey(partition int, wave int64) string {
	return WavePrefix(partition) + strconv.FormatInt(wave, 10)
}

// IDOf returns the job's id, the last part of either key.
func IDOf(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// Encode gives the stored form of a record.
func Encode(v any) ([]byte, error) { return cbor.Marshal(v) }

// DecodeJob reads a job's record.
func DecodeJob(value []byte) (*Job, error) {
	j := &Job{}
	if err := cbor.Unmarshal(value, j); err != nil {
		return nil, fmt.Errorf("job record: %w", err)
	}
	return j, nil
}

// DecodeProgress reads a job's progress.
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

// Set adds i.
func (b Bitmap) Set(i int) { b[i/8] |= 1 << (i % 8) }

// Fail notes which runs of a task have failed.
func (s *StepProgress) Fail(task int, runs []int) {
	if len(runs) == 0 {
		return
	}
	if s.Failed == nil {
		s.Failed = map[int][]int{}
	}
	s.Failed[task] = runs
}

// Crash notes which hosts crashed under a task, and its present run; nil for none.
func (s *StepProgress) Crash(task int, h crashloop.History, present *RunOn) {
	if len(h) == 0 {
		return
	}
	if s.Crashed == nil {
		s.Crashed, s.Trying = map[int]crashloop.History{}, map[int]RunOn{}
	}
	s.Crashed[task] = h
	if present != nil {
		s.Trying[task] = *present
	}
}

// Roster names the hosts to which the holder of a partition may have given
// orders. A next holder has to hear of each of them, or wait out its lease.
type Roster struct {
	Hosts []RosterHost `cbor:"1,keyasint"`
	// Shrunk is the smallest share of its room that a host has lately shrunk to; zero where
	// none has shrunk.
	Shrunk float64 `cbor:"2,keyasint,omitempty"`
	// Lost are hosts that have lately gone by themselves.
	Lost []string `cbor:"4,keyasint,omitempty"`
}

// RosterHost is one host of a roster.
type RosterHost struct {
	ID   string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"`
	// Closed hosts were silent when the roster was written: nothing but Tasks may
	// run there, and nothing new is started before they are open again.
	Closed bool         `cbor:"3,keyasint,omitempty"`
	Tasks  []RosterTask `cbor:"4,keyasint,omitempty"`
	// Life is the life of the host that the holder has spoken to; zero when not known.
	Life int64 `cbor:"5,keyasint,omitempty"`
}

// RosterTask names a run of a task that may be on a closed host.
type RosterTask struct {
	Job        string `cbor:"1,keyasint"`
	Occurrence int    `cbor:"2,keyasint,omitempty"`
	Step       int    `cbor:"3,keyasint,omitempty"`
	Index      int    `cbor:"4,keyasint,omitempty"`
	// Run is the number of the run that may be there.
	Run int `cbor:"5,keyasint,omitempty"`
	// Unsure is true when its start was not answered and nobody has seen it there.
	Unsure bool `cbor:"6,keyasint,omitempty"`
}

// RosterKey returns the key of a partition's roster.
func RosterKey(partition int) string { return "roster/" + strconv.Itoa(partition) }

// DecodeRoster reads a roster.
func DecodeRoster(value []byte) (Roster, error) {
	var r Roster
	if err := cbor.Unmarshal(value, &r); err != nil {
		return Roster{}, fmt.Errorf("roster: %w", err)
	}
	return r, nil
}
