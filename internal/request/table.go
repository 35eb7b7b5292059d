package request

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"pulleyquay/internal/executor"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
)

// maxKeyAhead is how far a key's time may be ahead of ours. After a takeover
// no new key is dispatched for so long, which is why it is short; a caller
// whose clock is further ahead is told when to send the same key again.
const maxKeyAhead = 500 * time.Millisecond

// clockMargin is how much the clocks of two entry hosts may differ.
const clockMargin = 250 * time.Millisecond

// record is what a home knows of one key. It is in flight, or done with an
// answer, with a failure, or with neither when the answer was not kept.
type record struct {
	key      uuid.UUID
	print    uint64
	forgetAt time.Time
	flight   *flight          // while the request waits or runs
	answer   *executor.Answer // the answer kept for retries
	failure  *result.Error    // why it is not known what the request did

	older, newer *record // neighbours in the table, by arrival
}

// join returns the outcome of the key to a retry with the same request. Both
// results are nil when the first attempt was cancelled before it was sent.
func (r *record) join(print uint64) (*flight, error) {
	switch {
	case r.flight != nil && r.flight.isCancelled():
		return nil, nil
	case r.print != print:
		return nil, result.New(result.KeyReused, result.RanUnknown, "this request did not run; the one that the key came with before may have")
	case r.flight != nil:
		if !r.flight.join() {
			return nil, nil
		}
		return r.flight, nil
	case r.failure != nil:
		return nil, r.failure
	case r.answer == nil:
		return nil, result.New(result.AnswerNotKept, result.RanYes, "too many large answers to keep")
	}
	return landedFlight(*r.answer), nil
}

// keyTable is the keys of one service in one partition, linked by arrival.
type keyTable struct {
	records        map[uuid.UUID]*record
	oldest, newest *record
	// forgotten: keys minted up to then may have been known and forgotten.
	forgotten time.Time
}

// table returns the service's keys.
func (p *part) table(service string) *keyTable {
	t := p.services[service]
	if t == nil {
		t = &keyTable{records: map[uuid.UUID]*record{}}
		p.services[service] = t
	}
	return t
}

func (t *keyTable) find(key uuid.UUID) *record { return t.records[key] }

// add remembers a new key.
func (t *keyTable) add(rec *record) {
	t.records[rec.key] = rec
	rec.older = t.newest
	if t.newest == nil {
		t.oldest = rec
	} else {
		t.newest.newer = rec
	}
	t.newest = rec
}

// remove forgets a key; it does nothing when the record was replaced.
func (t *keyTable) remove(rec *record) {
	if t.records[rec.key] != rec {
		return
	}
	delete(t.records, rec.key)
	if rec.older == nil {
		t.oldest = rec.newer
	} else {
		rec.older.newer = rec.newer
	}
	if rec.newer == nil {
		t.newest = rec.older
	} else {
		rec.newer.older = rec.older
	}
	rec.older, rec.newer = nil, nil
}

// expired forgets and returns the records whose window has passed. A request
// still in flight is kept.
func (t *keyTable) expired(now time.Time) []*record {
	var gone []*record
	for rec := t.oldest; rec != nil && rec.flight == nil && !now.Before(rec.forgetAt); rec = t.oldest {
		t.remove(rec)
		if minted := mintedAt(rec.key); minted.After(t.forgotten) {
			t.forgotten = minted
		}
		gone = append(gone, rec)
	}
	return gone
}

// admit checks a key that is not in the table.
func (p *part) admit(t *keyTable, key uuid.UUID, limits settings.Request, now time.Time) *result.Error {
	if key.Version() != 7 {
		return result.New(result.BadKey, result.RanNo, "version %d", key.Version())
	}
	minted := mintedAt(key)
	if ahead := minted.Sub(now); ahead > maxKeyAhead {
		return result.New(result.KeyFromFuture, ranOfFuture(ahead), "%s ahead of %s", ahead, now.UTC().Format(time.RFC3339Nano)).
			Later(ahead - maxKeyAhead)
	}
	if !minted.After(now.Add(-keyWindow(limits))) || !minted.After(t.forgotten) {
		return result.New(result.KeyExpired, result.RanUnknown, "minted at %s", minted.UTC().Format(time.RFC3339Nano))
	}
	if !minted.After(p.unknownUntil) {
		return result.New(result.KeyOutcomeUnknown, result.RanUnknown,
			"minted before the home of its partition changed at %s", p.unknownUntil.UTC().Format(time.RFC3339Nano))
	}
	if int64(len(t.records)) >= limits.KeyLimit {
		return result.New(result.KeyTableFull, result.RanNo, "%d keys", len(t.records)).Later(t.roomIn(now))
	}
	return nil
}

// ranOfFuture: another host's clock may have let a key in that is ahead by
// little more than allowed.
func ranOfFuture(ahead time.Duration) result.Ran {
	if ahead > maxKeyAhead+clockMargin {
		return result.RanNo
	}
	return result.RanUnknown
}

// minRoomIn keeps refused callers from coming back in the same instant.
const minRoomIn = 100 * time.Millisecond

// roomIn is when the oldest key will be forgotten.
func (t *keyTable) roomIn(now time.Time) time.Duration {
	if t.oldest == nil {
		return minRoomIn
	}
	return max(t.oldest.forgetAt.Sub(now), minRoomIn)
}

func keyWindow(limits settings.Request) time.Duration {
	return time.Duration(limits.KeyWindowMS) * time.Millisecond
}

// mintedAt is the time in a UUIDv7: its first 48 bits, in milliseconds.
func mintedAt(key uuid.UUID) time.Time {
	var b [8]byte
	copy(b[2:], key[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b[:])))
}

// fingerprint tells two requests apart: method, path and body.
func fingerprint(r executor.Request) uint64 {
	var h xxhash.Digest
	h.Reset()
	h.WriteString(r.Method)
	h.WriteString(" ")
	h.WriteString(r.Path)
	h.WriteString("\n")
	h.Write(r.Body)
	return h.Sum64()
}

// headerOverhead is the memory of one header beside its text, in bytes.
const headerOverhead = 64

// answerSize is the memory of a kept answer in bytes, roughly.
func answerSize(a executor.Answer) int64 {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name) + headerOverhead
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(n)
}
