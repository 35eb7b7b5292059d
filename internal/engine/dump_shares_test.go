package engine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
)

// TestDelayedAccountsAreReported checks that the log, the dump and the explanation of a job tell why an
// account's steps wait behind those of others, and that without weights nothing is said of shares.
func TestDelayedAccountsAreReported(t *testing.T) {
	is := is.New(t)
	w := accountWorld(t, 53, 4)
	w.keepEvents = true
	w.weights = map[string]float64{"crew": 2}
	w.setQuota("crew", cores(640))
	w.setQuota("other", cores(640))
	w.failOver()
	w.run(time.Second)
	for i := range 12 {
		w.submit(fmt.Sprint("crew-", i), catalog.Rules{}, step(4, 16, 1, 2000))
		w.submit(fmt.Sprint("other-", i), catalog.Rules{}, step(4, 16, 1, 2000))
	}
	w.run(6 * time.Second)

	accounts := w.engine.Dump(w.now()).Accounts
	crew := accounts[slices.IndexFunc(accounts, func(a DumpedAccount) bool { return a.Account == "crew" })]
	is.Equal(crew.Weight, 2.0)
	is.Equal(len(crew.Shares), 1)
	s := crew.Shares[0]
	is.Equal(s.Service, "s")
	is.Equal(s.Weighted, s.Share/2)
	is.Equal(s.Share, float64(s.Used.MilliCPU)/64000)
	is.True(s.Steps > 0)
	is.True(s.LongestMS >= 3000)
	x, _ := w.engine.Explain("crew-11", w.now())
	is.True(strings.Contains(x.Order, "account crew runs"))
	is.True(strings.Contains(x.Order, "at priority 0 on service s"))

	lines := 0
	for _, ev := range w.events {
		if ev.What == "account delayed behind others" {
			lines++
		}
	}
	is.True(lines > 0)
	is.True(lines <= 2*4) // at most both accounts, each 2 s

	w.weights = nil
	w.setQuota("crew", cores(640))
	w.run(time.Second)
	is.Equal(len(w.engine.Dump(w.now()).Accounts[0].Shares), 0)
	x, _ = w.engine.Explain("crew-11", w.now())
	is.Equal(x.Order, "")
}
