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
func (k *Manager) handOver(ctx context.Context, s *slot, next view.Member, nextMod platform.Revision) {
	select {
	case k.handOverLimit <- struct{}{}:
		defer func() { <-k.handOverLimit }()
	case <-ctx.Done():
		return
	}
	k.mu.Lock()
	s.event(eventRelease)
	old := s.record
	k.mu.Unlock()
	states, graceful := k.releaseComponents(ctx, s.id)
	k.mu.Lock()
	s.event(eventReleased)
	k.mu.Unlock()
	if !graceful && !k.waitForExpiry(ctx) {
		return
	}
	moved := old
	moved.Holder, moved.Incarnation, moved.Addr = next.Name, next.Incarnation, next.Addr
	moved.Epoch++
	conditions := []platform.Condition{
		k.session.Condition(), {Key: partitionKey(s.id), ModRevision: platform.Revision(old.ModRevision)},
	}
	if next.Name != "" {
		conditions = append(conditions, platform.Condition{Key: member.Key(next.Name), ModRevision: nextMod})
	}
	attempt := ""
	if next.Name != "" && graceful {
		attempt = uuid.NewString()
		msg := HandOver{Partition: moved.ID, Epoch: moved.Epoch, Incarnation: next.Incarnation, ID: attempt, States: states}
		if err := k.sendStates(ctx, next, msg); err != nil {
			k.log.WithError(err).WithFields(logFields(old)).Warn("next holder did not accept the state; resuming the partition")
			k.resume(ctx, s, states)
			return
		}
	}
	rec, err := k.writeRecord(ctx, record{Partition: moved, HandOver: attempt}, conditions)
	switch {
	case err == nil:
		k.completeHandOver(ctx, s, next, rec, attempt)
	case errors.Is(err, platform.ErrUnavailable):
		k.resume(ctx, s, states)
	default:
		k.resolveMove(ctx, s, old, states)
	}
}

// completeHandOver ends a successful handover and notifies the next holder, which would otherwise
// see the record only after the delay of its watch.
func (k *Manager) completeHandOver(ctx context.Context, s *slot, next view.Member, rec view.Partition, attempt string) {
	k.mu.Lock()
	s.event(eventDrop)
	k.mu.Unlock()
	k.metrics.handOvers.Inc()
	k.log.WithFields(logFields(rec)).Info("partition handed over")
	if next.Name == "" {
		return
	}
	msg := HandOver{Partition: rec.ID, Epoch: rec.Epoch, Incarnation: next.Incarnation, ID: attempt, Record: &rec}
	var reply HandOverReply
	if err := k.peers.Call(ctx, next.Addr, peer.KindStateTransfer, msg, &reply); err != nil {
		k.log.WithError(err).Debug("next holder not notified of the handover; it observes the record through its watch")
	}
}

// resolveMove determines whether the record has moved. It writes the record again with the old
// holder, which makes a delayed move fail; only after that does this process resume the partition.
func (k *Manager) resolveMove(ctx context.Context, s *slot, old view.Partition, states map[string][]byte) {
	k.setResolving(s, true)
	defer k.setResolving(s, false)
	retry := k.newBackOff()
	for {
		k.mu.Lock()
		known := k.cache.partitions[s.id]
		k.mu.Unlock()
		if known.ModRevision > old.ModRevision && (holderOf(known) != holderOf(old) || known.Epoch != old.Epoch) {
			k.mu.Lock()
			s.event(eventDrop)
			k.mu.Unlock()
			return
		}
		conditions := []platform.Condition{
			k.session.Condition(), {Key: partitionKey(s.id), ModRevision: platform.Revision(known.ModRevision)},
		}
		if rec, err := k.writeRecord(ctx, record{Partition: old}, conditions); err == nil {
			k.mu.Lock()
			s.record = rec
			k.mu.Unlock()
			k.resume(ctx, s, states)
			return
		}
		if !wait.For(ctx, min(retry.NextBackOff(), k.config.BackoffMax)) {
			return
		}
	}
}

// setResolving sets whether the outcome of a partition's move is being resolved.
func (k *Manager) setResolving(s *slot, resolving bool) {
	k.mu.Lock()
	s.resolving = resolving
	k.mu.Unlock()
	k.wakeDecide()
}

// resume activates a released partition again with its own states.
func (k *Manager) resume(ctx context.Context, s *slot, states map[string][]byte) {
	k.mu.Lock()
	s.event(eventResume)
	k.mu.Unlock()
	k.activate(ctx, s, states, true, false)
}

// waitForExpiry waits until all authority granted so far has expired.
func (k *Manager) waitForExpiry(ctx context.Context) bool {
	var until time.Time
	k.session.WithAuthority(func(h *right.Authority) { until = h.LatestEnd() })
	return wait.For(ctx, uptime.Until(until))
}

// releaseComponents ends the components' work in order and collects their states. It returns
// graceful as false if one of them could not finish: the next holder then gets no states and treats
// the partition as that of a dead holder.
func (k *Manager) releaseComponents(ctx context.Context, id int) (states map[string][]byte, graceful bool) {
	states, graceful = map[string][]byte{}, true
	for _, r := range k.components {
		state, err := r.Release(ctx, id)
		if err != nil {
			k.log.WithError(err).WithField("resident", r.Name()).WithField("partition", id).Warn("component did not release the partition gracefully")
			graceful = false
			continue
		}
		states[r.Name()] = state
	}
	return states, graceful
}

func (k *Manager) sendStates(ctx context.Context, next view.Member, msg HandOver) error {
	ctx, cancel := context.WithTimeout(ctx, k.config.Term)
	defer cancel()
	var reply HandOverReply
	if err := k.peers.Call(ctx, next.Addr, peer.KindStateTransfer, msg, &reply); err != nil {
		return err
	}
	if !reply.Kept {
		return result.New(result.HandOverFailed, result.RanNo, "%s did not keep the state", next.Name)
	}
	return nil
}

// onHandOver stores states that are sent in advance, or applies the moved record.
func (k *Manager) onHandOver(_ context.Context, msg HandOver) (HandOverReply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if msg.Incarnation != k.memberID().Incarnation {
		return HandOverReply{}, result.New(result.HandOverFailed, result.RanNo, "this is another process than the one meant")
	}
	if msg.Partition < 0 || msg.Partition >= len(k.slots) {
		return HandOverReply{}, result.New(result.PartitionCount, result.RanNo, "no partition %d here", msg.Partition)
	}
	if k.leaving && msg.Record == nil {
		return HandOverReply{}, result.New(result.Stopping, result.RanNo, "leaving")
	}
	if msg.Record != nil {
		_ = k.cache.apply(record{Partition: *msg.Record, HandOver: msg.ID}.change())
		k.publish()
		return HandOverReply{Kept: true}, nil
	}
	k.slots[msg.Partition].receivedState = &msg
	return HandOverReply{Kept: true}, nil
}

func logFields(p view.Partition) logrus.Fields {
	return logrus.Fields{"partition": p.ID, "epoch": p.Epoch, "holder": p.Holder}
}
