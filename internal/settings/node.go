package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"pulleyquay/internal/result"
)

// Hash is the SHA-256 of a branch's stored content, and the branch's address in the store.
type Hash [sha256.Size]byte

// String returns the hash in lower-case hexadecimal, as in store keys.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText returns the hash in the form of String.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText parses the form of String.
func (h *Hash) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(h) {
		return result.New(result.SettingsCorrupt, result.RanNo, "%q is no hash", text)
	}
	copy(h[:], raw)
	return nil
}

// content is the stored form of one branch: a node of a Merkle tree. A branch's content determines all of its
// descendants.
type content struct {
	Overrides Overrides       `json:"overrides"`
	Children  map[string]Hash `json:"children,omitempty"`
}

// decodeContent decodes stored bytes after verifying that they match the hash.
func decodeContent(hash Hash, data []byte) (content, error) {
	var c content
	if sha256.Sum256(data) != hash {
		return c, result.New(result.SettingsCorrupt, result.RanNo, "branch %s does not match its hash", hash)
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return c, result.New(result.SettingsCorrupt, result.RanNo, "branch %s: %v (written by a newer version?)", hash, err)
	}
	return c, nil
}

// node is one branch in memory. Nodes are immutable. Trees of successive revisions share the nodes that are unchanged
// and whose inherited values are unchanged.
type node struct {
	hash      Hash
	overrides Overrides
	children  []link // sorted by name
	// inherited points to the parent's effective values; effective is the same pointer if the branch overrides
	// nothing.
	inherited, effective *Values
	// bytes is the stored size of this branch and its descendants.
	bytes int
}

// link is a named child.
type link struct {
	name string
	node *node
}

// newNode returns a node of validated parts, with its hash computed.
func newNode(o Overrides, children []link, inherited, effective *Values) *node {
	n := hashedNode(Hash{}, o, children, inherited, effective)
	data := n.encode()
	n.hash = sha256.Sum256(data)
	n.bytes += len(data)
	return n
}

// hashedNode returns a node with the given hash. The caller must add the node's own stored size to bytes.
func hashedNode(hash Hash, o Overrides, children []link, inherited, effective *Values) *node {
	n := &node{hash: hash, overrides: o, children: children, inherited: inherited, effective: effective}
	for _, l := range children {
		n.bytes += l.node.bytes
	}
	return n
}

// encode returns the stored form; equal nodes have equal stored forms.
func (n *node) encode() []byte {
	c := content{Overrides: n.overrides}
	if len(n.children) > 0 {
		c.Children = make(map[string]Hash, len(n.children))
		for _, l := range n.children {
			c.Children[l.name] = l.node.hash
		}
	}
	data, err := json.Marshal(c)
	if err != nil {
		panic("settings: a branch always encodes: " + err.Error())
	}
	return data
}

// child returns the child of that name, or nil.
func (n *node) child(name string) *node {
	if n == nil {
		return nil
	}
	i, found := slices.BinarySearchFunc(n.children, name, func(l link, name string) int { return strings.Compare(l.name, name) })
	if !found {
		return nil
	}
	return n.children[i].node
}

// each calls fn for n and all of its descendants, parents first, in path order.
func (n *node) each(path string, fn func(path string, n *node)) {
	fn(path, n)
	for _, l := range n.children {
		l.node.each(child(path, l.name), fn)
	}
}

// effectiveOf returns the effective values of a branch with overrides o.
func effectiveOf(o Overrides, inherited *Values) *Values {
	if o.Len() == 0 {
		return inherited
	}
	v := o.Apply(*inherited)
	return &v
}

func sortedNames(children map[string]Hash) []string {
	return slices.Sorted(maps.Keys(children))
}
