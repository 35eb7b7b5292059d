// Package uptime tells time that also passes while the machine is suspended.
//
// The steady clock, which Go's times carry, stands still meanwhile: a lease, a right or a
// promise that is measured by it seems younger, after the machine has woken, than it is for
// everybody else. Whatever is given up by the passing of time, and that others rely on being
// given up, is measured here.
package uptime

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// How often the kernel is asked. The time of day jumps when the machine wakes, and costs
// nothing to look at, so that a suspension is seen before the next decision; asking now and
// then besides covers a time of day that is set back at the same moment.
const (
	checkInterval = 100 * time.Millisecond
	jumpThreshold = 10 * time.Millisecond
)

// Clock knows for how long the machine was suspended since the clock was made. It is safe
// for concurrent use.
type Clock struct {
	source func() time.Duration
	base   time.Time

	suspended  atomic.Int64 // nanoseconds
	wallOffset atomic.Int64 // of the time of day to the steady clock, when last asked
	checkedAt  atomic.Int64 // by the steady clock, since base

	mu      sync.Mutex
	initial time.Duration
}

// NewClock returns a clock that asks source for how long the machine has been suspended
// since some moment.
func NewClock(source func() time.Duration) *Clock {
	c := &Clock{source: source, base: time.Now()}
	c.initial = source()
	return c
}

// Suspended is for how long the machine was suspended since the clock was made.
func (c *Clock) Suspended() time.Duration {
	now := time.Now()
	steady := now.Sub(c.base)
	wallOffset := now.Round(0).Sub(c.base.Round(0)) - steady
	if (wallOffset-time.Duration(c.wallOffset.Load())).Abs() > jumpThreshold || steady-time.Duration(c.checkedAt.Load()) > checkInterval {
		c.refresh(wallOffset, steady)
	}
	return time.Duration(c.suspended.Load())
}

func (c *Clock) refresh(wallOffset, steady time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if suspended := int64(c.source() - c.initial); suspended > c.suspended.Load() {
		c.suspended.Store(suspended)
	}
	c.wallOffset.Store(int64(wallOffset))
	c.checkedAt.Store(int64(steady))
}

// kernelSuspended is by how much the clock that counts suspensions is ahead of the steady one; zero
// where the system has no such clock.
func kernelSuspended() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

// processSuspended tells for how long this process's machine was suspended; see Use.
var processSuspended atomic.Pointer[func() time.Duration]

func init() { Use(NewClock(kernelSuspended).Suspended) }

// Use has this process take another function's word for how long its machine was suspended,
// and returns a function that takes that back. It is meant for tests and simulations, which
// can not suspend the machine.
func Use(suspended func() time.Duration) (restore func()) {
	previous := processSuspended.Swap(&suspended)
	return func() { processSuspended.Store(previous) }
}

// Suspended is for how long the machine was suspended since this process began.
func Suspended() time.Duration { return (*processSuspended.Load())() }

// Now is the present moment by a steady clock that also counts suspensions. Its times are
// only to be compared with each other: the time of day in them is too late by the
// suspensions, which it has counted itself.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Since is how much time has passed since t, which Now returned.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until is how much time is left until t, which Now returned or which was reckoned from it.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }
