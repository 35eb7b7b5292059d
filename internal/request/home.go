// Package request is the home of callers' requests. It gives a key at most one
// dispatch, lets retries join the first attempt, and tells the truth about
// what ran after a takeover.
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

// Dispatcher sends requests to executors; *dispatch.Dispatcher is one. Do
// returns after the end of ctx only when the request had been sent by then.
type Dispatcher interface {
	Do(ctx context.Context, w dispatch.Work) (executor.Answer, error)
}

// Config is what a Home needs of the rest of the process.
type Config struct {
	Right      hold.Right
	Dispatcher Dispatcher
	// Settings returns a service's effective values; false: no such service.
	Settings func(service string) (settings.Values, bool)
	Log      *logrus.Entry
	Metrics  prometheus.Registerer
}

// Home is the hold.Resident of request keys.
type Home struct {
	cfg     Config
	metrics *metrics

	mu    sync.Mutex
	parts map[int]*part
	kept  int64 // bytes of kept answers in all partitions
}

// part is one held partition's keys, by service.
type part struct {
	// unknownUntil: the outcome of unknown keys minted before is unknown.
	unknownUntil time.Time
	releasing    bool
	gone         bool // handed over or dropped: nothing more is kept
	services     map[string]*keyTable
	flights      map[*flight]struct{}
}

// New returns a Home without partitions.
func New(cfg Config) *Home {
	return &Home{cfg: cfg, metrics: newMetrics(cfg.Metrics), parts: map[int]*part{}}
}

// Serve answers peer.KindServe: one caller's request, with or without a key.
func (h *Home) Serve(ctx context.Context, msg requestmsg.Serve) (executor.Answer, error) {
	values, ok := h.cfg.Settings(msg.Service)
	if !ok {
		return executor.Answer{}, result.New(result.UnknownService, ranUnchecked(msg.Key), "service %q", msg.Service)
	}
	deadline := time.Now().Add(msg.Timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	work := dispatch.Work{
		Service: msg.Service, Caller: msg.Caller, Deadline: deadline,
		Idempotent: msg.Idempotent, Request: msg.Request,
	}
	if msg.Key == uuid.Nil {
		f := h.launch(work, func(*flight) {})
		return f.wait(ctx)
	}
	work.Idempotent = false // a key asks for at most one run, whatever the method
	return h.serveKeyed(ctx, msg, work, values)
}

// ranUnchecked is what can be said of a request whose key was not looked for.
func ranUnchecked(key uuid.UUID) result.Ran {
	if key == uuid.Nil {
		return result.RanNo
	}
	return result.RanUnknown
}

// serveKeyed joins or starts the key's flight. A flight that ended because all
// its earlier callers went away is no outcome for this one, who starts anew.
func (h *Home) serveKeyed(ctx context.Context, msg requestmsg.Serve, work dispatch.Work, values settings.Values) (executor.Answer, error) {
	for {
		f, err := h.joinOrLaunch(msg, work, values)
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

// abandoned tells that a flight ended unsent for want of callers.
func abandoned(e *result.Error) bool {
	return e.Code == result.CallerGone && e.Ran == result.RanNo
}

// joinOrLaunch returns the flight of the key, started now if the key is new.
func (h *Home) joinOrLaunch(msg requestmsg.Serve, work dispatch.Work, values settings.Values) (*flight, error) {
	if _, err := h.cfg.Right.Check(msg.Partition); err != nil {
		return nil, moved(msg.Partition, err.Error())
	}
	now := time.Now()
	print := fingerprint(msg.Request)
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.parts[msg.Partition]
	if p == nil {
		return nil, moved(msg.Partition, "not acquired yet")
	}
	t := p.table(msg.Service)
	h.expire(t, now)
	if rec := t.find(msg.Key); rec != nil {
		f, err := rec.join(print)
		if f != nil || err != nil {
			h.metrics.keyed.WithLabelValues(msg.Service, "joined").Inc()
			return f, err
		}
		t.remove(rec) // its flight was cancelled: nothing was sent
	}
	if p.releasing {
		return nil, moved(msg.Partition, "being handed over")
	}
	if err := p.admit(t, msg.Key, values.Request, now); err != nil {
		return nil, err
	}
	h.metrics.keyed.WithLabelValues(msg.Service, "new").Inc()
	rec := &record{key: msg.Key, print: print, forgetAt: now.Add(keyWindow(values.Request) + maxKeyAhead)}
	t.add(rec)
	rec.flight = h.launch(work, func(f *flight) { h.land(p, t, rec, f) })
	p.flights[rec.flight] = struct{}{}
	return rec.flight, nil
}

// moved tells that another process is the key's home, or will be. Whether the
// key ran is not known here.
func moved(partition int, detail string) *result.Error {
	return result.New(result.HomeMoved, result.RanUnknown, "partition %d: %s", partition, detail).
		Later(movedRetry)
}

// movedRetry is when to come back to a key whose home is changing.
const movedRetry = time.Second

// land records how a key's flight ended. A request that never left is
// forgotten, so that the key can be used again.
func (h *Home) land(p *part, t *keyTable, rec *record, f *flight) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(p.flights, f)
	rec.flight = nil
	if f.err != nil && f.err.Ran == result.RanNo {
		t.remove(rec)
		return
	}
	rec.failure = f.err
	if f.err != nil || p.gone {
		return
	}
	size := answerSize(f.answer)
	if h.kept+size > keptAnswersLimit {
		h.metrics.notKept.Inc()
		return
	}
	h.kept += size
	answer := f.answer // not a part of the flight, which can then be freed
	rec.answer = &answer
}

// keptAnswersLimit bounds the answers kept for retries, in bytes a process.
const keptAnswersLimit = 64 << 20

// expire forgets the keys whose window has passed.
func (h *Home) expire(t *keyTable, now time.Time) {
	for _, rec := range t.expired(now) {
		if rec.answer != nil {
			h.kept -= answerSize(*rec.answer)
		}
	}
}
