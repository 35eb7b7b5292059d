// Package heartbeat carries what placers tell each other a few times a second:
// that they live, when they last reached the store, promises of time, and small
// values that other parts of the placer want known everywhere.
package heartbeat

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"pulleyquay/internal/right"
	"pulleyquay/internal/view"
)

// Status is what a placer says of itself.
type Status struct {
	Member view.Member `cbor:"1,keyasint" json:"member"`
	// TableRevision and SettingsRevision are those in force at the sender.
	TableRevision    int64 `cbor:"2,keyasint" json:"table_revision"`
	SettingsRevision int64 `cbor:"3,keyasint" json:"settings_revision"`
	// StoreAge is how long ago the sender sent its last successful renewal;
	// negative when there was none.
	StoreAge time.Duration `cbor:"4,keyasint" json:"store_age"`
	// Deputy renews the sender's task leases should it die in an outage.
	Deputy string `cbor:"5,keyasint,omitempty" json:"deputy,omitempty"`
}

// Ask asks the receiver to promise time to a member's session. A deputy asks on
// behalf of the member that it stands in for.
type Ask struct {
	Subject right.Subject `cbor:"1,keyasint"`
	Session uint64        `cbor:"2,keyasint"`
	For     time.Duration `cbor:"3,keyasint"`
}

// Beat is one heartbeat.
type Beat struct {
	Status Status                     `cbor:"1,keyasint"`
	Extras map[string]cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	Asks   []Ask                      `cbor:"3,keyasint,omitempty"`
	// WantTable is set by a process that has no table yet.
	WantTable bool `cbor:"4,keyasint,omitempty"`
}

// Reply answers a heartbeat.
type Reply struct {
	Status Status `cbor:"1,keyasint"`
	// Promised lists the asks that were granted.
	Promised []Ask       `cbor:"2,keyasint,omitempty"`
	Table    *view.Table `cbor:"3,keyasint,omitempty"`
}
