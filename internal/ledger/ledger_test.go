package ledger

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/host"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/platform/resend"
)

func self(name string) Holder { return Holder{Name: name, Incarnation: name + "-1", Addr: name + ":1"} }

func sender(c *memstore.Client) *resend.Sender { return resend.New(c, follow.NewHealth(nil)) }

func write(key, value string) [][]platform.Write {
	return [][]platform.Write{{{Key: key, Value: []byte(value)}}}
}

// value reads a key with a client that has no injected faults.
func value(t *testing.T, e *memstore.Engine, key string) string {
	t.Helper()
	rec, ok, err := e.Client("judge").Get(t.Context(), key)
	is.New(t).NoErr(err)
	if !ok {
		return ""
	}
	return string(rec.Value)
}

// TestCommitsUnderFaults checks that a transaction takes effect exactly once, before the next
// one, whichever of its copies or replies are lost or delayed.
func TestCommitsUnderFaults(t *testing.T) {
	tests := map[string]memstore.Faults{
		"no faults":                      {},
		"replies lost":                   {LoseAnswers: 3},
		"requests lost":                  {LoseRequests: 3},
		"replies delayed":                {AnswerDelayMS: 900},
		"requests delayed":               {RequestDelayMS: 900},
		"refused for a while":            {Refuse: true},
		"unresponsive for a while":       {Hang: true},
		"requests delayed, replies lost": {RequestDelayMS: 700, LoseAnswers: 2},
		"requests delayed and lost":      {RequestDelayMS: 700, LoseRequests: 2},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := memstore.New()
				defer e.Close()
				c := e.Client("a")
				l, _, err := Claim(t.Context(), sender(c), Holder{}, self("a"))
				is.NoErr(err)
				for i := range 6 {
					if i == 2 {
						c.SetFaults(faults)
						time.AfterFunc(5*time.Second, func() { c.SetFaults(memstore.Faults{}) })
					}
					before := time.Now()
					is.NoErr(l.Commit(t.Context(), write("k", fmt.Sprint(i)), nil))
					is.Equal(value(t, e, "k"), fmt.Sprint(i))
					is.True(!l.LastConfirmed().Before(before)) // each commit confirms the claim
				}
				time.Sleep(20 * time.Second) // delayed copies arrive
				is.Equal(value(t, e, "k"), "5")
			})
		})
	}
}

// TestDeposedHolderWritesNothing checks that no write of the previous holder takes effect
// after another claim, not even one that was in flight.
func TestDeposedHolderWritesNothing(t *testing.T) {
	for _, delay := range []int64{0, 300, 2500} {
		t.Run(fmt.Sprint(delay, " ms late"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := memstore.New()
				defer e.Close()
				old, previous, err := Claim(t.Context(), sender(e.Client("a")), Holder{}, self("a"))
				is.NoErr(err)
				is.NoErr(old.Commit(t.Context(), write("k", "old"), nil))
				e.Client("a").SetFaults(memstore.Faults{RequestDelayMS: delay})
				ended := make(chan error, 1)
				go func() { ended <- old.Commit(t.Context(), write("k", "late"), nil) }()
				if delay > 0 {
					time.Sleep(10 * time.Millisecond) // the commit is in flight
					next, _, err := Claim(t.Context(), sender(e.Client("b")), previous, self("b"))
					is.NoErr(err)
					is.NoErr(next.Commit(t.Context(), write("k", "new"), nil))
					is.True(errors.Is(<-ended, ErrDeposed))
					time.Sleep(10 * time.Second)
					is.Equal(value(t, e, "k"), "new")
					return
				}
				is.NoErr(<-ended)
				is.Equal(value(t, e, "k"), "late")
			})
		})
	}
}

// TestClaims checks that one of two claims after the same holder succeeds, and that a claim
// whose reply was lost is recognized as the process's own.
func TestClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := memstore.New()
		defer e.Close()
		e.Client("a").SetFaults(memstore.Faults{LoseAnswers: 1})
		l, first, err := Claim(t.Context(), sender(e.Client("a")), Holder{}, self("a"))
		is.NoErr(err)
		is.Equal(first.Epoch, uint64(1))
		is.NoErr(l.Commit(t.Context(), nil, nil))

		_, current, err := Claim(t.Context(), sender(e.Client("b")), Holder{}, self("b"))
		is.True(errors.Is(err, ErrClaimConflict))
		is.Equal(current.Name, "a") // a retry with the current holder can succeed
		_, second, err := Claim(t.Context(), sender(e.Client("b")), current, self("b"))
		is.NoErr(err)
		is.Equal(second.Epoch, first.Epoch+host.TokensPerEpoch) // the tokens in between are those of the first
		is.True(errors.Is(l.Commit(t.Context(), nil, nil), ErrDeposed))
	})
}

func TestCommitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := memstore.New()
		defer e.Close()
		l, _, err := Claim(t.Context(), sender(e.Client("a")), Holder{}, self("a"))
		is.NoErr(err)
		e.Client("a").SetFaults(memstore.Faults{Refuse: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(errors.Is(l.Commit(ctx, write("k", "v"), nil), context.DeadlineExceeded))
		is.Equal(value(t, e, "k"), "")
	})
}

// TestManyRecordsInASlowStore guards the write rate with a store latency of 0.24 s: without
// parallel chains a holder stored 120 records a second while 330 jobs a second ended.
func TestManyRecordsInASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := memstore.New()
		defer e.Close()
		l, _, err := Claim(t.Context(), sender(e.Client("a")), Holder{}, self("a"))
		is.NoErr(err)
		e.Client("a").SetFaults(memstore.Faults{AnswerDelayMS: 240})
		for round := range 3 {
			var groups [][]platform.Write
			for i := range 150 {
				v := []byte(fmt.Sprint(round))
				groups = append(groups, []platform.Write{{Key: fmt.Sprint("end/", i), Value: v}, {Key: fmt.Sprint("progress/", i), Value: v}})
			}
			start := time.Now()
			is.NoErr(l.Commit(t.Context(), groups, nil))
			if round > 0 { // the first round measures the latency
				is.True(time.Since(start) < 400*time.Millisecond)
			}
			for i := range 150 {
				is.Equal(value(t, e, fmt.Sprint("end/", i)), fmt.Sprint(round))
				is.Equal(value(t, e, fmt.Sprint("progress/", i)), fmt.Sprint(round))
			}
		}
	})
}

// TestGroupsStayTogether checks that groups are never split across transactions. Otherwise the
// next holder could find a job without its end and without the records that its end deletes.
func TestGroupsStayTogether(t *testing.T) {
	is := is.New(t)
	var groups [][]platform.Write
	for i := range 100 {
		groups = append(groups, make([]platform.Write, 1+i%3))
		for k := range groups[i] {
			groups[i][k].Key = fmt.Sprint(i)
		}
	}
	txnOf, writes := map[string]int{}, 0
	for n, txn := range pack(groups) {
		is.True(len(txn) <= maxWrites)
		for _, w := range txn {
			writes++
			if before, seen := txnOf[w.Key]; seen {
				is.Equal(before, n)
			}
			txnOf[w.Key] = n
		}
	}
	is.Equal(writes, 199)
	is.Equal(len(pack(nil)), 1)
}

// TestDependentWritesFollowTheGroups guards against dependent writes that the next holder finds without all of the
// groups, of which a lost request may delay any.
func TestDependentWritesFollowTheGroups(t *testing.T) {
	for name, tc := range map[string]struct{ groups, lost, transactions int }{
		"nothing lost":           {100, 0, 5},
		"some requests lost":     {100, 2, 5},
		"most requests lost":     {100, 4, 5},
		"more than the chains":   {29*Chains + 40, 3, Chains + 3},
		"all in one transaction": {28, 1, 1},
		"a transaction is full":  {29, 1, 2},
		"no groups":              {0, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := memstore.New()
				defer e.Close()
				l, _, err := Claim(t.Context(), sender(e.Client("a")), Holder{}, self("a"))
				is.NoErr(err)
				before := sequences(l)
				e.Client("a").SetFaults(memstore.Faults{LoseRequests: tc.lost, AnswerDelayMS: 40})
				var groups [][]platform.Write
				for i := range tc.groups {
					groups = append(groups, write(fmt.Sprint("end/", i), "1")...)
				}
				committed := make(chan error, 1)
				go func() { committed <- l.Commit(t.Context(), groups, write("roster", "1")[0]) }()
				for value(t, e, "roster") == "" {
					time.Sleep(time.Millisecond)
				}
				for i := range tc.groups {
					is.Equal(value(t, e, fmt.Sprint("end/", i)), "1")
				}
				is.NoErr(<-committed)
				is.Equal(sequences(l)-before, uint64(tc.transactions))
			})
		})
	}
}

// sequences returns the number of transactions of all chains.
func sequences(l *Ledger) (n uint64) {
	for i := range l.chains {
		n += l.chains[i].sequence
	}
	return n
}
