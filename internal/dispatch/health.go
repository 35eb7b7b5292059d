package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/looplab/fsm"
)

// Health states of an endpoint.
const (
	stateHealthy = "healthy"
	// stateEjected receives no requests until its ejection period is over.
	stateEjected = "ejected"
	// stateProbing receives one request at a time.
	stateProbing = "probing"
)

// Events that change the health state.
const (
	eventEject   = "eject"
	eventProbe   = "probe"
	eventRecover = "recover"
)

const (
	// failuresToEject is the number of consecutive failures after which an endpoint is ejected. It
	// is above one, as a single bad request does not mean that the executor is faulty.
	failuresToEject = 5
	// maxFailureRate is the failure rate above which an endpoint is ejected.
	maxFailureRate = 0.5
	// outlierMaxOthersRate is the highest mean failure rate of the other endpoints at which an
	// endpoint is ejected for its status codes.
	outlierMaxOthersRate = 0.25
	// successesToRecover is the number of successful probes after which an endpoint is healthy
	// again.
	successesToRecover = 3
	// minEjection is the first ejection period of an endpoint; it doubles up to maxEjection while
	// probes fail.
	minEjection = 500 * time.Millisecond
	maxEjection = 15 * time.Second
	// slowFactor: an endpoint that is slower than the mean of all by this factor gets fewer slots.
	slowFactor = 2
	// slowMargin prevents insignificant differences from counting as slow.
	slowMargin = 2 * time.Millisecond
	// outcomeWeight sets the weight of the newest outcome in moving means: 1/outcomeWeight.
	outcomeWeight = 16
)

// healthEvents are the transitions of every endpoint's health.
var healthEvents = fsm.Events{
	{Name: eventEject, Src: []string{stateHealthy, stateProbing}, Dst: stateEjected},
	{Name: eventProbe, Src: []string{stateEjected}, Dst: stateProbing},
	{Name: eventRecover, Src: []string{stateProbing}, Dst: stateHealthy},
}

// health is the health of an endpoint, derived from its answers. It reads no clock.
type health struct {
	machine *fsm.FSM
	// failureRate is the moving mean of failures, from 0 to 1.
	failureRate float64
	// mean is the moving mean of the time that an answered request takes.
	mean                time.Duration
	consecutiveNoAnswer int // failures without an answer since the last answer
	successes           int // since probing began
	ejections           int // since the endpoint was last healthy
	ejectedUntil        time.Time
}

func newHealth() *health {
	return &health{machine: fsm.NewFSM(stateHealthy, healthEvents, nil)}
}

// fire applies an event. An event that does not fit the state changes nothing.
func (h *health) fire(event string) bool {
	return h.machine.Event(context.Background(), event) == nil
}

// recordSuccess records a whole answer. It reports whether the endpoint has recovered with it.
func (h *health) recordSuccess(took time.Duration) bool {
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

// fault is the kind of failure that an endpoint is charged with.
type fault int

const (
	// faultNoAnswer: no whole answer, or none in time.
	faultNoAnswer fault = iota
	// faultStatus: a whole answer with a 5xx status. It counts against the endpoint only where
	// others do better, as the request or the service may be the cause.
	faultStatus
)

// recordFailure records a failure; othersFailureRate is the mean failure rate of the service's
// other endpoints. It reports whether the failure has ejected the endpoint.
func (h *health) recordFailure(now time.Time, f fault, othersFailureRate float64) bool {
	h.failureRate += (1 - h.failureRate) / outcomeWeight
	eject := h.failureRate > maxFailureRate || h.machine.Current() == stateProbing
	if f == faultNoAnswer {
		h.consecutiveNoAnswer++
		eject = eject || h.consecutiveNoAnswer >= failuresToEject
	} else if othersFailureRate > outlierMaxOthersRate {
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

// limit is how many of its slots the endpoint may use now. serviceMean is the mean time of a
// request at all endpoints of the service; noneHealthy means that no endpoint is healthy, so
// that ejected ones are probed without waiting.
func (h *health) limit(slots int, serviceMean time.Duration, noneHealthy bool, now time.Time) int {
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
	allowed := serviceMean*slowFactor + slowMargin
	if h.mean <= allowed || serviceMean == 0 {
		return slots
	}
	return max(1, int(int64(slots)*int64(allowed)/int64(h.mean)))
}
