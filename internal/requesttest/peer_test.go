package requesttest_test

import (
	"context"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
)

// faultyPeers is a peer.Caller with cuts set by the cell.
type faultyPeers struct {
	cell  *cell
	local peer.Local
}

func (c *cell) caller(local peer.Local) peer.Caller { return faultyPeers{cell: c, local: local} }

// cutOff makes a placer unreachable, or reachable again.
func (c *cell) cutOff(name string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[name] = cut
}

func (c *cell) isCut(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[name]
}

// Call implements peer.Caller. Like a real link it returns when ctx ends,
// whatever the handler does.
func (f faultyPeers) Call(ctx context.Context, addr string, kind peer.Kind, req, resp any) error {
	if f.cell.isCut(addr) {
		return result.New(result.PeerNotReached, result.RanNo, "cut")
	}
	done := make(chan error, 1)
	go func() { done <- f.local.Call(ctx, addr, kind, req, resp) }()
	select {
	case err := <-done:
		if f.cell.isCut(addr) {
			return result.New(result.PeerLost, result.RanUnknown, "cut")
		}
		return err
	case <-ctx.Done():
		return result.New(result.PeerLost, result.RanUnknown, "%v", ctx.Err())
	}
}
