package execsim

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pulleyquay/internal/executor"
	"pulleyquay/internal/executor/exechttp"
)

// maxBody bounds a request's body, in bytes.
const maxBody = 64 << 20

// Server returns an HTTP server for the executor, which is not serving yet and reports its
// connections to the judge.
func (e *Executor) Server() *http.Server {
	return &http.Server{Handler: e, ConnState: e.connState(), ReadHeaderTimeout: time.Minute}
}

// connState reports each connection once when it opens and once when it closes.
func (e *Executor) connState() func(net.Conn, http.ConnState) {
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	return func(c net.Conn, s http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case s == http.StateNew:
			open[c] = true
			e.judge.RecordConnection(e.name, true, time.Now())
		case (s == http.StateClosed || s == http.StateHijacked) && open[c]:
			delete(open, c)
			e.judge.RecordConnection(e.name, false, time.Now())
		}
	}
}

// ServeHTTP executes one request. An unreachable executor closes the connection without reading
// the request; a hanging one waits until the caller leaves.
func (e *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.Faults().Unreachable {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	answer, err := e.Execute(r.Context(), executor.Request{
		Method: r.Method, Path: r.RequestURI, Header: r.Header, Body: body,
	})
	if err != nil && err != ErrTruncated {
		panic(http.ErrAbortHandler)
	}
	writeAnswer(w, answer, err == ErrTruncated)
}

func writeAnswer(w http.ResponseWriter, a executor.Answer, truncate bool) {
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	if a.Leaving {
		w.Header().Set(exechttp.LeavingHeader, exechttp.LeavingValue)
	}
	if !truncate {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
		w.WriteHeader(a.Status)
		_, _ = w.Write(a.Body)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)+1))
	w.WriteHeader(a.Status)
	_, _ = fmt.Fprintf(w, "%s", a.Body)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
