// Package entry is the HTTP interface to callers on the request path. It checks a request,
// determines its home, forwards the complete request, and writes the complete answer or a problem
// document that states whether the request ran. Its only state is the requests in flight.
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

// Prefix is the path of the services: /v1/services/{service}/{path...}.
const Prefix = "/v1/services/"

// Request headers that callers may set. TimeoutHeader gives the deadline in milliseconds from
// now.
const (
	KeyHeader     = "Idempotency-Key"
	CallerHeader  = "Caller-Id"
	TimeoutHeader = dispatch.TimeoutHeader
)

// Config contains the dependencies and limits of a Handler.
type Config struct {
	View  view.Source
	Peers peer.Caller
	// Settings returns a service's effective values, or false if there is no such service.
	Settings func(service string) (settings.Values, bool)
	// Zone is this process's availability zone.
	Zone string
	// Placer is the peer address of the placer on the same host, which is the first choice for
	// requests without a key. Empty: no preference.
	Placer string
	// MaxInFlight bounds the requests in this process; one service may use three quarters of it.
	// Zero is DefaultMaxInFlight.
	MaxInFlight int
	// MaxBodyMemory bounds the total size in bytes of the bodies of requests that have been read and are not answered.
	// Zero is DefaultMaxBodyMemory.
	MaxBodyMemory int64
	Log           *logrus.Entry
	Metrics       prometheus.Registerer
}

// DefaultMaxInFlight is the default for Config.MaxInFlight.
const DefaultMaxInFlight = 8192

// DefaultMaxBodyMemory is the default for Config.MaxBodyMemory, in bytes.
const DefaultMaxBodyMemory = 128 << 20

// Handler serves callers' requests.
type Handler struct {
	cfg     Config
	metrics *metrics
	limiter limiter
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
		limiter: limiter{limit: int64(cfg.MaxInFlight)}, bodies: semaphore.NewWeighted(cfg.MaxBodyMemory),
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	service, path, ok := splitPath(r.URL)
	if !ok {
		h.refuse(w, "", result.New(result.NotFound, ranNotForwarded(r), "expected %s{service}/{path}", Prefix))
		return
	}
	values, ok := h.cfg.Settings(service)
	if !ok {
		h.refuse(w, "", h.unknownService(r, service))
		return
	}
	if !h.limiter.acquire(service) {
		h.refuse(w, service, result.New(result.EntryFull, ranNotForwarded(r), "service %q", service).WithRetryAfter(time.Second))
		return
	}
	defer h.limiter.release(service)
	msg, err := parse(w, r, service, path, values.Request)
	if err != nil {
		if err.Code != result.BadKey { // every entry refuses a bad key, so no earlier attempt can have run
			err.Ran = ranNotForwarded(r)
		}
		h.refuse(w, service, err)
		return
	}
	bodyBytes := int64(len(msg.Request.Body))
	if !h.bodies.TryAcquire(bodyBytes) {
		h.refuse(w, service, result.New(result.EntryFull, ranNotForwarded(r), "%d bytes of body", bodyBytes).WithRetryAfter(time.Second))
		return
	}
	defer h.bodies.Release(bodyBytes)
	h.limiter.forService(service).budget.Deposit(values.Request.RetryBudgetPercent)
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

// unknownService is the error for a service that is not in the settings, or for any service as
// long as the settings are not available.
func (h *Handler) unknownService(r *http.Request, service string) *result.Error {
	if h.cfg.View.Settings() == nil {
		return result.New(result.NotReady, ranNotForwarded(r), "no settings known yet").WithRetryAfter(homeRetryDelay)
	}
	return result.New(result.UnknownService, ranNotForwarded(r), "service %q", service)
}

// refuse writes a problem document.
func (h *Handler) refuse(w http.ResponseWriter, service string, e *result.Error) {
	info, _ := result.Lookup(e.Code)
	h.metrics.requests.WithLabelValues(service, info.Name).Inc()
	problem.Write(w, e)
}

// ranNotForwarded returns whether a request that was not forwarded may have run: if it has a key,
// an earlier attempt through another entry or under other settings may have.
func ranNotForwarded(r *http.Request) result.Ran {
	if r.Header.Get(KeyHeader) != "" {
		return result.RanUnknown
	}
	return result.RanNo
}

// InFlight returns the number of requests that are being served.
func (h *Handler) InFlight() int64 { return h.limiter.total.Load() }

// Dump returns the handler's state for /debug/state.
func (h *Handler) Dump() any { return h.limiter.dump() }
