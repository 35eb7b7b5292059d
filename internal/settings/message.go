package settings

// Change is an operator's change: KindSettingsChange on peer links.
type Change struct {
	// ID is a UUIDv7; repeating a change with its id is idempotent.
	ID string `cbor:"1,keyasint"`
	// Base is the revision that the operator read before making the change.
	Base int64 `cbor:"2,keyasint"`
	// By and Note are recorded in the history.
	By   string `cbor:"3,keyasint,omitempty"`
	Note string `cbor:"4,keyasint,omitempty"`
	// Branches is JSON that maps paths to override objects; null removes a branch.
	Branches []byte `cbor:"5,keyasint,omitempty"`
	// RollbackTo is the revision in the history whose tree is restored; Branches is then empty.
	RollbackTo int64 `cbor:"6,keyasint,omitempty"`
	// Rollback distinguishes a rollback to revision 0 from a change that isn't a rollback.
	Rollback bool `cbor:"7,keyasint,omitempty"`
	// WaitMillis is how long to wait for every member to apply the change.
	WaitMillis int64 `cbor:"8,keyasint,omitempty"`
	// First is true when the sender is certain that the change has never been sent before. Then even a refusal that
	// was not decided against the current head guarantees that the change was not made.
	First bool `cbor:"9,keyasint,omitempty"`
}

// Accepted is the reply to an accepted change.
type Accepted struct {
	Revision int64  `cbor:"1,keyasint" json:"revision"`
	ChangeID string `cbor:"2,keyasint" json:"change_id"`
	// Repeated is true when the change had already been accepted.
	Repeated bool `cbor:"3,keyasint,omitempty" json:"repeated,omitempty"`
	// NotApplied names the members that had not applied the change when the wait ended.
	NotApplied []string `cbor:"4,keyasint,omitempty" json:"not_applied,omitempty"`
}

// FetchRequest requests a tree newer than revision Have from a placer: KindSettings.
type FetchRequest struct {
	Have int64 `cbor:"1,keyasint"`
	// Root is the root's hash of the tree at Have, so that the reply can hold only the difference; empty requests all
	// branches.
	Root []byte `cbor:"2,keyasint,omitempty"`
	// WaitMillis is how long the placer may delay the reply while it has nothing newer.
	WaitMillis int64 `cbor:"3,keyasint,omitempty"`
	// Follower is the name of the entry that follows this placer; empty in requests from placers.
	Follower string `cbor:"4,keyasint,omitempty"`
	// HeadOnly omits the branches from the reply.
	HeadOnly bool `cbor:"5,keyasint,omitempty"`
}

// FetchReply is a tree, or the difference to the requester's tree.
type FetchReply struct {
	// Head is empty when the placer has nothing newer.
	Head []byte `cbor:"1,keyasint,omitempty"`
	// Branches are stored forms; the receiver computes their hashes.
	Branches [][]byte `cbor:"2,keyasint,omitempty"`
	// HighestKnown is the highest revision that any process is known to have applied.
	HighestKnown int64 `cbor:"3,keyasint"`
}

// HistoryRequest requests the history: KindSettingsHistory.
type HistoryRequest struct{}

// HistoryReply is the history, newest revision first.
type HistoryReply struct {
	// Heads is a JSON array of Head.
	Heads []byte `cbor:"1,keyasint"`
}
