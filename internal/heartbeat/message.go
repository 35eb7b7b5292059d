// Package heartbeat implements the messages that placers exchange a few times a second. They
// show that the sender is alive and when it last reached the store, request and grant
// promises, and distribute small values of other parts of the placer.
package heartbeat

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"pulleyquay/internal/right"
	"pulleyquay/internal/view"
)

// Status is the state that a placer reports of itself.
type Status struct {
	Member view.Member `cbor:"1,keyasint" json:"member"`
	// TableRevision and SettingsRevision are the revisions in use at the sender.
	TableRevision    int64 `cbor:"2,keyasint" json:"table_revision"`
	SettingsRevision int64 `cbor:"3,keyasint" json:"settings_revision"`
	// StoreAge is how long ago the sender sent its last successful renewal;
	// negative when there was none.
	StoreAge time.Duration `cbor:"4,keyasint" json:"store_age"`
	// Delegate names the member that renews the sender's task leases if the sender fails during
	// a store outage.
	Delegate string `cbor:"5,keyasint,omitempty" json:"deputy,omitempty"`
}

// PromiseRequest requests a promise to a member's session from the receiver. A delegate requests
// promises on behalf of the failed member whose task leases it renews.
type PromiseRequest struct {
	MemberID right.MemberID `cbor:"1,keyasint"`
	Session  uint64         `cbor:"2,keyasint"`
	Period   time.Duration  `cbor:"3,keyasint"`
}

// Request is the message that a placer sends to each other placer.
type Request struct {
	Status          Status                     `cbor:"1,keyasint"`
	Extras          map[string]cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	PromiseRequests []PromiseRequest           `cbor:"3,keyasint,omitempty"`
	// WantTable requests the table. It is set by a process that has none yet.
	WantTable bool `cbor:"4,keyasint,omitempty"`
}

// Reply is the reply to a heartbeat.
type Reply struct {
	Status Status `cbor:"1,keyasint"`
	// Promised lists the requested promises that were granted.
	Promised []PromiseRequest `cbor:"2,keyasint,omitempty"`
	Table    *view.Table      `cbor:"3,keyasint,omitempty"`
}
