package result

import "net/http"

// Codes of callers' requests (2000 to 2999).
const (
	UnknownService     Code = 2000
	BadKey             Code = 2001
	KeyFromFuture      Code = 2002
	KeyExpired         Code = 2003
	KeyReused          Code = 2004
	KeyTableFull       Code = 2005
	KeyOutcomeUnknown  Code = 2006
	AnswerNotKept      Code = 2007
	BadDeadline        Code = 2008
	QueueFull          Code = 2010
	DeadlineTooShort   Code = 2011
	CallerOverShare    Code = 2012
	NoExecutor         Code = 2013
	NoFreeSlot         Code = 2014
	EntryFull          Code = 2015
	DeadlineQueued     Code = 2020
	DeadlineRunning    Code = 2021
	CallerDisconnected Code = 2022
	ExecutorNotReached Code = 2023
	ExecutorLost       Code = 2024
	AnswerTooLarge     Code = 2025
	HomeMoved          Code = 2030
	HomeNotReached     Code = 2031
	HomeLost           Code = 2032
)

// statusClientClosedRequest is the status conventionally logged for a caller that closed the connection; no caller receives
// it.
const statusClientClosedRequest = 499

func init() {
	register(
		Info{UnknownService, "unknown-service", http.StatusNotFound, "no service of this name in the settings"},
		Info{BadKey, "bad-key", http.StatusBadRequest, "the Idempotency-Key is not a UUIDv7"},
		Info{KeyFromFuture, "key-from-future", http.StatusBadRequest, "the Idempotency-Key's time is ahead of ours"},
		Info{KeyExpired, "key-expired", http.StatusConflict, "the Idempotency-Key is older than the key window"},
		Info{KeyReused, "key-reused", http.StatusUnprocessableEntity, "the Idempotency-Key came before with another request"},
		Info{KeyTableFull, "key-table-full", http.StatusServiceUnavailable, "no room to remember another Idempotency-Key"},
		Info{KeyOutcomeUnknown, "key-outcome-unknown", http.StatusConflict, "the key's home changed; whether it ran is not known"},
		Info{AnswerNotKept, "answer-not-kept", http.StatusConflict, "the request ran; its answer is no longer kept"},
		Info{BadDeadline, "bad-deadline", http.StatusBadRequest, "the Request-Timeout-Ms header is not a positive number"},
		Info{QueueFull, "queue-full", http.StatusServiceUnavailable, "the service's queue is full"},
		Info{DeadlineTooShort, "deadline-too-short", http.StatusServiceUnavailable, "the queue is longer than the deadline allows"},
		Info{CallerOverShare, "caller-over-share", http.StatusTooManyRequests, "the caller has more than its share of a full queue"},
		Info{NoExecutor, "no-executor", http.StatusServiceUnavailable, "no executor of the service can be used now"},
		Info{NoFreeSlot, "no-free-slot", http.StatusServiceUnavailable, "a holder asked for a slot has none free"},
		Info{EntryFull, "entry-full", http.StatusServiceUnavailable, "this entry host serves as many requests as it can"},
		Info{DeadlineQueued, "deadline-queued", http.StatusGatewayTimeout, "the deadline passed before dispatch"},
		Info{DeadlineRunning, "deadline-running", http.StatusGatewayTimeout, "the deadline passed after dispatch"},
		Info{CallerDisconnected, "caller-gone", statusClientClosedRequest, "the caller went away"},
		Info{ExecutorNotReached, "executor-not-reached", http.StatusBadGateway, "no byte was sent to an executor"},
		Info{ExecutorLost, "executor-lost", http.StatusBadGateway, "sent to an executor, no whole answer came back"},
		Info{AnswerTooLarge, "answer-too-large", http.StatusBadGateway, "the executor's answer is over the limit in settings"},
		Info{HomeMoved, "home-moved", http.StatusServiceUnavailable, "the process asked is not the request's home now"},
		Info{HomeNotReached, "home-not-reached", http.StatusServiceUnavailable, "no byte was sent to the request's home"},
		Info{HomeLost, "home-lost", http.StatusBadGateway, "sent to the request's home, no answer came back"},
	)
}
