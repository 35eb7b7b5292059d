package etcdhttp

import "pulleyquay/internal/platform"

// The messages of the published etcd v3 JSON gateway that are used here, and no
// others. 64-bit integers are strings and byte strings are base64, as the
// gateway's JSON has them; absent fields have their zero value. The stand-in's
// handler uses the same types.

// Paths of the calls.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathWatch     = "/v3/watch"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
)

// Status codes in an ErrorReply, numbered as in gRPC.
const (
	CodeInvalidArgument = 3
	CodeNotFound        = 5
	CodeUnavailable     = 14
)

// Header is part of every reply.
type Header struct {
	// ClusterID tells one store from another, also from the same one after it
	// was set up anew.
	ClusterID uint64            `json:"cluster_id,string,omitempty"`
	Revision  platform.Revision `json:"revision,string,omitempty"`
}

// headed is a reply with its header.
type headed interface{ header() Header }

func (r *RangeReply) header() Header       { return r.Header }
func (r *TxnReply) header() Header         { return r.Header }
func (r *LeaseReply) header() Header       { return r.Header }
func (m *KeepAliveMessage) header() Header { return m.Result.Header }

// KeyValue is one stored record.
type KeyValue struct {
	Key         []byte            `json:"key"`
	Value       []byte            `json:"value,omitempty"`
	ModRevision platform.Revision `json:"mod_revision,string,omitempty"`
}

// RangeRequest asks for the keys from Key up to, not including, RangeEnd.
// Without RangeEnd it asks for one key.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeReply answers a RangeRequest in key order.
type RangeReply struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
}

// Compare is one condition of a transaction.
type Compare struct {
	Result      string            `json:"result"` // CompareEqual
	Target      string            `json:"target"` // CompareMod
	Key         []byte            `json:"key"`
	ModRevision platform.Revision `json:"mod_revision,string"`
}

// The only comparison in use: the key's last revision is equal.
const (
	CompareEqual = "EQUAL"
	CompareMod   = "MOD"
)

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte           `json:"key"`
	Value []byte           `json:"value,omitempty"`
	Lease platform.LeaseID `json:"lease,string,omitempty"`
}

// DeleteRequest deletes one key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is one step of a transaction; exactly one field is set.
type RequestOp struct {
	Range  *RangeRequest  `json:"request_range,omitempty"`
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest carries out Success when every Compare holds, else Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// ResponseOp answers one step of a transaction.
type ResponseOp struct {
	Range *RangeReply `json:"response_range,omitempty"`
}

// TxnReply answers a TxnRequest.
type TxnReply struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate asks for all events from StartRevision on.
type WatchCreate struct {
	Key           []byte            `json:"key"`
	RangeEnd      []byte            `json:"range_end,omitempty"`
	StartRevision platform.Revision `json:"start_revision,string,omitempty"`
}

// WatchMessage is one line of a watch's stream.
type WatchMessage struct {
	Result WatchReply  `json:"result"`
	Error  *ErrorReply `json:"error,omitempty"`
}

// WatchReply carries events, or tells that the watch is open or over.
type WatchReply struct {
	Header          Header            `json:"header"`
	Created         bool              `json:"created,omitempty"`
	Canceled        bool              `json:"canceled,omitempty"`
	CancelReason    string            `json:"cancel_reason,omitempty"`
	CompactRevision platform.Revision `json:"compact_revision,string,omitempty"`
	Events          []Event           `json:"events,omitempty"`
}

// EventDelete is the type of an event that deleted a key; a put has none.
const EventDelete = "DELETE"

// Event is one change of a key.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// GrantRequest asks for a lease. The store picks the ID.
type GrantRequest struct {
	TTL int64 `json:"TTL,string"` // seconds
}

// LeaseRequest names a lease to keep alive or to revoke.
type LeaseRequest struct {
	ID platform.LeaseID `json:"ID,string"`
}

// LeaseReply answers a grant, and a keepalive inside KeepAliveMessage. A TTL of
// zero says that the lease is gone.
type LeaseReply struct {
	Header Header           `json:"header"`
	ID     platform.LeaseID `json:"ID,string,omitempty"`
	TTL    int64            `json:"TTL,string,omitempty"`
}

// KeepAliveMessage is the one line of a keepalive's stream.
type KeepAliveMessage struct {
	Result LeaseReply  `json:"result"`
	Error  *ErrorReply `json:"error,omitempty"`
}

// ErrorReply is the body of a refused call.
type ErrorReply struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// PrefixEnd returns the first key after all keys with the prefix; a zero byte
// stands for the end of the store.
func PrefixEnd(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
