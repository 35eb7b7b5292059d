package settings

// Tree is one immutable revision of the settings tree.
type Tree struct {
	// Revision is the head's revision; it grows with each accepted change.
	Revision int64
	// ChangeID names the change that made this revision.
	ChangeID string
}
