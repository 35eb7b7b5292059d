package httplimit

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"pulleyquay/internal/result"
)

// limitBodies limits the bodies of requests. A handler that reads a body over a limit gets an error with a
// *result.Error, see Refusal.
func (g *Guard) limitBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok || r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body, conn: conn, control: http.NewResponseController(w)}
		b.start()
		limited := *r // the server looks at its own request's body afterwards
		limited.Body = b
		next.ServeHTTP(&replyWriter{ResponseWriter: w, body: b}, &limited)
		b.finish()
	})
}

// Refusal returns the refusal that caused the error of reading a request's body, or nil.
func Refusal(err error) *result.Error {
	var refusal *result.Error
	if errors.As(err, &refusal) {
		return refusal
	}
	return nil
}

// body is a request's body that is being read.
type body struct {
	io.ReadCloser
	conn    *Conn
	control *http.ResponseController

	deadline       time.Time // for the whole body
	read, reserved int64
	whole          bool  // read to its end
	err            error // of an earlier read
}

// start begins the time for the body.
func (b *body) start() {
	b.conn.enter(phaseBody)
	b.endBy(time.Now().Add(b.conn.guard.limits.BodyTimeout))
}

func (b *body) endBy(at time.Time) {
	b.deadline = at
	_ = b.control.SetReadDeadline(at) // fails only on a closed connection
}

// EndBodyBy shortens the time in which a request's body has to arrive. It has no effect on a request of a server
// without limits.
func EndBodyBy(r *http.Request, at time.Time) {
	if b, ok := r.Body.(*body); ok && !b.whole && at.Before(b.deadline) {
		b.endBy(at)
	}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	switch {
	case err == io.EOF:
		b.end()
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = b.timeout()
	case err == nil && !b.reserve():
		b.conn.guard.metrics.refused.WithLabelValues(reasonBodyBytes).Inc()
		err = errFull
	}
	b.err = err
	return n, err
}

// end is called at the end of the body. The connection may then wait for its reply as long as that takes.
func (b *body) end() {
	b.whole = true
	_ = b.control.SetReadDeadline(time.Time{}) // fails only on a closed connection
	b.conn.enter(phaseServing)
}

// timeout returns the refusal of a request whose body has not arrived in time.
func (b *body) timeout() error {
	if b.conn.evicted.Load() {
		return result.New(result.RequestsFull, result.RanNo, "too many clients are connected").WithRetryAfter(retryDelay)
	}
	b.conn.guard.metrics.refused.WithLabelValues(reasonBodyTime).Inc()
	return result.New(result.BodyTooSlow, result.RanNo, "%d bytes have arrived", b.read).WithRetryAfter(retryDelay)
}

// reserve counts what has been read and reports whether the limit permits it.
func (b *body) reserve() bool {
	more := b.read - FreeBytes - b.reserved
	if more <= 0 {
		return true
	}
	if !b.conn.guard.requests.TryAcquire(more) {
		return false
	}
	b.reserved += more
	return true
}

// finish is called when the request has been handled. If its body was not read whole, the reply is sent and a part of
// the rest is read.
func (b *body) finish() {
	b.conn.guard.requests.Release(b.reserved)
	if b.whole || b.conn.evicted.Load() {
		return
	}
	if b.control.Flush() != nil {
		return // the connection is gone
	}
	b.conn.enter(phaseDrain)
	if b.control.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, b.ReadCloser, drainBytes) // the connection is closed afterwards in any case
}

// replyWriter makes the connection close after a reply to a request that was not read whole.
type replyWriter struct {
	http.ResponseWriter
	body *body
}

// WriteHeader implements http.ResponseWriter.
func (w *replyWriter) WriteHeader(status int) {
	if !w.body.whole {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *replyWriter) Write(b []byte) (int, error) {
	if !w.body.whole {
		w.Header().Set("Connection", "close") // has no effect after WriteHeader
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap supports http.ResponseController.
func (w *replyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
