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

// The states of a gang. Callers see it as running only in gangRunning.
const (
	gangIdle     = "idle"     // no task runs and nothing is reserved
	gangHolding  = "holding"  // holders reserve capacity, nothing is started
	gangStarting = "starting" // all tasks are reserved and ordered to start
	gangRunning  = "up"       // all unfinished tasks run
	gangStopping = "breaking" // the running tasks are being stopped
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

// Timing of gang reservations.
const (
	gangReservationTTL = 10 * time.Second
	// gangStartMargin is how much of the shortest reservation must remain at the start.
	gangStartMargin = 3 * time.Second
	// gangAgedAfter is the waiting time after which a gang keeps partial reservations while it
	// waits for the rest, for up to gangGatherTimeout at a time.
	gangAgedAfter     = time.Minute
	gangGatherTimeout = 20 * time.Second
	// A gang that did not gather all reservations in time does so again after an interval that
	// doubles.
	gangGatherInterval    = time.Minute
	gangGatherIntervalMax = 16 * time.Minute
	gangGatherPoll        = 100 * time.Millisecond
	gangProbeInterval     = 5 * time.Second
	gangCallTimeout       = 5 * time.Second
)

// gang is the state that only gang jobs have.
type gang struct {
	state       string // "" counts as gangIdle
	failures    int    // consecutive failed tries
	notBefore   time.Time
	gatherCount int       // tries that kept partial reservations while waiting for more
	nextGather  time.Time // earliest next such try
}

func (g *gang) is(state string) bool { return g.state == state || (g.state == "" && state == gangIdle) }

// newGangMachine returns the state machine shared by all gangs of a job owner.
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

// fireGangEvent sends an event to the state machine in the gang's state and reports whether the
// state changed.
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

// planGang reserves the quota of all unfinished tasks and starts a try to reserve capacity for
// them.
func (o *jobOwner) planGang(j *job, values settings.Values, pass *passState) {
	now := pass.now
	if !j.gang.is(gangIdle) || j.active > 0 {
		return
	}
	n := len(j.tasks) - j.done
	if !o.gangLikelyFits(j, n, pass.holders, now) {
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
	try := newGangTry(o, j, o.shape(j, values), slots, orderHolders(pass.holders), now)
	o.background.Go(try.run)
}

// gangLikelyFits reports whether a try is worthwhile: the digests report enough free capacity for
// all tasks of the gang, or the interval between probes has passed, as digests are only hints, or
// the gang has aged.
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

// beginGather reports whether a gang has waited so long that holders may keep capacity reserved for
// it. As that delays other work, it is limited to gangGatherTimeout, and the interval until the
// next such try grows each time.
func (j *job) beginGather(now time.Time) bool {
	g := &j.gang
	if now.Sub(j.waitingSince) < gangAgedAfter || now.Before(g.nextGather) {
		return false
	}
	g.nextGather = now.Add(min(gangGatherInterval<<min(g.gatherCount, 8), gangGatherIntervalMax))
	g.gatherCount++
	return true
}

// orderHolders returns the holders in the fixed order in which all gangs send their requests.
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

// updateGangRunning is called when one more task of a gang runs. With the last one the gang is
// running.
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

// stopGang stops the running tasks of a gang, so that it can be started as a whole.
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

// finishGangStop lets a stopped gang be started again once none of its tasks runs.
func (o *jobOwner) finishGangStop(j *job, now time.Time) {
	if j.active > 0 || !o.fireGangEvent(j, gangEventStopped) {
		return
	}
	delete(o.stopping, j.id())
	j.waitingSince = now
	o.scheduleGangRetry(j, now)
}

// replacesGangTasks reports whether a lost task of a running gang is restarted individually, a
// setting of the branch.
func (o *jobOwner) replacesGangTasks(j *job) bool {
	values, _ := o.m.cfg.Values(j.rec.Job.Branch)
	return j.gang.is(gangRunning) && values.Task.GangLoss == settings.GangReplace
}

// failGangOnLoss applies the branch's rule for a lost task of a running gang; it reports whether
// the job ends.
func (o *jobOwner) failGangOnLoss(j *job, why string, now time.Time) bool {
	values, _ := o.m.cfg.Values(j.rec.Job.Branch)
	if !j.isGang() || !j.gang.is(gangRunning) || values.Task.GangLoss != settings.GangFail {
		return false
	}
	o.endJob(j, result.New(result.JobTaskFailed, result.RanYes, "a task of the gang was lost and its branch ends the job then: %s", why), now)
	return true
}

// recoverGang decides about a gang after a failover: the gang is running if all unfinished tasks
// run, and is stopped if only some do.
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

// scheduleGangRetry delays a gang's next try.
func (o *jobOwner) scheduleGangRetry(j *job, now time.Time) {
	j.gang.failures++
	j.gang.notBefore = now.Add(fairshare.GangBackoff(j.id(), j.gang.failures, now.Sub(j.waitingSince), gangAgedAfter))
	o.updateWaiting(j)
}
