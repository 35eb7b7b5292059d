package engine

import (
	"time"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/record"
)

// Batch is what has to be written to the store next.
type Batch struct {
	Seq uint64
	// Groups are the writes; those of one group have to take effect together.
	Groups [][]platform.Write
	// marks are the ends, by host, that may be forgotten once it is stored. They are those
	// of one life: its books, and not its id, tell for which.
	marks map[*hostState]int64
	// rostered are the hosts that the batch enters in the roster as open.
	rostered []*hostState
}

// forgetMost bounds the records deleted with one batch.
const forgetMost = 16

// planCommit asks for a batch when there is something to store. Ends that need
// no record may be forgotten at once.
func (e *Engine) planCommit() {
	for _, j := range e.dirty {
		e.out.Commit = true
		if j.state.Final() || j.crashesNew {
			e.out.CommitNow = true
		}
	}
	if e.retried {
		e.out.CommitNow = true
	}
	if len(e.forget) >= forgetMost {
		e.out.Commit = true
	}
	if e.rosterBehind {
		e.out.CommitNow = true
	}
	if len(e.dirty) == 0 && e.commits == e.durable && e.marks > 0 {
		for _, h := range e.sorted {
			h.seen = h.markable()
		}
		e.marks = 0
	}
}

// TakeBatch returns what has changed since the last batch, or nil. The batches
// have to be stored in their order, and Stored called after each.
func (e *Engine) TakeBatch(now time.Time) *Batch {
	waves := e.waveWrites()
	if len(e.dirty) == 0 && len(e.forget) < forgetMost && !e.rosterBehind && len(waves) == 0 {
		return nil
	}
	e.commits++
	e.retried = false
	b := &Batch{Seq: e.commits, marks: map[*hostState]int64{}}
	if e.rosterBehind {
		e.rosterBehind = false
		roster := e.roster(now)
		b.Groups = append(b.Groups, []platform.Write{encoded(record.RosterKey(e.cfg.Partition), roster)})
		for i, h := range e.sorted {
			if !roster.Hosts[i].Closed {
				b.rostered = append(b.rostered, h) // one that is stored as closed may not be started on
			}
		}
	}
	for _, w := range waves {
		b.Groups = append(b.Groups, []platform.Write{encoded(record.WaveKey(e.cfg.Partition, w.Wave), w), e.cfg.WaveState(w)})
	}
	for id, j := range e.dirty {
		b.Groups = append(b.Groups, e.writesOf(j, now))
		j.told = b.Seq
		if j.crashesNew {
			j.crashesNew, j.crashesIn = false, b.Seq
		}
		delete(e.dirty, id)
	}
	n := min(len(e.forget), forgetMost)
	for _, id := range e.forget[:n] {
		b.Groups = append(b.Groups, []platform.Write{{Key: record.JobKey(e.cfg.Partition, id), Delete: true}})
	}
	e.forget = e.forget[n:]
	for _, h := range e.sorted {
		if n := h.markable(); n > h.seen {
			b.marks[h] = n
		}
	}
	e.marks = 0
	return b
}

// writesOf gives the writes that bring a job's stored record up to date.
func (e *Engine) writesOf(j *job, now time.Time) []platform.Write {
	if !j.state.Final() {
		j.storedProgress = true
		return []platform.Write{encoded(record.ProgressKey(e.cfg.Partition, j.id()), progressOf(j))}
	}
	short := record.Job{ID: j.id(), Ended: j.state, EndedUnixMilli: now.UnixMilli(), Why: j.why, Account: j.rec.Account, Largest: j.rec.Graph.Largest()}
	short.Left, short.LeftFillers = j.left()
	writes := []platform.Write{encoded(record.JobKey(e.cfg.Partition, j.id()), short)}
	if j.storedProgress {
		writes = append(writes, platform.Write{Key: record.ProgressKey(e.cfg.Partition, j.id()), Delete: true})
	}
	j.rec = &short
	return writes
}

func encoded(key string, v any) platform.Write {
	value, err := record.Encode(v)
	if err != nil {
		panic("engine: plain data that does not encode: " + err.Error())
	}
	return platform.Write{Key: key, Value: value}
}

func progressOf(j *job) record.Progress {
	var p record.Progress
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
			s.Fail(i, t.failed)
			s.Crash(i, t.crashes, t.present())
		}
		s.Fail(0, g.failed)
		if s.Done != nil || s.Failed != nil || s.Crashed != nil {
			p.Steps = append(p.Steps, s)
		}
	}
	return p
}

// Stored notes that a batch, and all before it, are in the store.
func (e *Engine) Stored(b *Batch, now time.Time) {
	e.durable = b.Seq
	for _, h := range b.rostered {
		if !h.shut { // it may have fallen silent meanwhile
			h.rostered = true
		}
	}
	if len(b.rostered) > 0 {
		e.room++
	}
	for h, n := range b.marks {
		h.seen = max(h.seen, n)
		if !h.looking && h.seen == h.handled && len(h.runs) > 0 {
			h.lookAt = now
		}
	}
}
