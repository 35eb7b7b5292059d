// Package daemon contains what all long-running binaries share: logging, metrics,
// the state dump, readiness, and a planned stop on SIGTERM.
package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/justinas/alice"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/httplimit"
	"pulleyquay/internal/problem"
	"pulleyquay/internal/result"
)

// msgAnnounced is logged at the end of the time in which the load balancer notices a planned stop.
const msgAnnounced = "announcement over"

// goneInterval is how often a stopping process checks whether its callers are gone.
const goneInterval = 20 * time.Millisecond

// Daemon holds the logger, metrics and administration handlers of a process.
type Daemon struct {
	Name string
	Log  *logrus.Entry
	Reg  *prometheus.Registry

	stopping        atomic.Bool
	catchesSignals  atomic.Bool // Wait is notified of signals
	mu              sync.Mutex
	dumps           map[string]func() any
	queries         map[string]func(arg string) (any, error)
	readinessChecks []func() []string
	checks          readinessChecks // answered by ServeReady
	servers         []*Server
	guard           *httplimit.Guard // nil before the first listener if the limits are the default ones
	profiles        bool             // served by Admin
	limiter         *limiter
	buffer          *Lines // nil if lines are written one by one
}

// SetMemberName puts the member's name into log lines in place of the program's, which the member's
// name implies.
func (d *Daemon) SetMemberName(member string) {
	d.Log = d.Log.Logger.WithField(fieldName, member)
}

// LogInBackground makes log lines go through a buffer, which is written to out in the background.
func (d *Daemon) LogInBackground(out io.Writer) {
	d.buffer = NewLines(out)
	d.limiter.buffer = d.buffer
	d.Log.Logger.SetOutput(d.buffer)
}

// New returns a daemon that logs JSON lines to stderr. An unknown level is a *result.Error.
func New(name, level string) (*Daemon, error) {
	logger := logrus.New()
	b := &limiter{Formatter: jsonLines{}}
	logger.SetFormatter(b)
	lv, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, result.New(result.ConfigValue, result.RanNo, "%v", err).AtField("log_level")
	}
	logger.SetLevel(lv)
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return &Daemon{Name: name, Log: logger.WithField(fieldProcess, name), Reg: reg, limiter: b, dumps: map[string]func() any{}, queries: map[string]func(string) (any, error){}}, nil
}

// AddDump adds a named section to the state dump, /debug/state.
func (d *Daemon) AddDump(name string, fn func() any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dumps[name] = fn
}

// AddQuery adds a query about one object, served as /debug/NAME?of=OBJECT. The errors of fn
// are *result.Error. Call it before Admin.
func (d *Daemon) AddQuery(name string, fn func(object string) (any, error)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queries[name] = fn
}

// AddReadinessCheck adds a check that lists reasons why the process is not ready. The process is
// ready if all lists are empty and no planned stop has started.
func (d *Daemon) AddReadinessCheck(fn func() []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readinessChecks = append(d.readinessChecks, fn)
}

// Stopping reports whether a planned stop has started.
func (d *Daemon) Stopping() bool { return d.stopping.Load() }

// NotReadyReasons lists the reasons why the process is not ready; it is empty if it is ready.
func (d *Daemon) NotReadyReasons() []string {
	if d.Stopping() {
		return []string{"planned stop"}
	}
	d.mu.Lock()
	fns := append([]func() []string(nil), d.readinessChecks...)
	d.mu.Unlock()
	all := []string{}
	for _, fn := range fns {
		all = append(all, fn()...)
	}
	return all
}

// Listen opens a TCP listener. Its errors name the configuration field of the address; a port in
// use has a result code of its own.
func Listen(addr, field string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err == nil {
		return l, nil
	}
	code := result.StartFailed
	if errors.Is(err, syscall.EADDRINUSE) {
		code = result.ConfigPortInUse
	}
	return nil, result.New(code, result.RanNo, "%v", err).AtField(field)
}

