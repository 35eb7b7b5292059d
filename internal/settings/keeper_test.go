package settings

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/result"
)

// everywhere is how soon a change must be in force in every process.
const everywhere = 4 * time.Second

func TestChangeIsInForceEverywhere(t *testing.T) {
	inBubble(t, 4, 4, func(is *is.I, c *cell) {
		got, err := c.change(1, `{"/a":{"executor":{"slots":3}}}`)
		is.NoErr(err)
		is.Equal(got.Revision, int64(1))
		synctest.Wait()
		is.Equal(c.behind(1), nil) // at once, without any time passing
		v, err := c.followers[3].Current().Effective("/a")
		is.NoErr(err)
		is.Equal(v.Executor.Slots, int64(3))
	})
}

// TestFaultsOfNews is the table of what may keep news of a change from a
// process. In each case all are on the head within 4 s of the fault's end, or
// during it where there is another way.
func TestFaultsOfNews(t *testing.T) {
	cases := []struct {
		name string
		// fault strikes placer 1 before placer 0 makes a change.
		fault func(c *cell)
		// heals is true when the fault must end before the news can come.
		heals bool
	}{
		{"slow watch", func(c *cell) { c.client(1).SetFaults(memstore.Faults{WatchDelayMS: 60000}) }, false},
		{"dropped watch", func(c *cell) { c.client(1).SetFaults(memstore.Faults{BreakWatches: true}) }, false},
		{"silent store", func(c *cell) { c.client(1).SetFaults(memstore.Faults{Hang: true}) }, false},
		{"cut from the store", func(c *cell) { c.client(1).SetFaults(memstore.Faults{Refuse: true}) }, false},
		{"stale reads and slow watch", func(c *cell) {
			c.client(1).SetFaults(memstore.Faults{StaleReads: true, WatchDelayMS: 60000})
		}, false},
		{"cut from the store and from peers", func(c *cell) {
			c.client(1).SetFaults(memstore.Faults{Refuse: true})
			c.links.cut(addrOf(0))
			c.links.cut(addrOf(2))
		}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, 3, 0, func(is *is.I, c *cell) {
				tc.fault(c)
				_, err := c.change(0, `{"/a":{}}`)
				is.NoErr(err)
				c.heartbeat()
				time.Sleep(everywhere)
				if tc.heals {
					is.Equal(c.behind(1), []string{"placer-1 at 0"})
					is.True(c.keepers[1].Ready() != nil) // it knows that it lacks it
					c.client(1).SetFaults(memstore.Faults{})
					time.Sleep(everywhere)
				}
				is.Equal(c.behind(1), nil)
			})
		})
	}
}

func TestSilentWatchWithoutPeers(t *testing.T) {
	inBubble(t, 1, 0, func(is *is.I, c *cell) {
		c.client(0).SetFaults(memstore.Faults{WatchDelayMS: 60000})
		other := NewKeeper(KeeperConfig{Store: c.engine.Client("other"), Log: quiet()})
		_, err := other.Change(c.ctx, edit(0, `{"/a":{}}`))
		is.NoErr(err)
		time.Sleep(everywhere)
		is.Equal(c.behind(1), nil) // found by the head check
	})
}

// TestFaultsOfTheSwap is the table of what may happen to the one write.
func TestFaultsOfTheSwap(t *testing.T) {
	cases := []struct {
		name     string
		fault    memstore.Faults
		code     result.Code
		ran      result.Ran
		accepted int64
	}{
		{"answer lost", memstore.Faults{LoseAnswers: 1}, 0, "", 1},
		{"answer lost twice", memstore.Faults{LoseAnswers: 2}, 0, "", 1},
		{"request lost", memstore.Faults{LoseRequests: 1}, 0, "", 1},
		{"each answer lost", memstore.Faults{LoseAnswers: memstore.All}, 0, "", 1},
		{"each request lost", memstore.Faults{LoseRequests: memstore.All}, result.SettingsOutcomeUnknown, result.RanUnknown, 0},
		{"slow request", memstore.Faults{RequestDelayMS: 300}, 0, "", 1},
		{"arrives after the caller gave up", memstore.Faults{RequestDelayMS: 2500}, result.SettingsOutcomeUnknown, result.RanUnknown, 1},
		{"store refuses", memstore.Faults{Refuse: true}, result.SettingsStoreDown, result.RanNo, 0},
		{"store silent", memstore.Faults{Hang: true}, result.SettingsOutcomeUnknown, result.RanUnknown, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, 2, 0, func(is *is.I, c *cell) {
				c.client(0).SetFaults(tc.fault)
				change := edit(0, `{"/a":{}}`)
				got, err := c.keepers[0].Change(c.ctx, change)
				if tc.code == 0 {
					is.NoErr(err)
					is.Equal(got.ChangeID, change.ID)
				} else {
					e := result.From(err)
					is.Equal(e.Code, tc.code)
					is.Equal(e.Ran, tc.ran)
					is.True(e.RetryAfter > 0)
				}
				time.Sleep(10 * time.Second)
				c.client(0).SetFaults(memstore.Faults{})
				is.Equal(c.head().Revision, tc.accepted)

				// Repeating it with its id settles it through any placer, and it
				// is made once only.
				again, err := c.keepers[1].Change(c.ctx, change)
				is.NoErr(err)
				is.Equal(again.Revision, int64(1))
				is.Equal(again.Repeated, tc.accepted == 1)
				time.Sleep(everywhere)
				is.Equal(c.head().Revision, int64(1))
				is.Equal(c.behind(1), nil)
			})
		})
	}
}

