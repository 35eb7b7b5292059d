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

// editNode is a trie of the edits of one change.
type editNode struct {
	edit     *Edit
	children map[string]*editNode
}

// editTrie orders edits by path and refuses malformed and repeated ones.
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
			return nil, result.New(result.SettingsBadPath, result.RanNo, "the branch is named twice").At(edits[i].Path)
		}
		at.edit = &edits[i]
	}
	return top, nil
}

// rewrite carries one change through a tree.
type rewrite struct {
	// fresh are the nodes that the old tree does not have at the same path.
	fresh []*node
}

// edited returns the root that the edits make of t and the nodes that are new.
// The whole of every branch whose effective values change is checked.
func (t *Tree) edited(edits []Edit) (root *node, fresh []*node, err error) {
	trie, err := editTrie(edits)
	if err != nil {
		return nil, nil, err
	}
	if trie.edit != nil && trie.edit.Overrides == nil {
		return nil, nil, result.New(result.SettingsBranchInUse, result.RanNo, "the root stays").At(Root)
	}
	var w rewrite
	root, err = w.branch(Root, t.top(), trie, &builtIn)
	if err != nil {
		return nil, nil, err
	}
	if root.bytes > MaxTreeBytes {
		return nil, nil, result.New(result.SettingsTooLarge, result.RanNo, "the tree would have %d bytes, %d allowed", root.bytes, MaxTreeBytes)
	}
	return root, w.fresh, nil
}

// branch rewrites one edited branch; old is nil for a new one. It returns nil
// for a removed one.
func (w *rewrite) branch(path string, old *node, e *editNode, inherited *Values) (*node, error) {
	var overrides Overrides
	switch {
	case old == nil && (e.edit == nil || e.edit.Overrides == nil):
		return nil, result.New(result.SettingsUnknownBranch, result.RanNo, "no such branch, and the change does not create it").At(path)
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
			return nil, result.New(result.SettingsBranchInUse, result.RanNo, "%s and %d more children stay", children[0].name, len(children)-1).At(path)
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
			kept, err := inherit(child(path, l.name), l.node, effective)
			if err != nil {
				return nil, err
			}
			out = append(out, link{l.name, kept})
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
		return nil, result.New(result.SettingsTooLarge, result.RanNo, "%d children, %d allowed", len(out), MaxChildren).At(path)
	}
	slices.SortFunc(out, func(a, b link) int { return strings.Compare(a.name, b.name) })
	return out, nil
}

// inherit returns an unedited branch under new inherited values: itself where
// they are the same, else a checked copy of everything below.
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

// checkBranch checks effective values unless they are the parent's own.
func checkBranch(path string, inherited, effective *Values) error {
	if inherited == effective && path != Root {
		return nil
	}
	return check(path, effective)
}

// ParseBranches reads the file format: an object of branch paths, each with its
// override object, or null for a branch to remove. A repeated path is refused.
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
				return inBranch(path, err)
			}
			edit.Overrides = &o
		}
		edits = append(edits, edit)
		return nil
	})
	if err == nil {
		err = atEnd(d)
	}
	if err != nil {
		return nil, asInputError(err)
	}
	return edits, nil
}

// inBranch puts the branch's path before the field of a refused override.
func inBranch(path string, err error) error {
	e := result.From(err)
	if e.Field == "" {
		return e.At(path)
	}
	return e.At(path + ":" + e.Field)
}

// Parse makes a tree of the file format, checked whole, as revision 1. The root
// need not be named.
func Parse(data []byte) (*Tree, error) {
	edits, err := ParseBranches(data)
	if err != nil {
		return nil, err
	}
	return Empty().Edited(edits, 1, "")
}

// Edited returns the tree that the edits make of t, checked whole.
func (t *Tree) Edited(edits []Edit, revision int64, changeID string) (*Tree, error) {
	root, _, err := t.edited(edits)
	if err != nil {
		return nil, err
	}
	return &Tree{Revision: revision, ChangeID: changeID, root: root}, nil
}
