package hostcall

import (
	"context"
	"errors"
	"time"

	"pulleyquay/internal/host"
)

// While answers are lost, a poll is made as a sequence of short polls: the answer that reports the
// end of a run may be lost, and the end is received only with the next poll.

// maxSilentPolls is the number of consecutive polls without an answer after which a sequence is given
// up. With 5.5% of the answers lost, 2 in 10,000 sequences are given up in error.
const maxSilentPolls = 3

// shortPolls is one sequence of short polls.
type shortPolls struct {
	to    host.Info
	token uint64
	poll  host.Poll
	// until is when the whole wait of the poll is over.
	until time.Time
	// silent is the number of the latest polls that got no answer.
	silent int
	// lost is true once a poll got no answer and may have reached the host.
	lost bool
	// whole makes the next poll wait for the rest of the time: it is the last one.
	whole bool
}

// pollShort makes a poll as a sequence of short ones, until a view lists an end record or the wait
// is over. Only the polls after the first count against the budget of repeated calls; without
// budget, one poll waits for the rest of the time. It takes no longer than a single poll.
func (c *Caller) pollShort(ctx context.Context, s *shortPolls) (host.View, error) {
	ctx, cancel := context.WithDeadline(ctx, s.until.Add(pollSlack))
	defer cancel()
	for {
		o := c.pollPart(ctx, s)
		if o.err != nil {
			if !o.timedOut || ctx.Err() != nil || !c.repeatSilent(s, o.err) {
				return o.view, s.failure(o.err)
			}
			continue
		}
		c.answeredPart(s)
		if o.news || s.whole || !time.Now().Before(s.until) {
			return o.view, nil
		}
		s.whole = !c.tryShortPoll(time.Now(), forShortPoll)
	}
}

// repeatSilent records that a poll got no answer, and reports whether it is repeated.
func (c *Caller) repeatSilent(s *shortPolls, err error) bool {
	s.silent++
	s.lost = s.lost || !errors.Is(err, host.ErrNotSent)
	if s.silent == maxSilentPolls || !c.tryShortPoll(time.Now(), forUnanswered) {
		return false
	}
	c.reconnect(s.to)
	return true
}

// partOutcome is the outcome of one poll of a sequence.
type partOutcome struct {
	view host.View
	err  error
	// news is true if the host did not hold the answer for the whole wait.
	news bool
	// timedOut is true if there was no answer in time.
	timedOut bool
}

// pollPart makes the next poll of a sequence.
func (c *Caller) pollPart(ctx context.Context, s *shortPolls) partOutcome {
	p := s.poll
	p.Wait = s.nextWait(time.Now())
	partCtx, cancel := context.WithTimeout(ctx, p.Wait+s.slack(c.answers.Wait()))
	defer cancel()
	started := time.Now()
	view, err := c.hosts.Poll(partCtx, s.to, s.token, p)
	took := time.Since(started)
	o := partOutcome{view: view, err: err, news: len(view.Ended) > 0 || view.Fenced || took < p.Wait}
	if err != nil {
		o.timedOut = errors.Is(partCtx.Err(), context.DeadlineExceeded)
	} else if !o.news {
		c.answers.Observe(took - p.Wait)
	}
	return o
}

// nextWait returns how long the host may hold the next poll. After a poll without an answer it is
// zero, as there may be news already.
func (s *shortPolls) nextWait(now time.Time) time.Duration {
	rest := max(s.until.Sub(now), 0)
	switch {
	case s.silent > 0:
		return 0
	case s.whole:
		return rest
	}
	return min(rest, lossyPollWait)
}

// slack returns how long the answer to the next poll may take in addition to the wait, by the usual
// wait for an answer. It doubles with each poll without an answer, as hosts may have become slow.
func (s *shortPolls) slack(usual time.Duration) time.Duration {
	if s.whole {
		return pollSlack
	}
	return min(usual<<s.silent, pollSlack)
}

// answeredPart records an answer. If the polls before it got none, answers are lost.
func (c *Caller) answeredPart(s *shortPolls) {
	if s.silent > 0 {
		c.recordLoss()
	}
	s.silent = 0
}

// failure returns the error of a sequence. It excludes an effect only if none of its polls may have
// reached the host.
func (s *shortPolls) failure(err error) error {
	if s.lost && errors.Is(err, host.ErrNotSent) && !errors.Is(err, host.ErrConnectionRefused) {
		return host.ErrLost
	}
	return err
}

// reconnect makes the next call to a host use a new connection, as the open ones may have become
// silent.
func (c *Caller) reconnect(to host.Info) {
	if r, ok := c.hosts.(Reconnecter); ok {
		r.ReconnectTo(to.Addr)
	}
}
