package job

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/looplab/fsm"

	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/taskmsg"
)

// The states of a gang. Only in gangUp do callers see it run.
const (
	gangIdle     = "idle"     // nothing of it runs or is reserved
	gangHolding  = "holding"  // holders reserve room, nothing is started
	gangStarting = "starting" // every part is reserved and ordered to start
	gangUp       = "up"       // every task left runs
	gangBreaking = "breaking" // what runs is being stopped
)

// The events of a gang.
const (
	gangEventHold     = "hold"
	gangEventRelease  = "release"
	gangEventStart    = "start"
	gangEventComplete = "complete"
	gangEventBreak    = "break"
	gangEventGone     = "gone"
)

// Times of holding room for a gang.
const (
	gangHoldTime = 10 * time.Second
	// gangStartMargin is how much of the shortest hold must be left at the start.
	gangStartMargin = 3 * time.Second
	// gangAgeAfter is the wait after which a gang keeps the room that it got
	// while it waits for the rest, gangGatherTime at a time.
	gangAgeAfter     = time.Minute
	gangGatherTime   = 20 * time.Second
	gangGatherPause  = 500 * time.Millisecond
	gangProbeEvery   = 5 * time.Second
	gangStartTimeout = 5 * time.Second
)

// gang is the part of a job that only gangs have.
type gang struct {
	state     string // "" counts as idle
	failures  int    // of tries in a row
	notBefore time.Time
}

func (g *gang) is(state string) bool { return g.state == state || (g.state == "" && state == gangIdle) }

// newGangMachine returns the state machine that all gangs of a home share.
func newGangMachine() *fsm.FSM {
	return fsm.NewFSM(gangIdle, fsm.Events{
		{Name: gangEventHold, Src: []string{gangIdle}, Dst: gangHolding},
		{Name: gangEventRelease, Src: []string{gangHolding}, Dst: gangIdle},
		{Name: gangEventStart, Src: []string{gangHolding}, Dst: gangStarting},
		{Name: gangEventComplete, Src: []string{gangStarting, gangIdle}, Dst: gangUp},
		{Name: gangEventBreak, Src: []string{gangIdle, gangStarting, gangUp}, Dst: gangBreaking},
		{Name: gangEventGone, Src: []string{gangBreaking}, Dst: gangIdle},
	}, nil)
}

// moveGang passes an event to the machine in the gang's state and reports
// whether the state changed.
func (h *home) moveGang(j *job, event string) bool {
	if j.gang.state == "" {
		j.gang.state = gangIdle
	}
	h.gangs.SetState(j.gang.state)
	if !h.gangs.Can(event) || h.gangs.Event(context.Background(), event) != nil {
		return false
	}
	j.gang.state = h.gangs.Current()
	return true
}

// planGang reserves the quota of all tasks left and lets the gang try to hold
// room for them.
func (h *home) planGang(j *job, values settings.Values, holders []holder, now time.Time) {
	if !j.gang.is(gangIdle) || j.active > 0 {
		return
	}
	n := len(j.tasks) - j.done
	if !h.gangMayFit(j, n, holders, now) {
		return
	}
	if err := h.ledger.Reserve(j.rec.Job.Team, j.accountOf(j.rec.Generation), values.Quota, j.rec.Job.Task.Size, n); err != nil {
		j.log.add(now, "waiting", err.Detail)
		j.gang.notBefore = now.Add(restInterval)
		return
	}
	h.moveGang(j, gangEventHold)
	slots := make([]taskmsg.Slot, 0, n)
	for i := range j.tasks {
		if j.tasks[i].state == taskPending {
			slots = append(slots, h.reserve(j, i))
		}
	}
	j.ready, j.later = nil, nil
	h.enqueue(j)
	try := &gangTry{
		h: h, j: j, shape: h.shape(j, values), slots: slots, holders: gangHolders(holders), began: now,
		gather: now.Sub(j.since) >= gangAgeAfter,
	}
	h.work.Go(try.run)
}

