package job

import (
	"testing"
	"testing/synctest"
	"time"

	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/result"
)

// TestSubmitWhileStoreIsAway checks that a new job is refused at once and never recorded while the
// store has not replied for storeUnavailableAfter, for each kind of store failure, and that a job
// whose record was unknown before stays so.
func TestSubmitWhileStoreIsAway(t *testing.T) {
	for name, faults := range map[string]memstore.Faults{
		"refuses": {Refuse: true}, "hangs": {Hang: true}, "loses replies": {LoseAnswers: memstore.EveryCall},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, a, _ := twoPlacers(t, 2)
				c.engine.SetFaults(faults)
				uncertain := batch(0, 2, time.Second)
				_, firstErr := a.submit(uncertain)
				a.storeAge.Store(int64(storeUnavailableAfter + 1))
				start := time.Now()
				_, err := a.submit(batch(0, 2, time.Second))
				c.is.Equal(time.Since(start), time.Duration(0)) // without delay
				e := result.From(err)
				c.is.Equal(e.Code, result.JobNotRecorded)
				c.is.Equal(e.Ran, result.RanNo)
				c.is.True(e.RetryAfter > 0)
				_, retryErr := a.submit(uncertain)
				if result.CodeOf(firstErr) == result.JobRecordUnknown {
					c.is.Equal(result.CodeOf(retryErr), result.JobRecordUnknown)
				}
				a.storeAge.Store(0)
				c.engine.SetFaults(memstore.Faults{})
				_, err = a.submit(batch(0, 2, time.Second))
				c.is.NoErr(err)
			})
		})
	}
}
