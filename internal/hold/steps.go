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
func (m *Manager) decideAll(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	in := m.decisionInput()
	for _, s := range m.slots {
		rec, known := m.cache.partitions[s.id]
		next, to := in.decide(s, rec, known)
		if s.busy {
			if next == stepDrop && s.cancel != nil {
				s.cancel()
			}
			continue
		}
		m.begin(ctx, s, next, to, rec)
	}
	m.updateRenewals()
	m.metrics.held.Set(float64(m.countHeld()))
}

// begin starts a step in its own goroutine. The lock is held.
func (m *Manager) begin(ctx context.Context, s *slot, next step, to string, rec view.Partition) {
	var run func()
	switch next {
	case stepNone:
		return
	case stepFence:
		m.fence(ctx, holderOf(rec))
		return
	case stepDrop:
		run = func() { m.drop(s) }
	case stepAcquire:
		run = func() { m.acquire(ctx, s, rec, false) }
	case stepClaim:
		voterRecordRevision := m.cache.voterRecords[holderOf(rec)].Revision
		run = func() { m.claim(ctx, s, rec, voterRecordRevision) }
	case stepHandOver:
		next := *m.cache.members[to].Member
		nextMod := m.cache.members[to].Revision
		run = func() { m.handOver(ctx, s, next, nextMod) }
	case stepRelease:
		run = func() { m.handOver(ctx, s, view.Member{}, 0) }
	}
	s.busy = true
	m.steps.Add(1)
	go func() {
		defer m.steps.Done()
		run()
		m.mu.Lock()
		s.busy = false
		m.mu.Unlock()
		m.wakeDecide()
	}()
}

// decisionInput collects the input of the decisions. The lock is held.
func (m *Manager) decisionInput() decisionInput {
	return decisionInput{
		self: m.memberID(), leaving: m.leaving, canMove: m.canMove(), eligible: m.eligible(),
		registered: m.cache.registered, reachable: m.reachable, mayFence: m.mayFence,
		fenced: func(memberID right.MemberID) bool {
			f := m.fencings[memberID]
			return f != nil && f.voterRecordRevision == m.cache.voterRecords[memberID].Revision && f.answers.Done(uptime.Now())
		},
	}
}

// mayFence applies the grace period to a holder without a member key. A process that has just
// started has not received any heartbeat yet and waits. The lock is held.
func (m *Manager) mayFence(memberID right.MemberID) bool {
	if uptime.Since(m.started) < 2*m.config.Suspect {
		return false
	}
	return mayFence(m.reachableMember(memberID), m.storeAvailable(), uptime.Since(m.cache.unregistered[memberID]), m.config.Term)
}

// eligible lists the members that may receive partitions: registered members that are not leaving,
// and holders that may merely be late to register after an outage. Counting the latter keeps
// partitions from moving twice. The lock is held.
func (m *Manager) eligible() []string {
	out := m.cache.remaining()
	for memberID := range m.cache.unregistered {
		if _, present := m.cache.members[memberID.Name]; !present && !m.mayFence(memberID) {
			out = append(out, memberID.Name)
		}
	}
	sort.Strings(out)
	return slices.Compact(out)
}

// canMove reports whether this process is connected to the store and its session is confirmed.
func (m *Manager) canMove() bool {
	_, answered := m.session.LastRenewal()
	age := m.storeAge()
	return answered && age >= 0 && age < m.config.maxRenewalAge() && m.confirmedSession > 0
}

func (m *Manager) countHeld() int {
	n := 0
	for _, s := range m.slots {
		if s.acts() {
			n++
		}
	}
	return n
}

// claim writes this process into the record of a partition for which no process has authority: it
// was never held, was released, or its holder is fenced.
func (m *Manager) claim(ctx context.Context, s *slot, old view.Partition, voterRecordRevision platform.Revision) {
	if !wait.For(ctx, rand.N(m.config.Spread+1)) {
		return
	}
	self := m.session.Self()
	next := view.Partition{
		ID: s.id, Holder: self.Name, Incarnation: self.Incarnation, Addr: self.Addr, Epoch: old.Epoch + 1,
	}
	conditions := []platform.Condition{m.session.Condition(), {Key: partitionKey(s.id), ModRevision: platform.Revision(old.ModRevision)}}
	if old.Holder != "" {
		m.mu.Lock()
		holder, present := m.cache.members[old.Holder].Revision, m.cache.registered(holderOf(old))
		m.mu.Unlock()
		if present {
			return
		}
		conditions = append(conditions,
			platform.Condition{Key: member.Key(old.Holder), ModRevision: holder},
			platform.Condition{Key: member.VoterRecordKey(old.Holder, old.Incarnation), ModRevision: voterRecordRevision})
	}
	m.metrics.claims.Inc()
	rec, err := m.writeRecord(ctx, record{Partition: next}, conditions)
	if err != nil {
		return
	}
	m.log.WithFields(logFields(rec)).WithField("from", old.Holder).Info("partition claimed")
	m.acquire(ctx, s, rec, old.Epoch == 0)
}

