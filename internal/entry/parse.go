package entry

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"pulleyquay/internal/executor"
	"pulleyquay/internal/httplimit"
	"pulleyquay/internal/requestmsg"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
)

// splitPath returns the service, and the path with the query for the executor. The path keeps
// the caller's percent-encoding.
func splitPath(u *url.URL) (service, path string, ok bool) {
	rest, ok := strings.CutPrefix(u.EscapedPath(), Prefix)
	if !ok {
		return "", "", false
	}
	service, path, _ = strings.Cut(rest, "/")
	if service == "" {
		return "", "", false
	}
	path = "/" + path
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return service, path, true
}

// parse converts a caller's request to the message for the home. A request that it refuses has
// not been forwarded.
func parse(w http.ResponseWriter, r *http.Request, service, path string, limits settings.Request) (requestmsg.Serve, *result.Error) {
	msg := requestmsg.Serve{Service: service, Caller: callerOf(r), Idempotent: idempotent(r.Method, limits)}
	var err *result.Error
	if msg.Key, err = keyOf(r); err != nil {
		return msg, err
	}
	if msg.Timeout, err = timeoutOf(r, limits); err != nil {
		return msg, err
	}
	body, err := readBody(w, r, limits.MaxBodyBytes)
	if err != nil {
		return msg, err
	}
	msg.Request = executor.Request{Method: r.Method, Path: path, Header: endToEnd(r.Header), Body: body}
	msg.Request.Header["Host"] = []string{r.Host} // net/http stores it separately
	return msg, nil
}

// idempotent reports whether a method may be repeated (RFC 9110, section 9.2.2).
func idempotent(method string, limits settings.Request) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	case http.MethodPost:
		return limits.PostIdempotent
	}
	return false
}

// keyOf returns the request's key, or uuid.Nil if it has none.
func keyOf(r *http.Request) (uuid.UUID, *result.Error) {
	values := r.Header.Values(KeyHeader)
	if len(values) == 0 {
		return uuid.Nil, nil
	}
	if len(values) > 1 {
		return uuid.Nil, result.New(result.BadKey, result.RanNo, "%d keys", len(values)).AtField(KeyHeader)
	}
	key, err := uuid.Parse(strings.Trim(values[0], `"`))
	if err != nil {
		return uuid.Nil, result.New(result.BadKey, result.RanNo, "%v", err).AtField(KeyHeader)
	}
	if key.Version() != 7 {
		return uuid.Nil, result.New(result.BadKey, result.RanNo, "UUID version %d, expected 7", key.Version()).AtField(KeyHeader)
	}
	return key, nil
}

// timeoutOf returns the caller's deadline or the service's default, limited to the service's
// maximum.
func timeoutOf(r *http.Request, limits settings.Request) (time.Duration, *result.Error) {
	ms := limits.DefaultDeadlineMS
	if text := r.Header.Get(TimeoutHeader); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n <= 0 {
			return 0, result.New(result.BadDeadline, result.RanNo, "%q", text).AtField(TimeoutHeader)
		}
		ms = n
	}
	return time.Duration(min(ms, limits.MaxDeadlineMS)) * time.Millisecond, nil
}

// readBody reads the complete body, or returns an error if it is too large or cannot be read.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *result.Error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	reader := http.MaxBytesReader(w, r.Body, limit)
	body, err := io.ReadAll(reader) // the buffer grows with what arrives, not with what is announced
	if err == nil {
		return body, nil
	}
	var maxBytesErr *http.MaxBytesError
	if errors.As(err, &maxBytesErr) {
		return nil, tooLarge(limit)
	}
	if refusal := httplimit.Refusal(err); refusal != nil {
		return nil, refusal
	}
	return nil, result.New(result.CallerDisconnected, ranNotForwarded(r), "body: %v", err)
}

func tooLarge(limit int64) *result.Error {
	return result.New(result.TooLarge, result.RanNo, "body over %d bytes", limit)
}

// callerOf identifies the caller for fair queueing: by the Caller-Id header, the address reported
// by the load balancer, or the address of the connection.
func callerOf(r *http.Request) string {
	if id := r.Header.Get(CallerHeader); id != "" {
		return id
	}
	if forwarded := r.Header.Values("X-Forwarded-For"); len(forwarded) > 0 {
		hops := strings.Split(forwarded[len(forwarded)-1], ",")
		return strings.TrimSpace(hops[len(hops)-1])
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
