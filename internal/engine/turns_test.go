package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
)

// The small work of an account filled its quota, bit by bit: whenever a task of it ended, the
// next one took what came free, and urgent work of the same account, which needs more at once,
// waited ("waits for its account's quota" for 53 steps of tickets on trouble-1 of the shifted
// deployment, the last of them 9.8 s). What goes first is left what comes free.
func TestAnAccountsSmallWorkLeavesItsUrgentWorkTheQuota(t *testing.T) {
	for name, gang := range map[string]bool{"a gang": true, "its tasks one by one": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := accountWorld(t, 31, 4)
			w.setQuota("crew", cores(32))
			w.takeOver()
			w.run(time.Second)
			for i := range 32 {
				w.after(time.Duration(i)*60*time.Millisecond, func() {
					w.submit(fmt.Sprint("crew-small-", i), catalog.Rules{Priority: 2}, step(30, 1, 1, 2000))
				})
			}
			w.run(5 * time.Second)
			urgent := step(3, 10, 1, 500)
			urgent.Gang = gang
			w.submit("crew-urgent", catalog.Rules{}, urgent)
			w.run(3 * time.Second) // every task that ran has ended in that time
			is.True(w.shown["crew-urgent"].Final())
			w.check()
		})
	}
}
