package memstore_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
)

// The property: under any faults, clients get the results of one sequential store that executes each
// call at one moment between the call's start and its end (linearizability). Revisions give the
// order, so the check is a replay.

const (
	callers = 3
	keys    = 3
)

// action is a call of one caller, or a change of its faults, after a pause.
type action struct {
	pause  time.Duration
	caller int
	faults *memstore.Faults
	list   bool
	key    int
	delete bool
	blind  bool // a write without a condition
}

func drawActions(t *rapid.T) []action {
	millis := func(label string, most int64) int64 { return rapid.Int64Range(0, most).Draw(t, label) }
	one := rapid.Custom(func(t *rapid.T) action {
		a := action{
			pause:  time.Duration(millis("pause", 300)) * time.Millisecond,
			caller: rapid.IntRange(0, callers-1).Draw(t, "caller"),
			list:   rapid.Bool().Draw(t, "list"),
			key:    rapid.IntRange(0, keys-1).Draw(t, "key"),
			delete: rapid.IntRange(0, 3).Draw(t, "delete") == 0,
			blind:  rapid.Bool().Draw(t, "blind"),
		}
		if rapid.IntRange(0, 3).Draw(t, "fault") == 0 {
			a.faults = &memstore.Faults{
				Refuse:         rapid.IntRange(0, 4).Draw(t, "refuse") == 0,
				Hang:           rapid.IntRange(0, 4).Draw(t, "hang") == 0,
				RequestDelayMS: millis("request delay", 800),
				AnswerDelayMS:  millis("answer delay", 800),
				LoseAnswers:    rapid.IntRange(memstore.EveryCall, 3).Draw(t, "lose answers"),
				LoseRequests:   rapid.IntRange(memstore.EveryCall, 3).Draw(t, "lose requests"),
			}
		}
		return a
	})
	return rapid.SliceOfN(one, 1, 60).Draw(t, "actions")
}

// call is one finished call.
type call struct {
	start, end time.Time
	txn        *platform.Txn
	id         string // value of the write
	reply      platform.TxnReply
	records    []platform.Record
	revision   platform.Revision
	err        error
}

