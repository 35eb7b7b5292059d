// Package member maintains this process's membership of the cell: a key in the store under
// a lease, and the voter set whose promises may extend its authority while the store is
// unavailable.
package member

import (
	"encoding/json"
	"fmt"
	"strings"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/right"
	"pulleyquay/internal/view"
)

// Prefix is the prefix of the store keys of members: members/<name> holds a view.Member under
// a lease, and members/<name>/<incarnation> a voter record without a lease.
const Prefix = "members/"

// Key returns the store key of a member.
func Key(name string) string { return Prefix + name }

// VoterRecordKey returns the store key of an incarnation's voter record.
func VoterRecordKey(name, incarnation string) string {
	return Prefix + name + "/" + incarnation
}

// VoterRecord records the voter set of a member's incarnation: during a store outage, the voters'
// promises may extend the incarnation's authority.
type VoterRecord struct {
	right.VoterSet
	// Lease is the store lease of the session's member key. It identifies the attempt to join
	// that succeeded, if the reply to an attempt was lost.
	Lease platform.LeaseID `json:"lease"`
}

// Entry is a decoded record under Prefix: a member or a voter record.
type Entry struct {
	Name        string
	Incarnation string // empty for a member
	Member      *view.Member
	VoterRecord *VoterRecord
	Revision    platform.Revision
}

// Decode reads one record under Prefix. Value may be nil for a deleted key.
func Decode(rec platform.Record) (Entry, error) {
	name, incarnation, isVoterRecord := strings.Cut(strings.TrimPrefix(rec.Key, Prefix), "/")
	entry := Entry{Name: name, Incarnation: incarnation, Revision: rec.ModRevision}
	if rec.Value == nil {
		return entry, nil
	}
	var err error
	if isVoterRecord {
		entry.VoterRecord = &VoterRecord{}
		err = json.Unmarshal(rec.Value, entry.VoterRecord)
	} else {
		entry.Member = &view.Member{}
		err = json.Unmarshal(rec.Value, entry.Member)
	}
	if err != nil {
		return Entry{}, fmt.Errorf("record %s: %w", rec.Key, err)
	}
	return entry, nil
}

// IsVoterRecord reports whether the entry's key is the key of a voter record.
func (e Entry) IsVoterRecord() bool { return e.Incarnation != "" }

// mustJSON encodes values of this package's types, which can't fail.
func mustJSON(v any) []byte {
	encoded, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("member: encode %T: %v", v, err))
	}
	return encoded
}
