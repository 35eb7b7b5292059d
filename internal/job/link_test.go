package job

import (
	"context"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
)

// peerFault makes matching calls fail.
type peerFault struct {
	from, to string // empty matches any
	kind     peer.Kind
	times    int  // how many calls still fail; negative: all
	after    bool // the call is made and its answer lost
	hold     chan struct{}
}

// addFault makes calls fail from now on.
func (c *cell) addFault(f *peerFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, f)
}

// clearFaults ends all faults of peer calls.
func (c *cell) clearFaults() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.faults {
		if f.hold != nil {
			close(f.hold)
		}
	}
	c.faults = nil
}

// matchFault returns the fault that a call meets, if any, and counts it.
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

// peerLink is one process's way to the others.
type peerLink struct {
	c    *cell
	from string
}

func (l peerLink) Call(ctx context.Context, addr string, kind peer.Kind, req, resp any) error {
	f := l.c.matchFault(l.from, addr, kind)
	if f != nil && f.hold != nil {
		<-f.hold
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
