package job

import (
	"context"

	"github.com/looplab/fsm"

	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/result"
)

// The events of a job's state machine.
const (
	eventStarted = "started" // a task runs
	eventIdle    = "idle"    // no task runs any more, but the job is not done
	eventEnd     = "end"     // no further task may start; running ones are stopped
	eventFinish  = "finish"
	eventFail    = "fail"
	eventCancel  = "cancel"
)

// newJobMachine returns the state machine of jobs. All jobs of a job owner share it: it is set to a
// job's state before each event, under the owner's lock.
func newJobMachine() *fsm.FSM {
	waiting, running := string(jobmsg.StateWaiting), string(jobmsg.StateRunning)
	stopping := string(jobmsg.StateStopping)
	live := []string{waiting, running}
	ending := []string{waiting, running, stopping}
	return fsm.NewFSM(waiting, fsm.Events{
		{Name: eventStarted, Src: []string{waiting}, Dst: running},
		{Name: eventIdle, Src: []string{running}, Dst: waiting},
		{Name: eventEnd, Src: live, Dst: stopping},
		{Name: eventFinish, Src: ending, Dst: string(jobmsg.StateFinished)},
		{Name: eventFail, Src: ending, Dst: string(jobmsg.StateFailed)},
		{Name: eventCancel, Src: ending, Dst: string(jobmsg.StateCancelled)},
	}, nil)
}

// fireEvent sends an event to the state machine in the job's state and reports whether the state
// changed.
func (o *jobOwner) fireEvent(j *job, event string) bool {
	o.jobMachine.SetState(string(j.rec.State))
	if !o.jobMachine.Can(event) {
		return false
	}
	if err := o.jobMachine.Event(context.Background(), event); err != nil {
		return false
	}
	j.rec.State = jobmsg.State(o.jobMachine.Current())
	return true
}

// finalEvent returns the event that makes a job final, according to its result code.
func finalEvent(code result.Code) string {
	switch code {
	case 0:
		return eventFinish
	case result.JobCancelled:
		return eventCancel
	default:
		return eventFail
	}
}

// markChanged marks a job's record as newer than the store's.
func (o *jobOwner) markChanged(j *job) {
	j.dirty = true
	j.version++
	o.changed[j.id()] = j
}
