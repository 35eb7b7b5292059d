// Package member keeps this process's membership of the cell: a key in the
// store under a lease, and the electorate that may keep it in its right while
// the store is down.
package member

import (
	"encoding/json"
	"fmt"
	"strings"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/right"
	"pulleyquay/internal/view"
)

// Prefix is where members stand in the store: members/<name> holds a
// view.Member under a lease, members/<name>/<incarnation> a Charter without.
const Prefix = "members/"

// Key is the key of a member.
func Key(name string) string { return Prefix + name }

// CharterKey is the key of an incarnation's charter.
func CharterKey(name, incarnation string) string {
	return Prefix + name + "/" + incarnation
}

// Charter is what a member's incarnation has fixed in the store for the time of
// an outage.
type Charter struct {
	right.Electorate
	// Lease is the store lease of the session's member key. It settles an
	// attempt to join whose answer was lost.
	Lease platform.LeaseID `json:"lease"`
}

// Entry is a decoded record under Prefix: a member or a charter.
type Entry struct {
	Name        string
	Incarnation string // only of a charter
	Member      *view.Member
	Charter     *Charter
	Revision    platform.Revision
}

// Decode reads one record under Prefix. Value may be nil for a deleted key.
func Decode(rec platform.Record) (Entry, error) {
	name, incarnation, isCharter := strings.Cut(strings.TrimPrefix(rec.Key, Prefix), "/")
	entry := Entry{Name: name, Incarnation: incarnation, Revision: rec.ModRevision}
	if rec.Value == nil {
		return entry, nil
	}
	var err error
	if isCharter {
		entry.Charter = &Charter{}
		err = json.Unmarshal(rec.Value, entry.Charter)
	} else {
		entry.Member = &view.Member{}
		err = json.Unmarshal(rec.Value, entry.Member)
	}
	if err != nil {
		return Entry{}, fmt.Errorf("record %s: %w", rec.Key, err)
	}
	return entry, nil
}

// IsCharter reports whether the entry's key is that of a charter.
func (e Entry) IsCharter() bool { return e.Incarnation != "" }

// mustJSON encodes values of this package's own types, which always succeeds.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("member: encode %T: %v", v, err))
	}
	return b
}
