package peer

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"pulleyquay/internal/result"
)

// Local is a Caller for Muxes in the same process, by address. Messages are encoded
// and decoded but pass through no socket. Tests use it inside synctest bubbles; a
// placer uses it for calls to itself.
type Local map[string]*Mux

// Call runs the handler registered at addr.
func (l Local) Call(ctx context.Context, addr string, kind Kind, req, resp any) error {
	mux, ok := l[addr]
	if !ok {
		return result.New(result.PeerNotReached, result.RanNo, "no process at %s", addr)
	}
	payload, err := cbor.Marshal(req)
	if err != nil {
		return result.New(result.Internal, result.RanNo, "encode: %v", err)
	}
	response, err := mux.dispatch(ctx, kind, payload)
	if err != nil {
		return result.From(err)
	}
	if err := cbor.Unmarshal(response, resp); err != nil {
		return result.New(result.PeerLost, result.RanUnknown, "decode: %v", err)
	}
	return nil
}
