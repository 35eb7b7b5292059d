package job

import (
	"sort"
	"sync"
	"time"

	"pulleyquay/internal/settings"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
)

const (
	// minShare is the smallest number of tasks requested from one holder before the next one is
	// asked too, as a message costs more than a task in it.
	minShare = 16
	// assumedSlots is the number of slots requested from a holder without a digest.
	assumedSlots = 16
	// requestedLifetime is how long requested capacity is subtracted from a holder's digest if no
	// newer digest arrives.
	requestedLifetime = 3 * time.Second
)

// holder is a member that can be asked to start tasks.
type holder struct {
	member      string
	incarnation string
	addr        string
	digest      taskmsg.Digest
	hasDigest   bool // digest is set
}

// holderListTTL is how long the list of holders with their digests is reused. Digests arrive with
// heartbeats, at an interval several times as long.
const holderListTTL = 100 * time.Millisecond

// holderList is the latest list of holders, shared by the job owners of a process.
type holderList struct {
	mu    sync.Mutex
	table int64 // table revision
	until time.Time
	list  []holder
}

// holders returns the holders with their digests, at most holderListTTL old.
func (m *Manager) holders(t *view.Table, now time.Time) []holder {
	l := &m.holderList
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Revision != l.table || !now.Before(l.until) {
		l.list = listHolders(t, m.cfg.Digests())
		l.table, l.until = t.Revision, now.Add(holderListTTL)
	}
	return l.list
}

// listHolders returns the members that hold partitions and accept tasks, sorted by name.
func listHolders(t *view.Table, digests map[string]taskmsg.Digest) []holder {
	holding := map[string]bool{}
	for _, p := range t.Partitions {
		holding[p.Incarnation] = true
	}
	var out []holder
	for _, m := range t.Members {
		d, hasDigest := digests[m.Name]
		if m.Leaving || !holding[m.Incarnation] || (hasDigest && d.Workers == 0) {
			continue
		}
		out = append(out, holder{m.Name, m.Incarnation, m.Addr, d, hasDigest})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].member < out[b].member })
	return out
}

// share is a holder with the number n of tasks to request from it.
type share struct {
	holder
	freeSlots int
	n         int
}

// distribute divides n tasks among holders with free slots: with the packing policy the fullest
// holder first, otherwise in proportion to the free slots, so that all holders start tasks in
// parallel.
func distribute(n int, shares []share, policy string) {
	total := 0
	for _, s := range shares {
		total += s.freeSlots
	}
	n = min(n, total)
	if policy == settings.PolicyPacking {
		sort.SliceStable(shares, func(a, b int) bool { return shares[a].freeSlots < shares[b].freeSlots })
		for i := range shares {
			shares[i].n = min(n, shares[i].freeSlots)
			n -= shares[i].n
		}
		return
	}
	sort.SliceStable(shares, func(a, b int) bool { return shares[a].freeSlots > shares[b].freeSlots })
	left := n
	for i := range shares {
		part := max((n*shares[i].freeSlots+total-1)/max(total, 1), minShare)
		shares[i].n = min(part, left, shares[i].freeSlots)
		left -= shares[i].n
	}
}
