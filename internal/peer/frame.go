package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"pulleyquay/internal/result"
)

// Subprotocol is the WebSocket subprotocol; its number is the protocol version.
// A link to another version is refused at the handshake.
const Subprotocol = "pulleyquay.peer.v1"

type frameType uint8

const (
	frameRequest  frameType = 1
	frameResponse frameType = 2
	frameError    frameType = 3
	frameCancel   frameType = 4 // the caller has cancelled the request and needs no response
	// frameGoAway asks the other side to send no further requests on the link;
	// frameGoAwayAck follows the last request.
	frameGoAway    frameType = 5
	frameGoAwayAck frameType = 6
)

// frame is one message on a link. Length is the payload's length in bytes: a
// frame whose payload has another length is not delivered and breaks the link.
type frame struct {
	ID      uint64          `cbor:"1,keyasint"`
	Type    frameType       `cbor:"2,keyasint"`
	Kind    Kind            `cbor:"3,keyasint,omitempty"`
	Length  int             `cbor:"4,keyasint,omitempty"`
	Payload cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// Hello is the first message on each link, sent by the side that dialled.
type Hello struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// Addr is the address at which the sender can be dialled; empty if it serves no peers.
	Addr string `cbor:"3,keyasint,omitempty"`
	// Cell is the sender's cell. A link between processes of different cells is refused.
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
