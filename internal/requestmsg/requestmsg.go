// Package requestmsg holds the messages of the request path: entry to home
// (peer.KindServe) and home to a holder of executors (peer.KindDispatch).
package requestmsg

import (
	"time"

	"github.com/google/uuid"

	"pulleyquay/internal/executor"
)

// Serve is one caller's request on its way to its home. The answer is an
// executor.Answer, or a *result.Error.
type Serve struct {
	Service string `cbor:"1,keyasint"`
	// Caller is the identity by which the queue shares its room.
	Caller string `cbor:"2,keyasint"`
	// Key is the caller's Idempotency-Key; uuid.Nil is no key.
	Key uuid.UUID `cbor:"3,keyasint"`
	// Partition is the key's partition; without a key it means nothing.
	Partition int `cbor:"4,keyasint"`
	// Timeout is what is left of the deadline. Clocks of two hosts are never
	// compared.
	Timeout time.Duration `cbor:"5,keyasint"`
	// Idempotent requests may be sent to an executor more than once.
	Idempotent bool             `cbor:"6,keyasint"`
	Request    executor.Request `cbor:"7,keyasint"`
}

// Dispatch asks a holder to send a request to one of its executors if one has
// a free slot at this moment; it never queues. The answer is a DispatchReply,
// or a *result.Error whose Ran tells whether the request may be sent elsewhere.
type Dispatch struct {
	Service string           `cbor:"1,keyasint"`
	Timeout time.Duration    `cbor:"2,keyasint"`
	Request executor.Request `cbor:"3,keyasint"`
}

// DispatchReply is an executor's answer by way of the holder.
type DispatchReply struct {
	Answer executor.Answer `cbor:"1,keyasint"`
	// Free is the number of the holder's free slots for the service now.
	Free int `cbor:"2,keyasint"`
}
