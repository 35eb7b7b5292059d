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

// handOver is a partition's keys for its next holder.
type handOver struct {
	UnknownUntil time.Time                `cbor:"1,keyasint"`
	Services     map[string]serviceRecord `cbor:"2,keyasint"`
}

// serviceRecord is one service's keys, oldest first.
type serviceRecord struct {
	Forgotten time.Time   `cbor:"1,keyasint"`
	Keys      []keyRecord `cbor:"2,keyasint"`
}

// keyRecord is one key and its outcome.
type keyRecord struct {
	Key      uuid.UUID        `cbor:"1,keyasint"`
	Print    uint64           `cbor:"2,keyasint"`
	ForgetAt time.Time        `cbor:"3,keyasint"`
	Answer   *executor.Answer `cbor:"4,keyasint,omitempty"`
	Failure  *result.Error    `cbor:"5,keyasint,omitempty"`
}

// handOverEncoding keeps times to the nanosecond.
var handOverEncoding = newHandOverEncoding()

func newHandOverEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Name implements hold.Resident.
func (h *Home) Name() string { return "requests" }

// Acquire implements hold.Resident. Without a readable hand-over, keys minted
// before the takeover have an unknown outcome.
func (h *Home) Acquire(_ context.Context, t hold.Takeover) error {
	p := &part{services: map[string]*keyTable{}, flights: map[*flight]struct{}{}}
	switch {
	case t.Fresh:
	case t.SignedOff && p.unpack(t.State) == nil:
	default:
		p.services = map[string]*keyTable{}
		p.unknownUntil = t.TakenAt.Add(maxKeyAhead + clockMargin)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forget(t.Partition)
	h.parts[t.Partition] = p
	h.kept += p.keptBytes()
	return nil
}

// Release implements hold.Resident. Keys that are still waiting are cancelled,
// so that their entry finds the next home; what runs is waited for until ctx
// ends, and then handed over with an unknown outcome.
func (h *Home) Release(ctx context.Context, partition int) ([]byte, error) {
	h.mu.Lock()
	p := h.parts[partition]
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
		f.evict()
	}
	for _, f := range flights {
		select {
		case <-f.done:
		case <-ctx.Done():
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	state, err := p.pack()
	h.forget(partition)
	return state, err
}

// Drop implements hold.Resident. What runs goes on; its callers get their
// answers, but no retry will find them here.
func (h *Home) Drop(partition int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forget(partition)
}

func (h *Home) forget(partition int) {
	p := h.parts[partition]
	if p == nil {
		return
	}
	h.kept -= p.keptBytes()
	p.gone = true
	delete(h.parts, partition)
}

func (p *part) keptBytes() int64 {
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

// pack encodes the keys for the next holder.
func (p *part) pack() ([]byte, error) {
	state := handOver{UnknownUntil: p.unknownUntil, Services: map[string]serviceRecord{}}
	for name, t := range p.services {
		s := serviceRecord{Forgotten: t.forgotten}
		for rec := t.oldest; rec != nil; rec = rec.newer {
			s.Keys = append(s.Keys, rec.packed())
		}
		state.Services[name] = s
	}
	return handOverEncoding.Marshal(state)
}

func (r *record) packed() keyRecord {
	k := keyRecord{Key: r.key, Print: r.print, ForgetAt: r.forgetAt, Answer: r.answer, Failure: r.failure}
	if r.flight != nil {
		k.Failure = result.New(result.KeyOutcomeUnknown, result.RanUnknown, "was running when its home handed over")
	}
	return k
}

// unpack fills an empty part from a hand-over.
func (p *part) unpack(state []byte) error {
	var h handOver
	if err := cbor.Unmarshal(state, &h); err != nil {
		return err
	}
	p.unknownUntil = h.UnknownUntil
	for name, s := range h.Services {
		t := p.table(name)
		t.forgotten = s.Forgotten
		for _, k := range s.Keys {
			t.add(&record{key: k.Key, print: k.Print, forgetAt: k.ForgetAt, answer: k.Answer, failure: k.Failure})
		}
	}
	return nil
}
