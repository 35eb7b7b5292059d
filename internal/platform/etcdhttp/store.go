package etcdhttp

import (
	"context"
	"fmt"

	"pulleyquay/internal/platform"
)

// List implements platform.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]platform.Record, platform.Revision, error) {
	var reply RangeReply
	key, end := keyRange(prefix)
	if err := c.call(ctx, PathRange, RangeRequest{Key: key, RangeEnd: end}, &reply); err != nil {
		return nil, 0, noEffect(err)
	}
	return records(reply.KVs), reply.Header.Revision, nil
}

// keyRange returns the range of the keys with the prefix. The service has no empty key; a zero
// byte is the first one.
func keyRange(prefix string) (key, end []byte) {
	if prefix == "" {
		return []byte{0}, []byte{0}
	}
	return []byte(prefix), PrefixEnd([]byte(prefix))
}

// records converts wire records into those of package platform.
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

// record converts a wire record into one of package platform, whose value is never nil.
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

// encodeTxn converts a transaction to its wire format.
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
		return 0, fmt.Errorf("%w: grant without an ID", errSent)
	}
	return reply.ID, nil
}

// KeepAlive implements platform.Store.
func (c *Client) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	var reply KeepAliveMessage
	if err := c.call(ctx, PathKeepAlive, LeaseRequest{ID: id}, &reply); err != nil {
		return err
	}
	switch {
	case reply.Result.ID != id:
		return fmt.Errorf("%w: renewal of lease %d answered for %d", errSent, id, reply.Result.ID)
	case reply.Result.TTL <= 0:
		return platform.ErrLeaseGone
	default:
		return nil
	}
}

// Revoke implements platform.Store.
func (c *Client) Revoke(ctx context.Context, id platform.LeaseID) error {
	return c.call(ctx, PathRevoke, LeaseRequest{ID: id}, &LeaseReply{})
}
