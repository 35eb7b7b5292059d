package uptime

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestSuspensionsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var suspended atomic.Int64
		suspended.Store(int64(time.Hour)) // before the clock is created
		c := NewClock(func() time.Duration { return time.Duration(suspended.Load()) })
		defer Use(c.Suspended)()
		is.Equal(Suspended(), time.Duration(0))
		before := Now()
		time.Sleep(time.Second)
		is.Equal(Since(before), time.Second)
		suspended.Add(int64(7 * time.Second))
		time.Sleep(checkInterval + time.Millisecond) // the wall clock of a synctest bubble does not jump
		is.Equal(Suspended(), 7*time.Second)
		is.Equal(Since(before), 8*time.Second+checkInterval+time.Millisecond)
		is.Equal(Until(before.Add(10*time.Second)), 2*time.Second-checkInterval-time.Millisecond)
	})
}

func TestKernelSuspension(t *testing.T) {
	is := is.New(t)
	is.True(kernelSuspended() >= 0)
	is.True(Suspended() < time.Minute) // test machines are not suspended during a test
}
