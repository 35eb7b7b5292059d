package main

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// suspensionPollInterval is how often the total suspension time is read.
	suspensionPollInterval = 150 * time.Millisecond
	// minSuspension is the shortest suspension that is handled: a shorter one has no more
	// effect than a late reply.
	minSuspension = 200 * time.Millisecond
)

// suspensionWatcher detects that the machine was suspended and calls resumed. During the
// suspension peers have closed their connections to this process and none of its timers
// ran, so it would wait on dead connections for the full time-outs; resumed opens new ones.
type suspensionWatcher struct {
	suspended func() time.Duration // total suspension time so far
	resumed   func()
	log       *logrus.Entry
}

func (w *suspensionWatcher) run(ctx context.Context) {
	ticker := time.NewTicker(suspensionPollInterval)
	defer ticker.Stop()
	before := w.suspended()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		total := w.suspended()
		if total-before < minSuspension {
			continue
		}
		w.log.WithField("for_ms", (total - before).Milliseconds()).Warn("machine was suspended")
		before = total
		w.resumed()
	}
}
