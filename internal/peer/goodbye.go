package peer

import "context"

// depart stops requests on the link and tells the other side so. The answer is
// written after the last request, so whoever reads it has read them all.
func (l *link) depart() {
	if l.onGoodbye != nil {
		l.onGoodbye()
	}
	_ = l.write(l.ctx, 0, frame{Type: frameGoodbyeAnswer}) // a broken link needs no answer
}

// drain says goodbye and waits until no more requests will come and those that
// came are answered, or until ctx or the link ends.
func (l *link) drain(ctx context.Context) {
	l.saidGoodbye.Store(true)
	if l.write(ctx, 0, frame{Type: frameGoodbye}) != nil {
		return
	}
	select {
	case <-l.goodbye:
	case <-ctx.Done():
		return
	case <-l.ctx.Done():
		return
	}
	for range cap(l.inbound) { // all slots free: every request is answered
		select {
		case l.inbound <- struct{}{}:
		case <-ctx.Done():
			return
		case <-l.ctx.Done():
			return
		}
	}
}
