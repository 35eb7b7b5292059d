package hold

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"pulleyquay/internal/member"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/right"
	"pulleyquay/internal/uptime"
	"pulleyquay/internal/view"
	"pulleyquay/internal/wait"
)

// decideAll starts the next step of every partition that has no step running.
func (k *Manager) decideAll(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.decisionInput()
	for _, s := range k.slots {
		rec, known := k.cache.partitions[s.id]
		next, to := c.decide(s, rec, known)
		if s.busy {
			if next == stepDrop && s.cancel != nil {
				s.cancel()
			}
			continue
		}
		k.begin(ctx, s, next, to, rec)
	}
	k.updateRenewals()
	k.metrics.held.Set(float64(k.countHeld()))
}

// begin starts a step in its own goroutine. The lock is held.
func (k *Manager) begin(ctx context.Context, s *slot, next step, to string, rec view.Partition) {
	var run func()
	switch next {
	case stepNone:
		return
	case stepFence:
		k.fence(ctx, holderOf(rec))
		return
	case stepDrop:
		run = func() { k.drop(s) }
	case stepAcquire:
		run = func() { k.acquire(ctx, s, rec, false) }
	case stepClaim:
		voterRecordRevision := k.cache.voterRecords[holderOf(rec)].Revision
		run = func() { k.claim(ctx, s, rec, voterRecordRevision) }
	case stepHandOver:
		next := *k.cache.members[to].Member
		nextMod := k.cache.members[to].Revision
		run = func() { k.handOver(ctx, s, next, nextMod) }
	case stepRelease:
		run = func() { k.handOver(ctx, s, view.Member{}, 0) }
	}
	s.busy = true
	k.steps.Add(1)
	go func() {
		defer k.steps.Done()
		run()
		k.mu.Lock()
		s.busy = false
		k.mu.Unlock()
		k.wakeDecide()
	}()
}

// decisionInput collects the input of the decisions. The lock is held.
func (k *Manager) decisionInput() decisionInput {
	return decisionInput{
		self: k.memberID(), leaving: k.leaving, canMove: k.canMove(), eligible: k.eligible(),
		registered: k.cache.registered, reachable: k.reachable, mayFence: k.mayFence,
		fenced: func(s right.MemberID) bool {
			f := k.fencings[s]
			return f != nil && f.voterRecord == k.cache.voterRecords[s].Revision && f.answers.Done(uptime.Now())
		},
	}
}

// mayFence applies the grace period to a holder without a member key. A process that has just
// started has not received any heartbeat yet and waits. The lock is held.
func (k *Manager) mayFence(s right.MemberID) bool {
	if uptime.Since(k.started) < 2*k.config.Suspect {
		return false
	}
	return mayFence(k.reachableMember(s), k.storeAvailable(), uptime.Since(k.cache.unregistered[s]), k.config.Term)
}

// eligible lists the members that may receive partitions: registered members that are not leaving,
// and holders that may merely be late to register after an outage. Counting the latter keeps
// partitions from moving twice. The lock is held.
func (k *Manager) eligible() []string {
	out := k.cache.remaining()
	for s := range k.cache.unregistered {
		if _, present := k.cache.members[s.Name]; !present && !k.mayFence(s) {
			out = append(out, s.Name)
		}
	}
	sort.Strings(out)
	return slices.Compact(out)
}

// canMove reports whether this process is connected to the store and its session is confirmed.
func (k *Manager) canMove() bool {
	_, answers := k.session.LastRenewal()
	age := k.storeAge()
	return answers && age >= 0 && age < k.config.maxRenewalAge() && k.confirmed > 0
}

func (k *Manager) countHeld() int {
	n := 0
	for _, s := range k.slots {
		if s.acts() {
			n++
		}
	}
	return n
}

// claim writes this process into the record of a partition for which no process has authority: it
// was never held, was released, or its holder is fenced.
func (k *Manager) claim(ctx context.Context, s *slot, old view.Partition, voterRecordRevision platform.Revision) {
	if !wait.For(ctx, rand.N(k.config.Spread+1)) {
		return
	}
	self := k.session.Self()
	next := view.Partition{
		ID: s.id, Holder: self.Name, Incarnation: self.Incarnation, Addr: self.Addr, Epoch: old.Epoch + 1,
	}
	conditions := []platform.Condition{k.session.Condition(), {Key: partitionKey(s.id), ModRevision: platform.Revision(old.ModRevision)}}
	if old.Holder != "" {
		k.mu.Lock()
		holder, present := k.cache.members[old.Holder].Revision, k.cache.registered(holderOf(old))
		k.mu.Unlock()
		if present {
			return
		}
		conditions = append(conditions,
			platform.Condition{Key: member.Key(old.Holder), ModRevision: holder},
			platform.Condition{Key: member.VoterRecordKey(old.Holder, old.Incarnation), ModRevision: voterRecordRevision})
	}
	k.metrics.claims.Inc()
	rec, err := k.writeRecord(ctx, record{Partition: next}, conditions)
	if err != nil {
		return
	}
	k.log.WithFields(logFields(rec)).WithField("from", old.Holder).Info("partition claimed")
	k.acquire(ctx, s, rec, old.Epoch == 0)
}

