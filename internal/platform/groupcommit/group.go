package groupcommit

import "pulleyquay/internal/platform"

const (
	// maxOps is the maximum number of conditions or writes of a group: one less than the store's
	// limit, so that a wrapped store can add one of its own.
	maxOps = platform.MaxTxnOps - 1
	// maxBytes is the maximum total size of a group's values. The published service accepts
	// requests of 1.5 MB.
	maxBytes = platform.MaxValueBytes
)

// groupBuilder is a group that is being filled with transactions.
type groupBuilder struct {
	group       []*waiter
	expected    map[string]platform.Revision // revisions in the conditions, by key
	writtenKeys map[string]struct{}
	bytes       int
}

// split returns the first transaction of the queue with all that fit into a group with it, and
// the remaining transactions in their order.
func split(queue []*waiter) (group, rest []*waiter) {
	f := groupBuilder{expected: map[string]platform.Revision{}, writtenKeys: map[string]struct{}{}}
	for _, w := range queue {
		if len(f.group) > 0 && !f.fits(w.txn) {
			rest = append(rest, w)
			continue
		}
		f.add(w)
	}
	return f.group, rest
}

// fits reports whether a transaction can join the group without changing the effect of any
// member: it shares no written key with the group, its conditions agree with the group's, and
// the group stays within the limits.
func (f *groupBuilder) fits(txn platform.Txn) bool {
	for _, c := range txn.If {
		if revision, ok := f.expected[c.Key]; ok && revision != c.ModRevision {
			return false
		}
		if _, ok := f.writtenKeys[c.Key]; ok {
			return false
		}
	}
	bytes := f.bytes
	for _, w := range txn.Then {
		if _, ok := f.writtenKeys[w.Key]; ok {
			return false
		}
		if _, ok := f.expected[w.Key]; ok {
			return false
		}
		bytes += len(w.Value)
	}
	return bytes <= maxBytes &&
		len(f.expected)+len(txn.If) <= maxOps && len(f.writtenKeys)+len(txn.Then) <= maxOps
}

// add adds a transaction to the group.
func (f *groupBuilder) add(w *waiter) {
	f.group = append(f.group, w)
	for _, c := range w.txn.If {
		f.expected[c.Key] = c.ModRevision
	}
	for _, write := range w.txn.Then {
		f.writtenKeys[write.Key] = struct{}{}
		f.bytes += len(write.Value)
	}
}

// merge combines a group into one transaction. A condition that several members share is
// included once.
func merge(group []*waiter) platform.Txn {
	if len(group) == 1 {
		return group[0].txn
	}
	var out platform.Txn
	seen := map[string]struct{}{}
	for _, w := range group {
		for _, c := range w.txn.If {
			if _, included := seen[c.Key]; included {
				continue
			}
			seen[c.Key] = struct{}{}
			out.If = append(out.If, c)
		}
		out.Then = append(out.Then, w.txn.Then...)
	}
	return out
}
