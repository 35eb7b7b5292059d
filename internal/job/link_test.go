package job

import (
	"context"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
)

// peerFault makes matching peer calls fail.
type peerFault struct {
	from, to   string // empty matches any
	kind       peer.Kind
	times      int  // remaining calls that fail; negative: all
	after      bool // the call is made and its reply lost
	blockUntil chan struct{}
}

// addFault makes matching calls fail from now on.
func (c *cell) addFault(f *peerFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, f)
}

// clearFaults removes all faults of peer calls.
func (c *cell) clearFaults() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.faults {
		if f.blockUntil != nil {
			close(f.blockUntil)
		}
	}
	c.faults = nil
}

// matchFault returns the fault that applies to a call, or nil, and counts the call.
func (c *cell) matchFault(from, to string, kind peer.Kind) *peerFault {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[kind]++
	for _, f := range c.faults {
		if (f.from != "" && f.from != from) || (f.to != "" && f.to != to) || (f.kind != 0 && f.kind != kind) || f.times == 0 {
			continue
		}
		f.times--
		met := *f
		return &met
	}
	return nil
}

// peerLink makes the calls of one process to the others.
type peerLink struct {
	c    *cell
	from string
}

func (l peerLink) Call(ctx context.Context, addr string, kind peer.Kind, req, resp any) error {
	f := l.c.matchFault(l.from, addr, kind)
	if f != nil && f.blockUntil != nil {
		<-f.blockUntil
		f = nil
	}
	if f != nil && !f.after {
		return result.New(result.PeerNotReached, result.RanNo, "cut")
	}
	l.c.mu.Lock()
	mux := l.c.muxes[addr]
	l.c.mu.Unlock()
	if mux == nil {
		return result.New(result.PeerNotReached, result.RanNo, "no process at %s", addr)
	}
	if f != nil {
		var lost any
		_ = peer.Local{addr: mux}.Call(ctx, addr, kind, req, &lost)
		return result.New(result.PeerLost, result.RanUnknown, "the answer was lost")
	}
	return peer.Local{addr: mux}.Call(ctx, addr, kind, req, resp)
}
