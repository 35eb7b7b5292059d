package settings

// Change is an operator's change: KindSettingsChange on peer links.
type Change struct {
	// ID is a UUIDv7; repeating a change with its id is idempotent.
	ID string `cbor:"1,keyasint"`
	// Base is the revision that the operator looked at.
	Base int64 `cbor:"2,keyasint"`
	// By and Note go into the history.
	By   string `cbor:"3,keyasint,omitempty"`
	Note string `cbor:"4,keyasint,omitempty"`
	// Branches is JSON: paths with override objects, null removes a branch.
	Branches []byte `cbor:"5,keyasint,omitempty"`
	// RollbackTo restores the tree of a kept revision; Branches is then empty.
	RollbackTo int64 `cbor:"6,keyasint,omitempty"`
	// Rollback tells a rollback to revision 0 from none.
	Rollback bool `cbor:"7,keyasint,omitempty"`
	// WaitMillis is how long to wait for every member to apply the change.
	WaitMillis int64 `cbor:"8,keyasint,omitempty"`
	// First is true when the sender is certain that nobody has sent the change
	// before. A refusal that was not decided against the present head can then
	// still promise that the change is not in force.
	First bool `cbor:"9,keyasint,omitempty"`
}

// Accepted is the answer to a change in force.
type Accepted struct {
	Revision int64  `cbor:"1,keyasint" json:"revision"`
	ChangeID string `cbor:"2,keyasint" json:"change_id"`
	// Repeated is true when the change had been accepted before.
	Repeated bool `cbor:"3,keyasint,omitempty" json:"repeated,omitempty"`
	// NotApplied names the members that had not applied it when the wait ended.
	NotApplied []string `cbor:"4,keyasint,omitempty" json:"not_applied,omitempty"`
}

// Ask asks a placer for a tree newer than Have: KindSettings.
type Ask struct {
	Have int64 `cbor:"1,keyasint"`
	// Root is the root's hash of the tree at Have, so that the answer can hold
	// the difference only; empty asks for all branches.
	Root []byte `cbor:"2,keyasint,omitempty"`
	// WaitMillis is how long the placer may hold the answer back.
	WaitMillis int64 `cbor:"3,keyasint,omitempty"`
	// Follower is the name of an entry that follows this placer; placers that
	// catch up leave it empty.
	Follower string `cbor:"4,keyasint,omitempty"`
	// HeadOnly leaves the branches out of the answer.
	HeadOnly bool `cbor:"5,keyasint,omitempty"`
}

// Answer is a tree, or the difference to the one the asker has.
type Answer struct {
	// Head is empty when the placer has nothing newer.
	Head []byte `cbor:"1,keyasint,omitempty"`
	// Branches are stored forms; their hashes are worked out by the receiver.
	Branches [][]byte `cbor:"2,keyasint,omitempty"`
	// Heard is the highest revision that any process is known to have had.
	Heard int64 `cbor:"3,keyasint"`
}

// AskHistory asks for the kept revisions: KindSettingsHistory.
type AskHistory struct{}

// HistoryAnswer is the kept revisions, newest first.
type HistoryAnswer struct {
	// Heads is a JSON array of Head.
	Heads []byte `cbor:"1,keyasint"`
}
