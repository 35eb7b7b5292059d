package record

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"pulleyquay/internal/crashloop"
)

// A rolling update has two versions read each other's records. A field that changes its
// meaning or its type under the number that it had would turn a crash that nobody saw the
// end of into a proven one, or make a roster unreadable, and with it a take-over impossible.

// previousCrash is a crash as the version before wrote it.
type previousCrash struct {
	Run     int    `cbor:"1,keyasint"`
	Host    string `cbor:"2,keyasint"`
	Unsure  bool   `cbor:"6,keyasint,omitempty"`
	Unheard bool   `cbor:"9,keyasint,omitempty"`
}

// previousRoster is a roster as the version before wrote it.
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
	value, err := Encode(crashloop.Judge(crashloop.Evidence{Run: 1, Host: "a"}, 1e-6))
	is.NoErr(err)
	is.NoErr(cbor.Unmarshal(value, &c))
	is.True(c.Unheard) // it takes everything else for proven

	var r previousRoster
	value, err = Encode(Roster{Hosts: []RosterHost{{ID: "a"}}, Lost: []string{"b"}})
	is.NoErr(err)
	is.NoErr(cbor.Unmarshal(value, &r))
	is.Equal(len(r.Hosts), 1)
}