// A change whose swap took effect without an answer is told from a later one
// that was swapped over it.
func TestLostAnswerUnderALaterChange(t *testing.T) {
	inBubble(t, 2, 0, func(is *is.I, c *cell) {
		c.client(0).SetFaults(memstore.Faults{AnswerDelayMS: 5000}) // longer than a call may take
		done := make(chan Accepted, 1)
		change := edit(0, `{"/a":{}}`)
		go func() {
			got, err := c.keepers[0].Change(c.ctx, change)
			is.NoErr(err)
			done <- got
		}()
		time.Sleep(time.Second)
		later, err := c.keepers[1].Change(c.ctx, edit(1, `{"/b":{}}`))
		is.NoErr(err)
		is.Equal(later.Revision, int64(2))
		c.client(0).SetFaults(memstore.Faults{})
		got := <-done
		is.Equal(got.Revision, int64(1))
		is.Equal(got.ChangeID, change.ID)
	})
}

func TestStoreDownIsRefusedAtOnce(t *testing.T) {
	inBubble(t, 1, 0, func(is *is.I, c *cell) {
		c.engine.SetFaults(memstore.Faults{Refuse: true})
		begin := time.Now()
		_, err := c.change(0, `{"/a":{}}`)
		is.Equal(result.CodeOf(err), result.SettingsStoreDown)
		is.Equal(time.Since(begin), time.Duration(0))
	})
}

// TestRaces is the table of two operators who looked at the same revision.
func TestRaces(t *testing.T) {
	const start = `{"/a":{},"/a/x":{},"/b":{}}`
	cases := []struct {
		name          string
		first, second string
		code          result.Code // of the second; 0: accepted
	}{
		{"other branches", `{"/a":{"executor":{"slots":3}}}`, `{"/b":{"executor":{"slots":4}}}`, 0},
		{"same branch", `{"/a":{"executor":{"slots":3}}}`, `{"/a":{"executor":{"slots":4}}}`, result.SettingsClash},
		{"one branch of several", `{"/a":{},"/b":{}}`, `{"/b":{},"/a/x":{}}`, result.SettingsClash},
		{"valid apart, wrong together", `{"/a":{"request":{"max_deadline_ms":3000}}}`,
			`{"/a/x":{"request":{"default_deadline_ms":4000}}}`, result.SettingsContradiction},
		{"valid apart, wrong together, other order", `{"/a/x":{"request":{"default_deadline_ms":4000}}}`,
			`{"/a":{"request":{"max_deadline_ms":3000}}}`, result.SettingsContradiction},
		{"slots over connections together", `{"/a":{"executor":{"connections":10}}}`, `{"/a/x":{"executor":{"slots":11}}}`, result.SettingsContradiction},
		{"parent removed", `{"/a":null,"/a/x":null}`, `{"/a/x":{}}`, result.SettingsClash},
		{"child of a removed parent", `{"/a":null,"/a/x":null}`, `{"/a/y":{}}`, result.SettingsUnknownBranch},
		{"removed under a new child", `{"/a/y":{}}`, `{"/a":null,"/a/x":null}`, result.SettingsBranchInUse},
		{"both create", `{"/c":{}}`, `{"/c":{}}`, result.SettingsClash},
		{"both remove", `{"/b":null}`, `{"/b":null}`, result.SettingsClash},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, 2, 0, func(is *is.I, c *cell) {
				_, err := c.change(0, start)
				is.NoErr(err)
				synctest.Wait()
				first, second := edit(1, tc.first), edit(1, tc.second)
				_, err = c.keepers[0].Change(c.ctx, first)
				is.NoErr(err)
				_, err = c.keepers[1].Change(c.ctx, second)
				if tc.code == 0 {
					is.NoErr(err)
					is.Equal(c.head().Revision, int64(3))
					return
				}
				e := result.From(err)
				is.Equal(e.Code, tc.code)
				is.Equal(e.Ran, result.RanNo)
				is.Equal(c.head().Revision, int64(2))
			})
		})
	}
}

