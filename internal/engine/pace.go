package engine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/pacing"
	"pulleyquay/internal/spec"
)

// Backfill tasks use processor time that the other tasks of a host leave idle, and increase the response
// times of serving tasks on the same host. Each host that runs both has a throttle that decides at what
// share of their speed the backfill tasks run.

// throttleUnknown is the throttle of a run that a previous holder may have changed.
const throttleUnknown = -1

// sampleInterval is the polling interval of hosts with serving tasks and backfill tasks. Their measurements
// cover half a second.
const sampleInterval = 450 * time.Millisecond

// isServing reports whether the run is a serving task with a latency target.
func (r *run) isServing() bool { return r.group != nil && r.group.step.TailLatencyTargetMillis > 0 }

// isBackfill reports whether the run is a backfill task.
func (r *run) isBackfill() bool { return r.group != nil && r.group.step.Backfill }

// readyPercent is the percentage that a long-running task reports once it is ready.
const readyPercent = 100

// worstTailRatio returns the highest ratio of a serving task's tail latency to its target on the host;
// serving is false when no serving task is ready there.
func (h *hostState) worstTailRatio() (worst float64, serving bool) {
	for _, r := range h.runs {
		if r.isServing() && r.percent >= readyPercent {
			serving = true
			worst = max(worst, r.gauge/float64(r.group.step.TailLatencyTargetMillis))
		}
	}
	return worst, serving
}

// mixesBackfill reports whether the host runs both serving tasks and backfill tasks.
func (h *hostState) mixesBackfill() bool {
	serving, backfill := false, false
	for _, r := range h.runs {
		serving = serving || r.isServing()
		backfill = backfill || r.isBackfill()
	}
	return serving && backfill
}

// updateThrottle updates the throttle of a host with its measurements and adjusts the speed of its backfill
// tasks.
func (e *Engine) updateThrottle(h *hostState, now time.Time) {
	if h.throttle == nil {
		if !h.mixesBackfill() {
			return
		}
		h.throttle = pacing.NewThrottle(e.cfg.Tuning.Pacing, e.initialBackfillShare(h))
	}
	ratio, serving := h.worstTailRatio()
	changed := false
	if serving {
		changed = h.throttle.Observe(ratio, h.backfillCPUPercent(), now)
	} else if !h.mixesBackfill() {
		changed = h.throttle.LiftLimit(now)
	}
	if changed {
		e.recordOverloadShare(h)
		e.log(Event{What: "fillers paced", Host: string(h.info.ID),
			Why: fmt.Sprintf("to %d%% of its processors, tail latency at %.2f of its target", h.throttle.Share(), ratio), Age: now.Sub(h.viewProducedAt)})
	}
	e.scheduleThrottling(h)
}

// scheduleThrottling schedules an update of the throttle of the host's backfill tasks.
func (e *Engine) scheduleThrottling(h *hostState) { e.throttlesOutdated[h] = struct{}{} }

// backfillCPUPercent returns the share of the host's processors that its backfill tasks may use at their
// current throttles, in percent.
func (h *hostState) backfillCPUPercent() int {
	sum := int64(0)
	for _, r := range h.runs {
		if r.isBackfill() && r.state == runRunning {
			sum += r.group.step.Size.MilliCPU * int64(max(r.throttle, 0))
		}
	}
	return int(sum / max(h.info.Size.MilliCPU, 1))
}

// backfillByProgress returns the host's backfill tasks in the order in which they receive processor time:
// the furthest advanced first, so that some complete instead of all running slowly.
func (h *hostState) backfillByProgress() []*run {
	var out []*run
	for _, r := range h.runs {
		if r.isBackfill() && !r.stopRequested {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *run) int {
		return cmp.Or(-cmp.Compare(a.percent, b.percent), a.orderedAt.Compare(b.orderedAt), cmp.Compare(a.Task.String(), b.Task.String()))
	})
	return out
}

// planThrottling issues orders for the throttles that differ from the intended ones.
func (e *Engine) planThrottling(now time.Time) {
	if !now.Before(e.authorityUntil) {
		return
	}
	for h := range e.throttlesOutdated {
		delete(e.throttlesOutdated, h)
		if h.terminated || !h.claimed {
			continue
		}
		e.throttleBackfill(h)
	}
}

// throttleBackfill distributes the backfill share of a host's processors among its backfill tasks, in
// the order of backfillByProgress.
func (e *Engine) throttleBackfill(h *hostState) {
	budget := int64(spec.Unbounded) * pacing.Full
	if h.throttle != nil && h.throttle.Share() < pacing.Full {
		budget = h.info.Size.MilliCPU * int64(h.throttle.Share())
	}
	for _, r := range h.backfillByProgress() {
		size := max(r.group.step.Size.MilliCPU, 1)
		percent := min(budget/size, pacing.Full)
		budget -= percent * size
		if r.throttleInFlight || r.throttle == int(percent) || r.state != runRunning {
			continue
		}
		r.throttleInFlight = true
		e.out.Throttles = append(e.out.Throttles, ThrottleOrder{To: h.info, Generation: h.generation, Run: r.Run, Percent: int(percent)})
	}
}

// HandleThrottleResult handles the result of a throttle order.
func (e *Engine) HandleThrottleResult(o ThrottleOrder, reply host.Reply, err error, now time.Time) {
	e.now = now
	h := e.hosts[o.To.ID]
	if h == nil {
		return
	}
	r := h.runs[o.Run]
	if r != nil {
		r.throttleInFlight = false
	}
	if err != nil {
		h.recordFailedCall(err, now)
		if r != nil {
			r.throttle = throttleUnknown // the order may have been carried out
		}
		e.scheduleThrottling(h) // without waiting for the next measurements half a second later
		return
	}
	if h.isOutdated(o.Generation) {
		if r != nil {
			r.throttle = throttleUnknown
		}
		e.scheduleThrottling(h)
		return
	}
	e.recordReply(h, reply.Clock, now)
	switch {
	case reply.Refused == host.RefusedFenced:
		e.fencedBy(h)
	case r != nil && reply.Refused == "":
		r.throttle = o.Percent
		r.progressAt = now // lack of progress while throttled does not count as a stall
		e.scheduleThrottling(h)
	}
}

// recordOverloadShare records the share at which the images of a host's backfill tasks overloaded it.
func (e *Engine) recordOverloadShare(h *hostState) {
	for _, r := range h.runs {
		if r.isBackfill() {
			e.backfillOverloadShare[r.group.step.Image] = h.throttle.ExcessiveShare()
		}
	}
}

// initialBackfillShare returns the share with which the host's backfill tasks start beside serving tasks,
// derived from the behaviour of their images on other hosts.
func (e *Engine) initialBackfillShare(h *hostState) int {
	share := pacing.Full
	for _, r := range h.runs {
		if !r.isBackfill() {
			continue
		}
		if overload, known := e.backfillOverloadShare[r.group.step.Image]; known {
			share = min(share, int(e.cfg.Tuning.Pacing.SafeFraction*float64(overload)))
		}
	}
	return share
}
