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

// maxRefusalBytes is the maximum size of a refused watch's body.
const maxRefusalBytes = 64 << 10

// Watch implements platform.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after platform.Revision, fn func(platform.Batch)) error {
	key, end := keyRange(prefix)
	create := WatchCreate{Key: key, RangeEnd: end, StartRevision: after + 1}
	body, err := json.Marshal(WatchRequest{Create: create})
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	err = c.tryEndpoints(func(addr string) error {
		stream, err := c.open(ctx, addr, body)
		if err != nil {
			return err
		}
		defer stream.Close()
		return c.deliver(stream, after, fn)
	})
	return ended(ctx, noEffect(err))
}

// open opens the stream of a watch at one endpoint.
func (c *Client) open(ctx context.Context, addr string, body []byte) (io.ReadCloser, error) {
	request := c.request(addr, PathWatch).WithContext(ctx)
	request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	response, err := c.streams.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err) // a watch has no effect, so the next endpoint may be tried
	}
	if response.StatusCode == http.StatusOK {
		return response.Body, nil
	}
	defer response.Body.Close()
	reason, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSent, err)
	}
	return nil, refusal(response.StatusCode, reason)
}

// deliver passes the changes of a stream to fn until the stream ends.
func (c *Client) deliver(stream io.Reader, after platform.Revision, fn func(platform.Batch)) error {
	decoder := json.NewDecoder(stream)
	for {
		var m WatchMessage
		if err := decoder.Decode(&m); err != nil {
			return streamError(err)
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

// noEffect returns the error of a failed read, which has no effect whether it was sent or not. The
// call's own timeout is treated like the caller's.
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

// ended returns the error of ctx, if there is one, instead of the failure that it caused.
func ended(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// streamError returns the error of a watch whose stream ended.
func streamError(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("%w: watch broke: %w", errSent, err)
}

// failure returns the error with which a message ends the watch, or nil.
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

// batch returns the changes in a message, all of them after the given revision and in order. The
// batch's revision is that of the last event, as the header's may be ahead of the events sent.
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
