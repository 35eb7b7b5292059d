// Package executor defines the interface to the executors of services. An executor is an ordinary
// HTTP server on which no component of the scheduler runs.
package executor

import (
	"context"
	"errors"
	"fmt"
	"net/http"
)

// Request is one caller's request as it is sent to an executor.
type Request struct {
	Method string      `cbor:"1,keyasint"`
	Path   string      `cbor:"2,keyasint"` // with the query, byte for byte
	Header http.Header `cbor:"3,keyasint,omitempty"`
	Body   []byte      `cbor:"4,keyasint,omitempty"`
}

// Answer is the complete answer of one executor. An incomplete one is a Failure.
type Answer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint,omitempty"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
	// Leaving is the executor's signal that it accepts no new requests.
	Leaving bool `cbor:"4,keyasint,omitempty"`
}

// Failure is the type of all errors of a Client.
type Failure struct {
	// Sent is true if a byte of the request may have reached the executor.
	Sent bool
	Err  error
}

// Error states whether anything was sent, and the cause.
func (f *Failure) Error() string {
	if f.Sent {
		return fmt.Sprintf("executor: failed after sending: %v", f.Err)
	}
	return fmt.Sprintf("executor: failed before sending: %v", f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// ErrAnswerTooLarge is the cause of a Failure if the executor's answer exceeds the limit in
// Client.Do; the request has run.
var ErrAnswerTooLarge = errors.New("executor: answer larger than allowed")

// Client sends one request to one executor, at most once: it never repeats a request, whatever
// the method and headers. maxAnswer bounds the answer's body in bytes.
type Client interface {
	Do(ctx context.Context, addr string, req Request, maxAnswer int64) (Answer, error)
}
