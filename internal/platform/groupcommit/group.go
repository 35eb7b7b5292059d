package groupcommit

import "pulleyquay/internal/platform"

const (
	// maxOps is how many conditions or writes a group may have: one less than
	// the store takes, so that a wrapped store can add one of its own.
	maxOps = platform.MaxTxnOps - 1
	// maxBytes bounds the values of a group. The published service takes
	// requests of a megabyte and a half.
	maxBytes = platform.MaxValueBytes
)

// forming is a group to which transactions are added while they fit.
type forming struct {
	group    []*waiter
	expected map[string]platform.Revision // by condition
	written  map[string]struct{}
	bytes    int
}

// split takes from the queue the first transaction and all that fit with it,
// and returns the others in their order.
func split(queue []*waiter) (group, rest []*waiter) {
	f := forming{expected: map[string]platform.Revision{}, written: map[string]struct{}{}}
	for _, w := range queue {
		if len(f.group) > 0 && !f.fits(w.txn) {
			rest = append(rest, w)
			continue
		}
		f.add(w)
	}
	return f.group, rest
}

// fits reports whether a transaction can join without changing what any of the
// group means: it shares no written key with them, agrees on conditions, and
// leaves the group within the limits.
func (f *forming) fits(txn platform.Txn) bool {
	for _, c := range txn.If {
		if revision, ok := f.expected[c.Key]; ok && revision != c.ModRevision {
			return false
		}
		if _, ok := f.written[c.Key]; ok {
			return false
		}
	}
	bytes := f.bytes
	for _, w := range txn.Then {
		if _, ok := f.written[w.Key]; ok {
			return false
		}
		if _, ok := f.expected[w.Key]; ok {
			return false
		}
		bytes += len(w.Value)
	}
	return bytes <= maxBytes &&
		len(f.expected)+len(txn.If) <= maxOps && len(f.written)+len(txn.Then) <= maxOps
}

// add puts a transaction into the group.
func (f *forming) add(w *waiter) {
	f.group = append(f.group, w)
	for _, c := range w.txn.If {
		f.expected[c.Key] = c.ModRevision
	}
	for _, write := range w.txn.Then {
		f.written[write.Key] = struct{}{}
		f.bytes += len(write.Value)
	}
}

// merge makes one transaction of a group. Conditions that several of them share
// stand once.
func merge(group []*waiter) platform.Txn {
	if len(group) == 1 {
		return group[0].txn
	}
	var out platform.Txn
	seen := map[string]struct{}{}
	for _, w := range group {
		for _, c := range w.txn.If {
			if _, twice := seen[c.Key]; twice {
				continue
			}
			seen[c.Key] = struct{}{}
			out.If = append(out.If, c)
		}
		out.Then = append(out.Then, w.txn.Then...)
	}
	return out
}
