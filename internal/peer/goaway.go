package peer

import "context"

// handleGoAway stops requests on the link and acknowledges the go-away frame. The
// acknowledgement is written after the last request, so its reader has received every request.
func (l *link) handleGoAway() {
	if l.onGoAway != nil {
		l.onGoAway()
	}
	_ = l.write(l.ctx, 0, frame{Type: frameGoAwayAck}) // a broken link needs no acknowledgement
}

// drain sends a go-away frame and waits until it is acknowledged and every received
// request has a response, or until ctx or the link ends.
func (l *link) drain(ctx context.Context) {
	l.awaitingGoAwayAck.Store(true)
	if l.write(ctx, 0, frame{Type: frameGoAway}) != nil {
		return
	}
	select {
	case <-l.goAwayAcked:
	case <-ctx.Done():
		return
	case <-l.ctx.Done():
		return
	}
	for range cap(l.requestSlots) { // all slots free: every request has a response
		select {
		case l.requestSlots <- struct{}{}:
		case <-ctx.Done():
			return
		case <-l.ctx.Done():
			return
		}
	}
}