// Eight operators race through different placers. Every change that is told to
// be accepted is in the history once, and the head is a valid tree.
func TestEightOperatorsRace(t *testing.T) {
	inBubble(t, 4, 0, func(is *is.I, c *cell) {
		_, err := c.change(0, `{"/a":{},"/a/x":{},"/b":{}}`)
		is.NoErr(err)
		synctest.Wait()
		branches := []string{
			`{"/a":{"request":{"max_deadline_ms":3000}}}`, `{"/a/x":{"request":{"default_deadline_ms":4000}}}`,
			`{"/b":{"executor":{"slots":9}}}`, `{"/":{"executor":{"connections":8}}}`,
		}
		outcomes := make(chan string, 8)
		for i := range 8 {
			change := edit(1, branches[i%len(branches)])
			go func() {
				_, err := c.keepers[i%4].Change(c.ctx, change)
				if err != nil {
					is.Equal(result.From(err).Ran, result.RanNo)
					change.ID = ""
				}
				outcomes <- change.ID
			}()
		}
		accepted := map[string]bool{}
		for range 8 {
			if id := <-outcomes; id != "" {
				accepted[id] = true
			}
		}
		synctest.Wait()
		heads, err := c.keepers[0].History(c.ctx)
		is.NoErr(err)
		is.Equal(len(heads), 1+len(accepted))
		for _, h := range heads[:len(accepted)] {
			is.True(accepted[h.ChangeID])
		}
		is.True(len(accepted) >= 2)
		is.Equal(c.behind(c.head().Revision), nil)
		c.keepers[0].Current().top().each(Root, func(path string, n *node) { is.NoErr(check(path, n.effective)) })
	})
}

// A placer that lags must not refuse a change for what has changed since.
func TestRefusalIsDecidedAgainstThePresentHead(t *testing.T) {
	inBubble(t, 2, 0, func(is *is.I, c *cell) {
		c.client(1).SetFaults(memstore.Faults{WatchDelayMS: 60000})
		_, err := c.change(0, `{"/a":{}}`)
		is.NoErr(err)
		got, err := c.keepers[1].Change(c.ctx, edit(0, `{"/a/x":{}}`)) // knows no /a yet
		is.NoErr(err)
		is.Equal(got.Revision, int64(2))
	})
}

// A head learned from a peer can jump over revisions whose entries the process
// has not seen; they could have touched the same branches.
func TestGapInTheHistoryIsNotTakenForPeace(t *testing.T) {
	inBubble(t, 1, 0, func(is *is.I, c *cell) {
		k := c.keepers[0]
		_, err := k.book.apply(Head{Revision: 3, Root: emptyRoot.hash}, 0, nil)
		is.NoErr(err)
		p, err := prepare(edit(1, `{"/":{}}`))
		is.NoErr(err)
		a := attempt{k: k, p: p}
		is.Equal(a.admissible(k.book.state()), errGap)
	})
}

func TestBaseAndIDAreChecked(t *testing.T) {
	inBubble(t, 1, 0, func(is *is.I, c *cell) {
		change := edit(0, `{"/a":{}}`)
		_, err := c.keepers[0].Change(c.ctx, change)
		is.NoErr(err)
		other := edit(1, `{"/b":{}}`)
		other.ID = change.ID
		_, err = c.keepers[0].Change(c.ctx, other)
		is.Equal(result.CodeOf(err), result.SettingsChangeIDReused)
		_, err = c.keepers[0].Change(c.ctx, edit(7, `{"/b":{}}`))
		is.Equal(result.CodeOf(err), result.SettingsBaseAhead)
		_, err = c.keepers[0].Change(c.ctx, Change{ID: "x"})
		is.Equal(result.CodeOf(err), result.BadInput)
		for i := range int64(HistoryKept) {
			_, err = c.change(0, fmt.Sprintf(`{"/c%d":{}}`, i))
			is.NoErr(err)
		}
		_, err = c.keepers[0].Change(c.ctx, edit(0, `{"/b":{}}`))
		is.Equal(result.CodeOf(err), result.SettingsBaseTooOld)
		heads, err := c.keepers[0].History(c.ctx)
		is.NoErr(err)
		is.Equal(len(heads), HistoryKept)
	})
}

func TestWait(t *testing.T) {
	inBubble(t, 3, 1, func(is *is.I, c *cell) {
		change := edit(0, `{"/a":{}}`)
		change.WaitMillis = 5000
		begin := time.Now()
		got, err := c.keepers[0].Change(c.ctx, change)
		is.NoErr(err)
		is.Equal(got.NotApplied, nil)
		is.True(time.Since(begin) < time.Second)

		c.client(2).SetFaults(memstore.Faults{Refuse: true})
		c.links.cut(addrOf(0))
		c.links.cut(addrOf(1))
		change = edit(1, `{"/b":{}}`)
		change.WaitMillis = 5000
		got, err = c.keepers[1].Change(c.ctx, change)
		is.NoErr(err)
		is.Equal(got.NotApplied, []string{"placer-2"})
	})
}

func TestDumpTellsWhatLacks(t *testing.T) {
	inBubble(t, 1, 1, func(is *is.I, c *cell) {
		_, err := c.change(0, `{"/a":{}}`)
		is.NoErr(err)
		time.Sleep(time.Second)
		d, ok := c.keepers[0].Dump().(Dump)
		is.True(ok)
		is.Equal(d.Revision, int64(1))
		is.Equal(d.Branches, 2)
		is.Equal(d.Followers, map[string]int64{"entry-0": 1})
		is.Equal(d.Lacks, "")
		c.keepers[0].Hear(5)
		d, ok = c.keepers[0].Dump().(Dump)
		is.True(ok)
		is.True(d.Lacks != "")
	})
}
