package requesttest_test

import (
	"context"
	"reflect"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
)

// faultyPeers is a peer.Caller with cuts set by the cell.
type faultyPeers struct {
	cell  *cell
	local peer.Local
}

func (c *cell) caller(local peer.Local) peer.Caller { return faultyPeers{cell: c, local: local} }

// cutOff makes a placer unreachable and breaks its calls under way, or makes
// it reachable again.
func (c *cell) cutOff(name string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.link(name):
		if !cut {
			delete(c.cut, name)
		}
	default:
		if cut {
			close(c.cut[name])
		}
	}
}

// link returns the channel that is closed when the placer is cut off. The
// caller holds the lock.
func (c *cell) link(name string) chan struct{} {
	if c.cut[name] == nil {
		c.cut[name] = make(chan struct{})
	}
	return c.cut[name]
}

// Call implements peer.Caller. Like a real link it returns when ctx ends or
// the link breaks, whatever the handler does; the handler's ctx ends too.
func (f faultyPeers) Call(ctx context.Context, addr string, kind peer.Kind, req, resp any) error {
	f.cell.mu.Lock()
	broken := f.cell.link(addr)
	f.cell.mu.Unlock()
	select {
	case <-broken:
		return result.New(result.PeerNotReached, result.RanNo, "cut")
	default:
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	fresh := reflect.New(reflect.TypeOf(resp).Elem()) // a late answer must not touch resp
	go func() { done <- f.local.Call(ctx, addr, kind, req, fresh.Interface()) }()
	select {
	case err := <-done:
		reflect.ValueOf(resp).Elem().Set(fresh.Elem())
		return err
	case <-broken:
		return result.New(result.PeerLost, result.RanUnknown, "cut")
	case <-ctx.Done():
		return result.New(result.PeerLost, result.RanUnknown, "%v", ctx.Err())
	}
}
