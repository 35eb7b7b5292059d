package settings

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestCallsToTheStore limits the store calls of a placer that only follows the head: about 20 reads a minute, and
// no additional ones when a change is made.
func TestCallsToTheStore(t *testing.T) {
	inBubble(t, 2, 2, func(is *is.I, c *cell) {
		store := &countingStore{Client: c.client(1)}
		c.startWith(1, store)
		time.Sleep(settle)
		synctest.Wait()
		store.calls.Store(0)
		time.Sleep(time.Minute)
		synctest.Wait()
		atRest := store.calls.Load()
		is.Equal(atRest, int64(time.Minute/headPollInterval))

		store.calls.Store(0)
		for i := range 20 {
			_, err := c.change(0, fmt.Sprintf(`{"/a%d":{}}`, i))
			is.NoErr(err)
			time.Sleep(3 * time.Second)
		}
		synctest.Wait()
		is.Equal(c.behind(20), nil)
		is.Equal(store.calls.Load(), atRest) // the watch brings branches and head
	})
}
