// Package judge keeps the record by which a run of the whole system is judged:
// what ran where and when, and every breach of what must always hold. Fakes of
// workers and executors report to it; it refuses nothing and changes nothing.
package judge

import (
	"fmt"
	"sync"
	"time"
)

// Rule names one thing that must always hold.
type Rule string

// The rules that a Violation can name.
const (
	// RuleOvercommit: the ordered sizes on a worker exceed its size.
	RuleOvercommit Rule = "overcommit"
	// RuleTwoPlaces: a task ran twice at one time.
	RuleTwoPlaces Rule = "two-places"
	// RuleSharedEpoch: two holders claimed a worker with one epoch.
	RuleSharedEpoch Rule = "shared-epoch"
	// RuleGangPartly: some tasks of a gang ran without the others.
	RuleGangPartly Rule = "gang-partly"
	// RuleRanTwice: a non-idempotent request was executed again.
	RuleRanTwice Rule = "ran-twice"
	// RuleSlots: an executor had more requests at once than it has slots.
	RuleSlots Rule = "slots"
	// RuleConnections: an executor had more connections than it allows.
	RuleConnections Rule = "connections"
	// RuleLeaving: an executor that has said that it leaves got a request after
	// the grace.
	RuleLeaving Rule = "leaving"
)

// Violation is one breach of a rule.
type Violation struct {
	Rule Rule `json:"rule"`
	// On is the worker, executor, job or key concerned.
	On     string    `json:"on"`
	At     time.Time `json:"at"`
	Detail string    `json:"detail"`
}

// Times given to new judges.
const (
	// DefaultGangGrace is how long the tasks of a gang may take to all start.
	DefaultGangGrace = 2 * time.Second
	// DefaultLeavingGrace is how long a leaving executor may still get new work.
	DefaultLeavingGrace = 3 * time.Second
	// maxViolations bounds the kept details; the count goes on.
	maxViolations = 200
)

// Judge is the record. Its methods are safe for concurrent use and never call
// back, so that fakes may call it under their own locks.
type Judge struct {
	// GangGrace and LeavingGrace may be set before use.
	GangGrace    time.Duration
	LeavingGrace time.Duration

	mu         sync.Mutex
	violations []Violation
	count      int
	workers    map[string]*workerBook
	places     map[taskKey][]*Place
	gangs      map[string]*gangBook
	starts     int
	ends       int
	perSecond  map[int64]int
	executors  map[string]*executorBook
	keys       map[string][]*Execution
	executions int
}

// New returns an empty judge.
func New() *Judge {
	return &Judge{
		GangGrace:    DefaultGangGrace,
		LeavingGrace: DefaultLeavingGrace,
		workers:      map[string]*workerBook{},
		places:       map[taskKey][]*Place{},
		gangs:        map[string]*gangBook{},
		perSecond:    map[int64]int{},
		executors:    map[string]*executorBook{},
		keys:         map[string][]*Execution{},
	}
}

// Violations returns the breaches so far, and the ones that only now show, such
// as gangs that stayed incomplete. An empty result is the verdict "all held".
func (j *Judge) Violations(now time.Time) []Violation {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := append([]Violation(nil), j.violations...)
	return append(out, j.brokenGangs(now)...)
}

func (j *Judge) violate(rule Rule, on string, at time.Time, format string, args ...any) {
	j.count++
	if len(j.violations) < maxViolations {
		j.violations = append(j.violations, Violation{rule, on, at, fmt.Sprintf(format, args...)})
	}
}
