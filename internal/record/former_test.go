package record

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"pulleyquay/internal/crashloop"
)

// During a rolling update two versions read each other's records. If a field changed its
// meaning or type but kept its number, an unconfirmed crash could be read as a confirmed one,
// or a roster could not be decoded, which would make a failover impossible.

// previousCrash is a crash as written by the previous version.
type previousCrash struct {
	Run     int    `cbor:"1,keyasint"`
	Host    string `cbor:"2,keyasint"`
	Unsure  bool   `cbor:"6,keyasint,omitempty"`
	Unheard bool   `cbor:"9,keyasint,omitempty"`
}

// previousRoster is a roster as written by the previous version.
type previousRoster struct {
	Hosts []RosterHost `cbor:"1,keyasint"`
	Lost  int          `cbor:"3,keyasint,omitempty"`
}

func TestRecordsOfTheVersionBefore(t *testing.T) {
	is := is.New(t)
	var c crashloop.Crash
	value, err := Encode(previousCrash{Run: 1, Host: "a", Unheard: true})
	is.NoErr(err)
	is.NoErr(cbor.Unmarshal(value, &c))
	is.True(!c.Proven)

	value, err = Encode(previousRoster{Hosts: []RosterHost{{ID: "a"}}, Lost: 3})
	is.NoErr(err)
	r, err := DecodeRoster(value)
	is.NoErr(err)
	is.Equal(len(r.Hosts), 1)
}

func TestRecordsForTheVersionBefore(t *testing.T) {
	is := is.New(t)
	var c previousCrash
	value, err := Encode(crashloop.Assess(crashloop.Evidence{Run: 1, Host: "a"}, 1e-6))
	is.NoErr(err)
	is.NoErr(cbor.Unmarshal(value, &c))
	is.True(c.Unheard) // the previous version treats crashes without the flag as confirmed

	var r previousRoster
	value, err = Encode(Roster{Hosts: []RosterHost{{ID: "a"}}, UnattributedFailures: []string{"b"}})
	is.NoErr(err)
	is.NoErr(cbor.Unmarshal(value, &r))
	is.Equal(len(r.Hosts), 1)
}
