package settings

// linker builds the nodes below a root from stored forms. It shares unchanged nodes with the previous tree.
type linker struct {
	pools   []map[Hash][]byte
	missing []Hash
	err     error
}

// link returns the node of the hash, or nil when the node or one of its descendants is missing.
func (l *linker) link(hash Hash, before *node, inherited *Values) *node {
	if before != nil && before.hash == hash && (before.inherited == inherited || *before.inherited == *inherited) {
		return before
	}
	c, size, ok := l.content(hash, before)
	if !ok {
		return nil
	}
	effective := effectiveOf(c.Overrides, inherited)
	children := make([]link, 0, len(c.Children))
	for _, name := range sortedNames(c.Children) {
		if below := l.link(c.Children[name], before.child(name), effective); below != nil {
			children = append(children, link{name, below})
		}
	}
	if len(children) < len(c.Children) {
		return nil
	}
	n := hashedNode(hash, c.Overrides, children, inherited, effective)
	n.bytes += size
	return n
}

// content returns a branch's content and stored size from the previous tree or the pools.
func (l *linker) content(hash Hash, before *node) (c content, size int, ok bool) {
	if before != nil && before.hash == hash {
		c = content{Overrides: before.overrides, Children: map[string]Hash{}}
		size = before.bytes
		for _, below := range before.children {
			c.Children[below.name] = below.node.hash
			size -= below.node.bytes
		}
		return c, size, true
	}
	for _, pool := range l.pools {
		data, ok := pool[hash]
		if !ok {
			continue
		}
		c, err := decodeContent(hash, data)
		if err != nil {
			l.err = err
		}
		return c, len(data), err == nil
	}
	l.missing = append(l.missing, hash)
	return content{}, 0, false
}