// errMoved: the record or one of the members was not as expected.
var errMoved = errors.New("hold: partition record or a member changed; move not applied")

// writeRecord moves a partition's record if the conditions hold. If the reply is lost, the watch
// resolves the outcome, or the next attempt does: it fails on the revision if this one took effect.
// After platform.ErrUnavailable and errMoved the write certainly had no effect.
func (m *Manager) writeRecord(ctx context.Context, next record, conditions []platform.Condition) (view.Partition, error) {
	change := next.change()
	callCtx, cancel := context.WithTimeout(ctx, m.config.Term)
	defer cancel()
	reply, err := m.store.Commit(callCtx, platform.Txn{
		If:   conditions,
		Then: []platform.Write{{Key: change.Key, Value: change.Value}},
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.metrics.storeErrors.Inc()
		if !errors.Is(err, platform.ErrUnavailable) {
			m.metrics.unknown.Inc()
		}
		return next.Partition, err
	}
	if !reply.Applied {
		m.applyFound(conditions, reply)
		return next.Partition, errMoved
	}
	next.ModRevision = int64(reply.Revision)
	_ = m.cache.apply(next.change())
	m.publish()
	return next.Partition, nil
}

// applyFound updates the cache with the records that a refused transaction returned. The lock is held.
func (m *Manager) applyFound(conditions []platform.Condition, reply platform.TxnReply) {
	found := map[string]bool{}
	for _, rec := range reply.Found {
		found[rec.Key] = true
		if err := m.cache.apply(platform.Change{Record: rec}); err != nil {
			m.log.WithError(err).Error("store record can not be decoded")
		}
	}
	for _, c := range conditions {
		if !found[c.Key] && c.ModRevision != 0 {
			_ = m.cache.apply(platform.Change{Record: platform.Record{Key: c.Key, ModRevision: reply.Revision}, Deleted: true})
		}
	}
	m.publish()
}

// acquire activates a partition whose record names this process.
func (m *Manager) acquire(ctx context.Context, s *slot, rec view.Partition, neverHeld bool) {
	m.mu.Lock()
	s.event(eventAcquire)
	s.record = rec
	receivedState, attempt := s.receivedState, m.cache.handOvers[s.id]
	if m.cache.partitions[s.id] != rec {
		attempt = ""
	}
	s.receivedState = nil
	m.mu.Unlock()
	if receivedState != nil && attempt != "" && receivedState.ID == attempt {
		m.activate(ctx, s, receivedState.States, true, false)
		return
	}
	m.activate(ctx, s, nil, false, neverHeld)
}

// activate lets the components start work for a partition in state acquiring. The record counts for
// the confirmed session only while the cache still contains it: the cache was read after that
// session began.
func (m *Manager) activate(ctx context.Context, s *slot, states map[string][]byte, handedOver, neverHeld bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	s.cancel, s.session = cancel, 0
	if m.cache.partitions[s.id] == s.record {
		s.session = m.confirmedSession
	}
	acquisition := Acquisition{Grant: m.currentGrant(s), HandedOver: handedOver, NeverHeld: neverHeld, AcquiredAt: time.Now()}
	m.mu.Unlock()
	m.acquireComponents(ctx, acquisition, states)
	m.mu.Lock()
	s.cancel = nil
	s.event(eventAcquired)
	m.mu.Unlock()
}

// acquireComponents calls the components in reverse order of their release.
func (m *Manager) acquireComponents(ctx context.Context, t Acquisition, states map[string][]byte) {
	for i := len(m.components) - 1; i >= 0; i-- {
		r := m.components[i]
		t.State = states[r.Name()]
		if err := r.Acquire(ctx, t); err != nil && ctx.Err() == nil {
			m.log.WithError(err).WithFields(logFields(view.Partition{ID: t.Partition, Epoch: t.Epoch})).
				WithField("resident", r.Name()).Error("component failed to acquire the partition")
		}
	}
}

// drop lets the components discard a partition that another member holds.
func (m *Manager) drop(s *slot) {
	m.mu.Lock()
	if !s.owned() {
		m.mu.Unlock()
		return
	}
	s.event(eventDrop)
	lost := s.record
	m.mu.Unlock()
	for _, r := range m.components {
		r.Drop(s.id)
	}
	m.metrics.drops.Inc()
	m.log.WithFields(logFields(lost)).Warn("partition lost")
}

// dropAll drops all partitions that have no step running, without waiting for the other steps.
func (m *Manager) dropAll() {
	m.mu.Lock()
	var owned []*slot
	for _, s := range m.slots {
		if s.cancel != nil {
			s.cancel()
		}
		if s.owned() && !s.busy {
			owned = append(owned, s)
		}
	}
	m.mu.Unlock()
	for _, s := range owned {
		m.drop(s)
	}
}
