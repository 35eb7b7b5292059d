package settings

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestCallsToTheStore holds the store calls of a placer that does nothing but
// follow: some 20 reads a minute, and none more for a change.
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
		is.Equal(atRest, int64(time.Minute/headCheck))

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
