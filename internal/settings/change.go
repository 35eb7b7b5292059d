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
	// changeTimeout bounds the work on one change, besides its wait.
	changeTimeout = 8 * time.Second
	// maxClashes is how often a change is tried again because other changes
	// came first.
	maxClashes = 32
	// storeDownRetry is when to come back after a refusal for the store's sake.
	storeDownRetry = 2 * time.Second
)

// prepared is a change that was read and found well formed.
type prepared struct {
	Change
	edits  []Edit
	digest Hash
}

// prepare reads a change.
func prepare(c Change) (prepared, error) {
	p := prepared{Change: c}
	if _, err := uuid.Parse(c.ID); err != nil {
		return p, result.New(result.BadInput, result.RanNo, "the change id is no UUID: %v", err).At("change_id")
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

// Change makes an operator's change: it is checked whole against the head and
// accepted by one compare-and-swap, or refused with the reason. An error with
// ran: unknown (SettingsOutcomeUnknown) is settled by sending the change again
// with the same id.
func (k *Keeper) Change(ctx context.Context, c Change) (Accepted, error) {
	accepted, err := k.change(ctx, c)
	if err != nil {
		k.counters.changes.WithLabelValues(strconv.Itoa(int(result.CodeOf(err)))).Inc()
		return Accepted{}, err
	}
	k.counters.changes.WithLabelValues("0").Inc()
	if c.WaitMillis > 0 {
		accepted.NotApplied = k.await(ctx, accepted.Revision, time.Duration(c.WaitMillis)*time.Millisecond)
	}
	return accepted, nil
}

func (k *Keeper) change(ctx context.Context, c Change) (Accepted, error) {
	p, err := prepare(c)
	if err != nil {
		return Accepted{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	a := attempt{k: k, p: p}
	return a.run(ctx)
}

// attempt carries one change to its end.
type attempt struct {
	k *Keeper
	p prepared
	// uncertain is true while a swap was sent whose outcome is not known. Such
	// a swap can still take effect as long as the head has not moved.
	uncertain bool
}

// run tries until the change is accepted, refused, or its time is up.
func (a *attempt) run(ctx context.Context) (Accepted, error) {
	pause, clashPause := newPause(), newClashPause()
	for clashes := 0; clashes < maxClashes; {
		err := a.locate(ctx)
		if err == nil {
			var accepted Accepted
			var moved bool
			accepted, moved, err = a.try(ctx)
			if err == nil && !moved {
				return accepted, nil
			}
			if err == nil {
				clashes++
				wait.For(ctx, clashPause.NextBackOff())
				continue
			}
		}
		if !isStoreError(err) {
			return Accepted{}, err
		}
		if !a.uncertain {
			return Accepted{}, a.undecided(result.New(result.SettingsStoreDown, result.RanNo, "%v", err).Later(storeDownRetry))
		}
		wait.For(ctx, pause.NextBackOff())
		if ctx.Err() != nil {
			return Accepted{}, result.New(result.SettingsOutcomeUnknown, result.RanUnknown,
				"sent to the store, which then gave no answer (%v); repeat the change with id %s", err, a.p.ID).Later(storeDownRetry)
		}
	}
	return Accepted{}, a.undecided(result.New(result.SettingsContention, result.RanNo, "%d other changes came first", maxClashes).Later(storeDownRetry))
}

// undecided returns a refusal that says nothing of earlier sendings of the same
// change: unless this is the first, the change may be in force already.
func (a *attempt) undecided(e *result.Error) error {
	if a.p.First && !a.uncertain {
		return e
	}
	unknown := *e
	unknown.Ran = result.RanUnknown
	return &unknown
}

// storeError marks a failed call to the store, as against a refusal.
type storeError struct{ err error }

func (e *storeError) Error() string { return e.err.Error() }
func (e *storeError) Unwrap() error { return e.err }

func isStoreError(err error) bool {
	var s *storeError
	return errors.As(err, &s)
}

// locate makes sure that the head's record and the history since the change's
// base are known.
func (a *attempt) locate(ctx context.Context) error {
	k := a.k
	s := k.book.state()
	if a.uncertain || s.tree == nil || s.tree.Revision < max(s.heard, a.p.Base) || (s.mod == 0 && s.tree.Revision > 0) {
		if _, err := k.refresh(ctx); err != nil {
			return &storeError{err}
		}
		s = k.book.state()
	}
	from := max(a.p.Base+1, s.tree.Revision-HistoryKept+1)
	if _, ok := k.book.span(from, s.tree.Revision); ok {
		return nil
	}
	if err := k.loadHistory(ctx); err != nil {
		return &storeError{err}
	}
	return nil
}

// try decides on the change against the head and swaps it. moved is true when
// another change came first.
func (a *attempt) try(ctx context.Context) (accepted Accepted, moved bool, err error) {
	k := a.k
	s := k.book.state()
	if done, ok, err := a.known(s); ok || err != nil {
		return done, false, err
	}
	head, root, fresh, err := a.decide(ctx, s)
	if errors.Is(err, errGap) {
		return Accepted{}, true, nil
	}
	if err != nil {
		moved, err = a.refuse(ctx, s, err)
		return Accepted{}, moved, err
	}
	swap, err := k.swapTxn(ctx, s, head, fresh)
	if err != nil {
		return Accepted{}, false, err
	}
	reply, err := k.commit(ctx, swap)
	if err != nil {
		a.uncertain = a.uncertain || !errors.Is(err, platform.ErrUnavailable)
		return Accepted{}, false, &storeError{err}
	}
	if !reply.Applied {
		return Accepted{}, true, k.absorbFound(ctx, s, reply)
	}
	k.installOwn(head, reply.Revision, root)
	return Accepted{Revision: head.Revision, ChangeID: a.p.ID}, false, nil
}

// decide works out the head that the change makes of s, or why it is refused.
func (a *attempt) decide(ctx context.Context, s state) (Head, *node, []*node, error) {
	if err := a.admissible(s); err != nil {
		return Head{}, nil, nil, err
	}
	return a.next(ctx, s)
}

// refuse returns the refusal once the store has confirmed that s is the present
// head: against an older one a change can be refused that has been accepted
// since. Another placer's swap of the same change that is still on its way can
// then not take effect either: it was decided as here, or its head is gone.
func (a *attempt) refuse(ctx context.Context, s state, refusal error) (moved bool, err error) {
	if isStoreError(refusal) {
		return false, refusal
	}
	reply, err := a.k.commit(ctx, platform.Txn{If: []platform.Condition{{Key: headKey, ModRevision: s.mod}}})
	if err != nil {
		return false, &storeError{err}
	}
	if reply.Applied {
		return false, refusal
	}
	return true, a.k.absorbFound(ctx, s, reply)
}

// known tells whether the change has already been accepted.
func (a *attempt) known(s state) (Accepted, bool, error) {
	h, ok := a.k.book.byChangeID(a.p.ID)
	if !ok {
		return Accepted{}, false, nil
	}
	if h.Digest != a.p.digest {
		return Accepted{}, false, result.New(result.SettingsChangeIDReused, result.RanNo,
			"the id belongs to revision %d, another change", h.Revision).At("change_id")
	}
	return Accepted{Revision: h.Revision, ChangeID: a.p.ID, Repeated: !a.uncertain}, true, nil
}

// admissible refuses a change whose base does not fit the head or whose
// branches were touched since.
func (a *attempt) admissible(s state) error {
	base, now := a.p.Base, s.tree.Revision
	switch {
	case base > now:
		return result.New(result.SettingsBaseAhead, result.RanNo, "against revision %d, the head is %d", base, now).At("revision")
	case base < now-HistoryKept:
		return a.undecided(result.New(result.SettingsBaseTooOld, result.RanNo, "against revision %d, the head is %d and %d are kept", base, now, HistoryKept).At("revision"))
	}
	since, whole := a.k.book.span(base+1, now)
	if !whole {
		return errGap
	}
	for _, h := range since {
		if a.p.Rollback {
			return clash(h, Root)
		}
		for _, e := range a.p.edits {
			if h.touches(e.Path) {
				return clash(h, e.Path)
			}
		}
	}
	return nil
}

// errGap tells that the head went on while the history was read, or that the
// store's answer was stale.
var errGap = errors.New("settings: history not read up to the head")

func clash(h Head, path string) error {
	by := h.By
	if by == "" {
		by = "an unnamed operator"
	}
	return result.New(result.SettingsClash, result.RanNo,
		"revision %d by %s touched %s; read it again and decide anew", h.Revision, by, path).At(path)
}

// next works out the head that the change makes.
func (a *attempt) next(ctx context.Context, s state) (Head, *node, []*node, error) {
	h := Head{
		Revision: s.tree.Revision + 1, ChangeID: a.p.ID, Digest: a.p.digest,
		By: a.p.By, Note: a.p.Note, At: a.k.cfg.Now().UTC(),
	}
	if a.p.Rollback {
		root, err := a.k.treeAt(ctx, a.p.RollbackTo)
		if err != nil {
			return h, nil, nil, err
		}
		h.Root, h.Wide, h.RolledBackTo = root.hash, true, a.p.RollbackTo
		return h, root, nil, nil
	}
	root, fresh, err := s.tree.edited(a.p.edits)
	if err != nil {
		return h, nil, nil, err
	}
	h.Root = root.hash
	h.Wide = len(a.p.edits) > pathsListed
	if !h.Wide {
		for _, e := range a.p.edits {
			h.Paths = append(h.Paths, e.Path)
		}
	}
	return h, root, fresh, nil
}
