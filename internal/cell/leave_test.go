package cell

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestLeaveDoesNotSpinAfterItsTimeLimit guards against a planned stop that uses all the processor time of
// its host. When the time limit of the stop had passed before the partition was released, the wait for its
// release became a loop without any pause. The requests in flight had to be answered beside it.
func TestLeaveDoesNotSpinAfterItsTimeLimit(t *testing.T) {
	// A loop without a pause stops the virtual time, so the watchdog runs in real time.
	const watchdogTime = 10 * time.Second
	watchdog := time.AfterFunc(watchdogTime, func() { panic("a loop without a pause after the time limit") })
	defer watchdog.Stop()
	synctest.Test(t, func(t *testing.T) {
		monitor := &holderMonitor{held: true, stop: func() {}}
		c := &Claimer{View: NewView(), monitors: []*holderMonitor{monitor}, leaving: make(chan struct{})}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		c.Leave(ctx)
		time.Sleep(time.Second)
		monitor.mu.Lock()
		monitor.held = false
		monitor.mu.Unlock()
	})
}
