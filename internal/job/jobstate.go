package job

import (
	"context"

	"github.com/looplab/fsm"

	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/result"
)

// The events in the life of a job.
const (
	eventStarted = "started" // a task of it runs
	eventIdle    = "idle"    // nothing of it runs any more, but it is not done
	eventEnd     = "end"     // no further task may start; what runs is stopped
	eventFinish  = "finish"
	eventFail    = "fail"
	eventCancel  = "cancel"
)

// newJobMachine returns the state machine of jobs. One machine serves all jobs of
// a home: it is set to a job's state before each event, under the home's lock.
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

// fireEvent passes an event to the machine in the job's state and reports whether
// the state changed.
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

// finalEvent returns the event that makes a job final, by the code it ends with.
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
