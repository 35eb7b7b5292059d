package dispatch_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"pulleyquay/internal/hold"
)

// BenchmarkCancelledWave queues 5,000 requests behind busy executors and cancels them all. It
// reports the time from the cancellation to the end of the last request, divided by the requests.
func BenchmarkCancelledWave(b *testing.B) {
	const requests = 5000
	h := newTestBench(b, 1, hold.Acquisition{NeverHeld: true})
	defer h.stop()
	h.values.Request.QueueLimit = 2 * requests
	h.values.Request.MaxDeadlineMS = 600000
	h.executors.ExecutionTime = 10 * time.Minute
	for range 8 {
		go h.send(context.Background(), "caller-a", false, 10*time.Minute)
	}
	for h.executors.Peak("executor-0") < 8 {
		time.Sleep(time.Millisecond)
	}
	var cancelling time.Duration
	for b.Loop() {
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for range requests {
			wg.Go(func() { h.send(ctx, "caller-a", false, 10*time.Minute) })
		}
		for h.Queued("ledger") < requests {
			time.Sleep(time.Millisecond)
		}
		start := time.Now()
		cancel()
		wg.Wait()
		cancelling += time.Since(start)
	}
	b.ReportMetric(float64(cancelling.Nanoseconds())/float64(b.N)/requests, "ns/cancelled")
}
