// Package judge checks the system's invariants in simulations: it records what ran where
// and when, and every violation. Simulated workers and executors report to it; it never
// refuses or changes what they do.
package judge

import (
	"fmt"
	"sync"
	"time"
)

// Rule is the name of an invariant.
type Rule string

// The invariants that are checked. Each comment says how the invariant is violated.
const (
	// RuleOvercommit: the sizes of the runs on a worker exceed the worker's size.
	RuleOvercommit Rule = "overcommit"
	// RuleConcurrentRuns: a task had two runs at the same time.
	RuleConcurrentRuns Rule = "two-places"
	// RuleSharedEpoch: two holders claimed a worker with the same epoch.
	RuleSharedEpoch Rule = "shared-epoch"
	// RulePartialGang: some tasks of a gang ran without the others.
	RulePartialGang Rule = "gang-partly"
	// RuleRepeatedExecution: a non-idempotent request was executed more than once.
	RuleRepeatedExecution Rule = "ran-twice"
	// RuleSlots: an executor had more concurrent requests than slots.
	RuleSlots Rule = "slots"
	// RuleConnections: an executor had more open connections than it allows.
	RuleConnections Rule = "connections"
	// RuleLeaving: an executor got a request later than the grace period after it had
	// announced its departure.
	RuleLeaving Rule = "leaving"
)

// Violation is one violation of an invariant.
type Violation struct {
	Rule Rule `json:"rule"`
	// On is the affected worker, executor, job or key.
	On     string    `json:"on"`
	At     time.Time `json:"at"`
	Detail string    `json:"detail"`
}

// Defaults and limits.
const (
	// DefaultGangGrace is the time after the first start of a gang within which all its tasks
	// must be running at once.
	DefaultGangGrace = 2 * time.Second
	// DefaultLeavingGrace is how long an executor may get requests after announcing its departure.
	DefaultLeavingGrace = 3 * time.Second
	// maxViolations bounds the violations that are kept; later ones are only counted.
	maxViolations = 200
)

// Checker is a checker: it records runs and executions and checks the invariants. Its methods are safe for
// concurrent use and never call back, so simulations may call them with locks held.
type Checker struct {
	// GangGrace and LeavingGrace may be set before use.
	GangGrace    time.Duration
	LeavingGrace time.Duration

	mu              sync.Mutex
	violations      []Violation
	violationCount  int
	workers         map[string]*workerState
	runs            map[taskKey][]*RunRecord
	gangs           map[string]*gangState
	starts          int
	ends            int
	startsPerSecond map[int64]int
	executors       map[string]*executorState
	keys            map[string][]*Execution
	executions      int
}

// New returns a checker with an empty record and the default grace periods.
func New() *Checker {
	return &Checker{
		GangGrace:       DefaultGangGrace,
		LeavingGrace:    DefaultLeavingGrace,
		workers:         map[string]*workerState{},
		runs:            map[taskKey][]*RunRecord{},
		gangs:           map[string]*gangState{},
		startsPerSecond: map[int64]int{},
		executors:       map[string]*executorState{},
		keys:            map[string][]*Execution{},
	}
}

// Violations returns the violations recorded so far, and those that depend on the current
// time, such as gangs that are still incomplete. An empty result means that all
// invariants hold.
func (j *Checker) Violations(now time.Time) []Violation {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := append([]Violation(nil), j.violations...)
	return append(out, j.partialGangs(now)...)
}

func (j *Checker) addViolation(rule Rule, on string, at time.Time, format string, args ...any) {
	j.violationCount++
	if len(j.violations) < maxViolations {
		j.violations = append(j.violations, Violation{rule, on, at, fmt.Sprintf(format, args...)})
	}
}