// errMoved: the record or one of the members was not as expected.
var errMoved = errors.New("hold: partition record or a member changed; move not applied")

// writeRecord moves a partition's record if the conditions hold. If the reply is lost, the watch
// resolves the outcome, or the next attempt does: it fails on the revision if this one took effect.
// After platform.ErrUnavailable and errMoved the write certainly had no effect.
func (k *Manager) writeRecord(ctx context.Context, next record, conditions []platform.Condition) (view.Partition, error) {
	change := next.change()
	callCtx, cancel := context.WithTimeout(ctx, k.config.Term)
	defer cancel()
	reply, err := k.store.Commit(callCtx, platform.Txn{
		If:   conditions,
		Then: []platform.Write{{Key: change.Key, Value: change.Value}},
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.metrics.storeErrors.Inc()
		if !errors.Is(err, platform.ErrUnavailable) {
			k.metrics.unknown.Inc()
		}
		return next.Partition, err
	}
	if !reply.Applied {
		k.applyFound(conditions, reply)
		return next.Partition, errMoved
	}
	next.ModRevision = int64(reply.Revision)
	_ = k.cache.apply(next.change())
	k.publish()
	return next.Partition, nil
}

// applyFound updates the cache with the records that a refused transaction returned. The lock is held.
func (k *Manager) applyFound(conditions []platform.Condition, reply platform.TxnReply) {
	found := map[string]bool{}
	for _, rec := range reply.Found {
		found[rec.Key] = true
		if err := k.cache.apply(platform.Change{Record: rec}); err != nil {
			k.log.WithError(err).Error("store record can not be decoded")
		}
	}
	for _, c := range conditions {
		if !found[c.Key] && c.ModRevision != 0 {
			_ = k.cache.apply(platform.Change{Record: platform.Record{Key: c.Key, ModRevision: reply.Revision}, Deleted: true})
		}
	}
	k.publish()
}

// acquire activates a partition whose record names this process.
func (k *Manager) acquire(ctx context.Context, s *slot, rec view.Partition, neverHeld bool) {
	k.mu.Lock()
	s.event(eventAcquire)
	s.record = rec
	receivedState, attempt := s.receivedState, k.cache.handOvers[s.id]
	if k.cache.partitions[s.id] != rec {
		attempt = ""
	}
	s.receivedState = nil
	k.mu.Unlock()
	if receivedState != nil && attempt != "" && receivedState.ID == attempt {
		k.activate(ctx, s, receivedState.States, true, false)
		return
	}
	k.activate(ctx, s, nil, false, neverHeld)
}

// activate lets the components start work for a partition in state acquiring. The record counts for
// the confirmed session only while the cache still contains it: the cache was read after that
// session began.
func (k *Manager) activate(ctx context.Context, s *slot, states map[string][]byte, handedOver, neverHeld bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k.mu.Lock()
	s.cancel, s.session = cancel, 0
	if k.cache.partitions[s.id] == s.record {
		s.session = k.confirmed
	}
	acquisition := Acquisition{Grant: k.currentGrant(s), HandedOver: handedOver, NeverHeld: neverHeld, AcquiredAt: time.Now()}
	k.mu.Unlock()
	k.acquireComponents(ctx, acquisition, states)
	k.mu.Lock()
	s.cancel = nil
	s.event(eventAcquired)
	k.mu.Unlock()
}

// acquireComponents calls the components in reverse order of their release.
func (k *Manager) acquireComponents(ctx context.Context, t Acquisition, states map[string][]byte) {
	for i := len(k.components) - 1; i >= 0; i-- {
		r := k.components[i]
		t.State = states[r.Name()]
		if err := r.Acquire(ctx, t); err != nil && ctx.Err() == nil {
			k.log.WithError(err).WithFields(logFields(view.Partition{ID: t.Partition, Epoch: t.Epoch})).
				WithField("resident", r.Name()).Error("component failed to acquire the partition")
		}
	}
}

// drop lets the components discard a partition that another member holds.
func (k *Manager) drop(s *slot) {
	k.mu.Lock()
	if !s.owned() {
		k.mu.Unlock()
		return
	}
	s.event(eventDrop)
	lost := s.record
	k.mu.Unlock()
	for _, r := range k.components {
		r.Drop(s.id)
	}
	k.metrics.drops.Inc()
	k.log.WithFields(logFields(lost)).Warn("partition lost")
}

// dropAll drops all partitions that have no step running, without waiting for the other steps.
func (k *Manager) dropAll() {
	k.mu.Lock()
	var owned []*slot
	for _, s := range k.slots {
		if s.cancel != nil {
			s.cancel()
		}
		if s.owned() && !s.busy {
			owned = append(owned, s)
		}
	}
	k.mu.Unlock()
	for _, s := range owned {
		k.drop(s)
	}
}
