package etcdhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"pulleyquay/internal/platform"
)

// maxRefusal bounds the body of a refused watch, in bytes.
const maxRefusal = 64 << 10

// Watch implements platform.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after platform.Revision, fn func(platform.Batch)) error {
	key, end := span(prefix)
	create := WatchCreate{Key: key, RangeEnd: end, StartRevision: after + 1}
	body, err := json.Marshal(WatchRequest{Create: create})
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	err = c.tryEach(func(addr string) error {
		stream, err := c.open(ctx, addr, body)
		if err != nil {
			return err
		}
		defer stream.Close()
		return c.follow(stream, after, fn)
	})
	return ended(ctx, noEffect(err))
}

// open opens a watch's stream at one endpoint.
func (c *Client) open(ctx context.Context, addr string, body []byte) (io.ReadCloser, error) {
	request := c.request(addr, PathWatch).WithContext(ctx)
	request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	response, err := c.streams.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err) // the next endpoint may do
	}
	if response.StatusCode == http.StatusOK {
		return response.Body, nil
	}
	defer response.Body.Close()
	reason, err := io.ReadAll(io.LimitReader(response.Body, maxRefusal))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSent, err)
	}
	return nil, refusal(response.StatusCode, reason)
}

// follow hands over the changes of a stream until it ends.
func (c *Client) follow(stream io.Reader, after platform.Revision, fn func(platform.Batch)) error {
	decoder := json.NewDecoder(stream)
	for {
		var m WatchMessage
		if err := decoder.Decode(&m); err != nil {
			return broken(err)
		}
		if err := m.failure(); err != nil {
			return err
		}
		if err := c.checkHeader(m.Result.Header); err != nil {
			return err
		}
		batch, err := m.batch(after)
		if err != nil {
			return err
		}
		if len(batch.Changes) > 0 {
			after = batch.Revision
			fn(batch)
		}
	}
}

// noEffect is the error of a failed read. It had no effect, sent or not. The
// call's own time limit counts as the caller's.
func noEffect(err error) error {
	for _, ended := range []error{context.Canceled, context.DeadlineExceeded} {
		if errors.Is(err, ended) {
			return fmt.Errorf("%w: %w", platform.ErrUnavailable, ended)
		}
	}
	if errors.Is(err, platform.ErrUnknownOutcome) {
		return fmt.Errorf("%w: read failed: %v", platform.ErrUnavailable, err)
	}
	return err
}

// ended prefers the end of ctx to the failure that it brought about.
func ended(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// broken is the error of a watch whose stream ended.
func broken(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("%w: watch broke: %w", errSent, err)
}

// failure is the error for which a message ends the watch, or nil.
func (m WatchMessage) failure() error {
	switch {
	case m.Error != nil:
		return noEffect(m.Error.failure())
	case m.Result.Canceled && m.Result.CompactRevision > 0:
		return platform.ErrCompacted
	case m.Result.Canceled:
		return fmt.Errorf("%w: watch cancelled: %s", platform.ErrUnavailable, m.Result.CancelReason)
	default:
		return nil
	}
}

// batch returns the changes that a message carries, all of them after the given
// revision and in order. The header's revision may be ahead of what has been
// sent, so the last event's counts.
func (m WatchMessage) batch(after platform.Revision) (platform.Batch, error) {
	batch := platform.Batch{Revision: after}
	for _, e := range m.Result.Events {
		at := e.KV.ModRevision
		if len(e.KV.Key) == 0 || at <= after || at < batch.Revision {
			return batch, fmt.Errorf("%w: event of key %q at revision %d after %d", errSent, e.KV.Key, at, batch.Revision)
		}
		change := platform.Change{Record: e.KV.record()}
		if e.Type == EventDelete {
			change.Deleted = true
			change.Value = nil
		}
		batch.Changes = append(batch.Changes, change)
		batch.Revision = at
	}
	return batch, nil
}