// LimitClients sets the limits for the clients of all listeners, in place of those for a machine that isn't known. Call
// it before the first listener is served.
func (d *Daemon) LimitClients(l httplimit.Limits) {
	d.guard = httplimit.New(l, d.Reg)
}

// Serve starts an HTTP server on a listener for operators or for checks of readiness, which the daemon closes at the
// end of a planned stop. With the returned server a planned stop can wait for the requests in flight.
func (d *Daemon) Serve(l net.Listener, h http.Handler) *Server {
	return d.serve(l, h, httplimit.SmallShare)
}

// ServeCallers is like Serve, for the listener of callers.
func (d *Daemon) ServeCallers(l net.Listener, h http.Handler) *Server {
	return d.serve(l, h, httplimit.CallerShare)
}

// ServePeers is like Serve, for the listener of peers.
func (d *Daemon) ServePeers(l net.Listener, h http.Handler) *Server {
	return d.serve(l, h, httplimit.PeerShare)
}

func (d *Daemon) serve(l net.Listener, h http.Handler, share httplimit.Share) *Server {
	if share != httplimit.PeerShare { // peers exchange large messages
		if err := httplimit.ShrinkReceiveBuffers(l); err != nil {
			d.Log.WithError(err).Info("receive buffers keep the size of the system")
		}
	}
	d.mu.Lock()
	if d.guard == nil {
		d.guard = httplimit.New(httplimit.For(httplimit.Machine{}, httplimit.Settings{}), d.Reg)
	}
	s := newServer(d.guard.Listener(l, share), h)
	d.guard.Configure(s.Server)
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	go func() {
		if err := s.serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			d.Log.WithError(err).Error("listener failed")
		}
	}()
	return s
}

// EnableProfiles has Admin serve the profiles of the process under /debug/pprof/. Call it before Admin.
func (d *Daemon) EnableProfiles() { d.profiles = true }

// Admin returns the handler of /metrics, /healthz, /readyz, /debug/state and, if they are enabled, of the profiles.
func (d *Daemon) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.Reg, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", d.ServeReady)
	mux.HandleFunc("GET /debug/state", d.serveDump)
	d.mu.Lock()
	for name, fn := range d.queries {
		mux.HandleFunc("GET /debug/"+name, func(w http.ResponseWriter, r *http.Request) { serveQuery(w, r, fn) })
	}
	d.mu.Unlock()
	if d.profiles {
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	}
	return alice.New(noStore).Then(mux)
}

func noStore(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cache-Control", "no-store")
		next.ServeHTTP(w, r)
	})
}

// ServeReady responds with status 200 if the process is ready, or else 503 and the reasons.
func (d *Daemon) ServeReady(w http.ResponseWriter, _ *http.Request) {
	reasons := d.NotReadyReasons()
	d.mu.Lock()
	d.checks.add(time.Now(), d.Stopping())
	d.mu.Unlock()
	status := http.StatusOK
	if len(reasons) > 0 {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, struct {
		Ready           bool     `json:"ready"`
		NotReadyReasons []string `json:"lacks"`
	}{len(reasons) == 0, reasons})
}

func (d *Daemon) serveDump(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	fns := make(map[string]func() any, len(d.dumps))
	for name, fn := range d.dumps {
		fns[name] = fn
	}
	d.mu.Unlock()
	state := map[string]any{"process": d.Name, "pid": os.Getpid(), "lacks": d.NotReadyReasons()}
	for name, fn := range fns {
		state[name] = fn()
	}
	writeJSON(w, http.StatusOK, state)
}

func serveQuery(w http.ResponseWriter, r *http.Request, fn func(string) (any, error)) {
	reply, err := fn(r.URL.Query().Get("of"))
	if err != nil {
		problem.Write(w, result.From(err))
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v) // fails only if the client has disconnected
}

