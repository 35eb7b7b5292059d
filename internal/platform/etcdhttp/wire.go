package etcdhttp

import "pulleyquay/internal/platform"

// These are the messages of the published etcd v3 JSON gateway that the client uses. As in the
// gateway's JSON, 64-bit integers are strings and byte strings are base64; absent fields have
// their zero value. The simulated store's handler uses the same types.

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
	// ClusterID identifies a store; a store that was set up anew has another ID.
	ClusterID uint64            `json:"cluster_id,string,omitempty"`
	Revision  platform.Revision `json:"revision,string,omitempty"`
}

// replyWithHeader is implemented by every reply.
type replyWithHeader interface{ header() Header }

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

// RangeRequest reads the keys from Key up to, but not including, RangeEnd. Without RangeEnd it
// reads one key.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeReply is the reply to a RangeRequest, in key order.
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

// The only comparison that is used: the key's last revision equals ModRevision.
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

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Range  *RangeRequest  `json:"request_range,omitempty"`
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest executes Success if every Compare holds, else Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// ResponseOp is the result of one operation of a transaction.
type ResponseOp struct {
	Range *RangeReply `json:"response_range,omitempty"`
}

// TxnReply is the reply to a TxnRequest.
type TxnReply struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate requests all events from StartRevision on.
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

// WatchReply carries events, or reports that the watch was opened or has ended.
type WatchReply struct {
	Header          Header            `json:"header"`
	Created         bool              `json:"created,omitempty"`
	Canceled        bool              `json:"canceled,omitempty"`
	CancelReason    string            `json:"cancel_reason,omitempty"`
	CompactRevision platform.Revision `json:"compact_revision,string,omitempty"`
	Events          []Event           `json:"events,omitempty"`
}

// EventDelete is the type of an event that deleted a key; the event of a put has no type.
const EventDelete = "DELETE"

// Event is one change of a key.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// GrantRequest requests a lease. The store assigns the ID.
type GrantRequest struct {
	TTL int64 `json:"TTL,string"` // seconds
}

// LeaseRequest identifies a lease to renew or to revoke.
type LeaseRequest struct {
	ID platform.LeaseID `json:"ID,string"`
}

// LeaseReply is the reply to a grant, and to a renewal within KeepAliveMessage. A TTL of 0 means
// that the lease has ended.
type LeaseReply struct {
	Header Header           `json:"header"`
	ID     platform.LeaseID `json:"ID,string,omitempty"`
	TTL    int64            `json:"TTL,string,omitempty"`
}

// KeepAliveMessage is the only line of a renewal's stream.
type KeepAliveMessage struct {
	Result LeaseReply  `json:"result"`
	Error  *ErrorReply `json:"error,omitempty"`
}

// ErrorReply is the body of a refused call.
type ErrorReply struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// PrefixEnd returns the first key after all keys with the prefix; a zero byte means the end of the
// store.
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
