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

// propagationLimit is the time within which a change must be active in every process.
const propagationLimit = 4 * time.Second

func TestChangeIsInForceEverywhere(t *testing.T) {
	inBubble(t, 4, 4, func(is *is.I, c *cell) {
		got, err := c.change(1, `{"/a":{"executor":{"slots":3}}}`)
		is.NoErr(err)
		is.Equal(got.Revision, int64(1))
		synctest.Wait()
		is.Equal(c.behind(1), nil) // at once: the fake clock has not advanced
		v, err := c.followers[3].Current().Effective("/a")
		is.NoErr(err)
		is.Equal(v.Executor.Slots, int64(3))
	})
}

// TestPropagationUnderFaults lists the faults that can prevent a process from receiving a change. In each case all
// processes must be on the head within 4 s after the fault ends, or during the fault where another path exists.
func TestPropagationUnderFaults(t *testing.T) {
	cases := []struct {
		name string
		// fault is injected at placer 1 before placer 0 makes a change.
		fault func(c *cell)
		// needsRecovery is true when the change can't arrive before the fault ends.
		needsRecovery bool
	}{
		{"slow watch", func(c *cell) { c.client(1).SetFaults(memstore.Faults{WatchDelayMS: 60000}) }, false},
		{"dropped watch", func(c *cell) { c.client(1).SetFaults(memstore.Faults{BreakWatches: true}) }, false},
		{"silent store", func(c *cell) { c.client(1).SetFaults(memstore.Faults{Hang: true}) }, false},
		{"disconnected from the store", func(c *cell) { c.client(1).SetFaults(memstore.Faults{Refuse: true}) }, false},
		{"stale reads and slow watch", func(c *cell) {
			c.client(1).SetFaults(memstore.Faults{StaleReads: true, WatchDelayMS: 60000})
		}, false},
		{"disconnected from the store and from peers", func(c *cell) {
			c.client(1).SetFaults(memstore.Faults{Refuse: true})
			c.network.disconnect(placerAddr(0))
			c.network.disconnect(placerAddr(2))
		}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, 3, 0, func(is *is.I, c *cell) {
				tc.fault(c)
				_, err := c.change(0, `{"/a":{}}`)
				is.NoErr(err)
				c.heartbeat()
				time.Sleep(propagationLimit)
				if tc.needsRecovery {
					is.Equal(c.behind(1), []string{"placer-1 at 0"})
					is.True(c.managers[1].Ready() != nil) // a higher revision is known
					c.client(1).SetFaults(memstore.Faults{})
					time.Sleep(propagationLimit)
				}
				is.Equal(c.behind(1), nil)
			})
		})
	}
}

func TestSilentWatchWithoutPeers(t *testing.T) {
	inBubble(t, 1, 0, func(is *is.I, c *cell) {
		c.client(0).SetFaults(memstore.Faults{WatchDelayMS: 60000})
		other := NewManager(ManagerConfig{Store: c.engine.Client("other"), Log: discardLog()})
		_, err := other.Change(c.ctx, edit(0, `{"/a":{}}`))
		is.NoErr(err)
		time.Sleep(propagationLimit)
		is.Equal(c.behind(1), nil) // found by pollHead
	})
}

// TestSwapUnderFaults lists the faults that can affect the swap of the head.
func TestSwapUnderFaults(t *testing.T) {
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
		{"each answer lost", memstore.Faults{LoseAnswers: memstore.EveryCall}, 0, "", 1},
		{"each request lost", memstore.Faults{LoseRequests: memstore.EveryCall}, result.SettingsOutcomeUnknown, result.RanUnknown, 0},
		{"slow request", memstore.Faults{RequestDelayMS: 300}, 0, "", 1},
		{"arrives after the caller's timeout", memstore.Faults{RequestDelayMS: 2500}, result.SettingsOutcomeUnknown, result.RanUnknown, 1},
		{"store refuses", memstore.Faults{Refuse: true}, result.SettingsStoreDown, result.RanNo, 0},
		{"store silent", memstore.Faults{Hang: true}, result.SettingsOutcomeUnknown, result.RanUnknown, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, 2, 0, func(is *is.I, c *cell) {
				c.client(0).SetFaults(tc.fault)
				change := edit(0, `{"/a":{}}`)
				got, err := c.managers[0].Change(c.ctx, change)
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

				// Repeating the change with its id through any placer determines the outcome, and the change is made only once.
				again, err := c.managers[1].Change(c.ctx, change)
				is.NoErr(err)
				is.Equal(again.Revision, int64(1))
				is.Equal(again.Repeated, tc.accepted == 1)
				time.Sleep(propagationLimit)
				is.Equal(c.head().Revision, int64(1))
				is.Equal(c.behind(1), nil)
			})
		})
	}
}

