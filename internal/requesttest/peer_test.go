package requesttest_test

import (
	"context"
	"reflect"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
)

// faultyPeers is a peer.Caller whose links can be disconnected by the cell.
type faultyPeers struct {
	cell  *cell
	local peer.Local
}

func (c *cell) caller(local peer.Local) peer.Caller { return faultyPeers{cell: c, local: local} }

// setDisconnected makes a placer unreachable and fails its calls in progress, or makes it
// reachable again.
func (c *cell) setDisconnected(name string, disconnected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.link(name):
		if !disconnected {
			delete(c.disconnected, name)
		}
	default:
		if disconnected {
			close(c.disconnected[name])
		}
	}
}

// link returns the channel that is closed while the placer is disconnected. The caller holds the
// lock.
func (c *cell) link(name string) chan struct{} {
	if c.disconnected[name] == nil {
		c.disconnected[name] = make(chan struct{})
	}
	return c.disconnected[name]
}

// Call implements peer.Caller. Like a real link it returns when ctx ends or the link breaks, even
// if the handler has not returned; the handler's ctx ends too.
func (f faultyPeers) Call(ctx context.Context, addr string, kind peer.Kind, req, resp any) error {
	f.cell.mu.Lock()
	broken := f.cell.link(addr)
	f.cell.mu.Unlock()
	select {
	case <-broken:
		return result.New(result.PeerNotReached, result.RanNo, "disconnected")
	default:
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	fresh := reflect.New(reflect.TypeOf(resp).Elem()) // a late reply must not modify resp
	go func() { done <- f.local.Call(ctx, addr, kind, req, fresh.Interface()) }()
	select {
	case err := <-done:
		reflect.ValueOf(resp).Elem().Set(fresh.Elem())
		return err
	case <-broken:
		return result.New(result.PeerLost, result.RanUnknown, "disconnected")
	case <-ctx.Done():
		return result.New(result.PeerLost, result.RanUnknown, "%v", ctx.Err())
	}
}
