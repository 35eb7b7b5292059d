package request

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"pulleyquay/internal/executor"
	"pulleyquay/internal/hold"
	"pulleyquay/internal/result"
)

// handoverState is the encoded state of a partition for its next holder.
type handoverState struct {
	UnknownUntil time.Time                `cbor:"1,keyasint"`
	Services     map[string]serviceRecord `cbor:"2,keyasint"`
}

// serviceRecord contains one service's keys, oldest first.
type serviceRecord struct {
	ExpiredUntil time.Time   `cbor:"1,keyasint"`
	Keys         []keyRecord `cbor:"2,keyasint"`
}

// keyRecord is one key and its outcome.
type keyRecord struct {
	Key         uuid.UUID        `cbor:"1,keyasint"`
	RequestHash uint64           `cbor:"2,keyasint"`
	ExpiresAt   time.Time        `cbor:"3,keyasint"`
	Answer      *executor.Answer `cbor:"4,keyasint,omitempty"`
	Failure     *result.Error    `cbor:"5,keyasint,omitempty"`
}

// handoverEncoding keeps times to the nanosecond.
var handoverEncoding = newHandoverEncoding()

func newHandoverEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Name implements hold.Component.
func (h *Home) Name() string { return "requests" }

// Acquire implements hold.Component. Without a readable handover state, all keys minted before
// the acquisition have an unknown outcome.
func (h *Home) Acquire(_ context.Context, t hold.Acquisition) error {
	p := &partitionState{services: map[string]*keyTable{}, flights: map[*flight]struct{}{}}
	switch {
	case t.NeverHeld:
	case t.HandedOver && p.decode(t.State) == nil:
	default:
		p.services = map[string]*keyTable{}
		p.unknownUntil = t.AcquiredAt.Add(maxKeyAhead + clockMargin)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removePartition(t.Partition)
	h.partitions[t.Partition] = p
	h.answerBytes += p.keptBytes()
	return nil
}

// Release implements hold.Component. Requests that still wait are cancelled, so that their entry
// sends them to the next home. Release waits for started requests until ctx ends, and then hands
// their keys over with an unknown outcome.
func (h *Home) Release(ctx context.Context, partition int) ([]byte, error) {
	h.mu.Lock()
	p := h.partitions[partition]
	if p == nil {
		h.mu.Unlock()
		return nil, result.New(result.HomeMoved, result.RanNo, "partition %d is not held here", partition)
	}
	p.releasing = true
	flights := make([]*flight, 0, len(p.flights))
	for f := range p.flights {
		flights = append(flights, f)
	}
	h.mu.Unlock()
	for _, f := range flights {
		f.cancelForHandover()
	}
	for _, f := range flights {
		select {
		case <-f.done:
		case <-ctx.Done():
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	state, err := p.encode()
	h.removePartition(partition)
	return state, err
}

// Drop implements hold.Component. Started requests go on and their callers get the answers, but
// retries no longer find them here.
func (h *Home) Drop(partition int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removePartition(partition)
}

func (h *Home) removePartition(partition int) {
	p := h.partitions[partition]
	if p == nil {
		return
	}
	h.answerBytes -= p.keptBytes()
	p.dropped = true
	delete(h.partitions, partition)
}

func (p *partitionState) keptBytes() int64 {
	var n int64
	for _, t := range p.services {
		for _, rec := range t.records {
			if rec.answer != nil {
				n += answerSize(*rec.answer)
			}
		}
	}
	return n
}

// encode returns the keys for the next holder.
func (p *partitionState) encode() ([]byte, error) {
	state := handoverState{UnknownUntil: p.unknownUntil, Services: map[string]serviceRecord{}}
	for name, t := range p.services {
		s := serviceRecord{ExpiredUntil: t.expiredUntil}
		for rec := t.oldest; rec != nil; rec = rec.newer {
			s.Keys = append(s.Keys, rec.encoded())
		}
		state.Services[name] = s
	}
	return handoverEncoding.Marshal(state)
}

func (r *record) encoded() keyRecord {
	k := keyRecord{Key: r.key, RequestHash: r.requestHash, ExpiresAt: r.expiresAt, Answer: r.answer, Failure: r.failure}
	if r.flight != nil {
		k.Failure = result.New(result.KeyOutcomeUnknown, result.RanUnknown, "was running when its home handed over")
	}
	return k
}

// decode adds the keys of a handover state to an empty partition.
func (p *partitionState) decode(state []byte) error {
	var h handoverState
	if err := cbor.Unmarshal(state, &h); err != nil {
		return err
	}
	p.unknownUntil = h.UnknownUntil
	for name, s := range h.Services {
		t := p.table(name)
		t.expiredUntil = s.ExpiredUntil
		for _, k := range s.Keys {
			t.add(&record{key: k.Key, requestHash: k.RequestHash, expiresAt: k.ExpiresAt, answer: k.Answer, failure: k.Failure})
		}
	}
	return nil
}
