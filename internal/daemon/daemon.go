// Package daemon is what every long-running binary shares: logging, metrics,
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

	"pulleyquay/internal/problem"
	"pulleyquay/internal/result"
)

// readHeaderTimeout bounds how long a connection may take to send its headers.
const readHeaderTimeout = 5 * time.Second

// Daemon is one running process.
type Daemon struct {
	Name string
	Log  *logrus.Entry
	Reg  *prometheus.Registry

	stopping  atomic.Bool
	listening atomic.Bool // signals are being caught
	mu        sync.Mutex
	dumps     map[string]func() any
	questions map[string]func(arg string) (any, error)
	lacks     []func() []string
	servers   []*http.Server
	budget    *budget
	lines     *Lines // nil while lines are written one by one
}

// LogAs has log lines name the member that this process is, which tells the program as
// well, in place of the program.
func (d *Daemon) LogAs(member string) {
	d.Log = d.Log.Logger.WithField(fieldName, member)
}

// LogTo has log lines gathered and written to out in the background.
func (d *Daemon) LogTo(out io.Writer) {
	d.lines = NewLines(out)
	d.budget.lines = d.lines
	d.Log.Logger.SetOutput(d.lines)
}

// New returns a daemon that logs JSON lines to stderr.
func New(name, level string) (*Daemon, error) {
	logger := logrus.New()
	b := &budget{Formatter: jsonLines{}}
	logger.SetFormatter(b)
	lv, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, result.New(result.ConfigValue, result.RanNo, "%v", err).At("log_level")
	}
	logger.SetLevel(lv)
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return &Daemon{Name: name, Log: logger.WithField(fieldProcess, name), Reg: reg, budget: b, dumps: map[string]func() any{}, questions: map[string]func(string) (any, error){}}, nil
}

// AddDump adds a named section to the state dump.
func (d *Daemon) AddDump(name string, fn func() any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dumps[name] = fn
}

// AddQuestion adds a function that answers about one thing, as /debug/NAME?of=THING. Its
// errors are *result.Error. Call it before Admin.
func (d *Daemon) AddQuestion(name string, fn func(thing string) (any, error)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.questions[name] = fn
}

// AddReadiness adds a function that lists what the process lacks; it is ready
// while all lists are empty and no planned stop has begun.
func (d *Daemon) AddReadiness(fn func() []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lacks = append(d.lacks, fn)
}

// Stopping reports whether a planned stop has begun.
func (d *Daemon) Stopping() bool { return d.stopping.Load() }

// Lacks lists what keeps the process from being ready.
func (d *Daemon) Lacks() []string {
	if d.Stopping() {
		return []string{"planned stop"}
	}
	d.mu.Lock()
	fns := append([]func() []string(nil), d.lacks...)
	d.mu.Unlock()
	all := []string{}
	for _, fn := range fns {
		all = append(all, fn()...)
	}
	return all
}

// Listen opens a TCP listener. A taken port is reported with the field's path.
func Listen(addr, field string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err == nil {
		return l, nil
	}
	code := result.StartFailed
	if errors.Is(err, syscall.EADDRINUSE) {
		code = result.ConfigPortInUse
	}
	return nil, result.New(code, result.RanNo, "%v", err).At(field)
}

// Serve answers HTTP on the listener until the daemon closes it. The returned
// server lets a planned stop wait for the requests in flight.
func (d *Daemon) Serve(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	go func() {
		if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			d.Log.WithError(err).Error("listener failed")
		}
	}()
	return s
}

// Admin returns the handler of /metrics, /healthz, /readyz, /debug/state and the
// profiles under /debug/pprof/.
func (d *Daemon) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.Reg, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", d.ServeReady)
	mux.HandleFunc("GET /debug/state", d.serveDump)
	d.mu.Lock()
	for name, fn := range d.questions {
		mux.HandleFunc("GET /debug/"+name, func(w http.ResponseWriter, r *http.Request) { serveAnswer(w, r, fn) })
	}
	d.mu.Unlock()
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	return alice.New(noStore).Then(mux)
}

func noStore(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cache-Control", "no-store")
		next.ServeHTTP(w, r)
	})
}

// ServeReady answers 200 while the process is ready and 503 while it is not.
func (d *Daemon) ServeReady(w http.ResponseWriter, _ *http.Request) {
	lacks := d.Lacks()
	status := http.StatusOK
	if len(lacks) > 0 {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, struct {
		Ready bool     `json:"ready"`
		Lacks []string `json:"lacks"`
	}{len(lacks) == 0, lacks})
}

func (d *Daemon) serveDump(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	fns := make(map[string]func() any, len(d.dumps))
	for name, fn := range d.dumps {
		fns[name] = fn
	}
	d.mu.Unlock()
	state := map[string]any{"process": d.Name, "pid": os.Getpid(), "lacks": d.Lacks()}
	for name, fn := range fns {
		state[name] = fn()
	}
	writeJSON(w, http.StatusOK, state)
}

func serveAnswer(w http.ResponseWriter, r *http.Request, fn func(string) (any, error)) {
	answer, err := fn(r.URL.Query().Get("of"))
	if err != nil {
		problem.Write(w, result.From(err))
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v) // the client has gone if this fails
}

// Stopper carries out the phases of a planned stop.
type Stopper struct {
	// Announce is how long listeners stay open after readiness went false, so
	// that the balancer can notice.
	Announce time.Duration
	// Limit bounds the whole of Drain.
	Limit time.Duration
	// Drain ends work in order. Its error tells what was left.
	Drain func(ctx context.Context) error
}

// Wait blocks until SIGTERM or SIGINT, then carries out the planned stop. A
// second signal ends it at once. The returned error is a *result.Error.
func (d *Daemon) Wait(s Stopper) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d.listening.Store(true)
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
	d.budget.logRest(d.Log)
	if d.lines != nil {
		d.lines.Flush()
	}
	return err
}

func (d *Daemon) drain(ctx context.Context, s Stopper) error {
	select {
	case <-time.After(s.Announce):
	case <-ctx.Done():
		return result.New(result.StopTimeout, result.RanUnknown, "second signal")
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

func (d *Daemon) closeServers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		_ = s.Close()
	}
}

// Fail reports a failed start on stderr and returns the exit status.
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
