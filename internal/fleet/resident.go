package fleet

import (
	"context"
	"encoding/json"
	"time"

	"pulleyquay/internal/hold"
	"pulleyquay/internal/result"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
)

// releasePoll is the time between two looks whether all calls have ended.
const releasePoll = 10 * time.Millisecond

// part is one held partition.
type part struct {
	id    int
	epoch uint64
	// mayRunUntil bounds every lease that the previous holders renewed.
	mayRunUntil time.Time
	// expected are the workers that the previous holder named when it signed
	// off and that have not answered a claim yet.
	expected map[string]struct{}
	// listKnown is true when expected names every worker that can run anything
	// of the previous holder: the partition is complete once it is empty.
	listKnown bool
	// complete is true once every run that may be on a worker of the partition
	// is in the books. It stays true: what runs later was started from here.
	complete bool
	// paused is set from its release on: nothing is placed and no call begins.
	// The books stay until the table shows another holder, since a hand-over
	// that fails gives the partition back under the same epoch.
	paused bool
	// claimAfter is when the claims may begin: orders that this process sent
	// under the same epoch before have all expired then.
	claimAfter time.Time
	// inTable is true once the process's table shows the claim.
	inTable bool
}

// leftPart is a partition given up by this process.
type leftPart struct {
	epoch uint64
	until time.Time
}

// noteComplete marks the partitions that have become complete: each worker named
// at the sign-off has answered a claim, or every lease from before is over. The
// latter can not be said while a deputy may be renewing in this holder's name.
func (f *Fleet) noteComplete(now time.Time) {
	for _, p := range f.parts {
		named := p.listKnown && len(p.expected) == 0
		p.complete = p.complete || named || now.After(p.mayRunUntil) && f.mayDeclare(now)
	}
}

// handOver is the state passed to the next holder in a planned hand-over.
type handOver struct {
	// Complete is true when Workers names every worker that may run something.
	// A holder that was not complete itself can not say so.
	Complete bool     `json:"complete"`
	Workers  []string `json:"workers"`
	// Homes are the highest home epochs seen, by partition.
	Homes map[int]uint64 `json:"homes"`
}

// Acquire starts to claim the workers of a partition. It returns at once; the
// claims go on by themselves until each worker has answered.
//
// Every order of a previous holder expired before t was granted, so what those
// orders renewed is over one lease later, by any worker's clock.
//
// A partition that comes back under the epoch it was released with goes on from
// the books: its homes know of no change of holder and would never ask again.
func (f *Fleet) Acquire(_ context.Context, t hold.Takeover) error {
	now := time.Now()
	if f.resume(t.Partition, t.Epoch) {
		f.follow(f.cfg.Hosts(), now)
		return nil
	}
	p := &part{id: t.Partition, epoch: t.Epoch, mayRunUntil: now.Add(f.times.leaseBound()), expected: map[string]struct{}{}}
	var state handOver
	if t.SignedOff && json.Unmarshal(t.State, &state) == nil {
		p.listKnown = state.Complete
		for _, name := range state.Workers {
			p.expected[name] = struct{}{}
		}
	}
	if t.Fresh {
		p.listKnown = true
	}
	f.mu.Lock()
	for id, epoch := range state.Homes {
		h := f.home(id)
		h.epoch = max(h.epoch, epoch)
	}
	f.drop(t.Partition)
	if old := f.left[t.Partition]; old.epoch == t.Epoch {
		p.claimAfter = old.until
	}
	f.parts[t.Partition] = p
	f.mu.Unlock()
	f.follow(f.cfg.Hosts(), now)
	return nil
}

// resume takes a released partition up again and reports whether it could.
func (f *Fleet) resume(id int, epoch uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.parts[id]
	if p == nil || !p.paused || p.epoch != epoch {
		return false
	}
	f.pause(p, false)
	return true
}

// pause ends or begins the placing on a partition's workers and the calls to
// them.
func (f *Fleet) pause(p *part, paused bool) {
	p.paused = paused
	for _, a := range f.agents {
		if a.part == p {
			f.setStatus(a)
		}
	}
}

// dropMoved forgets the released partitions that have another holder by now.
func (f *Fleet) dropMoved(table *view.Table) {
	for id, p := range f.parts {
		if p.paused && tableEpoch(table, id) > p.epoch {
			f.drop(id)
		}
	}
}

// Release ends the work for a partition in order: it waits for the calls in
// flight and names the workers for the next holder. What runs goes on.
func (f *Fleet) Release(ctx context.Context, id int) ([]byte, error) {
	f.mu.Lock()
	p := f.parts[id]
	if p == nil {
		f.mu.Unlock()
		return nil, result.New(result.NotFound, result.RanNo, "partition %d is not held", id)
	}
	f.pause(p, true)
	f.mu.Unlock()
	if err := f.idle(ctx, p); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.agents {
		if a.part == p {
			f.refuseQueued(a, "partition released", time.Now())
		}
	}
	return json.Marshal(f.pack(p))
}

// idle waits until no call to a worker of the partition is in flight.
func (f *Fleet) idle(ctx context.Context, p *part) error {
	ticker := time.NewTicker(releasePoll)
	defer ticker.Stop()
	for f.anyBusy(p) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return result.New(result.Internal, result.RanUnknown, "calls to workers of partition %d still in flight", p.id)
		}
	}
	return nil
}

func (f *Fleet) anyBusy(p *part) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.agents {
		if a.part == p && a.busy {
			return true
		}
	}
	return false
}

// pack names the workers that may run something. If the partition was not
// complete, the next holder has to wait out the leases.
func (f *Fleet) pack(p *part) handOver {
	f.noteComplete(time.Now())
	state := handOver{Complete: p.complete, Homes: map[int]uint64{}}
	for _, a := range f.agents {
		if a.part == p {
			state.Workers = append(state.Workers, a.name)
		}
	}
	for id, h := range f.homes {
		if h.epoch > 0 {
			state.Homes[id] = h.epoch
		}
	}
	return state
}

// Drop forgets a partition whose right is lost.
func (f *Fleet) Drop(id int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drop(id)
}

// drop forgets a partition. Starts that were not sent certainly did not
// happen; those sent have an unknown outcome, which the next holder learns.
func (f *Fleet) drop(id int) {
	p := f.parts[id]
	if p == nil {
		return
	}
	delete(f.parts, id)
	f.left[id] = leftPart{epoch: p.epoch, until: time.Now().Add(f.times.call + f.times.margin)}
	for _, a := range f.agents {
		if a.part == p {
			f.dropAgent(a)
		}
	}
}

func (f *Fleet) dropAgent(a *agent) {
	a.gone = true
	for _, r := range a.runs {
		if r.state == runQueued {
			f.answer(r, taskmsg.OutcomeRefused)
		}
		f.answer(r, taskmsg.OutcomeUnknown)
		f.forget(r)
	}
	f.cell.Remove(a.name)
	f.health.Forget(a.name)
	delete(f.over, a.name)
	delete(f.suspects, a.name)
	if f.agents[a.name] == a {
		delete(f.agents, a.name)
	}
}
