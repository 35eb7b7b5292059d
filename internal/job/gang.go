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
	gangRunning  = "up"       // every task left runs
	gangStopping = "breaking" // what runs is being stopped
)

// The events of a gang.
const (
	gangEventHold     = "hold"
	gangEventRelease  = "release"
	gangEventStart    = "start"
	gangEventComplete = "complete"
	gangEventStop     = "break"
	gangEventStopped  = "gone"
)

// Times of holding room for a gang.
const (
	gangReservationTTL = 10 * time.Second
	// gangStartMargin is how much of the shortest hold must be left at the start.
	gangStartMargin = 3 * time.Second
	// gangAgedAfter is the wait after which a gang keeps the room that it got
	// while it waits for the rest, gangGatherTime at a time.
	gangAgedAfter     = time.Minute
	gangGatherTimeout = 20 * time.Second
	// A gang that gathered in vain does so again after a wait that doubles.
	gangGatherInterval    = time.Minute
	gangGatherIntervalMax = 16 * time.Minute
	gangGatherPoll        = 100 * time.Millisecond
	gangProbeInterval     = 5 * time.Second
	gangCallTimeout       = 5 * time.Second
)

// gang is the part of a job that only gangs have.
type gang struct {
	state       string // "" counts as idle
	failures    int    // of tries in a row
	notBefore   time.Time
	gatherCount int       // tries that kept room while they waited for more
	nextGather  time.Time // earliest next one
}

func (g *gang) is(state string) bool { return g.state == state || (g.state == "" && state == gangIdle) }

// newGangMachine returns the state machine that all gangs of a home share.
func newGangMachine() *fsm.FSM {
	return fsm.NewFSM(gangIdle, fsm.Events{
		{Name: gangEventHold, Src: []string{gangIdle}, Dst: gangHolding},
		{Name: gangEventRelease, Src: []string{gangHolding}, Dst: gangIdle},
		{Name: gangEventStart, Src: []string{gangHolding}, Dst: gangStarting},
		{Name: gangEventComplete, Src: []string{gangStarting, gangIdle}, Dst: gangRunning},
		{Name: gangEventStop, Src: []string{gangIdle, gangStarting, gangRunning}, Dst: gangStopping},
		{Name: gangEventStopped, Src: []string{gangStopping}, Dst: gangIdle},
	}, nil)
}

// fireGangEvent passes an event to the machine in the gang's state and reports
// whether the state changed.
func (o *jobOwner) fireGangEvent(j *job, event string) bool {
	if j.gang.state == "" {
		j.gang.state = gangIdle
	}
	o.gangMachine.SetState(j.gang.state)
	if !o.gangMachine.Can(event) || o.gangMachine.Event(context.Background(), event) != nil {
		return false
	}
	j.gang.state = o.gangMachine.Current()
	return true
}

// planGang reserves the quota of all tasks left and lets the gang try to hold
// room for them.
func (o *jobOwner) planGang(j *job, values settings.Values, m *passState) {
	now := m.now
	if !j.gang.is(gangIdle) || j.active > 0 {
		return
	}
	n := len(j.tasks) - j.done
	if !o.gangLikelyFits(j, n, m.holders, now) {
		return
	}
	if err := o.ledger.Reserve(j.rec.Job.Team, j.ledgerAccountOf(j.rec.TaskGeneration), values.Quota, j.rec.Job.Task.Size, n); err != nil {
		j.log.add(now, "waiting", err.Detail)
		j.gang.notBefore = now.Add(activeInterval)
		return
	}
	o.fireGangEvent(j, gangEventHold)
	slots := make([]taskmsg.Slot, 0, n)
	for i := range j.tasks {
		if j.tasks[i].state == taskPending {
			slots = append(slots, o.newAttempt(j, i))
		}
	}
	j.ready, j.delayed = nil, nil
	o.updateWaiting(j)
	try := newGangTry(o, j, o.shape(j, values), slots, orderHolders(m.holders), now)
	o.background.Go(try.run)
}

// gangLikelyFits reports whether the digests leave room for all tasks of a gang. As
// they are hints, a try goes ahead now and then whatever they say, and always
// once the gang has aged.
func (o *jobOwner) gangLikelyFits(j *job, n int, holders []holder, now time.Time) bool {
	freeSlots := 0
	for _, target := range holders {
		k, _ := o.freeSlots(j.rec.Job.Task, target, now)
		freeSlots += k
	}
	if freeSlots >= n || now.Sub(j.waitingSince) >= gangAgedAfter || now.Sub(j.waitingSince) >= gangProbeInterval*time.Duration(j.gang.failures+1) {
		return true
	}
	j.log.add(now, "waiting", fmt.Sprintf("all %d tasks must start together, the holders seem to have room for %d", n, freeSlots))
	j.gang.notBefore = now.Add(activeInterval)
	return false
}

