package catalog

import (
	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/saturate"
)

// Ranges of the numbers in a catalog. Numbers beyond them are limited, as the configuration as a whole has to stay in
// force: sums of them do not overflow, and times fit a time.Duration.
const (
	maxRank        = 1 << 20          // of a priority, and of attempts
	maxMillis      = int64(1) << 40   // 35 years
	maxQueryMillis = float64(1 << 30) // 12 days
	// maxPathFactor bounds CriticalPathFactor, so that years of work times the factor fit a time.Duration.
	maxPathFactor = 100
	maxWeight     = 1e9
	maxAmount     = int64(1) << 56 // of a resource
	maxBytes      = int64(1) << 30
)

func limited(n, least, most int64) int64 { return min(max(n, least), most) }

// Limited returns the rules with all numbers in their ranges.
func (r Rules) Limited() Rules {
	r.Priority = min(max(r.Priority, 0), maxRank)
	r.MaxAttempts = min(max(r.MaxAttempts, 0), maxRank)
	r.CriticalPathFactor = saturate.Float(r.CriticalPathFactor, 0, maxPathFactor)
	r.TargetMillis = limited(r.TargetMillis, 0, maxMillis)
	if r.PolicyQuery != nil {
		r.PolicyQuery = &PolicyQuery{
			DecideMillis:  saturate.Float(r.PolicyQuery.DecideMillis, 0, maxQueryMillis),
			PerHostMillis: saturate.Float(r.PolicyQuery.PerHostMillis, 0, maxQueryMillis),
			ValidMillis:   limited(r.PolicyQuery.ValidMillis, 0, maxMillis),
		}
	}
	return r
}

// limitNumbers brings all numbers into their ranges.
func (c *Catalog) limitNumbers() {
	for i := range c.Queues {
		q := &c.Queues[i]
		q.Rules, q.TimeoutMillis = q.Rules.Limited(), limited(q.TimeoutMillis, 0, maxMillis)
	}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		a.Weight = saturate.Float(a.Weight, 0, maxWeight)
		a.Quota = fairshare.Quota{
			MilliCPU: limitedQuota(a.Quota.MilliCPU), MemoryMiB: limitedQuota(a.Quota.MemoryMiB), Accelerators: limitedQuota(a.Quota.Accelerators),
		}
	}
	l := &c.Limits
	l.HeaderBytes, l.BodyBytes = limited(l.HeaderBytes, 0, maxBytes), limited(l.BodyBytes, 0, maxBytes)
	l.HeaderTimeoutMillis, l.IdleTimeoutMillis = limited(l.HeaderTimeoutMillis, 0, maxMillis), limited(l.IdleTimeoutMillis, 0, maxMillis)
}

// unlimited is the limit of a resource without one.
const unlimited = -1

// limitedQuota limits the quota of a resource. One below zero admits nothing, unless it is unlimited.
func limitedQuota(n int64) int64 {
	if n == unlimited {
		return n
	}
	return limited(n, 0, maxAmount)
}
