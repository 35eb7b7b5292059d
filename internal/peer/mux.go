package peer

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"pulleyquay/internal/result"
)

// handlerFunc decodes one request, handles it and returns the encoded response.
type handlerFunc func(ctx context.Context, payload []byte) ([]byte, error)

// Mux maps message kinds to handlers. All handlers must be registered before the first link
// is served.
type Mux struct {
	handlers map[Kind]handlerFunc
	stopped  atomic.Bool
}

// NewMux returns an empty Mux.
func NewMux() *Mux { return &Mux{handlers: map[Kind]handlerFunc{}} }

// Handle registers fn as the handler of one kind. It panics if the kind has a handler
// already. The ctx given to fn ends when the caller cancels or the link breaks.
func Handle[Req, Resp any](m *Mux, kind Kind, fn func(ctx context.Context, req Req) (Resp, error)) {
	if _, dup := m.handlers[kind]; dup {
		panic(fmt.Sprintf("peer: kind %d registered twice", kind))
	}
	m.handlers[kind] = func(ctx context.Context, payload []byte) ([]byte, error) {
		var req Req
		if err := cbor.Unmarshal(payload, &req); err != nil {
			return nil, result.New(result.BadInput, result.RanNo, "peer message %d: %v", kind, err)
		}
		resp, err := fn(ctx, req)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(resp)
	}
}

// dispatch passes one request to the handler of its kind.
func (m *Mux) dispatch(ctx context.Context, kind Kind, payload []byte) ([]byte, error) {
	if m.stopped.Load() {
		return nil, result.New(result.Stopping, result.RanNo, "message kind %d came during a planned stop", kind)
	}
	handler, ok := m.handlers[kind]
	if !ok {
		return nil, result.New(result.PeerVersion, result.RanNo, "no handler for message kind %d", kind)
	}
	return handler(ctx, payload)
}

// Stop makes the Mux refuse every further message. It is called in the last phase of a
// planned stop.
func (m *Mux) Stop() { m.stopped.Store(true) }
