// Package overload decides which jobs to refuse because they would end long after their target.
//
// The holder of a partition derives the expected wait of the next job of each queue and client account, and from it
// the fraction of jobs to admit (Monitor). Members apply these limits to the jobs that they receive (Limits). Both are
// pure: time is an argument, and nothing is stored. docs/design/load-admission.md gives the reasons.
package overload

import (
	"time"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/spec"
)

// ExpiryFactor is the multiple of its target after which the completion of a job has no value.
const ExpiryFactor = 3

// MaxLimits bounds the number of limits, and so the size of a heartbeat reply.
const MaxLimits = 64

// Key identifies the jobs that a limit applies to.
type Key struct {
	Queue   string `cbor:"1,keyasint" json:"queue"`
	Account string `cbor:"2,keyasint" json:"account"`
}

// Limit is the decision on the jobs of one queue and client account.
type Limit struct {
	Key
	// Admit is the fraction of jobs that may still be accepted, between 0 and 1.
	Admit float64 `cbor:"3,keyasint" json:"admit"`
	// Wait is the expected wait of the next job, RetryAfter the time until it has fallen below the limit.
	Wait       time.Duration `cbor:"4,keyasint" json:"wait_ns"`
	RetryAfter time.Duration `cbor:"5,keyasint" json:"retry_after_ns"`
}

// Report carries the limits of a holder to a member.
type Report struct {
	// Epoch is the epoch of the holder that measured the limits.
	Epoch uint64 `cbor:"1,keyasint"`
	// Age is the time since they were measured.
	Age time.Duration `cbor:"2,keyasint"`
	// Limits are at most MaxLimits limits, those with the longest waits first.
	Limits []Limit `cbor:"3,keyasint,omitempty"`
}

// Applies reports whether the jobs of an account in a queue can be limited: the queue has a target, and the account
// a weight.
func Applies(rules *catalog.Rules, a *catalog.Account) bool {
	return a != nil && a.Weight > 0 && rules.CriticalPathFactor > 0
}

// HasTarget reports whether a job has a target that begins when it is accepted. Occurrences of repeated jobs have due
// times of their own, and long-running jobs never complete.
func HasTarget(g *spec.Graph) bool {
	if g.Repeat.Times > 0 {
		return false
	}
	for i := range g.Steps {
		if g.Steps[i].LongRunning {
			return false
		}
	}
	return true
}

// MaxWait returns how long a job with a critical path of this duration can wait until its completion has no value.
func MaxWait(rules *catalog.Rules, criticalPath time.Duration) time.Duration {
	target := rules.CriticalPathFactor*float64(criticalPath) + float64(rules.TargetMillis)*float64(time.Millisecond)
	return time.Duration(ExpiryFactor*target) - criticalPath
}

// DeclaredPath returns the longest dependency chain of one occurrence of a job, by its declared run times.
func DeclaredPath(g *spec.Graph) time.Duration {
	longest := time.Duration(0)
	pathTo := make([]time.Duration, len(g.Steps))
	for i := range g.Steps {
		for _, before := range g.Steps[i].After {
			pathTo[i] = max(pathTo[i], pathTo[before])
		}
		pathTo[i] += g.Steps[i].Estimate()
		longest = max(longest, pathTo[i])
	}
	return longest
}

// TaskWork returns the declared work of one task of a step: its processors times its run time. Steps without
// processors or run times count as one processor for one millisecond, so that none has no work.
func TaskWork(s *spec.Step) float64 {
	return float64(max(s.Size.MilliCPU, 1)) * float64(max(s.EstimateMillis, 1))
}

// JobWork returns the declared work of a job.
func JobWork(g *spec.Graph) float64 {
	sum := 0.0
	for i := range g.Steps {
		sum += TaskWork(&g.Steps[i]) * float64(g.Steps[i].Count)
	}
	return sum
}
