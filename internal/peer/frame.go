package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"pulleyquay/internal/result"
)

// Subprotocol is the WebSocket subprotocol; its number is the protocol version.
// A link to another version is refused at the handshake.
const Subprotocol = "pulleyquay.peer.v1"

// frameType tells what a frame is.
type frameType uint8

const (
	frameRequest frameType = 1
	frameAnswer  frameType = 2
	frameError   frameType = 3
	frameCancel  frameType = 4 // the caller gave up; no answer is wanted
	// frameGoodbye asks the other side to send no more requests on the link;
	// frameGoodbyeAnswer follows the last one.
	frameGoodbye       frameType = 5
	frameGoodbyeAnswer frameType = 6
)

// frame is one message on a link. Length is the payload's length in bytes: a
// frame whose payload differs from it is no answer but a broken link.
type frame struct {
	ID      uint64          `cbor:"1,keyasint"`
	Type    frameType       `cbor:"2,keyasint"`
	Kind    Kind            `cbor:"3,keyasint,omitempty"`
	Length  int             `cbor:"4,keyasint,omitempty"`
	Payload cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// Hello is the first message on each link, from the side that dialled.
type Hello struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// Addr is where the sender can be dialled; empty when it serves no peers.
	Addr string `cbor:"3,keyasint,omitempty"`
	// Cell names the cell that the sender belongs to; links join processes of
	// one cell only.
	Cell string `cbor:"4,keyasint,omitempty"`
}

func encodeFrame(f frame) ([]byte, error) {
	f.Length = len(f.Payload)
	return cbor.Marshal(f)
}

func decodeFrame(data []byte) (frame, error) {
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return frame{}, fmt.Errorf("peer frame: %w", err)
	}
	if f.Length != len(f.Payload) {
		return frame{}, fmt.Errorf("peer frame %d: %d payload bytes, %d announced", f.ID, len(f.Payload), f.Length)
	}
	return f, nil
}

func encodeError(err error) []byte {
	// A *result.Error consists of numbers and strings, which always encode.
	data, _ := cbor.Marshal(result.From(err))
	return data
}

func decodeError(payload []byte) *result.Error {
	e := new(result.Error)
	if err := cbor.Unmarshal(payload, e); err != nil {
		return result.New(result.PeerLost, result.RanUnknown, "unreadable error from the peer: %v", err)
	}
	return e
}
