package engine

import (
	"maps"
	"slices"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/record"
)

// Batch is the next set of writes to the store.
type Batch struct {
	Seq uint64
	// Groups are the writes; those of one group have to be applied atomically. Groups may take effect in any order.
	Groups [][]platform.Write
	// Roster is the write of the roster; empty if it has not changed. It has to take effect together with all groups
	// or after them: the next holder takes it that a host that is not listed, or that is listed as closed without a
	// run, has no end to report that is not stored.
	Roster []platform.Write
	// pendingEnds are, by host, the end records to acknowledge, up to a number, once the batch is
	// stored. The numbers are valid for one incarnation, so the key is its state and not the
	// host's id.
	pendingEnds map[*hostState]int64
	// openInRoster are the hosts that the batch stores as open in the roster, the stored list of the
	// hosts that may have been given orders. Tasks are started only on open hosts; see roster.go.
	openInRoster []*hostState
}

// maxDeletesPerBatch bounds the job records deleted with one batch.
const maxDeletesPerBatch = 16

// planCommit requests a batch when there is something to store. If there is nothing, the
// processed end records are acknowledged at once.
func (e *Engine) planCommit() {
	for _, j := range e.dirty {
		e.out.Commit = true
		if j.state.Final() || j.crashesUnsaved {
			e.out.CommitNow = true
		}
	}
	if e.runsUnstored {
		e.out.CommitNow = true
	}
	if len(e.recordsToDelete) >= maxDeletesPerBatch {
		e.out.Commit = true
	}
	if e.rosterDue(e.now) {
		e.out.CommitNow = true
	}
	if len(e.dirty) == 0 && e.commits == e.durable && e.pendingEnds > 0 {
		e.refreshHosts(e.now)
		for _, h := range e.index.unacked.All() {
			h.endsAcked = h.ackable()
			h.touch()
		}
		e.pendingEnds = 0
	}
}

// TakeBatch returns the writes for what has changed since the last batch, or nil. The
// caller stores batches in order and calls Stored after each.
func (e *Engine) TakeBatch(now time.Time) *Batch {
	waves := e.rolloutsToStore()
	if len(e.dirty) == 0 && len(e.recordsToDelete) < maxDeletesPerBatch && !e.rosterDue(now) && len(waves) == 0 {
		return nil
	}
	e.commits++
	e.runsUnstored = false
	e.storePendingStarts()
	b := &Batch{Seq: e.commits, pendingEnds: map[*hostState]int64{}}
	if e.rosterDue(now) {
		e.rosterOutdated = false
		roster := e.roster(now)
		roster.Batch = b.Seq
		b.Roster = []platform.Write{putWrite(record.RosterKey(e.cfg.Partition), roster)}
		for _, stored := range roster.Hosts {
			h := e.hosts[host.ID(stored.ID)]
			if stored.LeaseLeftMillis > 0 {
				e.listBound(h, b.Seq)
				continue
			}
			if !stored.Closed {
				b.openInRoster = append(b.openInRoster, h) // nothing may be started on a host that is stored as closed
			}
		}
	}
	for _, w := range waves {
		b.Groups = append(b.Groups, []platform.Write{putWrite(record.WaveKey(e.cfg.Partition, w.Rollout), w), e.cfg.WaveState(w)})
	}
	for _, id := range slices.Sorted(maps.Keys(e.dirty)) {
		j := e.dirty[id]
		b.Groups = append(b.Groups, e.jobWrites(j, now))
		j.finalBatch = b.Seq
		if j.crashesUnsaved {
			j.crashesUnsaved, j.crashesBatch = false, b.Seq
		}
		delete(e.dirty, id)
	}
	n := min(len(e.recordsToDelete), maxDeletesPerBatch)
	for _, id := range e.recordsToDelete[:n] {
		b.Groups = append(b.Groups, []platform.Write{{Key: record.JobKey(e.cfg.Partition, id), Delete: true}})
	}
	e.recordsToDelete = e.recordsToDelete[n:]
	e.refreshHosts(now)
	for _, h := range e.index.unacked.All() {
		if n := h.ackable(); n > h.endsAcked {
			b.pendingEnds[h] = n
		}
	}
	e.pendingEnds = 0
	return b
}

// jobWrites returns the writes that bring the stored records of a job up to date. The record of a job
// that has ended is replaced by a short one without the graph.
func (e *Engine) jobWrites(j *job, now time.Time) []platform.Write {
	if !j.state.Final() {
		j.storedProgress = true
		return []platform.Write{putWrite(record.ProgressKey(e.cfg.Partition, j.id()), e.progressRecord(j))}
	}
	short := record.Job{ID: j.id(), Ended: j.state, EndedUnixMilli: now.UnixMilli(), Why: j.endReason, Account: j.rec.Account, MaxTaskSize: j.rec.Graph.MaxTaskSize()}
	short.RunningAtEnd, short.BackfillAtEnd = j.possibleUsage()
	writes := []platform.Write{putWrite(record.JobKey(e.cfg.Partition, j.id()), short)}
	if j.storedProgress {
		writes = append(writes, platform.Write{Key: record.ProgressKey(e.cfg.Partition, j.id()), Delete: true})
	}
	j.rec = &short
	return writes
}

func putWrite(key string, v any) platform.Write {
	value, err := record.Encode(v)
	if err != nil {
		panic("engine: cannot encode record " + key + ": " + err.Error())
	}
	return platform.Write{Key: key, Value: value}
}

func (e *Engine) progressRecord(j *job) record.Progress {
	p := record.Progress{PlacementsListed: j.longRunning()}
	for _, g := range j.groups {
		s := record.StepProgress{Occurrence: g.id.Occurrence, Step: g.id.Step}
		for i := range g.tasks {
			t := &g.tasks[i]
			if t.state == taskDone {
				if s.Done == nil {
					s.Done = record.NewBitmap(len(g.tasks))
				}
				s.Done.Set(i)
			}
			s.SetFailed(i, t.failed)
			s.SetCrashes(i, t.crashes, t.currentRun())
			s.SetPlacements(i, e.placements(g, i))
		}
		s.SetFailed(0, g.failed)
		if s.Done != nil || s.Failed != nil || s.Crashed != nil || s.Placements != nil {
			p.Steps = append(p.Steps, s)
		}
	}
	return p
}

// Stored records that a batch, and all before it, are in the store.
func (e *Engine) Stored(b *Batch, now time.Time) {
	e.durable = b.Seq
	e.confirmPlacements()
	if len(b.Roster) > 0 {
		e.confirmBounds(b.Seq, now)
	}
	opened := false
	for _, h := range b.openInRoster {
		if !h.parked && !h.closeInRoster && !e.leaseWithheld(h.info.ID) && (h.claimed || !h.expiredUnreported) { // the host may have been closed meanwhile
			opened = opened || !h.openInRoster
			h.markOpen()
		}
	}
	if opened {
		e.capacityChanges++
	}
	for h, n := range b.pendingEnds {
		h.endsAcked = max(h.endsAcked, n)
		h.touch()
		if !h.pollInFlight && h.endsAcked == h.endsProcessed && (len(h.runs) > 0 || h.endsTruncated) {
			h.schedulePoll(now)
		}
	}
}
