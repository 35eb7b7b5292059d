package main

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// Times of the watch for suspensions.
const (
	// wakeEvery is how often it is looked whether the machine was suspended.
	wakeEvery = 150 * time.Millisecond
	// suspendedAtLeast is how long a suspension lasts that counts here: a shorter one is
	// like a late answer.
	suspendedAtLeast = 200 * time.Millisecond
)

// waker notices that the machine was suspended. Others have closed their connections to
// this process meanwhile, and no timer of its own has run, so that it would wait on them
// for as long as if nothing had happened: it opens all anew.
type waker struct {
	suspended func() time.Duration // in all, so far
	woke      func()
	log       *logrus.Entry
}

func (w *waker) run(ctx context.Context) {
	ticker := time.NewTicker(wakeEvery)
	defer ticker.Stop()
	before := w.suspended()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		total := w.suspended()
		if total-before < suspendedAtLeast {
			continue
		}
		w.log.WithField("for_ms", (total - before).Milliseconds()).Warn("machine was suspended")
		before = total
		w.woke()
	}
}
