package settings

import (
	"context"
	"slices"
	"strings"
	"sync"

	"pulleyquay/internal/platform"
)

// fakeStore is a store in memory whose faults a test switches on. It keeps
// every write, so that a watch can start anywhere.
type fakeStore struct {
	mu      sync.Mutex
	rev     platform.Revision
	records map[string]platform.Record
	log     []platform.Batch
	grown   chan struct{}
	// down refuses every call without effect and breaks watches.
	down bool
	// cut refuses the calls of this client only; see as.
	commits, lists int

	// Faults of the next commits: lose applies and hides the answer, delay
	// hides the answer and applies when the test calls land.
	lose, delay int
	delayed     []platform.Txn
	// staleHead answers reads of the head with this record once.
	staleHead *platform.Record
	// holdWatch keeps watches silent; dropWatch ends them.
	holdWatch bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{records: map[string]platform.Record{}, grown: make(chan struct{})}
}

func (s *fakeStore) wake() {
	close(s.grown)
	s.grown = make(chan struct{})
}

// set changes the faults under the lock.
func (s *fakeStore) set(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
	s.wake()
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]platform.Record, platform.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.down {
		return nil, 0, platform.ErrUnavailable
	}
	if prefix == headKey && s.staleHead != nil {
		r := *s.staleHead
		s.staleHead = nil
		return []platform.Record{r}, r.ModRevision, nil
	}
	var out []platform.Record
	for key, r := range s.records {
		if strings.HasPrefix(key, prefix) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b platform.Record) int { return strings.Compare(a.Key, b.Key) })
	return out, s.rev, nil
}

func (s *fakeStore) Commit(_ context.Context, txn platform.Txn) (platform.TxnReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	if s.down {
		return platform.TxnReply{}, platform.ErrUnavailable
	}
	if s.delay > 0 {
		s.delay--
		s.delayed = append(s.delayed, txn)
		return platform.TxnReply{}, platform.ErrUnknownOutcome
	}
	reply := s.apply(txn)
	if s.lose > 0 {
		s.lose--
		return platform.TxnReply{}, platform.ErrUnknownOutcome
	}
	return reply, nil
}

// land applies the delayed transactions.
func (s *fakeStore) land() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, txn := range s.delayed {
		s.apply(txn)
	}
	s.delayed = nil
}

func (s *fakeStore) apply(txn platform.Txn) platform.TxnReply {
	for _, c := range txn.If {
		if s.records[c.Key].ModRevision != c.ModRevision {
			return platform.TxnReply{Revision: s.rev, Found: s.found(txn)}
		}
	}
	s.rev++
	batch := platform.Batch{Revision: s.rev}
	for _, w := range txn.Then {
		r := platform.Record{Key: w.Key, Value: w.Value, ModRevision: s.rev}
		if w.Delete {
			delete(s.records, w.Key)
		} else {
			s.records[w.Key] = r
		}
		batch.Changes = append(batch.Changes, platform.Change{Record: r, Deleted: w.Delete})
	}
	s.log = append(s.log, batch)
	s.wake()
	return platform.TxnReply{Applied: true, Revision: s.rev}
}

func (s *fakeStore) found(txn platform.Txn) []platform.Record {
	var out []platform.Record
	for _, c := range txn.If {
		if r, ok := s.records[c.Key]; ok {
			out = append(out, r)
		}
	}
	return out
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, after platform.Revision, fn func(platform.Batch)) error {
	for {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			return platform.ErrUnavailable
		}
		var next *platform.Batch
		if !s.holdWatch {
			next = s.nextBatch(prefix, after)
		}
		grown := s.grown
		s.mu.Unlock()
		if next != nil {
			fn(*next)
			after = next.Revision
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-grown:
		}
	}
}

func (s *fakeStore) nextBatch(prefix string, after platform.Revision) *platform.Batch {
	for _, b := range s.log {
		if b.Revision <= after {
			continue
		}
		out := platform.Batch{Revision: b.Revision}
		for _, c := range b.Changes {
			if strings.HasPrefix(c.Key, prefix) {
				out.Changes = append(out.Changes, c)
			}
		}
		return &out
	}
	return nil
}

func (s *fakeStore) Grant(context.Context, int64) (platform.LeaseID, error) { return 1, nil }
func (s *fakeStore) KeepAlive(context.Context, platform.LeaseID) error      { return nil }
func (s *fakeStore) Revoke(context.Context, platform.LeaseID) error         { return nil }
func (s *fakeStore) head() Head {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, err := decodeHead(s.records[headKey].Value)
	if err != nil {
		return Head{}
	}
	return h
}