// gangMayFit reports whether the digests leave room for all tasks of a gang. As
// they are hints, a try goes ahead now and then whatever they say, and always
// once the gang has aged.
func (h *home) gangMayFit(j *job, n int, holders []holder, now time.Time) bool {
	room := 0
	for _, at := range holders {
		k, _ := h.room(j.rec.Job.Task, at, now)
		room += k
	}
	if room >= n || now.Sub(j.since) >= gangAgeAfter || now.Sub(j.since) >= gangProbeEvery*time.Duration(j.gang.failures+1) {
		return true
	}
	j.log.add(now, "waiting", fmt.Sprintf("all %d tasks must start together, the holders seem to have room for %d", n, room))
	j.gang.notBefore = now.Add(restInterval)
	return false
}

// gangHolders returns the holders in the one order in which all gangs ask.
func gangHolders(holders []holder) []holder {
	byName := map[string]holder{}
	names := make([]string, 0, len(holders))
	for _, at := range holders {
		byName[at.member] = at
		names = append(names, at.member)
	}
	out := make([]holder, 0, len(names))
	for _, name := range fairshare.HolderOrder(names) {
		out = append(out, byName[name])
	}
	return out
}

// gangTry is one try to start a gang: hold room everywhere, then start all or
// release all.
type gangTry struct {
	h       *home
	j       *job
	shape   taskmsg.Shape
	slots   []taskmsg.Slot
	holders []holder
	began   time.Time
	// gather keeps what is held while more room is waited for.
	gather bool
	// oldest is when the oldest hold that still counts was asked for.
	oldest time.Time
	parts  []gangPart
}

// gangPart is what one holder holds of a try.
type gangPart struct {
	at    holder
	slots []taskmsg.Slot
}

func (t *gangTry) run() {
	for !t.holdAll() {
		if !t.gather || time.Since(t.began) > gangGatherTime || t.h.ctx.Err() != nil || t.given() {
			t.release()
			return
		}
		time.Sleep(gangGatherPause)
	}
	if !t.commit() {
		t.release()
		return
	}
	t.start()
}

// given reports whether the job was ended meanwhile.
func (t *gangTry) given() bool {
	t.h.mu.Lock()
	defer t.h.mu.Unlock()
	return t.j.ending() || t.h.phase == phaseEnded || t.h.quiet
}

// holdAll asks one holder after the other to hold room for what is left, and
// extends what is held already. It reports whether every slot is held.
func (t *gangTry) holdAll() bool {
	left := t.slots
	t.parts, t.oldest = nil, time.Now()
	for _, at := range t.holders {
		if len(left) == 0 {
			break
		}
		held, refusal, err := t.hold(at, left)
		t.note(at, refusal, err)
		if err != nil || len(held) == 0 {
			continue
		}
		t.parts = append(t.parts, gangPart{at, held})
		left = minus(left, held)
	}
	return len(left) == 0
}

func (t *gangTry) hold(at holder, slots []taskmsg.Slot) ([]taskmsg.Slot, *taskmsg.Refusal, error) {
	var reply taskmsg.GangHeld
	req := taskmsg.GangHold{Home: t.h.self(), Shape: t.shape, Slots: slots, HoldMS: gangHoldTime.Milliseconds()}
	err := t.h.ask(at.addr, peer.KindGangHold, gangStartTimeout, req, &reply)
	return reply.Held, reply.Refusal, err
}

// note keeps what a holder said for the explanation.
func (t *gangTry) note(at holder, refusal *taskmsg.Refusal, err error) {
	t.h.mu.Lock()
	defer t.h.mu.Unlock()
	m := t.j.memory(at.member)
	m.refusal, m.err = refusal, err
}

// minus returns the slots of all that are not in some.
func minus(all, some []taskmsg.Slot) []taskmsg.Slot {
	drop := make(map[int]bool, len(some))
	for _, s := range some {
		drop[s.Index] = true
	}
	left := make([]taskmsg.Slot, 0, len(all)-len(some))
	for _, s := range all {
		if !drop[s.Index] {
			left = append(left, s)
		}
	}
	return left
}

// release gives all held room back; nothing of the gang has started.
func (t *gangTry) release() {
	h, j := t.h, t.j
	t.endAll(false)
	h.m.metrics.gangs.WithLabelValues("released").Inc()
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.moveGang(j, gangEventRelease)
	for _, s := range t.slots {
		if h.awaits(j, s) {
			h.freed(j, s.Index)
		}
	}
	h.backOffGang(j, now)
	j.log.add(now, "released", "not every part of the gang could be held at once")
	h.settle(j, now)
	h.rouse()
}

