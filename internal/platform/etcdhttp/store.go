package etcdhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"pulleyquay/internal/platform"
)

// List implements platform.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]platform.Record, platform.Revision, error) {
	var reply RangeReply
	key, end := span(prefix)
	if err := c.call(ctx, PathRange, RangeRequest{Key: key, RangeEnd: end}, &reply); err != nil {
		return nil, 0, noEffect(err)
	}
	return records(reply.KVs), reply.Header.Revision, nil
}

// span returns the range of keys with the prefix. The service has no empty key;
// a zero byte is the first one.
func span(prefix string) (key, end []byte) {
	if prefix == "" {
		return []byte{0}, []byte{0}
	}
	return []byte(prefix), PrefixEnd([]byte(prefix))
}

// records turns the wire's records into the port's.
func records(kvs []KeyValue) []platform.Record {
	if len(kvs) == 0 {
		return nil
	}
	out := make([]platform.Record, 0, len(kvs))
	for _, kv := range kvs {
		out = append(out, kv.record())
	}
	return out
}

// record turns one wire record into the port's, whose value is never nil.
func (kv KeyValue) record() platform.Record {
	if kv.Value == nil {
		kv.Value = []byte{}
	}
	return platform.Record{Key: string(kv.Key), Value: kv.Value, ModRevision: kv.ModRevision}
}

// Commit implements platform.Store.
func (c *Client) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	var reply TxnReply
	if err := c.call(ctx, PathTxn, encodeTxn(txn), &reply); err != nil {
		return platform.TxnReply{}, err
	}
	out := platform.TxnReply{Applied: reply.Succeeded, Revision: reply.Header.Revision}
	for _, r := range reply.Responses {
		if r.Range != nil {
			out.Found = append(out.Found, records(r.Range.KVs)...)
		}
	}
	return out, nil
}

// encodeTxn turns a transaction into the wire's form.
func encodeTxn(txn platform.Txn) TxnRequest {
	var out TxnRequest
	for _, c := range txn.If {
		key := []byte(c.Key)
		out.Compare = append(out.Compare, Compare{Result: CompareEqual, Target: CompareMod, Key: key, ModRevision: c.ModRevision})
		out.Failure = append(out.Failure, RequestOp{Range: &RangeRequest{Key: key}})
	}
	for _, w := range txn.Then {
		op := RequestOp{Put: &PutRequest{Key: []byte(w.Key), Value: w.Value, Lease: w.Lease}}
		if w.Delete {
			op = RequestOp{Delete: &DeleteRequest{Key: []byte(w.Key)}}
		}
		out.Success = append(out.Success, op)
	}
	return out
}

// Grant implements platform.Store.
func (c *Client) Grant(ctx context.Context, ttlSeconds int64) (platform.LeaseID, error) {
	var reply LeaseReply
	if err := c.call(ctx, PathGrant, GrantRequest{TTL: ttlSeconds}, &reply); err != nil {
		return 0, err
	}
	if reply.ID == 0 {
		return 0, unknown(errors.New("grant without an ID"))
	}
	return reply.ID, nil
}

// KeepAlive implements platform.Store.
func (c *Client) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	var reply KeepAliveMessage
	if err := c.call(ctx, PathKeepAlive, LeaseRequest{ID: id}, &reply); err != nil {
		return err
	}
	if reply.Error != nil {
		return reply.Error.failure()
	}
	if reply.Result.TTL <= 0 {
		return platform.ErrLeaseGone
	}
	return nil
}

// Revoke implements platform.Store.
func (c *Client) Revoke(ctx context.Context, id platform.LeaseID) error {
	return c.call(ctx, PathRevoke, LeaseRequest{ID: id}, &LeaseReply{})
}

// Watch implements platform.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after platform.Revision, fn func(platform.Batch)) error {
	key, end := span(prefix)
	create := WatchCreate{Key: key, RangeEnd: end, StartRevision: after + 1}
	response, err := c.open(ctx, PathWatch, WatchRequest{Create: create})
	if err != nil {
		return ended(ctx, noEffect(err))
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	for {
		var m WatchMessage
		if err := decoder.Decode(&m); err != nil {
			c.moveOn(response.Request)
			return ended(ctx, broken(err))
		}
		if err := m.failure(); err != nil {
			return err
		}
		if batch, ok := m.batch(); ok {
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
	return fmt.Errorf("%w: watch broke: %w", platform.ErrUnavailable, err)
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

// batch returns the changes that a message carries. The header's revision may
// be ahead of what has been sent, so the last event's counts.
func (m WatchMessage) batch() (platform.Batch, bool) {
	events := m.Result.Events
	if len(events) == 0 {
		return platform.Batch{}, false
	}
	batch := platform.Batch{
		Changes:  make([]platform.Change, 0, len(events)),
		Revision: events[len(events)-1].KV.ModRevision,
	}
	for _, e := range events {
		change := platform.Change{Record: e.KV.record()}
		if e.Type == EventDelete {
			change.Deleted = true
			change.Value = nil
		}
		batch.Changes = append(batch.Changes, change)
	}
	return batch, true
}
