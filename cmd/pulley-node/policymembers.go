package main

import (
	"sync"
	"time"

	"pulleyquay/internal/advice"
	"pulleyquay/internal/cell"
)

// policyMembers has the members that can query the policy service. Each member has at most one query in flight.
type policyMembers struct {
	view *cell.View

	mu      sync.Mutex
	list    []cell.Member // from which members was built
	members *advice.Members
}

// current returns the present members, the same as before unless a member has changed.
func (p *policyMembers) current() *advice.Members {
	list := p.view.Members(time.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members != nil && sameSlice(list, p.list) {
		return p.members
	}
	p.list, p.members = list, &advice.Members{Addrs: map[string]string{}}
	for _, m := range list {
		p.members.Names = append(p.members.Names, m.Name)
		p.members.Addrs[m.Name] = m.Addr
	}
	return p.members
}

// sameSlice reports whether two slices are the same part of the same array.
func sameSlice(a, b []cell.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
