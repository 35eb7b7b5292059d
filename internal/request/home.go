// Package request implements the home of a request: the placer that holds the partition of the
// request's key. It dispatches a key at most once, lets retries join the first attempt, and
// reports correctly after a failover whether a request may have run.
package request

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/dispatch"
	"pulleyquay/internal/executor"
	"pulleyquay/internal/hold"
	"pulleyquay/internal/requestmsg"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
)

// Dispatcher sends requests to executors; *dispatch.Dispatcher implements it. The end of ctx
// cancels a request that waits. Once the request has been sent, Do may return after the end of ctx.
type Dispatcher interface {
	Do(ctx context.Context, w dispatch.Work) (executor.Answer, error)
}

// Config contains the dependencies of a Home.
type Config struct {
	Authorizer hold.Authorizer
	Dispatcher Dispatcher
	// Settings returns a service's effective values, or false if there is no such service.
	Settings func(service string) (settings.Values, bool)
	Log      *logrus.Entry
	Metrics  prometheus.Registerer
}

// Home is the hold.Component for request keys.
type Home struct {
	cfg     Config
	metrics *metrics

	mu          sync.Mutex
	partitions  map[int]*partitionState
	answerBytes int64 // size of the kept answers in all partitions
}

// partitionState contains the keys of one held partition, by service.
type partitionState struct {
	// unknownUntil applies to keys that are not in the table: the outcome of such a key is unknown
	// if the time in the key is not after unknownUntil.
	unknownUntil time.Time
	releasing    bool
	dropped      bool // handed over or dropped: no more answers are kept
	services     map[string]*keyTable
	flights      map[*flight]struct{}
}

// New returns a Home without partitions.
func New(cfg Config) *Home {
	return &Home{cfg: cfg, metrics: newMetrics(cfg.Metrics), partitions: map[int]*partitionState{}}
}

// Serve handles peer.KindServe: one caller's request, with or without a key.
func (h *Home) Serve(ctx context.Context, msg requestmsg.Serve) (executor.Answer, error) {
	values, ok := h.cfg.Settings(msg.Service)
	if !ok {
		return executor.Answer{}, result.New(result.UnknownService, ranBeforeLookup(msg.Key), "service %q", msg.Service)
	}
	deadline := time.Now().Add(msg.Timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	work := dispatch.Work{
		Service: msg.Service, Caller: msg.Caller, Deadline: deadline,
		Idempotent: msg.Idempotent, Request: msg.Request,
	}
	if msg.Key == uuid.Nil {
		f := h.startFlight(work, func(*flight) {})
		return f.wait(ctx)
	}
	work.Idempotent = false // a request with a key runs at most once, whatever its method
	return h.serveKeyed(ctx, msg, work, values)
}

// ranBeforeLookup returns whether a request whose key has not been looked up may have run.
func ranBeforeLookup(key uuid.UUID) result.Ran {
	if key == uuid.Nil {
		return result.RanNo
	}
	return result.RanUnknown
}

// serveKeyed joins or starts the key's flight. A flight that was cancelled because all of its
// earlier callers left is not an outcome for this caller; serveKeyed then starts a new flight.
func (h *Home) serveKeyed(ctx context.Context, msg requestmsg.Serve, work dispatch.Work, values settings.Values) (executor.Answer, error) {
	for {
		f, err := h.joinOrStart(msg, work, values)
		if err != nil {
			h.metrics.keyed.WithLabelValues(msg.Service, "refused").Inc()
			return executor.Answer{}, err
		}
		answer, err := f.wait(ctx)
		if ctx.Err() == nil && err != nil && abandoned(result.From(err)) {
			continue
		}
		return answer, err
	}
}

// abandoned reports whether a flight was cancelled, unsent, because all of its callers left.
func abandoned(e *result.Error) bool {
	return e.Code == result.CallerDisconnected && e.Ran == result.RanNo
}

// joinOrStart returns the flight of the key, and starts it if the key is new.
func (h *Home) joinOrStart(msg requestmsg.Serve, work dispatch.Work, values settings.Values) (*flight, error) {
	if _, err := h.cfg.Authorizer.Check(msg.Partition); err != nil {
		return nil, errHomeMoved(msg.Partition, err.Error())
	}
	now := time.Now()
	requestHash := fingerprint(msg.Request)
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.partitions[msg.Partition]
	if p == nil {
		return nil, errHomeMoved(msg.Partition, "not acquired yet")
	}
	t := p.table(msg.Service)
	h.expire(t, now)
	if rec := t.find(msg.Key); rec != nil {
		f, err := rec.join(requestHash)
		if f != nil || err != nil {
			h.metrics.keyed.WithLabelValues(msg.Service, "joined").Inc()
			return f, err
		}
		t.remove(rec) // its flight was cancelled: nothing was sent
	}
	if p.releasing {
		return nil, errHomeMoved(msg.Partition, "being handed over")
	}
	if err := p.checkNewKey(t, msg.Key, values.Request, now); err != nil {
		return nil, err
	}
	h.metrics.keyed.WithLabelValues(msg.Service, "new").Inc()
	rec := &record{key: msg.Key, requestHash: requestHash, expiresAt: now.Add(keyWindow(values.Request) + maxKeyAhead)}
	t.add(rec)
	rec.flight = h.startFlight(work, func(f *flight) { h.complete(p, t, rec, f) })
	p.flights[rec.flight] = struct{}{}
	return rec.flight, nil
}

// errHomeMoved is the error if the key's home is, or is about to be, another process. This process
// cannot determine whether the request ran.
func errHomeMoved(partition int, detail string) *result.Error {
	return result.New(result.HomeMoved, result.RanUnknown, "partition %d: %s", partition, detail).
		WithRetryAfter(movedRetryDelay)
}

// movedRetryDelay is the Retry-After for a key whose home is changing.
const movedRetryDelay = time.Second

// complete records the outcome of a key's flight. The key of a request that was never sent is
// removed, so that it can be used again.
func (h *Home) complete(p *partitionState, t *keyTable, rec *record, f *flight) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(p.flights, f)
	rec.flight = nil
	if f.err != nil && f.err.Ran == result.RanNo {
		t.remove(rec)
		return
	}
	rec.failure = f.err
	if f.err != nil || p.dropped {
		return
	}
	size := answerSize(f.answer)
	if h.answerBytes+size > keptAnswersLimit {
		h.metrics.notKept.Inc()
		return
	}
	h.answerBytes += size
	answer := f.answer // a copy, so that the flight can be freed
	rec.answer = &answer
}

// keptAnswersLimit bounds the answers that a process keeps for retries, in bytes.
const keptAnswersLimit = 64 << 20

// expire removes the keys whose window has passed.
func (h *Home) expire(t *keyTable, now time.Time) {
	for _, rec := range t.expired(now) {
		if rec.answer != nil {
			h.answerBytes -= answerSize(*rec.answer)
		}
	}
}
