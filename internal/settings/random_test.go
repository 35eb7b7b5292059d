package settings

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/result"
)

// The randomised test draws a plan first and then runs it in a synctest bubble, so that a failing plan can be shrunk
// and kept as a regression case.

// planStep is one step of a plan; the meaning of its numbers depends on the kind.
type planStep struct {
	Kind   string
	Who, N int
	Wait   int // milliseconds that pass after the step
}

// The kinds of steps.
const (
	stepChange     = "change"    // placer Who, branches and faults of N
	stepRace       = "race"      // concurrent changes, one through each placer
	stepRollback   = "rollback"  // placer Who, N revisions back
	stepFault      = "fault"     // injects fault N into placer Who's client
	stepOutage     = "outage"    // injects fault N into all clients
	stepHeal       = "heal"      // ends all faults of the store
	stepRestart    = "restart"   // placer Who is replaced
	stepDisconnect = "cut"       // placer Who is disconnected from its peers, or reconnected
	stepHeartbeat  = "heartbeat" // every live placer observes every other's revision
	stepCollect    = "collect"   // placer Who collects
	stepRepeat     = "repeat"    // changes with unknown outcome are sent again through Who
)

var stepKinds = []string{stepChange, stepChange, stepChange, stepRace, stepRollback, stepFault, stepFault, stepOutage,
	stepHeal, stepHeal, stepRestart, stepDisconnect, stepHeartbeat, stepHeartbeat, stepCollect, stepRepeat}

// planFaults are the faults that steps select by index.
var planFaults = []memstore.Faults{
	{Refuse: true}, {Hang: true}, {LoseAnswers: 1}, {LoseAnswers: memstore.EveryCall}, {LoseRequests: 1}, {StaleReads: true},
	{BreakWatches: true}, {WatchDelayMS: 30000}, {RequestDelayMS: 2500}, {RequestDelayMS: 100, AnswerDelayMS: 100},
	{AnswerDelayMS: 3000}, {StaleReads: true, WatchDelayMS: 1000},
}

// planBranches are changes that are valid individually; some are invalid in combination.
var planBranches = []string{
	`{"/a":{"request":{"max_deadline_ms":3000}}}`, `{"/a/x":{"request":{"default_deadline_ms":4000}}}`,
	`{"/a":{"executor":{"connections":10}}}`, `{"/a/x":{"executor":{"slots":11}}}`,
	`{"/b":{"task":{"surge":3}}}`, `{"/b":{}}`, `{"/b":null}`, `{"/b":{},"/b/y":{"task":{"priority":5}}}`,
	`{"/b/y":null}`, `{"/":{"request":{"queue_limit":9}}}`, `{"/a":{},"/a/x":{}}`, `{"/a":null}`, `{"/a":null,"/a/x":null}`,
}

const planPlacers = 3

func drawPlan(t *rapid.T) []planStep {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) planStep {
		return planStep{
			Kind: rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			Who:  rapid.IntRange(0, planPlacers-1).Draw(t, "who"),
			N:    rapid.IntRange(0, 60).Draw(t, "n"),
			Wait: rapid.SampledFrom([]int{0, 0, 1, 30, 300, 5000}).Draw(t, "wait"),
		}
	}), 1, 40).Draw(t, "plan")
}

// run executes a plan and records the changes, their outcomes and any violations.
type run struct {
	c *cell
	// sent holds all changes by id, outcomes the outcome of each.
	sent       map[string]Change
	outcomes   map[string]outcome
	violations []string

	mu sync.Mutex
	// observed holds every revision that was active in any placer.
	observed map[int64]*Tree
	wg       sync.WaitGroup
}

// outcome is the answer to a change.
type outcome struct {
	accepted int64 // revision; 0 when refused or unknown
	ran      result.Ran
}

func (r *run) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// checkTrees validates each tree that a placer applies.
func (r *run) checkTrees(i int) {
	r.c.managers[i].replica.mu.Lock()
	defer r.c.managers[i].replica.mu.Unlock()
	m := r.c.managers[i]
	seen := func(t *Tree) {
		r.mu.Lock()
		before := r.observed[t.Revision]
		r.observed[t.Revision] = t
		r.mu.Unlock()
		if before != nil && (before.ChangeID != t.ChangeID || before.RootHash() != t.RootHash()) {
			r.violation("two trees of revision %d", t.Revision)
		}
		t.rootNode().each(Root, func(path string, n *node) {
			if err := check(path, n.effective); err != nil {
				r.violation("revision %d: %v", t.Revision, err)
			}
		})
	}
	m.replica.onApply = append(m.replica.onApply, seen)
	if t := m.Current(); t != nil {
		r.mu.Lock()
		r.observed[t.Revision] = t
		r.mu.Unlock()
	}
}