// backOffGang makes a gang wait before its next try.
func (h *home) backOffGang(j *job, now time.Time) {
	j.gang.failures++
	j.gang.notBefore = now.Add(fairshare.GangBackoff(j.id(), j.gang.failures, now.Sub(j.since), gangAgeAfter))
	h.enqueue(j)
}

// commit moves the gang from holding to starting, unless the holds may lapse
// before the orders arrive or the job was ended.
func (t *gangTry) commit() bool {
	h := t.h
	if h.checkRight() != nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if t.j.ending() || h.phase == phaseEnded || h.quiet || time.Since(t.oldest) > gangHoldTime-gangStartMargin {
		return false
	}
	return h.moveGang(t.j, gangEventStart)
}

// start orders every part to start, and breaks the gang up when any task of it
// did not.
func (t *gangTry) start() {
	h, j := t.h, t.j
	replies, errs := t.endAll(true)
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, part := range t.parts {
		h.placed(j, part.at, part.slots, replies[i], errs[i], now)
	}
	outcome := "started"
	if !j.gang.is(gangUp) && !j.rec.State.Final() {
		h.breakGang(j, "a part of it did not start", now)
		outcome = "broken"
	}
	h.m.metrics.gangs.WithLabelValues(outcome).Inc()
	h.rouse()
}

// endAll tells every holder that holds a part to start or release it.
func (t *gangTry) endAll(start bool) ([]taskmsg.PlaceReply, []error) {
	replies, errs := make([]taskmsg.PlaceReply, len(t.parts)), make([]error, len(t.parts))
	req := taskmsg.GangEnd{Home: t.h.self(), Job: t.j.id(), Start: start}
	var wait sync.WaitGroup
	for i, part := range t.parts {
		wait.Go(func() {
			errs[i] = t.h.ask(part.at.addr, peer.KindGangEnd, gangStartTimeout, req, &replies[i])
		})
	}
	wait.Wait()
	return replies, errs
}

// gangRuns notes that one more task of a gang runs; with the last one it is up.
func (h *home) gangRuns(j *job) {
	if j.gang.is(gangUp) || j.running+j.done < len(j.tasks) || h.recovering(j) {
		return
	}
	if h.moveGang(j, gangEventComplete) {
		j.gang.failures = 0
		h.move(j, eventStarted)
		j.log.add(time.Now(), "started", "all "+strconv.Itoa(j.running)+" tasks run")
	}
}

// breakGang stops what runs of a gang, so that it can be started as a whole.
func (h *home) breakGang(j *job, why string, now time.Time) {
	if j.gang.is(gangHolding) || j.ending() || !h.moveGang(j, gangEventBreak) {
		return
	}
	j.log.add(now, "stopping all", why)
	j.ready, j.later = nil, nil
	j.stopAt = time.Time{}
	h.halting[j.id()] = j
	h.gangGone(j, now)
}

// gangGone lets a broken gang try again once nothing of it runs.
func (h *home) gangGone(j *job, now time.Time) {
	if j.active > 0 || !h.moveGang(j, gangEventGone) {
		return
	}
	delete(h.halting, j.id())
	j.since = now
	h.backOffGang(j, now)
}

// replacesInGang reports whether a task that a running gang lost is started
// again by itself, as its branch may say.
func (h *home) replacesInGang(j *job) bool {
	values, _ := h.m.cfg.Values(j.rec.Job.Branch)
	return j.gang.is(gangUp) && values.Task.GangLoss == settings.GangReplace
}

// gangLost applies the branch's rule for a task that a running gang lost; it
// reports whether the job ends.
func (h *home) gangLost(j *job, why string, now time.Time) bool {
	values, _ := h.m.cfg.Values(j.rec.Job.Branch)
	if !j.isGang() || !j.gang.is(gangUp) || values.Task.GangLoss != settings.GangFail {
		return false
	}
	h.endJob(j, result.New(result.JobTaskFailed, result.RanYes, "a task of the gang was lost and its branch ends the job then: %s", why), now)
	return true
}

// recoverGang decides about a gang after a takeover: it is up when all tasks
// left run, and broken up when only some do.
func (h *home) recoverGang(j *job, now time.Time) {
	j.ready, j.later = nil, nil
	if j.active == 0 {
		h.enqueue(j)
		return
	}
	h.gangRuns(j)
	if !j.gang.is(gangUp) {
		h.breakGang(j, "the takeover found only some of its tasks", now)
	}
}
