package engine

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
)

// TestAccountsAreReported: the dump and the explanation of a job name the account whose steps wait
// and what they wait for, and each change is logged once.
func TestAccountsAreReported(t *testing.T) {
	is := is.New(t)
	w := accountWorld(t, 19, 4)
	w.keepEvents = true
	w.setQuota("crew", cores(8))
	w.setQuota("other", cores(64))
	w.failOver()
	w.run(time.Second)
	w.submit("crew-1", catalog.Rules{}, step(6, 2, 1, 9000))
	w.submit("other-1", catalog.Rules{Priority: 1}, step(16, 2, 1, 9000))
	w.run(3 * time.Second)

	d := w.engine.Dump(w.now())
	is.Equal(len(d.Accounts), 2)
	crew := d.Accounts[0]
	is.Equal(crew.Account, "crew")
	is.Equal(crew.Running.MilliCPU, int64(8000))
	is.Equal(crew.Full, 1.0)
	is.Equal(crew.Share, 8.0/64)
	is.Equal(crew.ForQuota, 1)
	is.Equal(crew.Next, "crew-1/0/0")
	is.True(strings.Contains(crew.NextWhy, "waits for its account's quota: crew has milli_cpu: 10000 of 8000"))
	is.Equal(d.Accounts[1].Steps, 0)

	x, known := w.engine.Explain("crew-1", w.now())
	is.True(known)
	is.Equal(len(x.Steps), 1)
	is.Equal(x.Steps[0].Waiting, 2)
	is.Equal(x.Steps[0].Why, crew.NextWhy)
	_, known = w.engine.Explain("nobody", w.now())
	is.True(!known)

	w.run(20 * time.Second)
	lines := map[string]int{}
	for _, ev := range w.events {
		if strings.HasPrefix(ev.What, "account waits") {
			lines[ev.What]++
		}
	}
	is.Equal(lines, map[string]int{"account waits for its quota": 1, "account waits for its quota no more": 1})
	x, _ = w.engine.Explain("crew-1", w.now())
	is.Equal(len(x.Steps), 0)
}

// TestGangAboveItsQuotaIsReported: after a quota was lowered below what an accepted gang
// needs at once, the explanation states both figures; the gang waits until the quota is raised.
func TestGangAboveItsQuotaIsReported(t *testing.T) {
	is := is.New(t)
	w := accountWorld(t, 23, 4)
	w.setQuota("crew", cores(4))
	w.failOver()
	gang := step(3, 2, 1, 1000)
	gang.Gang = true
	w.submit("crew-1", catalog.Rules{}, gang)
	w.run(time.Second)
	x, _ := w.engine.Explain("crew-1", w.now())
	is.True(strings.Contains(x.Steps[0].Why, "needs more at once than crew may have: milli_cpu: 6000 of 4000"))
	w.setQuota("crew", cores(6))
	w.run(3 * time.Second)
	is.Equal(w.completed(), 1)
}
