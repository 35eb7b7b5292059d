package cell

import (
	"context"
	"time"

	"pulleyquay/internal/overload"
	"pulleyquay/internal/wait"
)

// Limits on jobs travel with the replies to heartbeats: the holder measures them, and the members apply them.

const (
	// limitHeartbeats is the number of heartbeats after whose loss the limits of a holder expire.
	limitHeartbeats = 3
	// limitMaxAge is the age that limits may have when they are received: a sample (overload.SampleInterval), a
	// late reply (heartbeatTimeout), and a margin of 150 ms. With three heartbeats it is 1.5 s, half of the time that a
	// caller waits.
	limitMaxAge = 900 * time.Millisecond
	// doubtRetention is for how long a holder reports no limits after a member had jobs in doubt: two heartbeats and
	// the time-out of one.
	doubtRetention = 2*MinHeartbeatInterval + heartbeatTimeout
)

// LimitExchange connects the heartbeats to the limits on jobs.
type LimitExchange struct {
	// Measured returns the limits that this process measured as the holder of a partition, or nil without figures.
	Measured func(partition int, now time.Time) *overload.Report
	// Apply is called with the limits of a holder: ttl is their time to live since they were measured, sentAt is when
	// they were sent at the latest.
	Apply func(partition int, r overload.Report, ttl time.Duration, sentAt time.Time)
	// JobsInDoubt reports whether a caller may submit a job elsewhere that this process may have stored. A member
	// that does not know of this must not answer that the job was not accepted.
	JobsInDoubt func(now time.Time) bool
}

// limitTTL returns the time after their measurement at which limits expire in a cell with that many members.
func limitTTL(members int) time.Duration {
	return limitHeartbeats*heartbeatInterval(members) + limitMaxAge
}

func (x *LimitExchange) jobsInDoubt() bool { return x != nil && x.JobsInDoubt(time.Now()) }

func (x *LimitExchange) apply(partition int, r *overload.Report, members int, sentAt time.Time) {
	if x != nil && r != nil {
		x.Apply(partition, *r, limitTTL(members), sentAt)
	}
}

// recordDoubt records that a member has jobs in doubt.
func (monitor *holderMonitor) recordDoubt(now time.Time) {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	monitor.doubtAt = now
}

// inDoubt reports whether a member had jobs in doubt lately. Members of a large cell send heartbeats less often.
func (monitor *holderMonitor) inDoubt(members int, now time.Time) bool {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	retention := doubtRetention + 2*(heartbeatInterval(members)-MinHeartbeatInterval)
	return !monitor.doubtAt.IsZero() && now.Sub(monitor.doubtAt) < retention
}

// measuredLimits returns the limits that this process measured as the holder. While any member has jobs in doubt, the
// report is empty, which ends the limits: the caller may submit such a job to a member that does not know of it.
func (c *Claimer) measuredLimits(monitor *holderMonitor, now time.Time) *overload.Report {
	if c.Limits == nil {
		return nil
	}
	r := c.Limits.Measured(monitor.partition, now)
	if r != nil && (c.Limits.JobsInDoubt(now) || monitor.inDoubt(c.View.Size(), now)) {
		return &overload.Report{Epoch: r.Epoch, Age: r.Age}
	}
	return r
}

// applyOwnLimits applies the limits that this process measures as the holder, which sends itself no heartbeats, until
// ctx ends.
func (c *Claimer) applyOwnLimits(ctx context.Context, monitor *holderMonitor) {
	for wait.For(ctx, MinHeartbeatInterval) {
		now := time.Now()
		c.Limits.apply(monitor.partition, c.measuredLimits(monitor, now), c.View.Size(), now)
	}
}
