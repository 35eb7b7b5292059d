package front

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/overload"
	"pulleyquay/internal/record"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

// doubtRetention is for how long a job in doubt may be submitted again: the 5 tries of a caller, which waits for
// DefaultCallTimeout in each.
const doubtRetention = 5 * DefaultCallTimeout

// limitError is the refusal of a job for the limit of its queue and client account.
type limitError struct {
	reply    *result.Error // for the caller
	decision overload.Decision
}

func (e *limitError) Error() string { return e.reply.Error() }

// Unwrap returns the error for the caller.
func (e *limitError) Unwrap() error { return e.reply }

// checkLimit refuses a job that the limit of its queue and client account does not admit. A job that is stored, or that
// an earlier try may have stored, is never refused. While the store does not answer, package admission decides.
func (f *Front) checkLimit(ctx context.Context, by Caller, q *catalog.Queue, id string, g *spec.Graph) error {
	if f.Limits == nil || !overload.Applies(&q.Rules, by.Account) || !overload.HasTarget(g) {
		return nil
	}
	key := overload.Key{Queue: q.Name, Account: by.accountName()}
	maxWait := overload.MaxWait(&q.Rules, overload.DeclaredPath(g))
	d, refused := f.Limits.Check(f.partition(id), key, id, maxWait, time.Now())
	if !refused || f.unresolvedJobs.contains(id, time.Now()) || f.mayBeStored(ctx, id) {
		return nil
	}
	f.Metrics.limited.WithLabelValues(q.Name).Inc()
	return newLimitError(d)
}

// mayBeStored reports whether a job is stored, or the store does not tell.
func (f *Front) mayBeStored(ctx context.Context, id string) bool {
	if f.storeUnavailable() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	_, found, err := f.Get(ctx, record.JobKey(f.partition(id), id))
	f.Health.RecordCall(err == nil, time.Now())
	return found || err != nil
}

func newLimitError(d overload.Decision) *limitError {
	e := result.New(result.AccountOverloaded, result.RanNo, "account %s, queue %s: the next job would wait for %v; %.0f%% of its jobs are accepted (as of %v ago)",
		d.Account, d.Queue, d.Wait.Round(time.Millisecond), 100*d.Admit, d.Age.Round(time.Millisecond))
	return &limitError{e.WithRetryAfter(d.RetryAfter(rand.Float64())), d}
}

// admittedDigits is the precision of the admitted fraction in the log.
const admittedDigits = 1000

// limitFields returns the log fields of a refusal for a limit: the expected wait, the age of the figures and the admitted
// fraction. It returns none for other errors.
func limitFields(err error) logrus.Fields {
	var e *limitError
	if !errors.As(err, &e) {
		return nil
	}
	return logrus.Fields{
		"wait_ms": e.decision.Wait.Milliseconds(), "figures_age_ms": e.decision.Age.Milliseconds(),
		"admitted":       math.Round(e.decision.Admit*admittedDigits) / admittedDigits,
		"retry_after_ms": e.reply.RetryAfter.Milliseconds(),
	}
}

// JobsInDoubt reports whether a caller was told lately, or is about to be, that this process does not know whether its job is
// stored. The caller may submit it to a process that does not know of it.
func (f *Front) JobsInDoubt(now time.Time) bool {
	return f.storeUnavailable() || f.unresolvedJobs.addedSince(now.Add(-doubtRetention))
}
