// Package admission decides how to handle a submitted job, based on the state of the
// store as observed by this process: whether to write the job to the store, whether to
// relay it to a peer instead, when to return "outcome unknown" to the caller, and when
// refused callers should retry.
//
// It is designed for store outages, for all processes or for a single one, during which
// callers continue to submit jobs. A job that was sent to the store before the outage
// was detected may be stored, now or later; its outcome is unknown. If the caller is
// kept waiting until its deadline, it has no time left to retry. If the reply comes
// earlier, the caller retries with the same id, so that the job is stored only once.
// Jobs submitted after the outage was detected cannot be stored and are refused at once.
package admission

import "time"

const (
	// UnresponsiveThreshold is how long calls to the store have to go unanswered, with no other
	// call answered meanwhile, before the store counts as unavailable: long enough that a
	// slow store still counts as available, and a small part of the callers' time-out.
	UnresponsiveThreshold = 500 * time.Millisecond
	// FailingThreshold is how long calls to the store have to be refused or abandoned before the store
	// counts as unavailable. Refused calls are retried for that long.
	FailingThreshold = 300 * time.Millisecond
	// RetryDelay is the delay after which a refused caller should retry: short enough for
	// several retries within the caller's time-out. Callers refused at the same time
	// spread their retries over an interval of the same length.
	RetryDelay = time.Second
)

// MaxUnknownShare is the largest fraction of its time-out that a caller waits while the
// outcome of its job is unknown. Outages and slow replies that end within this time cause no
// error, and the caller has more than half of its time-out left for retries.
const MaxUnknownShare = 0.4

// UnknownWaitLimit returns how long a caller with this time-out waits while the outcome of
// its job is unknown.
func UnknownWaitLimit(callerTimeout time.Duration) time.Duration {
	return time.Duration(MaxUnknownShare * float64(callerTimeout))
}

// Store is the state of the store as observed by this process.
type Store struct {
	// UnansweredFor is how long pending calls have waited with none answered; zero when no call
	// is pending.
	UnansweredFor time.Duration
	// FailingFor is how long calls have been refused or abandoned.
	FailingFor time.Duration
	// UsualLatency is the upper end of the store's usual response times.
	UsualLatency time.Duration
}

// Unavailable reports whether the store counts as unavailable: jobs are no longer sent to it,
// and the outcome of those already sent is unknown.
func (s Store) Unavailable() bool {
	return s.UnansweredFor > max(UnresponsiveThreshold, s.UsualLatency) || s.FailingFor > FailingThreshold
}

// Action is the next action for a submitted job.
type Action int

const (
	// Try sends the job to the store.
	Try Action = iota
	// Relay sends the job to a peer, which may reach the store.
	Relay
	// Refuse replies that the job was not accepted, and when to retry.
	Refuse
	// ReplyUnknown replies that the job may have been accepted; submitting it again returns its
	// outcome.
	ReplyUnknown
)

// String returns the name used in the log.
func (s Action) String() string {
	return [...]string{"try", "relay", "refuse", "doubt"}[s]
}

// Job is the progress of a submitted job.
type Job struct {
	// Tried is true once this process has sent the job to the store, Relayed once it has sent
	// the job to a peer.
	Tried, Relayed bool
	// OutcomeUnknown is true if an unanswered call may have stored the job or may still store it.
	OutcomeUnknown bool
}

// Next returns the next action for a job that is not known to be stored.
func Next(j Job, s Store) Action {
	switch {
	case !j.Tried && !s.Unavailable():
		return Try
	case !j.Relayed && s.Unavailable():
		return Relay
	case j.OutcomeUnknown:
		return ReplyUnknown
	}
	return Refuse
}
