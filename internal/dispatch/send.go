package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/executor"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/requestmsg"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
)

// TimeoutHeader carries a deadline in milliseconds from now: from callers to entries, and the
// remaining time to executors.
const TimeoutHeader = "Request-Timeout-Ms"

// maxAttempts bounds the attempts of one request, whether or not it is idempotent.
const maxAttempts = 3

// Do sends a request to an executor and returns its answer or a *result.Error. While the request is
// queued, the end of ctx cancels it. Once it has been sent, Do ignores ctx and returns when the
// executor has answered or failed, or when the service's longest deadline is over: the answer is
// then available to the caller's retry.
func (d *Dispatcher) Do(ctx context.Context, w Work) (executor.Answer, error) {
	values, ok := d.cfg.Settings(w.Service)
	if !ok {
		return executor.Answer{}, result.New(result.UnknownService, result.RanNo, "service %q", w.Service)
	}
	d.mu.Lock()
	p := d.pool(w.Service, values)
	d.mu.Unlock()
	p.budget.Deposit(values.Request.RetryBudgetPercent)
	return d.attempts(ctx, p, w, values)
}

// attempts sends a request, and repeats it while that is allowed.
func (d *Dispatcher) attempts(ctx context.Context, p *pool, w Work, values settings.Values) (executor.Answer, error) {
	ran := result.RanNo
	var requeued *queuedRequest
	for attempt := 1; ; attempt++ {
		g, it, err := d.acquire(ctx, p, w, requeued)
		if err != nil {
			return executor.Answer{}, weakenRan(err, ran)
		}
		if w.BeforeSend != nil && !w.BeforeSend() {
			d.returnGrant(p, g)
			return executor.Answer{}, weakenRan(callerDisconnectedError(), ran)
		}
		answer, err := d.send(p, g, w, values)
		if err == nil {
			return answer, nil
		}
		if err.Ran != result.RanNo {
			ran = result.RanUnknown
		} else if ran == result.RanNo && w.NotSent != nil {
			w.NotSent()
		}
		requeued = it
		if !d.retryAllowed(ctx, p, w, err, attempt) {
			return executor.Answer{}, weakenRan(err, ran)
		}
	}
}

// weakenRan replaces the error's Ran where an earlier attempt may have run, so that it no longer
// states that nothing ran.
func weakenRan(err *result.Error, ran result.Ran) *result.Error {
	if ran == result.RanNo || err.Ran == result.RanYes {
		return err
	}
	weaker := *err
	weaker.Ran = ran
	return &weaker
}

// retryAllowed decides whether to make another attempt, and sleeps the backoff before it.
func (d *Dispatcher) retryAllowed(ctx context.Context, p *pool, w Work, err *result.Error, attempt int) bool {
	if err.Code == result.NoFreeSlot {
		return ctx.Err() == nil // only the hint of free slots was wrong
	}
	if attempt >= maxAttempts || (err.Ran != result.RanNo && !w.Idempotent) {
		return false
	}
	return p.budget.TryWithdraw() && sleepBackoff(ctx, attempt)
}

// send sends the request to the grant's endpoint or holder.
func (d *Dispatcher) send(p *pool, g grant, w Work, values settings.Values) (executor.Answer, *result.Error) {
	if g.remote != nil {
		return d.forward(p, g.remote, w, values)
	}
	return d.call(p, g, w, values)
}

