package main

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// TestWaking: each suspension is noticed once, soon after the machine has woken.
func TestWaking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var total atomic.Int64
		total.Store(int64(time.Hour)) // before this process began
		woken := 0
		log := logrus.New()
		log.SetOutput(io.Discard)
		w := waker{
			suspended: func() time.Duration { return time.Duration(total.Load()) },
			woke:      func() { woken++ }, log: logrus.NewEntry(log),
		}
		ctx, cancel := context.WithCancel(t.Context())
		go w.run(ctx)
		for _, tc := range []struct {
			lasted time.Duration
			wakes  int
		}{{0, 0}, {100 * time.Millisecond, 0}, {50 * time.Millisecond, 0}, {5 * time.Second, 1}, {0, 1}, {time.Minute, 2}} {
			total.Add(int64(tc.lasted))
			time.Sleep(2 * wakeEvery)
			synctest.Wait()
			is.Equal(woken, tc.wakes)
		}
		cancel()
	})
}
