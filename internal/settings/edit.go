package settings

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"pulleyquay/internal/result"
)

// Edit replaces a branch's whole override object, or removes the branch when
// Overrides is nil.
type Edit struct {
	Path      string     `json:"path"`
	Overrides *Overrides `json:"overrides"`
}

// editNode is a node of the trie of one change's edits.
type editNode struct {
	edit     *Edit
	children map[string]*editNode
}

// editTrie builds the trie of the edits and refuses malformed and repeated paths.
func editTrie(edits []Edit) (*editNode, error) {
	if len(edits) == 0 {
		return nil, result.New(result.SettingsNothingToChange, result.RanNo, "no branch is named")
	}
	if len(edits) > MaxEdits {
		return nil, result.New(result.SettingsTooLarge, result.RanNo, "%d branches in one change, %d allowed", len(edits), MaxEdits)
	}
	top := &editNode{}
	for i := range edits {
		segments, err := split(edits[i].Path)
		if err != nil {
			return nil, err
		}
		at := top
		for _, s := range segments {
			next := at.children[s]
			if next == nil {
				if at.children == nil {
					at.children = map[string]*editNode{}
				}
				next = &editNode{}
				at.children[s] = next
			}
			at = next
		}
		if at.edit != nil {
			return nil, result.New(result.SettingsBadPath, result.RanNo, "the branch is named twice").AtField(edits[i].Path)
		}
		at.edit = &edits[i]
	}
	return top, nil
}

// rewrite applies one change to a tree.
type rewrite struct {
	// fresh lists the nodes that the old tree does not have at the same path.
	fresh []*node
}

// applyEdits returns the root that results from applying the edits to t, and the nodes that are new. It validates
// all effective values of every branch whose effective values change.
func (t *Tree) applyEdits(edits []Edit) (root *node, fresh []*node, err error) {
	trie, err := editTrie(edits)
	if err != nil {
		return nil, nil, err
	}
	if trie.edit != nil && trie.edit.Overrides == nil {
		return nil, nil, result.New(result.SettingsBranchInUse, result.RanNo, "the root stays").AtField(Root)
	}
	var w rewrite
	root, err = w.branch(Root, t.rootNode(), trie, &builtIn)
	if err != nil {
		return nil, nil, err
	}
	if root.bytes > MaxTreeBytes {
		return nil, nil, result.New(result.SettingsTooLarge, result.RanNo, "the tree would have %d bytes, %d allowed", root.bytes, MaxTreeBytes)
	}
	return root, w.fresh, nil
}

// branch rewrites one edited branch; old is nil for a new branch. It returns nil for a removed branch.
func (w *rewrite) branch(path string, old *node, e *editNode, inherited *Values) (*node, error) {
	var overrides Overrides
	switch {
	case old == nil && (e.edit == nil || e.edit.Overrides == nil):
		return nil, result.New(result.SettingsUnknownBranch, result.RanNo, "no such branch, and the change does not create it").AtField(path)
	case e.edit == nil:
		overrides = old.overrides
	case e.edit.Overrides != nil:
		overrides = *e.edit.Overrides
	}
	effective := effectiveOf(overrides, inherited)
	children, err := w.children(path, old, e, effective)
	if err != nil {
		return nil, err
	}
	if e.edit != nil && e.edit.Overrides == nil {
		if len(children) > 0 {
			return nil, result.New(result.SettingsBranchInUse, result.RanNo, "%s and %d more children stay", children[0].name, len(children)-1).AtField(path)
		}
		return nil, nil
	}
	if err := checkBranch(path, inherited, effective); err != nil {
		return nil, err
	}
	n := newNode(overrides, children, inherited, effective)
	if old == nil || old.hash != n.hash {
		w.fresh = append(w.fresh, n)
	}
	return n, nil
}

// children returns a branch's children after the change.
func (w *rewrite) children(path string, old *node, e *editNode, effective *Values) ([]link, error) {
	var out []link
	if old != nil {
		for _, l := range old.children {
			if e.children[l.name] != nil {
				continue
			}
			unedited, err := inherit(child(path, l.name), l.node, effective)
			if err != nil {
				return nil, err
			}
			out = append(out, link{l.name, unedited})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(e.children)) {
		n, err := w.branch(child(path, name), old.child(name), e.children[name], effective)
		if err != nil {
			return nil, err
		}
		if n != nil {
			out = append(out, link{name, n})
		}
	}
	if len(out) > MaxChildren {
		return nil, result.New(result.SettingsTooLarge, result.RanNo, "%d children, %d allowed", len(out), MaxChildren).AtField(path)
	}
	slices.SortFunc(out, func(a, b link) int { return strings.Compare(a.name, b.name) })
	return out, nil
}

// inherit returns an unedited branch under new inherited values: the branch itself if the values are equal, else a
// validated copy of the branch and its descendants.
func inherit(path string, n *node, inherited *Values) (*node, error) {
	if n.inherited == inherited || *n.inherited == *inherited {
		return n, nil
	}
	effective := effectiveOf(n.overrides, inherited)
	if err := checkBranch(path, inherited, effective); err != nil {
		return nil, err
	}
	children := make([]link, len(n.children))
	for i, l := range n.children {
		c, err := inherit(child(path, l.name), l.node, effective)
		if err != nil {
			return nil, err
		}
		children[i] = link{l.name, c}
	}
	copied := hashedNode(n.hash, n.overrides, children, inherited, effective)
	copied.bytes = n.bytes
	return copied, nil
}

// checkBranch validates a branch's effective values unless they are identical to its parent's.
func checkBranch(path string, inherited, effective *Values) error {
	if inherited == effective && path != Root {
		return nil
	}
	return check(path, effective)
}

// ParseBranches parses the file format: an object that maps branch paths to override objects, or to null to remove
// the branch. It refuses a repeated path.
func ParseBranches(data []byte) ([]Edit, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	var edits []Edit
	err := eachMember(d, "", func(path string) error {
		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return err
		}
		edit := Edit{Path: path}
		if string(raw) != "null" {
			o, err := ParseOverrides(raw)
			if err != nil {
				return addBranchPath(path, err)
			}
			edit.Overrides = &o
		}
		edits = append(edits, edit)
		return nil
	})
	if err == nil {
		err = expectEOF(d)
	}
	if err != nil {
		return nil, asInputError(err)
	}
	return edits, nil
}

// addBranchPath prefixes the error's field with the branch's path.
func addBranchPath(path string, err error) error {
	e := result.From(err)
	if e.Field == "" {
		return e.AtField(path)
	}
	return e.AtField(path + ":" + e.Field)
}

// Parse parses the file format into a validated tree of revision 1. The root may be omitted.
func Parse(data []byte) (*Tree, error) {
	edits, err := ParseBranches(data)
	if err != nil {
		return nil, err
	}
	return Empty().Edited(edits, 1, "")
}

// Edited returns the validated tree that results from applying the edits to t.
func (t *Tree) Edited(edits []Edit, revision int64, changeID string) (*Tree, error) {
	root, _, err := t.applyEdits(edits)
	if err != nil {
		return nil, err
	}
	return &Tree{Revision: revision, ChangeID: changeID, root: root}, nil
}
