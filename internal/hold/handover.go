package hold

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/member"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
	"pulleyquay/internal/right"
	"pulleyquay/internal/uptime"
	"pulleyquay/internal/view"
	"pulleyquay/internal/wait"
)

// HandOver is sent to a partition's next holder twice: with the components' states before the
// record is moved, and with the moved record afterwards.
type HandOver struct {
	Partition int `cbor:"1,keyasint"`
	// Epoch is the epoch that the next holder will have.
	Epoch uint64 `cbor:"2,keyasint"`
	// Incarnation is the incarnation of the next holder.
	Incarnation string            `cbor:"3,keyasint"`
	States      map[string][]byte `cbor:"4,keyasint,omitempty"`
	Record      *view.Partition   `cbor:"5,keyasint,omitempty"`
	// ID identifies the attempt. The moved record carries it, so that the states of an abandoned
	// attempt are never used.
	ID string `cbor:"6,keyasint"`
}

// HandOverReply reports whether the next holder has stored the states.
type HandOverReply struct {
	Kept bool `cbor:"1,keyasint"`
}

// handOver releases a partition and moves its record to next, or clears the holder if next has no
// name. If the record does not move, this process resumes the partition.
func (m *Manager) handOver(ctx context.Context, s *slot, next view.Member, nextMod platform.Revision) {
	select {
	case m.handOverLimit <- struct{}{}:
		defer func() { <-m.handOverLimit }()
	case <-ctx.Done():
		return
	}
	m.mu.Lock()
	s.event(eventRelease)
	old := s.record
	m.mu.Unlock()
	states, graceful := m.releaseComponents(ctx, s.id)
	m.mu.Lock()
	s.event(eventReleased)
	m.mu.Unlock()
	if !graceful && !m.waitForExpiry(ctx) {
		return
	}
	moved := old
	moved.Holder, moved.Incarnation, moved.Addr = next.Name, next.Incarnation, next.Addr
	moved.Epoch++
	conditions := []platform.Condition{
		m.session.Condition(), {Key: partitionKey(s.id), ModRevision: platform.Revision(old.ModRevision)},
	}
	if next.Name != "" {
		conditions = append(conditions, platform.Condition{Key: member.Key(next.Name), ModRevision: nextMod})
	}
	attempt := ""
	if next.Name != "" && graceful {
		attempt = uuid.NewString()
		msg := HandOver{Partition: moved.ID, Epoch: moved.Epoch, Incarnation: next.Incarnation, ID: attempt, States: states}
		if err := m.sendStates(ctx, next, msg); err != nil {
			m.log.WithError(err).WithFields(logFields(old)).Warn("next holder did not accept the state; resuming the partition")
			m.resume(ctx, s, states)
			return
		}
	}
	rec, err := m.writeRecord(ctx, record{Partition: moved, HandOver: attempt}, conditions)
	switch {
	case err == nil:
		m.completeHandOver(ctx, s, next, rec, attempt)
	case errors.Is(err, platform.ErrUnavailable):
		m.resume(ctx, s, states)
	default:
		m.resolveMove(ctx, s, old, states)
	}
}

// completeHandOver ends a successful handover and notifies the next holder, which would otherwise
// see the record only after the delay of its watch.
func (m *Manager) completeHandOver(ctx context.Context, s *slot, next view.Member, rec view.Partition, attempt string) {
	m.mu.Lock()
	s.event(eventDrop)
	m.mu.Unlock()
	m.metrics.handOvers.Inc()
	m.log.WithFields(logFields(rec)).Info("partition handed over")
	if next.Name == "" {
		return
	}
	msg := HandOver{Partition: rec.ID, Epoch: rec.Epoch, Incarnation: next.Incarnation, ID: attempt, Record: &rec}
	var reply HandOverReply
	if err := m.peers.Call(ctx, next.Addr, peer.KindStateTransfer, msg, &reply); err != nil {
		m.log.WithError(err).Debug("next holder not notified of the handover; it observes the record through its watch")
	}
}