// The answer to a change's swap is lost and another change is swapped afterwards. The first change must still be
// recognized as accepted.
func TestLostAnswerUnderALaterChange(t *testing.T) {
	inBubble(t, 2, 0, func(is *is.I, c *cell) {
		c.client(0).SetFaults(memstore.Faults{AnswerDelayMS: 5000}) // longer than callTimeout
		done := make(chan Accepted, 1)
		change := edit(0, `{"/a":{}}`)
		go func() {
			got, err := c.managers[0].Change(c.ctx, change)
			is.NoErr(err)
			done <- got
		}()
		time.Sleep(time.Second)
		later, err := c.managers[1].Change(c.ctx, edit(1, `{"/b":{}}`))
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

// TestRaces lists pairs of changes that two operators make against the same revision.
func TestRaces(t *testing.T) {
	const start = `{"/a":{},"/a/x":{},"/b":{}}`
	cases := []struct {
		name          string
		first, second string
		code          result.Code // of the second; 0: accepted
	}{
		{"other branches", `{"/a":{"executor":{"slots":3}}}`, `{"/b":{"executor":{"slots":4}}}`, 0},
		{"same branch", `{"/a":{"executor":{"slots":3}}}`, `{"/a":{"executor":{"slots":4}}}`, result.SettingsConflict},
		{"one branch of several", `{"/a":{},"/b":{}}`, `{"/b":{},"/a/x":{}}`, result.SettingsConflict},
		{"valid individually, invalid together", `{"/a":{"request":{"max_deadline_ms":3000}}}`,
			`{"/a/x":{"request":{"default_deadline_ms":4000}}}`, result.SettingsContradiction},
		{"valid individually, invalid together, other order", `{"/a/x":{"request":{"default_deadline_ms":4000}}}`,
			`{"/a":{"request":{"max_deadline_ms":3000}}}`, result.SettingsContradiction},
		{"slots above connections in combination", `{"/a":{"executor":{"connections":10}}}`, `{"/a/x":{"executor":{"slots":11}}}`, result.SettingsContradiction},
		{"parent removed", `{"/a":null,"/a/x":null}`, `{"/a/x":{}}`, result.SettingsConflict},
		{"child of a removed parent", `{"/a":null,"/a/x":null}`, `{"/a/y":{}}`, result.SettingsUnknownBranch},
		{"removed under a new child", `{"/a/y":{}}`, `{"/a":null,"/a/x":null}`, result.SettingsBranchInUse},
		{"both create", `{"/c":{}}`, `{"/c":{}}`, result.SettingsConflict},
		{"both remove", `{"/b":null}`, `{"/b":null}`, result.SettingsConflict},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, 2, 0, func(is *is.I, c *cell) {
				_, err := c.change(0, start)
				is.NoErr(err)
				synctest.Wait()
				first, second := edit(1, tc.first), edit(1, tc.second)
				_, err = c.managers[0].Change(c.ctx, first)
				is.NoErr(err)
				_, err = c.managers[1].Change(c.ctx, second)
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

// Eight operators make concurrent changes through different placers. Every change that was reported as accepted must
// be in the history exactly once, and the head must be a valid tree.
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
				_, err := c.managers[i%4].Change(c.ctx, change)
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
		heads, err := c.managers[0].History(c.ctx)
		is.NoErr(err)
		is.Equal(len(heads), 1+len(accepted))
		for _, h := range heads[:len(accepted)] {
			is.True(accepted[h.ChangeID])
		}
		is.True(len(accepted) >= 2)
		is.Equal(c.behind(c.head().Revision), nil)
		c.managers[0].Current().rootNode().each(Root, func(path string, n *node) { is.NoErr(check(path, n.effective)) })
	})
}

// A placer that lags must not refuse a change because of a state that is no longer current.
func TestRefusalIsDecidedAgainstThePresentHead(t *testing.T) {
	inBubble(t, 2, 0, func(is *is.I, c *cell) {
		c.client(1).SetFaults(memstore.Faults{WatchDelayMS: 60000})
		_, err := c.change(0, `{"/a":{}}`)
		is.NoErr(err)
		got, err := c.managers[1].Change(c.ctx, edit(0, `{"/a/x":{}}`)) // has not received /a yet
		is.NoErr(err)
		is.Equal(got.Revision, int64(2))
	})
}

// A head received from a peer can skip revisions whose history entries the process does not have. Those revisions
// may have changed the same branches, so the change must not be accepted without them.
func TestHistoryGapIsNotTreatedAsNoConflict(t *testing.T) {
	inBubble(t, 1, 0, func(is *is.I, c *cell) {
		m := c.managers[0]
		_, err := m.replica.apply(Head{Revision: 3, Root: emptyRoot.hash}, 0, nil)
		is.NoErr(err)
		p, err := prepare(edit(1, `{"/":{}}`))
		is.NoErr(err)
		a := attempt{m: m, p: p}
		is.Equal(a.checkBase(m.replica.snapshot()), errHistoryGap)
	})
}

func TestBaseAndIDAreChecked(t *testing.T) {
	inBubble(t, 1, 0, func(is *is.I, c *cell) {
		change := edit(0, `{"/a":{}}`)
		_, err := c.managers[0].Change(c.ctx, change)
		is.NoErr(err)
		other := edit(1, `{"/b":{}}`)
		other.ID = change.ID
		_, err = c.managers[0].Change(c.ctx, other)
		is.Equal(result.CodeOf(err), result.SettingsChangeIDReused)
		_, err = c.managers[0].Change(c.ctx, edit(7, `{"/b":{}}`))
		is.Equal(result.CodeOf(err), result.SettingsBaseAhead)
		_, err = c.managers[0].Change(c.ctx, Change{ID: "x"})
		is.Equal(result.CodeOf(err), result.BadInput)
		for i := range int64(HistoryLimit) {
			_, err = c.change(0, fmt.Sprintf(`{"/c%d":{}}`, i))
			is.NoErr(err)
		}
		_, err = c.managers[0].Change(c.ctx, edit(0, `{"/b":{}}`))
		is.Equal(result.CodeOf(err), result.SettingsBaseTooOld)
		heads, err := c.managers[0].History(c.ctx)
		is.NoErr(err)
		is.Equal(len(heads), HistoryLimit)
	})
}

func TestWait(t *testing.T) {
	inBubble(t, 3, 1, func(is *is.I, c *cell) {
		change := edit(0, `{"/a":{}}`)
		change.WaitMillis = 5000
		begin := time.Now()
		got, err := c.managers[0].Change(c.ctx, change)
		is.NoErr(err)
		is.Equal(got.NotApplied, nil)
		is.True(time.Since(begin) < time.Second)

		c.client(2).SetFaults(memstore.Faults{Refuse: true})
		c.network.disconnect(placerAddr(0))
		c.network.disconnect(placerAddr(1))
		change = edit(1, `{"/b":{}}`)
		change.WaitMillis = 5000
		got, err = c.managers[1].Change(c.ctx, change)
		is.NoErr(err)
		is.Equal(got.NotApplied, []string{"placer-2"})
	})
}

func TestDumpReportsWhatIsMissing(t *testing.T) {
	inBubble(t, 1, 1, func(is *is.I, c *cell) {
		_, err := c.change(0, `{"/a":{}}`)
		is.NoErr(err)
		time.Sleep(time.Second)
		d, ok := c.managers[0].Dump().(Dump)
		is.True(ok)
		is.Equal(d.Revision, int64(1))
		is.Equal(d.Branches, 2)
		is.Equal(d.Followers, map[string]int64{"entry-0": 1})
		is.Equal(d.Lacks, "")
		c.managers[0].ObserveRevision(5)
		d, ok = c.managers[0].Dump().(Dump)
		is.True(ok)
		is.True(d.Lacks != "")
	})
}
