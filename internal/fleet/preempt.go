package fleet

import (
	"time"

	"pulleyquay/internal/scheduler"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// Times of a preemption. Together with one usage report they stay below the
// 5.1 s within which urgent work has to start.
const (
	// checkpointTime is what a run gets to checkpoint before it is stopped.
	checkpointTime = 1500 * time.Millisecond
	// preemptPoll is the time between two orders to a worker that makes room.
	preemptPoll = 250 * time.Millisecond
	// preemptWait is how long a slot waits for its room before it is refused.
	preemptWait = 4500 * time.Millisecond
)

// wish is a slot that waits for room being made by preemption. It is not booked
// and nothing was sent for it.
type wish struct {
	batch *batch
	index int // in the batch's results
	home  taskmsg.Home
	shape *taskmsg.Shape
	run   scheduler.Run
	agent *agent // the worker that makes room
	// victims are stopped at killAt if the checkpoint has not ended them.
	victims []worker.Attempt
	killAt  time.Time
	until   time.Time
}

// preempt asks less urgent runs to end for the slots that found no room, and
// returns the slots for which there are none.
func (f *Fleet) preempt(req *taskmsg.PlaceRequest, slots []taskmsg.Slot, b *batch, now time.Time) []taskmsg.Slot {
	ask := scheduler.Ask{Shape: req.Shape}
	for i, s := range slots {
		name, victims := f.cell.Victims(ask)
		a := f.agents[name]
		if a == nil {
			return slots[i:]
		}
		w := &wish{
			batch: b, index: b.hope(s), home: req.Home, shape: &req.Shape, agent: a,
			run:    scheduler.NewRun(&req.Shape, req.Home.Partition, s),
			killAt: now.Add(checkpointTime), until: now.Add(preemptWait),
		}
		for _, v := range victims {
			w.victims = append(w.victims, v.Attempt)
		}
		f.cell.Preempted(victims)
		f.stopVictims(w, worker.Checkpoint)
		f.wishes = append(f.wishes, w)
	}
	return nil
}

// stopVictims orders the end of the victims that still run.
func (f *Fleet) stopVictims(w *wish, mode worker.StopMode) {
	for _, id := range w.victims {
		if r := f.runs[id]; r != nil && r.state < runEnded {
			r.preempted = true
			f.stopRun(r, mode, "preempted by "+w.run.Attempt.Task.String())
		}
	}
}

// hope adds a slot that may be booked later and returns its index.
func (b *batch) hope(slot taskmsg.Slot) int {
	b.results = append(b.results, taskmsg.SlotResult{Slot: slot, Outcome: taskmsg.OutcomeRefused})
	b.open++
	return len(b.results) - 1
}

// giveUp leaves a hoped-for slot refused.
func (b *batch) giveUp() {
	b.open--
	if b.open == 0 && !b.abandoned {
		close(b.done)
	}
}

// grantWishes books what found room, before anyone else can, and gives up what
// waited too long. It runs after every report of a worker and at every tick.
func (f *Fleet) grantWishes(now time.Time) {
	left := f.wishes[:0]
	for _, w := range f.wishes {
		if f.grantWish(w, now) {
			continue
		}
		if now.After(w.until) || !f.stillWanted(w) {
			w.batch.giveUp()
			continue
		}
		f.press(w, now)
		left = append(left, w)
	}
	clear(f.wishes[len(left):])
	f.wishes = left
}

// grantWish books the wish if there is room and reports whether it did.
func (f *Fleet) grantWish(w *wish, now time.Time) bool {
	if !f.stillWanted(w) {
		return false
	}
	placed, _ := f.cell.Place(scheduler.Ask{Shape: *w.shape}, []scheduler.Run{w.run}, now)
	if len(placed) == 0 {
		return false
	}
	r := f.queueStart(w.shape, &placed[0], now)
	w.batch.at[r.id] = w.index
	r.waiters = append(r.waiters, w.batch)
	return true
}

// stillWanted reports whether the home still may and wants to start the wish.
func (f *Fleet) stillWanted(w *wish) bool {
	id := w.run.Attempt
	return !w.batch.abandoned && w.home.Epoch >= f.home(w.home.Partition).epoch && f.runs[id] == nil && !f.tombs.Contains(id)
}

// press polls the worker that makes room, and stops victims that take too long
// over their checkpoint.
func (f *Fleet) press(w *wish, now time.Time) {
	if w.agent.gone {
		return
	}
	if !w.killAt.IsZero() && now.After(w.killAt) {
		w.killAt = time.Time{}
		f.stopVictims(w, worker.Kill)
	}
	if next := now.Add(preemptPoll); w.agent.renewAt.After(next) {
		w.agent.renewAt = next
	}
}
