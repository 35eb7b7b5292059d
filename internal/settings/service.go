package settings

import "strings"

// ServiceBranch returns the branch that governs a service. A service's name is its branch's path with dots for
// slashes: lakeshore.ledger is governed by /lakeshore/ledger, which inherits from /lakeshore. Branch names contain
// no dots.
func ServiceBranch(service string) string {
	return "/" + strings.ReplaceAll(service, ".", "/")
}

// ServiceValues returns the effective settings of a service; false when the
// tree, which may be nil, has no such branch.
func ServiceValues(t *Tree, service string) (Values, bool) {
	return BranchValues(t, ServiceBranch(service))
}

// BranchValues returns the effective settings of a branch; false when the tree,
// which may be nil, has no such branch.
func BranchValues(t *Tree, branch string) (Values, bool) {
	if t == nil {
		return Values{}, false
	}
	v, err := t.Effective(branch)
	return v, err == nil
}