// call sends the request to an executor held here and frees its slot when the executor has
// certainly ended the work.
func (d *Dispatcher) call(p *pool, g grant, w Work, values settings.Values) (executor.Answer, *result.Error) {
	e, host := g.endpoint, g.host
	ctx, cancel := context.WithTimeout(context.Background(), maxDeadline(values))
	defer cancel()
	req := withTimeout(w)
	if _, err := d.cfg.Authorizer.Check(e.partition); err != nil {
		d.blockEndpoint(p, e)
		return executor.Answer{}, result.New(result.NoFreeSlot, result.RanNo, "%v", err)
	}
	start := time.Now()
	overdueTimer := time.AfterFunc(overdueAfter(w, values), func() { d.recordOverdue(p, e, host) })
	answer, err := d.cfg.Client.Do(ctx, host.Addr, req, values.Request.MaxAnswerBytes)
	timeoutCharged := !overdueTimer.Stop()
	d.record(p, e, host, outcome{answer: answer, err: err, took: time.Since(start), timeoutCharged: timeoutCharged})
	if err == nil {
		d.release(p, e)
		return answer, nil
	}
	var failure *executor.Failure
	if errors.As(err, &failure) && !failure.Sent {
		d.release(p, e)
		return executor.Answer{}, result.New(result.ExecutorNotReached, result.RanNo, "%s: %v", host.Name, failure.Err)
	}
	time.AfterFunc(time.Until(w.Deadline), func() { d.release(p, e) })
	if errors.Is(err, executor.ErrAnswerTooLarge) {
		return executor.Answer{}, result.New(result.AnswerTooLarge, result.RanYes, "over %d bytes", values.Request.MaxAnswerBytes)
	}
	if ctx.Err() != nil {
		return executor.Answer{}, result.New(result.DeadlineRunning, result.RanUnknown, "%s did not answer", host.Name)
	}
	return executor.Answer{}, result.New(result.ExecutorLost, result.RanUnknown, "%s: %v", host.Name, err)
}

// blockEndpoint excludes an endpoint until the next refresh, and frees its slot.
func (d *Dispatcher) blockEndpoint(p *pool, e *endpoint) {
	d.mu.Lock()
	e.authorityLost = true
	d.mu.Unlock()
	d.release(p, e)
}

// outcome is the result of sending a request to an executor.
type outcome struct {
	answer executor.Answer
	err    error
	took   time.Duration
	// timeoutCharged is set when the executor was already charged with a failure for not answering
	// in time.
	timeoutCharged bool
}

// record updates metrics, health and service time from a request's outcome at a host.
func (d *Dispatcher) record(p *pool, e *endpoint, host *platform.Host, o outcome) {
	d.metrics.dispatched.WithLabelValues(p.service, outcomeLabel(o.err)).Inc()
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.addrChanged(host) {
		return
	}
	if o.answer.Leaving && !e.leavingSignalled {
		e.leavingSignalled = true
		d.cfg.Log.WithField("executor", e.host.Name).Info("executor signals that it is leaving")
	}
	switch {
	case errors.Is(o.err, executor.ErrAnswerTooLarge):
		return // caused by the request, not by the executor
	case o.failed() && o.timeoutCharged:
		return // a request is charged once
	case o.err != nil:
		d.recordFailure(p, e, faultNoAnswer)
		return
	case o.failed():
		d.recordFailure(p, e, faultStatus)
		return
	}
	if e.health.recordSuccess(o.took) {
		p.updateHealthyCount()
		d.cfg.Log.WithField("executor", e.host.Name).Info("executor recovered; no longer ejected")
	}
	p.recordServiceTime(o.took)
}

// failed reports whether the executor is charged with the outcome.
func (o *outcome) failed() bool {
	return o.err != nil || o.answer.Status >= http.StatusInternalServerError
}

// recordFailure counts a failure against an endpoint. The caller holds the lock.
func (d *Dispatcher) recordFailure(p *pool, e *endpoint, f fault) {
	if e.health.recordFailure(time.Now(), f, p.meanFailureRateExcept(e)) {
		p.updateHealthyCount()
		d.metrics.ejections.WithLabelValues(p.service).Inc()
		d.cfg.Log.WithFields(logrus.Fields{"executor": e.host.Name, "until": e.health.ejectedUntil}).
			Warn("executor ejected for failures")
	}
}

