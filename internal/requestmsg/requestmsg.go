// Package requestmsg defines the messages of the request path: entry to home (peer.KindServe),
// and home to a holder of executors (peer.KindDispatch).
package requestmsg

import (
	"time"

	"github.com/google/uuid"

	"pulleyquay/internal/executor"
)

// Serve is one caller's request, sent to its home. The reply is an executor.Answer, or a
// *result.Error.
type Serve struct {
	Service string `cbor:"1,keyasint"`
	// Caller identifies the caller for fair queueing.
	Caller string `cbor:"2,keyasint"`
	// Key is the caller's Idempotency-Key; uuid.Nil if there is none.
	Key uuid.UUID `cbor:"3,keyasint"`
	// Partition is the key's partition; it has no meaning without a key.
	Partition int `cbor:"4,keyasint"`
	// Timeout is the time left until the deadline. It is a duration because clocks of two hosts
	// are never compared.
	Timeout time.Duration `cbor:"5,keyasint"`
	// Idempotent requests may be sent to an executor more than once.
	Idempotent bool             `cbor:"6,keyasint"`
	Request    executor.Request `cbor:"7,keyasint"`
}

// Dispatch asks a holder to send a request to one of its executors if one has a free slot at this
// moment; the request is never queued. The reply is a DispatchReply, or a *result.Error whose Ran
// states whether the request may be sent elsewhere.
type Dispatch struct {
	Service string           `cbor:"1,keyasint"`
	Timeout time.Duration    `cbor:"2,keyasint"`
	Request executor.Request `cbor:"3,keyasint"`
}

// DispatchReply is an executor's answer, forwarded by the holder.
type DispatchReply struct {
	Answer executor.Answer `cbor:"1,keyasint"`
	// Free is the number of free slots that the holder has for the service.
	Free int `cbor:"2,keyasint"`
}