// StopPhases configures the phases of a planned stop.
type StopPhases struct {
	// Announce is how long the process goes on as before after it ceased to be ready, at the least, so
	// that the load balancer can detect it.
	Announce time.Duration
	// Callers is the server whose callers come through the load balancer; nil if there is none. The
	// process goes on until they have stopped sending requests, for AnnounceLimit at most.
	Callers       *Server
	AnnounceLimit time.Duration
	// Limit is the timeout of Drain.
	Limit time.Duration
	// Drain finishes or hands over the process's work. Its error says what was
	// left unfinished.
	Drain func(ctx context.Context) error
}

// Wait blocks until SIGTERM or SIGINT, then performs the planned stop. A second
// signal aborts it. The returned error is a *result.Error.
func (d *Daemon) Wait(s StopPhases) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d.catchesSignals.Store(true)
	<-signals
	d.stopping.Store(true)
	d.Log.Info("planned stop began")

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		d.Log.Warn("second signal, stopping at once")
		cancel()
	}()
	err := d.drain(ctx, s)
	d.closeServers()
	d.Log.WithError(err).Info("stopped")
	d.limiter.logDropped(d.Log)
	if d.buffer != nil {
		d.buffer.Flush()
	}
	return err
}

func (d *Daemon) drain(ctx context.Context, s StopPhases) error {
	if err := d.announce(ctx, s); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.Limit)
	defer cancel()
	if s.Drain == nil {
		return nil
	}
	if err := s.Drain(ctx); err != nil {
		return result.New(result.StopTimeout, result.RanUnknown, "%v", err)
	}
	return nil
}

// announce waits until the load balancer has noticed that the process is not ready.
func (d *Daemon) announce(ctx context.Context, s StopPhases) error {
	select {
	case <-time.After(s.Announce):
	case <-ctx.Done():
	}
	if s.Callers != nil {
		d.awaitCallers(ctx, s.Callers, s.AnnounceLimit-s.Announce)
	}
	if ctx.Err() != nil {
		return result.New(result.StopTimeout, result.RanUnknown, "second signal")
	}
	return nil
}

// awaitCallers waits until the callers of a server have stopped sending requests, at most for the given
// time, and logs how many requests arrived meanwhile. A load balancer sends requests until it has noticed
// that the process is not ready.
func (d *Daemon) awaitCallers(ctx context.Context, s *Server, limit time.Duration) {
	start, before := time.Now(), s.requests().count
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	gone := d.awaitGone(ctx, s)
	now, after := time.Now(), s.requests()
	line := d.Log.WithFields(logrus.Fields{"late_requests": after.count - before, "waited_ms": now.Sub(start).Milliseconds()})
	if last := after.last(); !last.IsZero() {
		line = line.WithField("last_request_ago_ms", now.Sub(last).Milliseconds())
	}
	if !gone {
		line.WithField("why", "requests still arrive").Warn(msgAnnounced)
		return
	}
	line.Info(msgAnnounced)
}

// awaitGone reports whether the callers of the server are gone before ctx ends.
func (d *Daemon) awaitGone(ctx context.Context, s *Server) bool {
	ticker := time.NewTicker(goneInterval)
	defer ticker.Stop()
	for !d.callersGone(s, time.Now()) {
		if waitTick(ctx, ticker) != nil {
			return false
		}
	}
	return true
}

func (d *Daemon) callersGone(s *Server, now time.Time) bool {
	d.mu.Lock()
	checks := d.checks
	d.mu.Unlock()
	return !now.Before(callersGoneAt(s.requests(), checks)) && !s.hasInput()
}

func (d *Daemon) closeServers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		_ = s.Close()
	}
}

// Fail logs an error of the start or the stop on stderr and returns the exit status: 1 for a planned
// stop that timed out, else 2.
func Fail(name string, err error) int {
	l := logrus.New()
	l.SetFormatter(jsonLines{})
	e := result.From(err)
	l.WithFields(logrus.Fields{fieldProcess: name, "code": e.Code, "field": e.Field}).Error(e.Error())
	if e.Code == result.StopTimeout {
		return 1
	}
	return 2
}
