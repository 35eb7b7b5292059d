package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"pulleyquay/internal/executor"
	"pulleyquay/internal/partition"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/requestmsg"
	"pulleyquay/internal/result"
	"pulleyquay/internal/view"
	"pulleyquay/internal/wait"
)

// route sends the request to its home and follows the home when it moves.
func (h *Handler) route(ctx context.Context, msg requestmsg.Serve, deadline time.Time) (executor.Answer, *result.Error) {
	if msg.Key == uuid.Nil {
		return h.routeAny(ctx, msg, deadline)
	}
	return h.routeKeyed(ctx, msg, deadline)
}

// The entry asks again while a home changes, in a planned hand-over for the
// most part: after pauses of up to firstPause, doubled up to longestPause.
// A home that is moving is asked for longer than one that does not answer: a
// hand-over under load takes up to a second, and it ends well.
const (
	keyedAttempts = 8
	movedAttempts = 24 // some two seconds
	firstPause    = 10 * time.Millisecond
	longestPause  = 200 * time.Millisecond
)

// routeKeyed asks the key's home. Asking again is safe at any time: a home
// dispatches a key once. What is refused here may have run by an attempt
// through another entry, so that only the home may say that it did not.
func (h *Handler) routeKeyed(ctx context.Context, msg requestmsg.Serve, deadline time.Time) (executor.Answer, *result.Error) {
	pause := firstPause
	for attempt := 1; ; attempt++ {
		answer, err := h.askHome(ctx, &msg, deadline)
		if err == nil || !homeChanges(err) {
			return answer, err
		}
		if attempt >= attemptsFor(err) || !wait.Jittered(ctx, pause) {
			return executor.Answer{}, err
		}
		pause = min(2*pause, longestPause)
	}
}

// attemptsFor is how often a home is asked that answers with err.
func attemptsFor(err *result.Error) int {
	if err.Code == result.HomeMoved {
		return movedAttempts
	}
	return keyedAttempts
}

// askHome sends the request to the key's present home.
func (h *Handler) askHome(ctx context.Context, msg *requestmsg.Serve, deadline time.Time) (executor.Answer, *result.Error) {
	table := h.cfg.View.Table()
	if table == nil || len(table.Partitions) == 0 {
		return executor.Answer{}, result.New(result.NotReady, result.RanUnknown, "no partitions known yet").Later(homeRetry)
	}
	msg.Partition = partition.OfKey(msg.Key.String(), len(table.Partitions))
	home := find(table, msg.Partition)
	if home == nil || home.Addr == "" || home.Holder == "" {
		return executor.Answer{}, result.New(result.HomeNotReached, result.RanUnknown,
			"partition %d has no holder", msg.Partition).Later(homeRetry)
	}
	answer, err := h.ask(ctx, home.Addr, *msg, deadline)
	if err == nil {
		return answer, nil
	}
	switch err.Code {
	case result.PeerNotReached:
		err = result.New(result.HomeNotReached, result.RanUnknown, "%s: %s", home.Holder, err.Detail).Later(homeRetry)
	case result.PeerLost:
		err = lostOrEnded(ctx, home.Holder, err)
	default:
		err = withRan(err, ranByHome(err))
	}
	return executor.Answer{}, err
}

// withRan returns a copy: callers that joined one request share its error.
func withRan(err *result.Error, ran result.Ran) *result.Error {
	c := *err
	c.Ran = ran
	return &c
}

// ranByHome is what a home's refusal says of a key. A refusal by the link or
// the process, which do not know the key, says nothing of earlier attempts.
func ranByHome(err *result.Error) result.Ran {
	if err.Ran == result.RanNo && (err.Code < result.UnknownService || err.Code > lastRequestCode) {
		return result.RanUnknown
	}
	return err.Ran
}

// lastRequestCode ends the range of the codes that a home itself gives.
const lastRequestCode result.Code = 2999

// homeRetry is when to come back to a request whose home is gone.
const homeRetry = 2 * time.Second

// homeChanges tells that asking again may find the home. The key makes it
// safe even where the first attempt may have been dispatched.
func homeChanges(err *result.Error) bool {
	switch err.Code {
	case result.HomeMoved, result.HomeNotReached, result.HomeLost, result.NotReady:
		return true
	case result.UnknownService: // known here: the home lacks settings yet
		return true
	}
	return false
}