// overdueAfter is how long an executor may take before the request counts as a failure: to the
// request's deadline, but no less than the service's default one, as callers with short deadlines
// would make healthy executors appear faulty.
func overdueAfter(w Work, values settings.Values) time.Duration {
	usual := time.Duration(values.Request.DefaultDeadlineMS) * time.Millisecond
	return max(time.Until(w.Deadline), usual)
}

// recordOverdue counts a request without an answer as a failure, while the executor may still
// answer.
func (d *Dispatcher) recordOverdue(p *pool, e *endpoint, host *platform.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !e.addrChanged(host) {
		d.recordFailure(p, e, faultNoAnswer)
	}
}

// forwardMargin is how much longer a process waits for another holder than that holder waits for
// its executor, so that the holder's answer arrives first.
const forwardMargin = 500 * time.Millisecond

// forward asks another holder to dispatch the request.
func (d *Dispatcher) forward(p *pool, r *remote, w Work, values settings.Values) (executor.Answer, *result.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxDeadline(values)+forwardMargin)
	defer cancel()
	msg := requestmsg.Dispatch{Service: w.Service, Timeout: time.Until(w.Deadline), Request: w.Request}
	var reply requestmsg.DispatchReply
	start := time.Now()
	err := d.cfg.Peers.Call(ctx, r.reported.Addr, peer.KindDispatch, msg, &reply)
	if err == nil {
		d.recordForward(p, r, reply.Free, time.Since(start))
		return reply.Answer, nil
	}
	d.setRemoteFree(p, r, 0)
	e := result.From(err)
	switch e.Code {
	case result.PeerNotReached:
		return executor.Answer{}, result.New(result.NoFreeSlot, result.RanNo, "%s: %s", r.reported.Name, e.Detail)
	case result.PeerLost:
		return executor.Answer{}, result.New(result.ExecutorLost, result.RanUnknown, "%s: %s", r.reported.Name, e.Detail)
	}
	return executor.Answer{}, e
}

// ServeDispatch handles peer.KindDispatch.
func (d *Dispatcher) ServeDispatch(_ context.Context, msg requestmsg.Dispatch) (requestmsg.DispatchReply, error) {
	values, ok := d.cfg.Settings(msg.Service)
	if !ok {
		return requestmsg.DispatchReply{}, result.New(result.UnknownService, result.RanNo, "service %q", msg.Service)
	}
	now := time.Now()
	p, g, ok := d.tryAcquireLocal(msg.Service, values, now)
	if !ok {
		return requestmsg.DispatchReply{}, result.New(result.NoFreeSlot, result.RanNo, "no free slot for %s", msg.Service)
	}
	w := Work{Service: msg.Service, Deadline: now.Add(msg.Timeout), Request: msg.Request}
	answer, err := d.call(p, g, w, values)
	if err != nil {
		return requestmsg.DispatchReply{}, err
	}
	return requestmsg.DispatchReply{Answer: answer, Free: d.countFreeSlots(p)}, nil
}

// tryAcquireLocal takes a free slot of an executor held here, unless requests are queued.
func (d *Dispatcher) tryAcquireLocal(service string, values settings.Values, now time.Time) (*pool, grant, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pool(service, values)
	if p.queue.Len() > 0 {
		return p, grant{}, false
	}
	e := d.pick(p, now)
	if e == nil {
		return p, grant{}, false
	}
	return p, e.acquireSlot(), true
}

// withTimeout returns the request with the remaining time until its deadline in its header.
func withTimeout(w Work) executor.Request {
	req := w.Request
	header := make(http.Header, len(req.Header)+1)
	for name, values := range req.Header {
		header[name] = values
	}
	header.Set(TimeoutHeader, strconv.FormatInt(max(time.Until(w.Deadline).Milliseconds(), 1), 10))
	req.Header = header
	return req
}

func maxDeadline(v settings.Values) time.Duration {
	return time.Duration(v.Request.MaxDeadlineMS) * time.Millisecond
}