// play executes the actions and returns all calls and the true history.
func play(actions []action, wrap func(platform.Store) platform.Store) ([]*call, []platform.Change) {
	engine := memstore.New()
	defer engine.Close()
	var history []platform.Change
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_ = engine.Client("observer").Watch(ctx, "", 1, func(b platform.Batch) { history = append(history, b.Changes...) })
	}()
	var calls []*call
	var wg sync.WaitGroup
	knownRevisions := make([]map[string]platform.Revision, callers)
	var mu sync.Mutex
	for i, a := range actions {
		time.Sleep(a.pause)
		client := engine.Client(fmt.Sprint(a.caller))
		if a.faults != nil {
			client.SetFaults(*a.faults)
			continue
		}
		c := &call{start: time.Now()}
		calls = append(calls, c)
		if !a.list {
			mu.Lock()
			c.txn, c.id = a.txn(i, knownRevisions[a.caller]), fmt.Sprint(i)
			mu.Unlock()
		}
		wg.Go(func() {
			c.make(wrap(client))
			if c.txn == nil && c.err == nil {
				mu.Lock()
				knownRevisions[a.caller] = revisions(c.records)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Minute) // all delayed calls arrive
	cancel()
	synctest.Wait()
	return calls, history
}

func (a action) txn(i int, known map[string]platform.Revision) *platform.Txn {
	key := fmt.Sprintf("k/%d", a.key)
	txn := &platform.Txn{Then: []platform.Write{{Key: key, Value: []byte(fmt.Sprint(i)), Delete: a.delete}}}
	if !a.blind {
		txn.If = []platform.Condition{{Key: key, ModRevision: known[key]}}
	}
	return txn
}

func revisions(records []platform.Record) map[string]platform.Revision {
	out := map[string]platform.Revision{}
	for _, r := range records {
		out[r.Key] = r.ModRevision
	}
	return out
}

func (c *call) make(s platform.Store) {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if c.txn == nil {
		c.records, c.revision, c.err = s.List(ctx, "k/")
	} else {
		c.reply, c.err = s.Commit(ctx, *c.txn)
		c.revision = c.reply.Revision
	}
	c.end = time.Now()
}

// model is the sequential store, replayed from the history.
type model struct {
	states map[platform.Revision]map[string]platform.Record
	last   platform.Revision
}

func replay(history []platform.Change) model {
	m := model{states: map[platform.Revision]map[string]platform.Record{1: {}}, last: 1}
	for _, c := range history {
		if c.ModRevision != m.last {
			next := map[string]platform.Record{}
			for k, r := range m.states[m.last] {
				next[k] = r
			}
			m.last = c.ModRevision
			m.states[m.last] = next
		}
		m.states[m.last][c.Key] = c.Record
		if c.Deleted {
			delete(m.states[m.last], c.Key)
		}
	}
	return m
}

// check returns the calls that contradict the model.
func check(calls []*call, history []platform.Change) (violations []string) {
	m := replay(history)
	report := func(c *call, format string, args ...any) {
		violations = append(violations, fmt.Sprintf("%+v: %s", *c, fmt.Sprintf(format, args...)))
	}
	for _, c := range calls {
		if c.err == nil && c.txn == nil && fmt.Sprint(revisions(c.records)) != fmt.Sprint(revisionsOf(m.states[c.revision])) {
			report(c, "result matches no state of the store")
		}
		if c.txn != nil {
			if mismatch := m.checkWrite(c, timesWritten(history, c.id)); mismatch != "" {
				report(c, "%s", mismatch)
			}
		}
		for _, earlier := range calls {
			if earlier.err == nil && c.err == nil && earlier.end.Before(c.start) && earlier.revision > c.revision {
				report(c, "revision decreased from %d", earlier.revision)
			}
		}
	}
	return violations
}

func revisionsOf(state map[string]platform.Record) map[string]platform.Revision {
	out := map[string]platform.Revision{}
	for k, r := range state {
		out[k] = r.ModRevision
	}
	return out
}

// timesWritten returns how often a value was written.
func timesWritten(history []platform.Change, id string) (n int) {
	for _, c := range history {
		if string(c.Value) == id {
			n++
		}
	}
	return n
}

// checkWrite compares a write's result with the model. Deletions leave no value in the history, so
// only their result can be checked.
func (m model) checkWrite(c *call, written int) string {
	isDelete := c.txn.Then[0].Delete
	switch {
	case written > 1:
		return "written twice"
	case errors.Is(c.err, platform.ErrUnavailable) && written > 0:
		return "written although reported as without effect"
	case c.err != nil:
		return ""
	case c.reply.Applied && !isDelete && written == 0:
		return "reported as applied and not written"
	case !c.reply.Applied && written > 0:
		return "written although refused"
	}
	at := c.revision
	if c.reply.Applied && !isDelete {
		at-- // the revision at which the conditions were evaluated
	}
	return m.checkConditions(c, at)
}

func (m model) checkConditions(c *call, at platform.Revision) string {
	for _, cond := range c.txn.If {
		held := m.states[at][cond.Key].ModRevision == cond.ModRevision
		if c.reply.Applied && c.txn.Then[0].Delete {
			held = true // its revision may be that of the delete or of no change
		}
		if held != c.reply.Applied {
			return fmt.Sprintf("condition held=%t at revision %d", held, at)
		}
	}
	return ""
}

func TestLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := drawActions(rt)
		var violations []string
		synctest.Test(t, func(*testing.T) {
			violations = check(play(actions, func(s platform.Store) platform.Store { return s }))
		})
		if len(violations) > 0 {
			rt.Fatal(violations)
		}
	})
}

// These stores are defective: unconditional drops the conditions, resending sends every write again
// that got no reply, and overconfident reports an unknown outcome as no effect.
type (
	unconditional struct{ platform.Store }
	resending     struct{ platform.Store }
	overconfident struct{ platform.Store }
)

func (s unconditional) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	return s.Store.Commit(ctx, platform.Txn{Then: txn.Then})
}

func (s resending) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	reply, err := s.Store.Commit(ctx, txn)
	if err != nil {
		return s.Store.Commit(ctx, txn)
	}
	return reply, err
}

func (s overconfident) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	reply, err := s.Store.Commit(ctx, txn)
	if errors.Is(err, platform.ErrUnknownOutcome) {
		err = platform.ErrUnavailable
	}
	return reply, err
}

// TestDefectiveStoresAreDetected checks that the property detects defective stores.
func TestDefectiveStoresAreDetected(t *testing.T) {
	write, stale, list := action{blind: true}, action{faults: &memstore.Faults{StaleReads: true}}, action{list: true}
	loseAnswer := action{faults: &memstore.Faults{LoseAnswers: 1}}
	second := action{pause: time.Second, blind: true}
	tests := map[string]struct {
		wrap    func(platform.Store) platform.Store
		actions []action
	}{
		"conditions left out":      {func(s platform.Store) platform.Store { return unconditional{s} }, []action{write, {pause: time.Second}}},
		"write repeated":           {func(s platform.Store) platform.Store { return resending{s} }, []action{loseAnswer, write}},
		"false claim of no effect": {func(s platform.Store) platform.Store { return overconfident{s} }, []action{loseAnswer, write}},
		"stale list": {func(s platform.Store) platform.Store { return s }, []action{
			write, stale, second, {pause: time.Second, list: list.list},
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if len(check(play(test.actions, test.wrap))) == 0 {
					t.Error("violation not detected")
				}
			})
		})
	}
}