// send makes a change in the background and records its outcome.
func (r *run) send(i int, change Change) {
	r.mu.Lock()
	r.sent[change.ID] = change
	r.mu.Unlock()
	m := r.c.managers[i]
	r.wg.Go(func() {
		got, err := m.Change(context.Background(), change)
		o := outcome{accepted: got.Revision}
		if err != nil {
			o.ran = result.From(err).Ran
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if before := r.outcomes[change.ID]; before.accepted == 0 || err == nil {
			if before.accepted != 0 && before.accepted != o.accepted {
				r.violations = append(r.violations, fmt.Sprintf("change accepted as revision %d and as revision %d", before.accepted, o.accepted))
			}
			r.outcomes[change.ID] = o
		}
	})
}

func (r *run) step(s planStep) {
	c, m := r.c, r.c.managers[s.Who]
	base := max(0, m.Revision()-int64(s.N%3))
	switch s.Kind {
	case stepChange:
		r.send(s.Who, edit(base, planBranches[s.N%len(planBranches)]))
	case stepRace:
		for i := range planPlacers {
			r.send(i, edit(max(0, c.managers[i].Revision()), planBranches[(s.N+5*i)%len(planBranches)]))
		}
	case stepRollback:
		r.send(s.Who, Change{ID: newID(), First: true, Base: max(0, m.Revision()), Rollback: true, RollbackTo: max(0, m.Revision()-int64(s.N%5))})
	case stepFault:
		c.client(s.Who).SetFaults(planFaults[s.N%len(planFaults)])
	case stepOutage:
		c.engine.SetFaults(planFaults[s.N%len(planFaults)])
	case stepHeal:
		r.heal()
	case stepRestart:
		r.restart(s.Who)
	case stepDisconnect:
		if s.N%2 == 0 {
			c.network.disconnect(placerAddr(s.Who))
		} else {
			c.network.connect(placerAddr(s.Who), c.muxOf(s.Who))
		}
	case stepHeartbeat:
		c.heartbeat()
	case stepCollect:
		_, _ = m.Collect(c.ctx) // it may fail; checkReplay verifies that nothing referenced was deleted
	case stepRepeat:
		r.repeat(s.Who)
	}
	time.Sleep(time.Duration(s.Wait) * time.Millisecond)
	synctest.Wait()
}

func (r *run) heal() {
	r.c.engine.SetFaults(memstore.Faults{})
	for i := range planPlacers {
		r.c.client(i).SetFaults(memstore.Faults{})
	}
}

// restart replaces a placer. If its next incarnation reaches the store, even with stale reads, it must have no
// settings or a revision not lower than the one that was active before.
func (r *run) restart(i int) {
	c := r.c
	floor := c.managers[i].Revision()
	placerFaults, storeFaults := c.client(i).Faults(), c.engine.Faults()
	placerFaults.StaleReads, storeFaults.StaleReads = false, false
	placerFaults.WatchDelayMS, storeFaults.WatchDelayMS = 0, 0
	storeReachable := placerFaults == memstore.Faults{} && storeFaults == memstore.Faults{}
	c.start(i)
	r.checkTrees(i)
	synctest.Wait()
	if now := c.managers[i].Revision(); storeReachable && now >= 0 && now < floor {
		r.violation("placer %d had revision %d and restarted with %d", i, floor, now)
	}
}

// repeat resends every change whose outcome is unknown.
func (r *run) repeat(i int) {
	r.mu.Lock()
	var again []Change
	for id, o := range r.outcomes {
		if o.accepted == 0 && o.ran != result.RanNo {
			again = append(again, r.sent[id])
		}
	}
	r.mu.Unlock()
	slices.SortFunc(again, func(a, b Change) int { return int(a.Base - b.Base) })
	for _, change := range again {
		change.First = false
		r.send(i, change)
	}
}

// settle ends all faults, resends changes with unknown outcome and waits until the cell is idle.
func (r *run) settle() {
	r.heal()
	for i := range planPlacers {
		r.c.network.connect(placerAddr(i), r.c.muxOf(i))
	}
	r.wg.Wait()
	r.repeat(0)
	r.wg.Wait()
	r.c.heartbeat()
	time.Sleep(propagationLimit)
	synctest.Wait()
}

// checkFinalState checks the invariants that must hold at the end.
func (r *run) checkFinalState() {
	c := r.c
	if down := c.regressed(); down != nil {
		r.violation("a lower revision was applied: %v", down)
	}
	if behind := c.behind(c.head().Revision); behind != nil {
		r.violation("not on head %d: %v", c.head().Revision, behind)
	}
	heads, err := c.managers[0].History(c.ctx)
	if err != nil {
		r.violation("history: %v", err)
		return
	}
	slices.Reverse(heads)
	r.checkOutcomes(heads)
	r.checkReplay(heads)
}

// checkOutcomes compares the outcomes reported to operators with the history.
func (r *run) checkOutcomes(heads []Head) {
	revisionOf := map[string]int64{}
	for _, h := range heads {
		if other, twice := revisionOf[h.ChangeID]; twice {
			r.violation("one change made revisions %d and %d", other, h.Revision)
		}
		revisionOf[h.ChangeID] = h.Revision
	}
	for id, o := range r.outcomes {
		made := revisionOf[id]
		switch {
		case o.accepted != 0 && made != o.accepted:
			r.violation("change accepted as revision %d is revision %d in the history", o.accepted, made)
		case o.accepted == 0 && o.ran == result.RanNo && made != 0:
			r.violation("change refused with ran: no made revision %d", made)
		case o.accepted == 0 && o.ran != result.RanNo:
			r.violation("outcome of a change still unknown at the end")
		}
	}
}

// checkReplay applies every change of the history again, in order, to an empty tree. Each accepted revision must be
// exactly the result of its changes, and must still be restorable from the store.
func (r *run) checkReplay(heads []Head) {
	trees := map[int64]*Tree{0: Empty()}
	fresh := NewManager(ManagerConfig{Store: r.c.engine.Client("fresh"), Log: discardLog()})
	if _, err := fresh.refresh(r.c.ctx); err != nil {
		r.violation("fresh process: %v", err)
		return
	}
	for i, h := range heads {
		if h.Revision != int64(i)+1 {
			r.violation("revision %d is at position %d of the history", h.Revision, i+1)
			return
		}
		tree, err := r.replay(h, trees)
		if err != nil {
			r.violation("replay of revision %d: %v", h.Revision, err)
			return
		}
		trees[h.Revision] = tree
		if tree.RootHash() != h.Root {
			r.violation("revision %d is not the result of its change", h.Revision)
		}
		if seen := r.observed[h.Revision]; seen != nil && seen.RootHash() != h.Root {
			r.violation("revision %d was active with a different tree", h.Revision)
		}
		if _, err := fresh.treeAt(r.c.ctx, h.Revision); err != nil {
			r.violation("revision %d can not be restored from the store: %v", h.Revision, err)
		}
	}
}

func (r *run) replay(h Head, trees map[int64]*Tree) (*Tree, error) {
	change := r.sent[h.ChangeID]
	if change.Rollback {
		back := trees[change.RollbackTo]
		return &Tree{Revision: h.Revision, root: back.rootNode()}, nil
	}
	edits, err := ParseBranches(change.Branches)
	if err != nil {
		return nil, err
	}
	return trees[h.Revision-1].Edited(edits, h.Revision, h.ChangeID)
}

// runPlan runs a plan in a synctest bubble and returns the violations found.
func runPlan(t *testing.T, plan []planStep) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		r := &run{c: newCell(planPlacers, 1), sent: map[string]Change{}, outcomes: map[string]outcome{}, observed: map[int64]*Tree{}}
		defer r.c.end()
		for i := range planPlacers {
			r.checkTrees(i)
		}
		time.Sleep(settle)
		for _, s := range plan {
			r.step(s)
		}
		r.settle()
		r.checkFinalState()
		r.wg.Wait()
		violations = r.violations
	})
	return violations
}

// TestPlansThatFailed runs shrunk plans that violated an invariant in the past.
func TestPlansThatFailed(t *testing.T) {
	cases := []struct {
		name string
		plan []planStep
	}{
		{"a change repeated through a placer that does not reach the store was refused with ran: no", []planStep{
			{Kind: stepOutage, N: 8}, {Kind: stepChange, Wait: 5000}, {Kind: stepRestart, Who: 2}, {Kind: stepChange, Wait: 5000},
			{Kind: stepRepeat, Who: 2},
		}},
		{"a change whose answer was lost was refused since its branches were not in a stale read", []planStep{
			{Kind: stepFault, Who: 1, N: 2}, {Kind: stepOutage, N: 11}, {Kind: stepChange, Who: 1, Wait: 300},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if violations := runPlan(t, c.plan); len(violations) > 0 {
				t.Fatal(violations)
			}
		})
	}
}

func TestAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt)
		if violations := runPlan(t, plan); len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}
