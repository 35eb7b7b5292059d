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

// TestWaking checks that each suspension is reported once, shortly after the machine resumes.
func TestWaking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var total atomic.Int64
		total.Store(int64(time.Hour)) // suspended before this process started
		resumptions := 0
		log := logrus.New()
		log.SetOutput(io.Discard)
		w := suspensionWatcher{
			suspended: func() time.Duration { return time.Duration(total.Load()) },
			resumed:   func() { resumptions++ }, log: logrus.NewEntry(log),
		}
		ctx, cancel := context.WithCancel(t.Context())
		go w.run(ctx)
		for _, tc := range []struct {
			lasted time.Duration
			want   int
		}{{0, 0}, {100 * time.Millisecond, 0}, {50 * time.Millisecond, 0}, {5 * time.Second, 1}, {0, 1}, {time.Minute, 2}} {
			total.Add(int64(tc.lasted))
			time.Sleep(2 * suspensionPollInterval)
			synctest.Wait()
			is.Equal(resumptions, tc.want)
		}
		cancel()
	})
}
