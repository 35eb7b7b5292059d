package fleet

import (
	"maps"
	"slices"
	"time"

	"pulleyquay/internal/taskmsg"
)

const (
	// minOutage is how long the store must be unreachable to count as an outage
	// in which delegates act.
	minOutage = 2 * time.Second
	// delegateTerm bounds how long a delegate's authority lasts after the store
	// is reachable again.
	delegateTerm = 10 * time.Second
)

// trackStore records since when the store has been continuously reachable or unreachable.
func (f *Fleet) trackStore(now time.Time) {
	up := f.cfg.StoreUp == nil || f.cfg.StoreUp() // called without the mutex, since it may lock one of its own
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case up:
		f.storeDownSince = time.Time{}
	case f.storeDownSince.IsZero():
		f.storeDownSince = now
	}
	if !up && now.Sub(f.storeDownSince) >= minOutage {
		f.lastOutageAt = now
	}
}

// mayDeclareLoss reports whether no lease renewed by a delegate on behalf of this
// process can still be valid: the store has been reachable for longer than a
// delegate's last renewal can last.
func (f *Fleet) mayDeclareLoss(now time.Time) bool {
	return f.cfg.StoreUp == nil || now.Sub(f.lastOutageAt) > f.timings.leaseBound()+delegateTerm
}

// declareLost ends the runs whose leases have certainly expired: all runs of
// unresponsive workers, and the missing runs of others. The authority is checked
// after the expiry: while it is held, no other holder can have renewed the leases.
func (f *Fleet) declareLost(now time.Time) {
	f.trackStore(now)
	for _, p := range f.partitionsWithLosses(now) {
		grant, err := f.cfg.Authorizer.Check(p.id)
		if err != nil || grant.Epoch != p.epoch {
			continue
		}
		f.declareLostIn(p, now)
	}
}

// partitionsWithLosses lists the partitions with runs to be declared lost.
func (f *Fleet) partitionsWithLosses(now time.Time) []*heldPartition {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.mayDeclareLoss(now) {
		return nil
	}
	due := map[*heldPartition]struct{}{}
	for _, w := range f.workers {
		if len(w.runs) > 0 && w.unresponsive(now) {
			due[w.heldPartition] = struct{}{}
		}
	}
	for r, until := range f.missingRuns {
		if now.After(until) {
			due[r.managedWorker.heldPartition] = struct{}{}
		}
	}
	return slices.Collect(maps.Keys(due))
}

// declareLostIn declares the due losses of a partition whose authority was just checked.
func (f *Fleet) declareLostIn(p *heldPartition, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if w.heldPartition == p && w.unresponsive(now) {
			f.loseAllRuns(w, now)
		}
	}
	for r, until := range f.missingRuns {
		if r.managedWorker.heldPartition == p && !r.managedWorker.removed && now.After(until) {
			f.endRun(r, taskmsg.RunLost, 0, now)
		}
	}
}

// unresponsive reports whether the worker does not answer and all leases on it have
// expired. A worker claimed by a higher epoch does not count: its runs continue.
func (w *managedWorker) unresponsive(now time.Time) bool {
	return (w.claimState == claimUnclaimed || w.claimState == claimUncertain) && now.After(w.leasesEndBy)
}

func (f *Fleet) loseAllRuns(w *managedWorker, now time.Time) {
	lost := 0
	for _, r := range w.runs {
		if r.state < runEnded {
			f.loseUnresponsive(r, now)
			lost++
		}
	}
	if lost > 0 {
		f.log.WithFields(map[string]any{"worker": w.name, "runs": lost}).Warn("worker lost, leases over")
	}
}
