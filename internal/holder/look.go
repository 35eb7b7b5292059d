package holder

import (
	"context"
	"time"

	"pulleyquay/internal/engine"
	"pulleyquay/internal/host"
	"pulleyquay/internal/wait"
)

// Times of looks.
const (
	// lookSlack is how much longer than it may be held back an answer to a look is
	// waited for.
	lookSlack = 500 * time.Millisecond
	// relookShare is over how much time for each look under way looks are asked again: a
	// holder of thousands of hosts would be busy with that alone.
	relookShare = time.Millisecond
)

// look asks a host what it runs, and asks again over a new connection when those
// that are open may have fallen silent.
func (h *Holder) look(o engine.LookOrder) {
	underWay := time.Duration(h.looks.Add(1))
	defer h.looks.Add(-1)
	for {
		renewed := h.cfg.Health.Renewed()
		begun := time.Now()
		view, err := h.lookOnce(o, renewed)
		if err != nil && isClosed(renewed) && wait.Jittered(h.ctx, underWay*relookShare) {
			continue
		}
		h.cfg.Metrics.order("look", begun, outcome(host.Reply{}, err))
		h.do(func(e *engine.Engine, now time.Time) { e.Viewed(o, begun, view, err, now) })
		return
	}
}

// lookOnce asks once; the question is given up when giveUp is closed.
func (h *Holder) lookOnce(o engine.LookOrder, giveUp <-chan struct{}) (host.View, error) {
	ctx, cancel := context.WithTimeout(h.ctx, o.Look.Wait+lookSlack)
	defer cancel()
	go func() {
		select {
		case <-giveUp:
			cancel()
		case <-ctx.Done():
		}
	}()
	return h.cfg.Hosts.Look(ctx, o.To, h.epoch(), o.Look)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
