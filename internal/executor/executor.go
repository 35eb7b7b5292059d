// Package executor is the port to the executors that answer for services. An
// executor is an ordinary HTTP server; nothing of ours runs on it.
package executor

import (
	"context"
	"errors"
	"fmt"
	"net/http"
)

// Request is one caller's request as an executor will see it.
type Request struct {
	Method string      `cbor:"1,keyasint"`
	Path   string      `cbor:"2,keyasint"` // with the query, as the executor gets it
	Header http.Header `cbor:"3,keyasint,omitempty"`
	Body   []byte      `cbor:"4,keyasint,omitempty"`
}

// Answer is one executor's whole answer. A half one is a Failure.
type Answer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint,omitempty"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
	// Leaving is the executor's own signal that it wants nothing new.
	Leaving bool `cbor:"4,keyasint,omitempty"`
}

// Failure is the only error of a Client.
type Failure struct {
	// Sent is true when a byte of the request may have reached the executor.
	Sent bool
	Err  error
}

// Error tells whether anything was sent, and why it failed.
func (f *Failure) Error() string {
	if f.Sent {
		return fmt.Sprintf("executor: failed after sending: %v", f.Err)
	}
	return fmt.Sprintf("executor: failed before sending: %v", f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// ErrAnswerTooLarge is the cause of a Failure when the executor answered more
// than the caller of Client.Do allows; the request has run.
var ErrAnswerTooLarge = errors.New("executor: answer larger than allowed")

// Client sends one request to one executor, exactly once: it never repeats a
// request by itself, whatever the method and headers. maxAnswer bounds the
// answer's body in bytes.
type Client interface {
	Do(ctx context.Context, addr string, req Request, maxAnswer int64) (Answer, error)
}
