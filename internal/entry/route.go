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

// route sends the request to its home, and retries when the home changes.
func (h *Handler) route(ctx context.Context, msg requestmsg.Serve, deadline time.Time) (executor.Answer, *result.Error) {
	if msg.Key == uuid.Nil {
		return h.routeKeyless(ctx, msg, deadline)
	}
	return h.routeKeyed(ctx, msg, deadline)
}

// The entry retries while a home changes, which usually is a planned handover: with delays of up
// to minRetryDelay at first, doubled up to maxRetryDelay. A home that reports a move is retried
// for longer than one that does not reply, because a handover under load takes up to a second and
// normally succeeds.
const (
	keyedAttempts = 8
	movedAttempts = 24 // about two seconds
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
)

// routeKeyed sends the request to the key's home. Retries are always safe because a home
// dispatches a key once. An attempt through another entry may have run, so only the home may
// state that a key did not run.
func (h *Handler) routeKeyed(ctx context.Context, msg requestmsg.Serve, deadline time.Time) (executor.Answer, *result.Error) {
	delay := minRetryDelay
	for attempt := 1; ; attempt++ {
		answer, err := h.callHome(ctx, &msg, deadline)
		if err == nil || !isRetryable(err) {
			return answer, err
		}
		if attempt >= maxAttempts(err) || !wait.Jittered(ctx, delay) {
			return executor.Answer{}, err
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// maxAttempts returns the number of calls to a home that replies with err.
func maxAttempts(err *result.Error) int {
	if err.Code == result.HomeMoved {
		return movedAttempts
	}
	return keyedAttempts
}

// callHome sends the request to the key's current home.
func (h *Handler) callHome(ctx context.Context, msg *requestmsg.Serve, deadline time.Time) (executor.Answer, *result.Error) {
	table := h.cfg.View.Table()
	if table == nil || len(table.Partitions) == 0 {
		return executor.Answer{}, result.New(result.NotReady, result.RanUnknown, "no partitions known yet").WithRetryAfter(homeRetryDelay)
	}
	msg.Partition = partition.OfKey(msg.Key.String(), len(table.Partitions))
	home := findPartition(table, msg.Partition)
	if home == nil || home.Addr == "" || home.Holder == "" {
		return executor.Answer{}, result.New(result.HomeNotReached, result.RanUnknown,
			"partition %d has no holder", msg.Partition).WithRetryAfter(homeRetryDelay)
	}
	answer, err := h.send(ctx, home.Addr, *msg, deadline)
	if err == nil {
		return answer, nil
	}
	switch err.Code {
	case result.PeerNotReached:
		err = result.New(result.HomeNotReached, result.RanUnknown, "%s: %s", home.Holder, err.Detail).WithRetryAfter(homeRetryDelay)
	case result.PeerLost:
		err = lostError(ctx, home.Holder, err)
	default:
		err = withRan(err, ranByHome(err))
	}
	return executor.Answer{}, err
}

// withRan returns a copy because callers that joined one request share its error.
func withRan(err *result.Error, ran result.Ran) *result.Error {
	c := *err
	c.Ran = ran
	return &c
}

// ranByHome returns what the refusal states about the key. A refusal by the link or the process,
// which do not know the key, states nothing about earlier attempts.
func ranByHome(err *result.Error) result.Ran {
	if err.Ran == result.RanNo && (err.Code < result.UnknownService || err.Code > lastRequestCode) {
		return result.RanUnknown
	}
	return err.Ran
}

// lastRequestCode is the end of the range of codes that the home itself returns.
const lastRequestCode result.Code = 2999

// homeRetryDelay is the Retry-After for a request whose home is not available.
const homeRetryDelay = 2 * time.Second

// isRetryable reports whether a retry may reach the home. The key makes a retry safe even if the
// first attempt may have been dispatched.
func isRetryable(err *result.Error) bool {
	switch err.Code {
	case result.HomeMoved, result.HomeNotReached, result.HomeLost, result.NotReady:
		return true
	case result.UnknownService: // the entry knows the service: the home has no settings yet
		return true
	}
	return false
}

// maxPlacersTried is the maximum number of placers called for a request without a key.
const maxPlacersTried = 3

// routeKeyless calls the placer on the same host first, then others. A request that may have been
// dispatched is retried only if it is idempotent and the retry budget allows it.
func (h *Handler) routeKeyless(ctx context.Context, msg requestmsg.Serve, deadline time.Time) (executor.Answer, *result.Error) {
	ran := result.RanNo
	last := result.New(result.NotReady, result.RanNo, "no placer known yet").WithRetryAfter(homeRetryDelay)
	for i, m := range h.candidates() {
		if i == maxPlacersTried {
			break
		}
		answer, err := h.send(ctx, m.Addr, msg, deadline)
		if err == nil {
			return answer, nil
		}
		switch err.Code {
		case result.PeerNotReached:
			last = result.New(result.HomeNotReached, ran, "%s: %s", m.Name, err.Detail).WithRetryAfter(homeRetryDelay)
		case result.PeerLost:
			ran = result.RanUnknown
			last = lostError(ctx, m.Name, err)
			if !h.mayRepeat(ctx, &msg) {
				return executor.Answer{}, last
			}
		case result.NoExecutor: // this placer has no executor and no information on those of other placers yet
			if err.Ran != result.RanNo { // or no executor was left after an attempt that may have run
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

// mayRepeat reports whether a request that may have run may be sent again. It uses up one retry
// of the budget.
func (h *Handler) mayRepeat(ctx context.Context, msg *requestmsg.Serve) bool {
	return msg.Idempotent && ctx.Err() == nil && h.limiter.forService(msg.Service).budget.TryWithdraw()
}

// candidates returns the placers in the order of preference: the one on the same host, the same
// zone, other zones, and at last the leaving ones. The order within a group is random.
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

// responseMargin is the part of the deadline reserved for the home's reply: only the home can
// state that a request that waited until its deadline did not run.
const responseMargin = 10 * time.Millisecond

// send sends the request to one placer.
func (h *Handler) send(ctx context.Context, addr string, msg requestmsg.Serve, deadline time.Time) (executor.Answer, *result.Error) {
	remaining := time.Until(deadline)
	msg.Timeout = remaining - min(responseMargin, remaining/10)
	var answer executor.Answer
	if err := h.cfg.Peers.Call(ctx, addr, peer.KindServe, msg, &answer); err != nil {
		return executor.Answer{}, result.From(err)
	}
	return answer, nil
}

// lostError distinguishes a lost connection from the end of the caller's own wait.
func lostError(ctx context.Context, home string, err *result.Error) *result.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.New(result.DeadlineRunning, result.RanUnknown, "%s did not answer in time", home)
	case ctx.Err() != nil:
		return result.New(result.CallerDisconnected, result.RanUnknown, "the caller went away")
	}
	return result.New(result.HomeLost, result.RanUnknown, "%s: %s", home, err.Detail).WithRetryAfter(homeRetryDelay)
}

// findPartition returns the entry of a partition, or nil.
func findPartition(t *view.Table, id int) *view.Partition {
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
