// Package uptime provides a monotonic clock that includes the time for which the machine is
// suspended.
//
// The monotonic clock in Go's times stops during a suspension. Measured by it, a lease, an
// authority or a promise seems younger after the resumption than it is for other processes.
// Everything that expires, and whose expiry other processes rely on, is measured by this package.
package uptime

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// The kernel is queried when the wall clock has moved by more than jumpThreshold against the
// monotonic clock, and at least every checkInterval of use. The wall clock jumps at a resumption
// and is cheap to read, so that a suspension is detected before the next decision. The periodic
// query covers a wall clock that is set back at the same moment.
const (
	checkInterval = 100 * time.Millisecond
	jumpThreshold = 10 * time.Millisecond
)

// Clock measures for how long the machine was suspended since the clock was created. It is safe
// for concurrent use.
type Clock struct {
	source func() time.Duration
	base   time.Time

	suspended  atomic.Int64 // nanoseconds
	wallOffset atomic.Int64 // of the wall clock to the monotonic clock, at the last query
	checkedAt  atomic.Int64 // time of the last query by the monotonic clock, since base

	mu      sync.Mutex
	initial time.Duration
}

// NewClock returns a clock that queries source, which returns the total duration of suspensions
// since a fixed point in time.
func NewClock(source func() time.Duration) *Clock {
	c := &Clock{source: source, base: time.Now()}
	c.initial = source()
	return c
}

// Suspended returns the total duration of suspensions since the clock was created.
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

// kernelSuspended returns the total duration of suspensions since boot: the difference between
// the boot-time clock and the monotonic clock, or zero if the system lacks either clock.
func kernelSuspended() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

// processSuspended points to the function behind Suspended; see Use.
var processSuspended atomic.Pointer[func() time.Duration]

func init() { Use(NewClock(kernelSuspended).Suspended) }

// Use replaces the function behind Suspended and returns a function that restores the previous
// one. It is intended for tests and simulations, which cannot suspend the machine.
func Use(suspended func() time.Duration) (restore func()) {
	previous := processSuspended.Swap(&suspended)
	return func() { processSuspended.Store(previous) }
}

// Suspended returns the total duration of suspensions since this process started.
func Suspended() time.Duration { return (*processSuspended.Load())() }

// Now returns the current time by a monotonic clock that includes suspensions. The results may
// only be compared with each other: their wall-clock time is ahead by the duration of the
// suspensions, which the wall clock already includes.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Since returns the time elapsed since t, which has to be a result of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time left until t, which has to be derived from a result of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }
