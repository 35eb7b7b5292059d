package settings

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
	"pulleyquay/internal/wait"
)

const (
	// changeTimeout bounds the work on one change, without the wait for other members to apply it.
	changeTimeout = 8 * time.Second
	// maxConflicts is how often a change is retried because another change was swapped first.
	maxConflicts = 32
	// storeDownRetryAfter is the Retry-After of a refusal caused by the store.
	storeDownRetryAfter = 2 * time.Second
)

// prepared is a parsed, well-formed change.
type prepared struct {
	Change
	edits  []Edit
	digest Hash
}

// prepare parses a change and computes the digest that distinguishes it from others with the same id.
func prepare(c Change) (prepared, error) {
	p := prepared{Change: c}
	if _, err := uuid.Parse(c.ID); err != nil {
		return p, result.New(result.BadInput, result.RanNo, "the change id is no UUID: %v", err).AtField("change_id")
	}
	if c.Rollback {
		p.digest = sha256.Sum256([]byte("rollback " + strconv.FormatInt(c.RollbackTo, 10)))
		return p, nil
	}
	edits, err := ParseBranches(c.Branches)
	if err != nil {
		return p, err
	}
	slices.SortFunc(edits, func(a, b Edit) int { return cmp.Compare(a.Path, b.Path) })
	canonical, err := json.Marshal(edits)
	if err != nil {
		return p, err
	}
	p.edits, p.digest = edits, sha256.Sum256(canonical)
	return p, nil
}

// Change makes an operator's change: it validates the change as a whole against the head and accepts it by one
// compare-and-swap, or returns the reason for the refusal. After an error with ran: unknown
// (SettingsOutcomeUnknown), sending the change again with the same id determines the outcome.
func (m *Manager) Change(ctx context.Context, c Change) (Accepted, error) {
	accepted, err := m.change(ctx, c)
	if err != nil {
		m.counters.changes.WithLabelValues(strconv.Itoa(int(result.CodeOf(err)))).Inc()
		return Accepted{}, err
	}
	m.counters.changes.WithLabelValues("0").Inc()
	if c.WaitMillis > 0 {
		accepted.NotApplied = m.waitApplied(ctx, accepted.Revision, time.Duration(c.WaitMillis)*time.Millisecond)
	}
	return accepted, nil
}

func (m *Manager) change(ctx context.Context, c Change) (Accepted, error) {
	p, err := prepare(c)
	if err != nil {
		return Accepted{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	a := attempt{m: m, p: p}
	return a.run(ctx)
}

// attempt is the processing of one change until it is accepted or refused.
type attempt struct {
	m *Manager
	p prepared
	// uncertain is true while the outcome of a swap that was sent is unknown. Such a swap can still take effect as
	// long as the head has not moved.
	uncertain bool
}

// run retries until the change is accepted or refused, or ctx ends.
func (a *attempt) run(ctx context.Context) (Accepted, error) {
	retryBackoff, conflictBackoff := newRetryBackoff(), newConflictBackoff()
	for conflicts := 0; conflicts < maxConflicts; {
		err := a.syncHistory(ctx)
		if err == nil {
			var accepted Accepted
			var moved bool
			accepted, moved, err = a.tryOnce(ctx)
			if err == nil && !moved {
				return accepted, nil
			}
			if err == nil {
				conflicts++
				wait.For(ctx, conflictBackoff.NextBackOff())
				continue
			}
		}
		if !isStoreError(err) {
			return Accepted{}, err
		}
		if !a.uncertain {
			return Accepted{}, a.withUncertainOutcome(result.New(result.SettingsStoreDown, result.RanNo, "%v", err).WithRetryAfter(storeDownRetryAfter))
		}
		wait.For(ctx, retryBackoff.NextBackOff())
		if ctx.Err() != nil {
			return Accepted{}, result.New(result.SettingsOutcomeUnknown, result.RanUnknown,
				"sent to the store, which then gave no answer (%v); repeat the change with id %s", err, a.p.ID).WithRetryAfter(storeDownRetryAfter)
		}
	}
	return Accepted{}, a.withUncertainOutcome(result.New(result.SettingsContention, result.RanNo, "%d other changes came first", maxConflicts).WithRetryAfter(storeDownRetryAfter))
}

// withUncertainOutcome returns a refusal with an unknown outcome, unless the change was never submitted before and no
// swap of it is uncertain: an earlier submission or swap may have been accepted.
func (a *attempt) withUncertainOutcome(e *result.Error) error {
	if a.p.First && !a.uncertain {
		return e
	}
	unknown := *e
	unknown.Ran = result.RanUnknown
	return &unknown
}

// storeError marks a failed call to the store, as opposed to a refusal.
type storeError struct{ err error }

func (e *storeError) Error() string { return e.err.Error() }
func (e *storeError) Unwrap() error { return e.err }

func isStoreError(err error) bool {
	var s *storeError
	return errors.As(err, &s)
}

// syncHistory makes sure that the head's record and the history since the change's base are in memory.
func (a *attempt) syncHistory(ctx context.Context) error {
	m := a.m
	s := m.replica.snapshot()
	if a.uncertain || s.tree == nil || s.tree.Revision < max(s.highestKnown, a.p.Base) || (s.mod == 0 && s.tree.Revision > 0) {
		if _, err := m.refresh(ctx); err != nil {
			return &storeError{err}
		}
		s = m.replica.snapshot()
	}
	from := max(a.p.Base+1, s.tree.Revision-HistoryLimit+1)
	if _, ok := m.replica.historyRange(from, s.tree.Revision); ok {
		return nil
	}
	if err := m.loadHistory(ctx); err != nil {
		return &storeError{err}
	}
	return nil
}

// tryOnce evaluates the change against the head and swaps the head. moved is true when another change was swapped
// first.
func (a *attempt) tryOnce(ctx context.Context) (accepted Accepted, moved bool, err error) {
	m := a.m
	s := m.replica.snapshot()
	if done, ok, err := a.findAccepted(s); ok || err != nil {
		return done, false, err
	}
	head, root, fresh, err := a.evaluate(ctx, s)
	if errors.Is(err, errHistoryGap) {
		return Accepted{}, true, nil
	}
	if err != nil {
		moved, err = a.confirmRefusal(ctx, s, err)
		return Accepted{}, moved, err
	}
	swap, err := m.swapTxn(ctx, s, head, fresh)
	if err != nil {
		return Accepted{}, false, err
	}
	reply, err := m.commit(ctx, swap)
	if err != nil {
		a.uncertain = a.uncertain || !errors.Is(err, platform.ErrUnavailable)
		return Accepted{}, false, &storeError{err}
	}
	if !reply.Applied {
		return Accepted{}, true, m.applyFoundHead(ctx, s, reply)
	}
	m.activateOwn(head, reply.Revision, root)
	return Accepted{Revision: head.Revision, ChangeID: a.p.ID}, false, nil
}

// evaluate returns the head that results from applying the change to s, or the reason for refusing the change.
func (a *attempt) evaluate(ctx context.Context, s snapshot) (Head, *node, []*node, error) {
	if err := a.checkBase(s); err != nil {
		return Head{}, nil, nil, err
	}
	return a.newHead(ctx, s)
}

// confirmRefusal returns the refusal once the store has confirmed that s is the current head: evaluated against an
// older head, a change could be refused that has been accepted since. After the confirmation, a swap of the same
// change that another placer has in flight can't take effect either: it is based on this head, against which the
// change is refused, or on an earlier one, so that its condition fails.
func (a *attempt) confirmRefusal(ctx context.Context, s snapshot, refusal error) (moved bool, err error) {
	if isStoreError(refusal) {
		return false, refusal
	}
	reply, err := a.m.commit(ctx, platform.Txn{If: []platform.Condition{{Key: headKey, ModRevision: s.mod}}})
	if err != nil {
		return false, &storeError{err}
	}
	if reply.Applied {
		return false, refusal
	}
	return true, a.m.applyFoundHead(ctx, s, reply)
}

// findAccepted reports whether the change has already been accepted. It refuses a different change with the same id.
func (a *attempt) findAccepted(s snapshot) (Accepted, bool, error) {
	h, ok := a.m.replica.byChangeID(a.p.ID)
	if !ok {
		return Accepted{}, false, nil
	}
	if h.Digest != a.p.digest {
		return Accepted{}, false, result.New(result.SettingsChangeIDReused, result.RanNo,
			"the id belongs to revision %d, another change", h.Revision).AtField("change_id")
	}
	return Accepted{Revision: h.Revision, ChangeID: a.p.ID, Repeated: !a.uncertain}, true, nil
}

// checkBase refuses a change whose base is ahead of the head or no longer in the history, or whose branches were
// changed since that base.
func (a *attempt) checkBase(s snapshot) error {
	base, head := a.p.Base, s.tree.Revision
	switch {
	case base > head:
		return result.New(result.SettingsBaseAhead, result.RanNo, "against revision %d, the head is %d", base, head).AtField("revision")
	case base < head-HistoryLimit:
		return a.withUncertainOutcome(result.New(result.SettingsBaseTooOld, result.RanNo, "against revision %d, the head is %d and %d are kept", base, head, HistoryLimit).AtField("revision"))
	}
	since, complete := a.m.replica.historyRange(base+1, head)
	if !complete {
		return errHistoryGap
	}
	for _, h := range since {
		if a.p.Rollback {
			return conflictError(h, Root)
		}
		for _, e := range a.p.edits {
			if h.touches(e.Path) {
				return conflictError(h, e.Path)
			}
		}
	}
	return nil
}

// errHistoryGap is returned when the head moved while the history was read, or when the store's answer was stale.
var errHistoryGap = errors.New("settings: history not read up to the head")

func conflictError(h Head, path string) error {
	by := h.By
	if by == "" {
		by = "an unnamed operator"
	}
	return result.New(result.SettingsConflict, result.RanNo,
		"revision %d by %s touched %s; read it again and decide anew", h.Revision, by, path).AtField(path)
}

// newHead returns the head that results from the change, with its root and the nodes that are new.
func (a *attempt) newHead(ctx context.Context, s snapshot) (Head, *node, []*node, error) {
	h := Head{
		Revision: s.tree.Revision + 1, ChangeID: a.p.ID, Digest: a.p.digest,
		By: a.p.By, Note: a.p.Note, At: a.m.cfg.Now().UTC(),
	}
	if a.p.Rollback {
		root, err := a.m.treeAt(ctx, a.p.RollbackTo)
		if err != nil {
			return h, nil, nil, err
		}
		h.Root, h.Wide, h.RolledBackTo = root.hash, true, a.p.RollbackTo
		return h, root, nil, nil
	}
	root, fresh, err := s.tree.applyEdits(a.p.edits)
	if err != nil {
		return h, nil, nil, err
	}
	h.Root = root.hash
	h.Wide = len(a.p.edits) > maxListedPaths
	if !h.Wide {
		for _, e := range a.p.edits {
			h.Paths = append(h.Paths, e.Path)
		}
	}
	return h, root, fresh, nil
}