// resolveMove determines whether the record has moved. It writes the record again with the old
// holder, which makes a delayed move fail; only after that does this process resume the partition.
func (m *Manager) resolveMove(ctx context.Context, s *slot, old view.Partition, states map[string][]byte) {
	m.setResolving(s, true)
	defer m.setResolving(s, false)
	retry := m.newBackOff()
	for {
		m.mu.Lock()
		known := m.cache.partitions[s.id]
		m.mu.Unlock()
		if known.ModRevision > old.ModRevision && (holderOf(known) != holderOf(old) || known.Epoch != old.Epoch) {
			m.mu.Lock()
			s.event(eventDrop)
			m.mu.Unlock()
			return
		}
		conditions := []platform.Condition{
			m.session.Condition(), {Key: partitionKey(s.id), ModRevision: platform.Revision(known.ModRevision)},
		}
		if rec, err := m.writeRecord(ctx, record{Partition: old}, conditions); err == nil {
			m.mu.Lock()
			s.record = rec
			m.mu.Unlock()
			m.resume(ctx, s, states)
			return
		}
		if !wait.For(ctx, min(retry.NextBackOff(), m.config.BackoffMax)) {
			return
		}
	}
}

// setResolving sets whether the outcome of a partition's move is being resolved.
func (m *Manager) setResolving(s *slot, resolving bool) {
	m.mu.Lock()
	s.resolving = resolving
	m.mu.Unlock()
	m.wakeDecide()
}

// resume activates a released partition again with its own states.
func (m *Manager) resume(ctx context.Context, s *slot, states map[string][]byte) {
	m.mu.Lock()
	s.event(eventResume)
	m.mu.Unlock()
	m.activate(ctx, s, states, true, false)
}

// waitForExpiry waits until all authority granted so far has expired.
func (m *Manager) waitForExpiry(ctx context.Context) bool {
	var until time.Time
	m.session.WithAuthority(func(a *right.Authority) { until = a.LatestEnd() })
	return wait.For(ctx, uptime.Until(until))
}

// releaseComponents ends the components' work in order and collects their states. It returns
// graceful as false if one of them could not finish: the next holder then gets no states and treats
// the partition as that of a dead holder.
func (m *Manager) releaseComponents(ctx context.Context, id int) (states map[string][]byte, graceful bool) {
	states, graceful = map[string][]byte{}, true
	for _, r := range m.components {
		state, err := r.Release(ctx, id)
		if err != nil {
			m.log.WithError(err).WithField("resident", r.Name()).WithField("partition", id).Warn("component did not release the partition gracefully")
			graceful = false
			continue
		}
		states[r.Name()] = state
	}
	return states, graceful
}

func (m *Manager) sendStates(ctx context.Context, next view.Member, msg HandOver) error {
	ctx, cancel := context.WithTimeout(ctx, m.config.Term)
	defer cancel()
	var reply HandOverReply
	if err := m.peers.Call(ctx, next.Addr, peer.KindStateTransfer, msg, &reply); err != nil {
		return err
	}
	if !reply.Kept {
		return result.New(result.HandOverFailed, result.RanNo, "%s did not keep the state", next.Name)
	}
	return nil
}

// onHandOver stores states that are sent in advance, or applies the moved record.
func (m *Manager) onHandOver(_ context.Context, msg HandOver) (HandOverReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if msg.Incarnation != m.memberID().Incarnation {
		return HandOverReply{}, result.New(result.HandOverFailed, result.RanNo, "this is another process than the one meant")
	}
	if msg.Partition < 0 || msg.Partition >= len(m.slots) {
		return HandOverReply{}, result.New(result.PartitionCount, result.RanNo, "no partition %d here", msg.Partition)
	}
	if m.leaving && msg.Record == nil {
		return HandOverReply{}, result.New(result.Stopping, result.RanNo, "leaving")
	}
	if msg.Record != nil {
		_ = m.cache.apply(record{Partition: *msg.Record, HandOver: msg.ID}.change())
		m.publish()
		return HandOverReply{Kept: true}, nil
	}
	m.slots[msg.Partition].receivedState = &msg
	return HandOverReply{Kept: true}, nil
}

func logFields(p view.Partition) logrus.Fields {
	return logrus.Fields{"partition": p.ID, "epoch": p.Epoch, "holder": p.Holder}
}
