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
	// minShare is how many tasks are asked of one holder before the next is
	// asked too, as a message costs more than a task in it.
	minShare = 16
	// assumedSlots is how many slots a holder without a digest is asked for.
	assumedSlots = 16
	// requestedLifetime is how long what was asked of a holder is taken off its
	// digest when no newer digest comes.
	requestedLifetime = 3 * time.Second
)

// holder is a member that may be asked to start tasks.
type holder struct {
	member      string
	incarnation string
	addr        string
	digest      taskmsg.Digest
	hasDigest   bool // digest holds
}

// holderListTTL is for how long the list of holders with their digests is used
// before it is made anew. Digests come with heartbeats, several times as seldom.
const holderListTTL = 100 * time.Millisecond

// holderList is the latest list of holders; the homes of a process share it.
type holderList struct {
	mu    sync.Mutex
	table int64 // revision
	until time.Time
	list  []holder
}

// holders returns the holders with their digests as of a moment ago.
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

// listHolders returns the members that hold partitions and take work, in a fixed
// order.
func listHolders(t *view.Table, digests map[string]taskmsg.Digest) []holder {
	holding := map[string]bool{}
	for _, p := range t.Partitions {
		holding[p.Incarnation] = true
	}
	var out []holder
	for _, m := range t.Members {
		d, known := digests[m.Name]
		if m.Leaving || !holding[m.Incarnation] || (known && d.Workers == 0) {
			continue
		}
		out = append(out, holder{m.Name, m.Incarnation, m.Addr, d, known})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].member < out[b].member })
	return out
}

// share is how many tasks to ask of one holder.
type share struct {
	holder
	freeSlots int
	n         int
}

// distribute spreads n tasks over holders with room: by the packing policy the
// fullest holder first, else in proportion to room so that all start at once.
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
