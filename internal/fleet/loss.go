package fleet

import (
	"maps"
	"slices"
	"time"

	"pulleyquay/internal/taskmsg"
)

const (
	// outageMin is how long the store is out of reach before it counts as an
	// outage in which deputies act.
	outageMin = 2 * time.Second
	// coverTerm bounds how long a deputy's right outlives the store's return.
	coverTerm = 10 * time.Second
)

// noteStore follows whether the store has been reached without a break.
func (f *Fleet) noteStore(now time.Time) {
	up := f.cfg.StoreUp == nil || f.cfg.StoreUp() // before the mutex: it may have its own
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case up:
		f.storeDown = time.Time{}
	case f.storeDown.IsZero():
		f.storeDown = now
	}
	if !up && now.Sub(f.storeDown) >= outageMin {
		f.storeSince = now
	}
}

// mayDeclare reports whether no deputy can have renewed leases in this
// process's name lately: the store has been there for as long as a deputy's
// last renewal can be in force.
func (f *Fleet) mayDeclare(now time.Time) bool {
	return f.cfg.StoreUp == nil || now.Sub(f.storeSince) > f.times.leaseBound()+coverTerm
}

// declareLost ends the runs whose leases are certainly over: all those of
// workers that do not answer, and those missing at workers that do. The right
// is asked for after the time has passed: while it is held no other holder can
// have renewed them.
func (f *Fleet) declareLost(now time.Time) {
	f.noteStore(now)
	for _, p := range f.lossDue(now) {
		grant, err := f.cfg.Right.Check(p.id)
		if err != nil || grant.Epoch != p.epoch {
			continue
		}
		f.declareIn(p, now)
	}
}

// lossDue lists the partitions with runs to be declared lost.
func (f *Fleet) lossDue(now time.Time) []*part {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.mayDeclare(now) {
		return nil
	}
	due := map[*part]struct{}{}
	for _, a := range f.agents {
		if len(a.runs) > 0 && a.silent(now) {
			due[a.part] = struct{}{}
		}
	}
	for r, until := range f.lapsing {
		if now.After(until) {
			due[r.agent.part] = struct{}{}
		}
	}
	return slices.Collect(maps.Keys(due))
}

// declareIn declares what is due in a partition whose right was just checked.
func (f *Fleet) declareIn(p *part, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.agents {
		if a.part == p && a.silent(now) {
			f.loseAll(a, now)
		}
	}
	for r, until := range f.lapsing {
		if r.agent.part == p && !r.agent.gone && now.After(until) {
			f.endRun(r, taskmsg.RunLost, 0, now)
		}
	}
}

// silent reports whether the worker does not answer and all leases on it are
// over. A worker fenced by a higher epoch is not silent: its runs go on.
func (a *agent) silent(now time.Time) bool {
	return (a.claim == claimNone || a.claim == claimDoubt) && now.After(a.mayRunUntil)
}

func (f *Fleet) loseAll(a *agent, now time.Time) {
	lost := 0
	for _, r := range a.runs {
		if r.state < runEnded {
			f.loseSilent(r, now)
			lost++
		}
	}
	if lost > 0 {
		f.log.WithFields(map[string]any{"worker": a.name, "runs": lost}).Warn("worker lost, leases over")
	}
}
