package memstore

import (
	"context"
	"fmt"
	"time"

	"pulleyquay/internal/platform"
)

var _ platform.Poller = (*Client)(nil)

// Get implements platform.Poller.
func (c *Client) Get(ctx context.Context, key string) (platform.Record, bool, error) {
	type found struct {
		record platform.Record
		ok     bool
	}
	f, err := send(ctx, c, false, func() (found, error) {
		c.engine.mu.Lock()
		defer c.engine.mu.Unlock()
		r, ok := c.engine.get(key)
		return found{r.Record, ok}, nil
	})
	return f.record, f.ok, err
}

// ListStale implements platform.Poller; it is as current as List.
func (c *Client) ListStale(ctx context.Context, prefix string) ([]platform.Record, platform.Revision, error) {
	return c.List(ctx, prefix)
}

// Changes implements platform.Poller.
func (c *Client) Changes(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) (platform.Batch, error) {
	if err := ctx.Err(); err != nil {
		return platform.Batch{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	w := c.engine.addWatcher(prefix)
	defer c.engine.removeWatcher(w)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		faultsChange := c.faultChange()
		f := c.active()
		if f.Refuse || f.BreakWatches {
			return platform.Batch{}, platform.ErrUnavailable
		}
		if !f.Hang {
			batch, err := c.engine.since(prefix, after)
			if err != nil || len(batch.Changes) > 0 {
				return batch, err
			}
		}
		select {
		case <-w.notify:
		case <-faultsChange:
		case <-timer.C:
			if !c.active().Hang {
				return c.engine.since(prefix, after)
			}
		case <-ctx.Done():
			return platform.Batch{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
		}
	}
}
