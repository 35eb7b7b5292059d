package job

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/looplab/fsm"

	"pulleyquay/internal/fairshare"
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
	gangAgeAfter   = time.Minute
	gangGatherTime = 20 * time.Second
	// A gang that gathered in vain does so again after a wait that doubles.
	gangGatherEvery = time.Minute
	gangGatherMost  = 16 * time.Minute
	gangGatherPause = 100 * time.Millisecond
	gangProbeEvery  = 5 * time.Second
	gangCallTimeout = 5 * time.Second
)

// gang is the part of a job that only gangs have.
type gang struct {
	state     string // "" counts as idle
	failures  int    // of tries in a row
	notBefore time.Time
	gathers   int       // tries that kept room while they waited for more
	gatherAt  time.Time // earliest next one
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
func (h *home) planGang(j *job, values settings.Values, m *moment) {
	now := m.now
	if !j.gang.is(gangIdle) || j.active > 0 {
		return
	}
	n := len(j.tasks) - j.done
	if !h.gangMayFit(j, n, m.holders, now) {
		return
	}
	if err := h.ledger.Reserve(j.rec.Job.Team, j.accountOf(j.rec.TaskGeneration), values.Quota, j.rec.Job.Task.Size, n); err != nil {
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
	try := newGangTry(h, j, h.shape(j, values), slots, gangHolders(m.holders), now)
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

// mayGather reports whether a gang has waited so long that holders are to keep
// room for it. As this holds other work up, it is bounded to gangGatherTime, and
// a gang that did so in vain waits longer each time.
func (j *job) mayGather(now time.Time) bool {
	g := &j.gang
	if now.Sub(j.since) < gangAgeAfter || now.Before(g.gatherAt) {
		return false
	}
	g.gatherAt = now.Add(min(gangGatherEvery<<min(g.gathers, 8), gangGatherMost))
	g.gathers++
	return true
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

// gangRuns notes that one more task of a gang runs; with the last one it is up.
func (h *home) gangRuns(j *job) {
	if j.gang.is(gangUp) || j.running+j.done < len(j.tasks) || h.recovering(j) {
		return
	}
	if h.moveGang(j, gangEventComplete) {
		j.gang.failures, j.gang.gathers = 0, 0
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

// backOffGang makes a gang wait before its next try.
func (h *home) backOffGang(j *job, now time.Time) {
	j.gang.failures++
	j.gang.notBefore = now.Add(fairshare.GangBackoff(j.id(), j.gang.failures, now.Sub(j.since), gangAgeAfter))
	h.enqueue(j)
}
