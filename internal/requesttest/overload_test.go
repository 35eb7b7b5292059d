package requesttest_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/entry"
)

const (
	overloadPlacers   = 3
	overloadExecutors = 12
	overloadLength    = 3 * time.Second
)

// cellGoodput sends requests with keys at a multiple of the cell's capacity and returns the
// number of answers per second. The hashes of the executors' names determine their holders, so
// the executors are distributed unevenly.
func cellGoodput(t *testing.T, load float64) (perSecond float64) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, overloadPlacers, overloadExecutors)
		defer c.stop()
		rng := rand.New(rand.NewPCG(7, 7))
		gap := float64(c.executors.ExecutionTime) / (overloadExecutors * 8 * load)
		var mu sync.Mutex
		answered := 0
		var wg sync.WaitGroup
		start := time.Now()
		for at := time.Duration(0); at < overloadLength; at += time.Duration(rng.ExpFloat64() * gap) {
			time.Sleep(time.Until(start.Add(at)))
			key, caller := keyOf(rng.Uint64()), fmt.Sprintf("caller-%d", rng.IntN(20))
			wg.Go(func() {
				got := c.do(context.Background(), http.MethodPost, "/tickets", "{}",
					entry.KeyHeader, key, entry.CallerHeader, caller, entry.TimeoutHeader, "500")
				if got.status == http.StatusOK {
					mu.Lock()
					defer mu.Unlock()
					answered++
				}
			})
		}
		wg.Wait()
		perSecond = float64(answered) / overloadLength.Seconds()
		t.Logf("load %.1f: %.0f answered a second", load, perSecond)
	})
	return perSecond
}

func TestCellGoodputHoldsUnderOverload(t *testing.T) {
	is := is.New(t)
	capacity := cellGoodput(t, 1)
	is.True(capacity >= 0.95*overloadExecutors*8*100)
	is.True(cellGoodput(t, 3) >= 0.95*capacity)
}

// A home without executors of its own depends on the free slots of another holder.
func TestHomeWithoutExecutorsRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScenario(t) // two slots of 200 ms at the other holder: ten requests per second
		defer s.stop()
		var mu sync.Mutex
		answered, late := 0, 0
		var wg sync.WaitGroup
		for i := range uint64(300) {
			time.Sleep(10 * time.Millisecond)
			key := keyInFrom(s.part, i<<32)
			wg.Go(func() {
				start := time.Now()
				got := s.do(context.Background(), http.MethodPost, "/tickets", "{}", entry.KeyHeader, key, entry.TimeoutHeader, "1000")
				mu.Lock()
				defer mu.Unlock()
				if got.status == http.StatusOK {
					answered++
				} else if time.Since(start) > 100*time.Millisecond {
					late++
				}
			})
		}
		wg.Wait()
		t.Logf("answered %d, refused late %d of 300", answered, late)
		is.True(answered >= 25)
		is.True(late <= 15)
	})
}
