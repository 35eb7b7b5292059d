package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/looplab/fsm"
)

// The health states of an endpoint.
const (
	stateHealthy = "healthy"
	// stateEjected gets nothing until its pause is over.
	stateEjected = "ejected"
	// stateProbing gets one request at a time.
	stateProbing = "probing"
)

// The events between the health states.
const (
	eventEject   = "eject"
	eventProbe   = "probe"
	eventRecover = "recover"
)

const (
	// failuresToEject is the failures in a row after which an endpoint is
	// ejected; one bad request does not look like a bad executor.
	failuresToEject = 5
	// failingShare ejects an endpoint that fails this share of its requests.
	maxFailureRate = 0.5
	// outlierShare is the most that the others may fail for an endpoint to be
	// ejected for its status codes.
	outlierMaxOthersRate = 0.25
	// successesToRecover ends probing.
	successesToRecover = 3
	// firstEjection is the first pause of an ejected endpoint; it doubles up
	// to longestEjection while probes fail.
	minEjection = 500 * time.Millisecond
	maxEjection = 15 * time.Second
	// slowFactor: an endpoint this much slower than the mean of all is given
	// fewer slots.
	slowFactor = 2
	// slowMargin keeps differences that do not matter from counting as slow.
	slowMargin = 2 * time.Millisecond
	// outcomeWeight is the weight of the newest outcome in moving means, as 1/n.
	outcomeWeight = 16
)

// healthEvents is the state machine of every endpoint's health.
var healthEvents = fsm.Events{
	{Name: eventEject, Src: []string{stateHealthy, stateProbing}, Dst: stateEjected},
	{Name: eventProbe, Src: []string{stateEjected}, Dst: stateProbing},
	{Name: eventRecover, Src: []string{stateProbing}, Dst: stateHealthy},
}

// health is what an endpoint's answers say about it. It reads no clock.
type health struct {
	machine *fsm.FSM
	// failing is the moving mean of failures, from 0 to 1.
	failureRate float64
	// mean is the moving mean of an answered request's time.
	mean                time.Duration
	consecutiveNoAnswer int // silent failures since the last answer
	successes           int // since probing began
	ejections           int // since last healthy for good
	ejectedUntil        time.Time
}

func newHealth() *health {
	return &health{machine: fsm.NewFSM(stateHealthy, healthEvents, nil)}
}

// fire moves the machine. An event that does not fit the state changes nothing.
func (h *health) fire(event string) bool {
	return h.machine.Event(context.Background(), event) == nil
}

// succeeded learns from a whole answer. It reports whether the endpoint has
// recovered by it.
func (h *health) succeeded(took time.Duration) bool {
	h.consecutiveNoAnswer = 0
	h.failureRate -= h.failureRate / outcomeWeight
	if h.mean == 0 {
		h.mean = took
	}
	h.mean += (took - h.mean) / outcomeWeight
	if h.machine.Current() != stateProbing {
		return false
	}
	h.successes++
	if h.successes < successesToRecover || !h.fire(eventRecover) {
		return false
	}
	h.ejections, h.failureRate = 0, 0
	return true
}

// fault is what kind of failure an endpoint is charged with.
type fault int

const (
	// faultSilent: no whole answer, or none in time.
	faultNoAnswer fault = iota
	// faultStatus: a whole answer with a 5xx status. It counts against the
	// endpoint only where others do better: it may be the request's fault, or
	// the service's.
	faultStatus
)

// failed learns from a failure; others is the mean share of failures at the
// service's other endpoints. It reports whether the endpoint is ejected now.
func (h *health) failed(now time.Time, f fault, others float64) bool {
	h.failureRate += (1 - h.failureRate) / outcomeWeight
	eject := h.failureRate > maxFailureRate || h.machine.Current() == stateProbing
	if f == faultNoAnswer {
		h.consecutiveNoAnswer++
		eject = eject || h.consecutiveNoAnswer >= failuresToEject
	} else if others > outlierMaxOthersRate {
		eject = false
	}
	if !eject || !h.fire(eventEject) {
		return false
	}
	pause := min(minEjection<<min(h.ejections, 10), maxEjection)
	h.ejectedUntil = now.Add(pause + rand.N(pause/4))
	h.ejections++
	return true
}

// limit is how many of its slots the endpoint may use now. others is the mean
// time at all endpoints of the service; alone means that none is healthy, and
// that ejected ones are probed without a pause.
func (h *health) limit(slots int, others time.Duration, noneHealthy bool, now time.Time) int {
	switch h.machine.Current() {
	case stateEjected:
		if (now.Before(h.ejectedUntil) && !noneHealthy) || !h.fire(eventProbe) {
			return 0
		}
		h.successes = 0
		return 1
	case stateProbing:
		return 1
	}
	allowed := others*slowFactor + slowMargin
	if h.mean <= allowed || others == 0 {
		return slots
	}
	return max(1, int(int64(slots)*int64(allowed)/int64(h.mean)))
}