// beginGather reports whether a gang has waited so long that holders are to keep
// room for it. As this holds other work up, it is bounded to gangGatherTime, and
// a gang that did so in vain waits longer each time.
func (j *job) beginGather(now time.Time) bool {
	g := &j.gang
	if now.Sub(j.waitingSince) < gangAgedAfter || now.Before(g.nextGather) {
		return false
	}
	g.nextGather = now.Add(min(gangGatherInterval<<min(g.gatherCount, 8), gangGatherIntervalMax))
	g.gatherCount++
	return true
}

// orderHolders returns the holders in the one order in which all gangs ask.
func orderHolders(holders []holder) []holder {
	byName := map[string]holder{}
	names := make([]string, 0, len(holders))
	for _, target := range holders {
		byName[target.member] = target
		names = append(names, target.member)
	}
	out := make([]holder, 0, len(names))
	for _, name := range fairshare.HolderOrder(names) {
		out = append(out, byName[name])
	}
	return out
}

// updateGangRunning notes that one more task of a gang runs; with the last one it is up.
func (o *jobOwner) updateGangRunning(j *job) {
	if j.gang.is(gangRunning) || j.running+j.done < len(j.tasks) || o.recovering(j) {
		return
	}
	if o.fireGangEvent(j, gangEventComplete) {
		j.gang.failures, j.gang.gatherCount = 0, 0
		o.fireEvent(j, eventStarted)
		j.log.add(time.Now(), "started", "all "+strconv.Itoa(j.running)+" tasks run")
	}
}

// stopGang stops what runs of a gang, so that it can be started as a whole.
func (o *jobOwner) stopGang(j *job, why string, now time.Time) {
	if j.gang.is(gangHolding) || j.ending() || !o.fireGangEvent(j, gangEventStop) {
		return
	}
	j.log.add(now, "stopping all", why)
	j.ready, j.delayed = nil, nil
	j.nextStop = time.Time{}
	o.stopping[j.id()] = j
	o.finishGangStop(j, now)
}

// finishGangStop lets a broken gang try again once nothing of it runs.
func (o *jobOwner) finishGangStop(j *job, now time.Time) {
	if j.active > 0 || !o.fireGangEvent(j, gangEventStopped) {
		return
	}
	delete(o.stopping, j.id())
	j.waitingSince = now
	o.scheduleGangRetry(j, now)
}

// replacesGangTasks reports whether a task that a running gang lost is started
// again by itself, as its branch may say.
func (o *jobOwner) replacesGangTasks(j *job) bool {
	values, _ := o.m.cfg.Values(j.rec.Job.Branch)
	return j.gang.is(gangRunning) && values.Task.GangLoss == settings.GangReplace
}

// failGangOnLoss applies the branch's rule for a task that a running gang lost; it
// reports whether the job ends.
func (o *jobOwner) failGangOnLoss(j *job, why string, now time.Time) bool {
	values, _ := o.m.cfg.Values(j.rec.Job.Branch)
	if !j.isGang() || !j.gang.is(gangRunning) || values.Task.GangLoss != settings.GangFail {
		return false
	}
	o.endJob(j, result.New(result.JobTaskFailed, result.RanYes, "a task of the gang was lost and its branch ends the job then: %s", why), now)
	return true
}

// recoverGang decides about a gang after a takeover: it is up when all tasks
// left run, and broken up when only some do.
func (o *jobOwner) recoverGang(j *job, now time.Time) {
	j.ready, j.delayed = nil, nil
	if j.active == 0 {
		o.updateWaiting(j)
		return
	}
	o.updateGangRunning(j)
	if !j.gang.is(gangRunning) {
		o.stopGang(j, "the takeover found only some of its tasks", now)
	}
}

// scheduleGangRetry makes a gang wait before its next try.
func (o *jobOwner) scheduleGangRetry(j *job, now time.Time) {
	j.gang.failures++
	j.gang.notBefore = now.Add(fairshare.GangBackoff(j.id(), j.gang.failures, now.Sub(j.waitingSince), gangAgedAfter))
	o.updateWaiting(j)
}
