// Package entry is the callers' HTTP side of the request path. It checks a
// request, finds its home, forwards it whole and writes the whole answer, or a
// problem document that tells whether the request ran. It keeps nothing but
// the requests in flight.
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"

	"pulleyquay/internal/dispatch"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/problem"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/view"
)

// Prefix is the path under which services are reached:
// /v1/services/{service}/{path...}.
const Prefix = "/v1/services/"

// The request headers that callers may set. TimeoutHeader gives the deadline
// in milliseconds from now.
const (
	KeyHeader     = "Idempotency-Key"
	CallerHeader  = "Caller-Id"
	TimeoutHeader = dispatch.TimeoutHeader
)

// Config is what a Handler needs of the rest of the process.
type Config struct {
	View  view.Source
	Peers peer.Caller
	// Settings returns a service's effective values; false: no such service.
	Settings func(service string) (settings.Values, bool)
	// Zone is this process's availability zone.
	Zone string
	// Placer is the peer address of the placer on the same host; requests
	// without a key go there first. Empty: any placer.
	Placer string
	// MaxInFlight bounds the requests in this process; one service may have
	// three quarters of it. Zero is DefaultMaxInFlight.
	MaxInFlight int
	// MaxBodyMemory bounds the bytes of request bodies held at a time. Zero is
	// DefaultMaxBodyMemory.
	MaxBodyMemory int64
	Log           *logrus.Entry
	Metrics       prometheus.Registerer
}

// DefaultMaxInFlight is the bound on requests in one entry process.
const DefaultMaxInFlight = 8192

// DefaultMaxBodyMemory is the bound on request bodies in one entry process.
const DefaultMaxBodyMemory = 128 << 20

// Handler serves callers' requests.
type Handler struct {
	cfg     Config
	metrics *metrics
	loads   loads
	bodies  *semaphore.Weighted // bytes of request bodies
}

// NewHandler returns the handler for Prefix.
func NewHandler(cfg Config) *Handler {
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = DefaultMaxInFlight
	}
	if cfg.MaxBodyMemory == 0 {
		cfg.MaxBodyMemory = DefaultMaxBodyMemory
	}
	return &Handler{
		cfg: cfg, metrics: newMetrics(cfg.Metrics),
		loads: loads{limit: int64(cfg.MaxInFlight)}, bodies: semaphore.NewWeighted(cfg.MaxBodyMemory),
	}
}

// ServeHTTP answers one caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	service, path, ok := splitPath(r.URL)
	if !ok {
		h.refuse(w, "", result.New(result.NotFound, ranBeforeHome(r), "expected %s{service}/{path}", Prefix))
		return
	}
	values, ok := h.cfg.Settings(service)
	if !ok {
		h.refuse(w, "", h.unknownService(r, service))
		return
	}
	if !h.loads.enter(service) {
		h.refuse(w, service, result.New(result.EntryFull, ranBeforeHome(r), "service %q", service).Later(time.Second))
		return
	}
	defer h.loads.leave(service)
	room := bodyRoom(r, values.Request.MaxBodyBytes)
	if !h.bodies.TryAcquire(room) {
		h.refuse(w, service, result.New(result.EntryFull, ranBeforeHome(r), "%d bytes of body", room).Later(time.Second))
		return
	}
	defer h.bodies.Release(room)
	msg, err := parse(w, r, service, path, values.Request)
	if err != nil {
		if err.Code != result.BadKey { // no entry passes a bad key on
			err.Ran = ranBeforeHome(r)
		}
		h.refuse(w, service, err)
		return
	}
	h.loads.of(service).budget.Earn(values.Request.RetryBudgetPercent)
	deadline := start.Add(msg.Timeout)
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	answer, err := h.route(ctx, msg, deadline)
	if err != nil {
		h.refuse(w, service, err)
		return
	}
	h.metrics.requests.WithLabelValues(service, "answered").Inc()
	writeAnswer(w, r.Method, answer)
}

// unknownService is the refusal of a service that the settings do not name, or
// of any service while the settings are not known yet.
func (h *Handler) unknownService(r *http.Request, service string) *result.Error {
	if h.cfg.View.Settings() == nil {
		return result.New(result.NotReady, ranBeforeHome(r), "no settings known yet").Later(homeRetry)
	}
	return result.New(result.UnknownService, ranBeforeHome(r), "service %q", service)
}

// refuse writes a problem document.
func (h *Handler) refuse(w http.ResponseWriter, service string, e *result.Error) {
	info, _ := result.Lookup(e.Code)
	h.metrics.requests.WithLabelValues(service, info.Name).Inc()
	problem.Write(w, e)
}

// ranBeforeHome is what can be said of a request that was not passed on: with
// a key, an earlier attempt through another entry, or under other settings, may
// have run.
func ranBeforeHome(r *http.Request) result.Ran {
	if r.Header.Get(KeyHeader) != "" {
		return result.RanUnknown
	}
	return result.RanNo
}

// InFlight is the number of requests being served now.
func (h *Handler) InFlight() int64 { return h.loads.total.Load() }

// Dump is the handler's state for /debug/state.
func (h *Handler) Dump() any { return h.loads.dump() }
