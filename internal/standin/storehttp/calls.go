package storehttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/etcdhttp"
	"pulleyquay/internal/platform/memstore"
)

// rangeKeys reads one key, or all keys with a prefix.
func (s *server) rangeKeys(r *http.Request, c *memstore.Client, req etcdhttp.RangeRequest) (etcdhttp.RangeReply, error) {
	prefix, err := prefixOf(req.Key, req.RangeEnd)
	if err != nil {
		return etcdhttp.RangeReply{}, err
	}
	records, revision, err := c.List(r.Context(), prefix)
	reply := etcdhttp.RangeReply{Header: s.header(revision)}
	for _, record := range records {
		if len(req.RangeEnd) == 0 && record.Key != prefix {
			continue
		}
		reply.KVs = append(reply.KVs, keyValue(record))
	}
	return reply, err
}

// prefixOf returns the key or prefix that a range selects. It refuses other ranges, which
// are not implemented.
func prefixOf(key, end []byte) (string, error) {
	all := []byte{0}
	switch {
	case bytes.Equal(key, all) && bytes.Equal(end, all):
		return "", nil
	case len(end) == 0 || bytes.Equal(end, etcdhttp.PrefixEnd(key)):
		return string(key), nil
	default:
		return "", fmt.Errorf("%w: a range that is no prefix", platform.ErrRefused)
	}
}

// keyValue converts a record to its form on the wire.
func keyValue(r platform.Record) etcdhttp.KeyValue {
	return etcdhttp.KeyValue{Key: []byte(r.Key), Value: r.Value, ModRevision: r.ModRevision}
}

// txn commits a transaction. If a comparison fails it returns the current records of the
// compared keys, which is the only failure branch that is implemented.
func (s *server) txn(r *http.Request, c *memstore.Client, req etcdhttp.TxnRequest) (etcdhttp.TxnReply, error) {
	txn, err := decodeTxn(req)
	if err != nil {
		return etcdhttp.TxnReply{}, err
	}
	reply, err := c.Commit(r.Context(), txn)
	out := etcdhttp.TxnReply{Header: s.header(reply.Revision), Succeeded: reply.Applied}
	for _, record := range reply.Found {
		kvs := []etcdhttp.KeyValue{keyValue(record)}
		out.Responses = append(out.Responses, etcdhttp.ResponseOp{Range: &etcdhttp.RangeReply{KVs: kvs}})
	}
	return out, err
}

// decodeTxn converts a transaction from its form on the wire to a platform.Txn.
func decodeTxn(req etcdhttp.TxnRequest) (platform.Txn, error) {
	var txn platform.Txn
	for _, c := range req.Compare {
		if c.Result != etcdhttp.CompareEqual || c.Target != etcdhttp.CompareMod {
			return txn, fmt.Errorf("%w: comparison %s of %s", platform.ErrRefused, c.Result, c.Target)
		}
		txn.If = append(txn.If, platform.Condition{Key: string(c.Key), ModRevision: c.ModRevision})
	}
	for _, op := range req.Success {
		switch {
		case op.Put != nil:
			txn.Then = append(txn.Then, platform.Write{Key: string(op.Put.Key), Value: op.Put.Value, Lease: op.Put.Lease})
		case op.Delete != nil:
			txn.Then = append(txn.Then, platform.Write{Key: string(op.Delete.Key), Delete: true})
		default:
			return txn, fmt.Errorf("%w: a step that neither puts nor deletes", platform.ErrRefused)
		}
	}
	return txn, nil
}

// grant creates a lease.
func (s *server) grant(r *http.Request, c *memstore.Client, req etcdhttp.GrantRequest) (etcdhttp.LeaseReply, error) {
	if req.TTL <= 0 {
		return etcdhttp.LeaseReply{}, fmt.Errorf("%w: TTL of %d seconds", platform.ErrRefused, req.TTL)
	}
	id, err := c.Grant(r.Context(), req.TTL)
	return etcdhttp.LeaseReply{Header: s.header(0), ID: id, TTL: req.TTL}, err
}

// keepAlive renews a lease. As in the etcd gateway, the reply for a lease that no longer
// exists has a TTL of zero.
func (s *server) keepAlive(r *http.Request, c *memstore.Client, req etcdhttp.LeaseRequest) (etcdhttp.KeepAliveMessage, error) {
	err := c.KeepAlive(r.Context(), req.ID)
	if errors.Is(err, platform.ErrLeaseGone) {
		return etcdhttp.KeepAliveMessage{Result: etcdhttp.LeaseReply{Header: s.header(0), ID: req.ID}}, nil
	}
	return etcdhttp.KeepAliveMessage{Result: etcdhttp.LeaseReply{Header: s.header(0), ID: req.ID, TTL: 1}}, err
}

// revoke ends a lease.
func (s *server) revoke(r *http.Request, c *memstore.Client, req etcdhttp.LeaseRequest) (etcdhttp.LeaseReply, error) {
	err := c.Revoke(r.Context(), req.ID)
	return etcdhttp.LeaseReply{Header: s.header(0)}, err
}

// watch streams changes, one message per line, until the client disconnects.
func (s *server) watch(w http.ResponseWriter, r *http.Request) {
	var req etcdhttp.WatchRequest
	if !decodeBody(w, r, &req) {
		return
	}
	prefix, err := prefixOf(req.Create.Key, req.Create.RangeEnd)
	if err != nil {
		writeError(w, err)
		return
	}
	stream := &watchStream{server: s, writer: w, exact: len(req.Create.RangeEnd) == 0, prefix: prefix}
	client := s.client(r)
	if f := client.Faults(); !f.Refuse && !f.BreakWatches {
		stream.send(etcdhttp.WatchReply{Header: s.header(0), Created: true})
	}
	err = client.Watch(r.Context(), prefix, req.Create.StartRevision-1, stream.sendBatch)
	if !errors.Is(err, platform.ErrCompacted) {
		panic(http.ErrAbortHandler)
	}
	stream.send(etcdhttp.WatchReply{Header: s.header(0), Canceled: true, CompactRevision: req.Create.StartRevision, CancelReason: err.Error()})
}

// watchStream writes the messages of one watch.
type watchStream struct {
	server *server
	writer http.ResponseWriter
	prefix string
	exact  bool // one key, not a prefix
}

// sendBatch sends the changes of a batch that concern the watch, if there are any.
func (s *watchStream) sendBatch(b platform.Batch) {
	reply := etcdhttp.WatchReply{Header: s.server.header(b.Revision)}
	for _, c := range b.Changes {
		if s.exact && c.Key != s.prefix {
			continue
		}
		event := etcdhttp.Event{KV: keyValue(c.Record)}
		if c.Deleted {
			event.Type = etcdhttp.EventDelete
		}
		reply.Events = append(reply.Events, event)
	}
	if len(reply.Events) > 0 {
		s.send(reply)
	}
}

// send writes one message and flushes it.
func (s *watchStream) send(reply etcdhttp.WatchReply) {
	// An error means that the client has disconnected; the request's context ends the watch.
	_ = json.NewEncoder(s.writer).Encode(etcdhttp.WatchMessage{Result: reply})
	_ = http.NewResponseController(s.writer).Flush()
}
