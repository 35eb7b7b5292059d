package settings

import (
	"strings"

	"pulleyquay/internal/result"
)

// Tree is one immutable revision of the settings tree. Effective values are computed when the tree is built; a lookup
// only walks the path.
type Tree struct {
	// Revision is the head's revision; it increases by one with each accepted change.
	Revision int64
	// ChangeID identifies the change that made this revision.
	ChangeID string

	root *node
}

var builtIn = Defaults()

// emptyRoot is the root of the tree before the first change.
var emptyRoot = newNode(Overrides{}, nil, &builtIn, &builtIn)

// Empty returns revision 0: a root that overrides nothing.
func Empty() *Tree { return &Tree{root: emptyRoot} }

// RootHash returns the address of the tree's root branch.
func (t *Tree) RootHash() Hash { return t.rootNode().hash }

func (t *Tree) rootNode() *node {
	if t == nil || t.root == nil {
		return emptyRoot
	}
	return t.root
}

// Effective returns the effective settings of a branch. It refuses a branch that the tree doesn't contain, even if
// the tree contains its parent: a misspelt path must not silently get its parent's settings.
func (t *Tree) Effective(path string) (Values, error) {
	n, err := t.find(path)
	if err != nil {
		return Values{}, err
	}
	return *n.effective, nil
}

// Branch returns the branch's own overrides.
func (t *Tree) Branch(path string) (Overrides, error) {
	n, err := t.find(path)
	if err != nil {
		return Overrides{}, err
	}
	return n.overrides, nil
}

// Has reports whether the tree contains the branch.
func (t *Tree) Has(path string) bool {
	_, err := t.find(path)
	return err == nil
}

// Paths lists every branch, parents before children, in path order.
func (t *Tree) Paths() []string {
	var out []string
	t.rootNode().each(Root, func(path string, _ *node) { out = append(out, path) })
	return out
}

// Branches returns the overrides of every branch by path, as in the file format.
func (t *Tree) Branches() map[string]Overrides {
	out := map[string]Overrides{}
	t.rootNode().each(Root, func(path string, n *node) { out[path] = n.overrides })
	return out
}

// find returns the node at the path.
func (t *Tree) find(path string) (*node, error) {
	n := t.rootNode()
	if path == Root {
		return n, nil
	}
	rest, ok := strings.CutPrefix(path, Root)
	for ok && n != nil {
		var name string
		name, rest, ok = strings.Cut(rest, "/")
		n = n.child(name)
		if n != nil && !ok {
			return n, nil
		}
	}
	if _, err := split(path); err != nil {
		return nil, err
	}
	return nil, result.New(result.SettingsUnknownBranch, result.RanNo,
		"no branch %s in revision %d", path, t.Revision).AtField(path)
}

// Explained is one effective setting with its origin.
type Explained struct {
	Name  string `json:"name"`
	Value any    `json:"value"`
	Unit  string `json:"unit,omitempty"`
	// From is the path of the branch that sets the value, or FromDefault.
	From string `json:"from"`
}

// FromDefault is the origin of a value that no branch sets.
const FromDefault = "default"

// Explain returns every effective setting of a branch with its origin.
func (t *Tree) Explain(path string) ([]Explained, error) {
	n, err := t.find(path)
	if err != nil {
		return nil, err
	}
	segments, err := split(path)
	if err != nil {
		return nil, err
	}
	from := make([]string, len(fields))
	at, atPath := t.rootNode(), Root
	for i := 0; ; i++ {
		for _, item := range at.overrides.list {
			from[item.field] = atPath
		}
		if i == len(segments) {
			break
		}
		at, atPath = at.child(segments[i]), child(atPath, segments[i])
	}
	out := make([]Explained, len(fields))
	for i := range fields {
		f := &fields[i]
		out[i] = Explained{Name: f.Name, Value: f.get(n.effective), Unit: f.Unit, From: from[i]}
		if from[i] == "" {
			out[i].From = FromDefault
		}
	}
	return out, nil
}
