package engine

import (
	"time"

	"pulleyquay/internal/host"
)

// Paced takes in the outcome of a pace order.
func (e *Engine) Paced(o PaceOrder, reply host.Reply, err error, now time.Time) {
	h := e.hosts[o.To.ID]
	if h == nil {
		return
	}
	if err != nil {
		h.unanswered(now)
		return
	}
	h.heardClock(reply.Clock, now)
	if r := h.runs[o.Run]; r != nil && reply.Refused == "" {
		r.pace = o.Percent
	}
}
