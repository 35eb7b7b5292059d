package memstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pulleyquay/internal/platform"
)

// Client is one process's connection to the engine. It implements platform.Store.
type Client struct {
	engine        *Engine
	name          string
	faults        Faults
	faultsChanged chan struct{}
}

// errConnectionLost is the cause of calls whose connection broke.
var errConnectionLost = errors.New("connection broke")

// Client returns the client with the given name, and creates it at its first use.
func (e *Engine) Client(name string) *Client {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.clients[name]
	if !ok {
		c = &Client{engine: e, name: name, faultsChanged: make(chan struct{})}
		e.clients[name] = c
	}
	return c
}

// Clients returns the faults of every client by name.
func (e *Engine) Clients() map[string]Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]Faults, len(e.clients))
	for name, c := range e.clients {
		out[name] = c.faults
	}
	return out
}

// listing is the result of List.
type listing struct {
	records  []platform.Record
	revision platform.Revision
}

// List implements platform.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]platform.Record, platform.Revision, error) {
	l, err := send(ctx, c, false, func() (listing, error) {
		records, revision := c.engine.list(prefix, c.active().StaleReads)
		return listing{records, revision}, nil
	})
	return l.records, l.revision, err
}

// Commit implements platform.Store.
func (c *Client) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	return send(ctx, c, true, func() (platform.TxnReply, error) { return c.engine.commit(txn) })
}

// Grant implements platform.Store.
func (c *Client) Grant(ctx context.Context, ttlSeconds int64) (platform.LeaseID, error) {
	return send(ctx, c, true, func() (platform.LeaseID, error) { return c.engine.grant(ttlSeconds), nil })
}

// KeepAlive implements platform.Store.
func (c *Client) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	_, err := send(ctx, c, true, func() (struct{}, error) { return struct{}{}, c.engine.keepAlive(id) })
	return err
}

// Revoke implements platform.Store.
func (c *Client) Revoke(ctx context.Context, id platform.LeaseID) error {
	_, err := send(ctx, c, true, func() (struct{}, error) { return struct{}{}, c.engine.revoke(id) })
	return err
}

// outcome is the result of a call.
type outcome[T any] struct {
	value T
	err   error
}

// send makes one call to the engine, subject to the active faults. A request in flight still arrives
// after its caller has cancelled.
func send[T any](ctx context.Context, c *Client, write bool, apply func() (T, error)) (T, error) {
	var zero T
	if err := ctx.Err(); err != nil {
		return zero, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	if c.active().Refuse {
		return zero, platform.ErrUnavailable
	}
	replies := make(chan outcome[T], 1)
	after(c.active().RequestDelayMS, func() { deliverRequest(c, write, apply, replies) })
	select {
	case o := <-replies:
		return o.value, o.err
	case <-ctx.Done():
		return zero, noReply(write, context.Cause(ctx))
	}
}

// deliverRequest applies a request and sends its reply, unless a fault drops either.
func deliverRequest[T any](c *Client, write bool, apply func() (T, error), replies chan<- outcome[T]) {
	f := c.active()
	switch {
	case f.Hang:
		return
	case f.Refuse, write && c.loseRequest():
		replies <- outcome[T]{err: noReply(write, errConnectionLost)}
		return
	}
	value, err := apply()
	if write && c.loseReply() {
		replies <- outcome[T]{err: noReply(write, errConnectionLost)}
		return
	}
	after(f.AnswerDelayMS, func() { replies <- outcome[T]{value, err} })
}

// after runs fn at once, or after the delay in milliseconds if it is positive.
func after(delayMS int64, fn func()) {
	if delayMS <= 0 {
		fn()
		return
	}
	time.AfterFunc(millis(delayMS), fn)
}

// noReply returns the error of a call that was sent and got no reply. A read has no effect, with or
// without a reply.
func noReply(write bool, cause error) error {
	if write {
		return fmt.Errorf("%w: %w", platform.ErrUnknownOutcome, cause)
	}
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, cause)
}

// Watch implements platform.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after platform.Revision, fn func(platform.Batch)) error {
	w := c.engine.addWatcher(prefix)
	defer c.engine.removeWatcher(w)
	for {
		faultsChange := c.faultChange()
		delivered, err := c.deliver(ctx, prefix, after, fn)
		if err != nil {
			return err
		}
		after = delivered
		select {
		case <-w.notify:
		case <-faultsChange:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// deliver passes the changes after a revision to fn and returns the revision up to which all changes
// have been delivered.
func (c *Client) deliver(ctx context.Context, prefix string, after platform.Revision, fn func(platform.Batch)) (platform.Revision, error) {
	f := c.active()
	switch {
	case f.Refuse, f.BreakWatches:
		return after, platform.ErrUnavailable
	case f.Hang:
		return after, nil
	}
	batch, err := c.engine.since(prefix, after)
	if err != nil || len(batch.Changes) == 0 {
		return max(after, batch.Revision), err
	}
	if err := pause(ctx, f.WatchDelayMS); err != nil {
		return after, err
	}
	if now := c.active(); now.Refuse || now.BreakWatches || now.Hang {
		return after, nil // not delivered; the change of the faults wakes the watch
	}
	fn(batch)
	return batch.Revision, nil
}

// pause waits for the delay in milliseconds or until ctx ends.
func pause(ctx context.Context, delayMS int64) error {
	if delayMS <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(millis(delayMS))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