// anyAttempts is how many placers are asked for a request without a key.
const anyAttempts = 3

// routeAny asks the own placer, then others. A request that may have been
// dispatched is asked again only when it is idempotent, within the budget.
func (h *Handler) routeAny(ctx context.Context, msg requestmsg.Serve, deadline time.Time) (executor.Answer, *result.Error) {
	ran := result.RanNo
	last := result.New(result.NotReady, result.RanNo, "no placer known yet").Later(homeRetry)
	for i, m := range h.candidates() {
		if i == anyAttempts {
			break
		}
		answer, err := h.ask(ctx, m.Addr, msg, deadline)
		if err == nil {
			return answer, nil
		}
		switch err.Code {
		case result.PeerNotReached:
			last = result.New(result.HomeNotReached, ran, "%s: %s", m.Name, err.Detail).Later(homeRetry)
		case result.PeerLost:
			ran = result.RanUnknown
			last = lostOrEnded(ctx, m.Name, err)
			if !h.mayRepeat(ctx, &msg) {
				return executor.Answer{}, last
			}
		case result.NoExecutor: // this placer holds none and has not heard of others' yet
			if err.Ran != result.RanNo { // or has none left after an attempt that may have run
				ran = result.RanUnknown
			}
			last = withRan(err, ran)
			if err.Ran != result.RanNo && !h.mayRepeat(ctx, &msg) {
				return executor.Answer{}, last
			}
		default:
			if err.Ran == result.RanNo {
				err = withRan(err, ran)
			}
			return executor.Answer{}, err
		}
	}
	return executor.Answer{}, last
}

// mayRepeat reports whether a request that may have run is asked again.
func (h *Handler) mayRepeat(ctx context.Context, msg *requestmsg.Serve) bool {
	return msg.Idempotent && ctx.Err() == nil && h.loads.of(msg.Service).budget.Spend()
}

// candidates are the placers to ask, the one on the own host first, then the
// own zone's, then others; leaving ones last.
func (h *Handler) candidates() []view.Member {
	table := h.cfg.View.Table()
	if table == nil {
		return nil
	}
	rank := func(m view.Member) int {
		switch {
		case m.Leaving:
			return 3
		case m.Addr == h.cfg.Placer:
			return 0
		case m.Zone == h.cfg.Zone:
			return 1
		}
		return 2
	}
	var groups [4][]view.Member
	for _, m := range table.Members {
		r := rank(m)
		groups[r] = append(groups[r], m)
	}
	out := make([]view.Member, 0, len(table.Members))
	for _, g := range groups {
		rand.Shuffle(len(g), func(i, j int) { g[i], g[j] = g[j], g[i] })
		out = append(out, g...)
	}
	return out
}

// answerMargin is kept from the deadline for the home's answer to come back:
// the home alone knows that a request which waited to its deadline did not run.
const answerMargin = 10 * time.Millisecond

// ask sends the request to one placer.
func (h *Handler) ask(ctx context.Context, addr string, msg requestmsg.Serve, deadline time.Time) (executor.Answer, *result.Error) {
	left := time.Until(deadline)
	msg.Timeout = left - min(answerMargin, left/10)
	var answer executor.Answer
	if err := h.cfg.Peers.Call(ctx, addr, peer.KindServe, msg, &answer); err != nil {
		return executor.Answer{}, result.From(err)
	}
	return answer, nil
}

// lostOrEnded tells a lost link from the end of the caller's own wait.
func lostOrEnded(ctx context.Context, home string, err *result.Error) *result.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.New(result.DeadlineRunning, result.RanUnknown, "%s did not answer in time", home)
	case ctx.Err() != nil:
		return result.New(result.CallerGone, result.RanUnknown, "the caller went away")
	}
	return result.New(result.HomeLost, result.RanUnknown, "%s: %s", home, err.Detail).Later(homeRetry)
}

// find returns the record of a partition.
func find(t *view.Table, id int) *view.Partition {
	if id < len(t.Partitions) && t.Partitions[id].ID == id {
		return &t.Partitions[id]
	}
	for i := range t.Partitions {
		if t.Partitions[i].ID == id {
			return &t.Partitions[i]
		}
	}
	return nil
}
