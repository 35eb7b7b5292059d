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

// Hash is the SHA-256 of a branch's stored content and so its address.
type Hash [sha256.Size]byte

// String gives the hash in lower-case hexadecimal, as in store keys.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText writes the hash as String does.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads what MarshalText wrote.
func (h *Hash) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(h) {
		return result.New(result.SettingsDamaged, result.RanNo, "%q is no hash", text)
	}
	copy(h[:], raw)
	return nil
}

// content is what the store holds of one branch: a node of a Merkle tree. The
// content of a branch fixes everything below it.
type content struct {
	Overrides Overrides       `json:"overrides"`
	Children  map[string]Hash `json:"children,omitempty"`
}

// decodeContent reads stored bytes and proves that they belong to the hash.
func decodeContent(hash Hash, data []byte) (content, error) {
	var c content
	if sha256.Sum256(data) != hash {
		return c, result.New(result.SettingsDamaged, result.RanNo, "branch %s does not match its hash", hash)
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return c, result.New(result.SettingsDamaged, result.RanNo, "branch %s: %v (written by a newer version?)", hash, err)
	}
	return c, nil
}

// node is one branch in memory. Nodes are immutable and shared by the trees of
// successive revisions where neither they nor their parents changed.
type node struct {
	hash      Hash
	overrides Overrides
	children  []link // in the order of names
	// inherited are the parent's effective values; effective is the same
	// pointer where the branch overrides nothing.
	inherited, effective *Values
	// bytes is the stored size of this branch and all below it.
	bytes int
}

// link is a named child.
type link struct {
	name string
	node *node
}

// newNode makes a node from checked parts and works out its hash.
func newNode(o Overrides, children []link, inherited, effective *Values) *node {
	n := hashedNode(Hash{}, o, children, inherited, effective)
	data := n.encode()
	n.hash = sha256.Sum256(data)
	n.bytes += len(data)
	return n
}

// hashedNode makes a node whose hash is known. Its own stored size is still to
// be added to bytes.
func hashedNode(hash Hash, o Overrides, children []link, inherited, effective *Values) *node {
	n := &node{hash: hash, overrides: o, children: children, inherited: inherited, effective: effective}
	for _, l := range children {
		n.bytes += l.node.bytes
	}
	return n
}

// encode gives the stored form; equal nodes give equal bytes.
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

// child finds a child by name; nil when there is none.
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

// each calls fn for n and everything below it, parents first, in path order.
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
