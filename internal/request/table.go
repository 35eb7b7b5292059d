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

// maxKeyAhead bounds how far the time in a key may be ahead of the local clock. No new key is
// dispatched for this long after a failover, so the bound is short. A caller whose clock is
// further ahead gets a Retry-After for the same key.
const maxKeyAhead = 500 * time.Millisecond

// clockMargin is the maximum difference between the clocks of two entry hosts.
const clockMargin = 250 * time.Millisecond

// record is the state of one key. The key is in flight, or done: with an answer, with a failure,
// or with neither if the answer was not kept.
type record struct {
	key         uuid.UUID
	requestHash uint64
	expiresAt   time.Time
	flight      *flight          // set while the request waits or runs
	answer      *executor.Answer // kept for retries
	failure     *result.Error    // why the effect of the request is unknown

	older, newer *record // neighbours in the table, by arrival
}

// join returns the outcome of the key for a retry of the same request. Both results are nil if
// the first attempt was cancelled before it was sent.
func (r *record) join(requestHash uint64) (*flight, error) {
	switch {
	case r.flight != nil && r.flight.isCancelled():
		return nil, nil
	case r.requestHash != requestHash:
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
	return completedFlight(*r.answer), nil
}

// keyTable contains the keys of one service in one partition, linked in order of arrival.
type keyTable struct {
	records        map[uuid.UUID]*record
	oldest, newest *record
	// expiredUntil is the latest time in an expired key: a key minted up to then may be one that
	// was removed from the table.
	expiredUntil time.Time
}

// table returns the service's keys and creates the table if necessary.
func (p *partitionState) table(service string) *keyTable {
	t := p.services[service]
	if t == nil {
		t = &keyTable{records: map[uuid.UUID]*record{}}
		p.services[service] = t
	}
	return t
}

func (t *keyTable) find(key uuid.UUID) *record { return t.records[key] }

// add appends a new key.
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

// remove removes a key. It does nothing if the record has been replaced.
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

// expired removes and returns the records whose window has passed. A request in flight is kept.
func (t *keyTable) expired(now time.Time) []*record {
	var removed []*record
	for rec := t.oldest; rec != nil && rec.flight == nil && !now.Before(rec.expiresAt); rec = t.oldest {
		t.remove(rec)
		if minted := mintedAt(rec.key); minted.After(t.expiredUntil) {
			t.expiredUntil = minted
		}
		removed = append(removed, rec)
	}
	return removed
}

// checkNewKey checks a key that is not in the table.
func (p *partitionState) checkNewKey(t *keyTable, key uuid.UUID, limits settings.Request, now time.Time) *result.Error {
	if key.Version() != 7 {
		return result.New(result.BadKey, result.RanNo, "version %d", key.Version())
	}
	minted := mintedAt(key)
	if ahead := minted.Sub(now); ahead > maxKeyAhead {
		return result.New(result.KeyFromFuture, ranOfFutureKey(ahead), "%s ahead of %s", ahead, now.UTC().Format(time.RFC3339Nano)).
			WithRetryAfter(ahead - maxKeyAhead)
	}
	if !minted.After(now.Add(-keyWindow(limits))) || !minted.After(t.expiredUntil) {
		return result.New(result.KeyExpired, result.RanUnknown, "minted at %s", minted.UTC().Format(time.RFC3339Nano))
	}
	if !minted.After(p.unknownUntil) {
		return result.New(result.KeyOutcomeUnknown, result.RanUnknown,
			"minted before the home of its partition changed at %s", p.unknownUntil.UTC().Format(time.RFC3339Nano))
	}
	if int64(len(t.records)) >= limits.KeyLimit {
		return result.New(result.KeyTableFull, result.RanNo, "%d keys", len(t.records)).WithRetryAfter(t.retryDelay(now))
	}
	return nil
}

// ranOfFutureKey returns whether a key from the future may have run: a host whose clock is ahead
// may have accepted a key that is ahead by slightly more than allowed here.
func ranOfFutureKey(ahead time.Duration) result.Ran {
	if ahead > maxKeyAhead+clockMargin {
		return result.RanNo
	}
	return result.RanUnknown
}

// minRetryDelay keeps refused callers from retrying immediately.
const minRetryDelay = 100 * time.Millisecond

// retryDelay returns the time until the oldest key expires, at least minRetryDelay.
func (t *keyTable) retryDelay(now time.Time) time.Duration {
	if t.oldest == nil {
		return minRetryDelay
	}
	return max(t.oldest.expiresAt.Sub(now), minRetryDelay)
}

func keyWindow(limits settings.Request) time.Duration {
	return time.Duration(limits.KeyWindowMS) * time.Millisecond
}

// mintedAt returns the time in a UUIDv7: its first 48 bits, in milliseconds.
func mintedAt(key uuid.UUID) time.Time {
	var b [8]byte
	copy(b[2:], key[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b[:])))
}

// fingerprint is a hash of a request's method, path and body.
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

// headerOverhead is the memory of one header in addition to its text, in bytes.
const headerOverhead = 64

// answerSize estimates the memory of a kept answer in bytes.
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
