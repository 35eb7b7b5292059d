// Package exechttp implements executor.Client over HTTP/1.1. Each request is sent at most once,
// whatever its method and headers; see package httponce.
//
// An executor that accepts no new requests sets the header LeavingHeader on any answer.
// "Connection: close" is not such a signal: servers close connections for many reasons.
package exechttp

import (
	"context"
	"errors"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"pulleyquay/internal/executor"
	"pulleyquay/internal/httponce"
)

// LeavingHeader with the value LeavingValue in an answer signals that the executor is leaving. It
// is not forwarded to callers.
const (
	LeavingHeader = "Pulleyquay-Leaving"
	LeavingValue  = "1"
)

// errBadPath is the cause of a failure for a path that is not valid in a request line.
var errBadPath = errors.New("path must begin with / and have no spaces or control characters")

// hopByHop headers belong to one connection and are not forwarded (RFC 9110, section 7.6.1), nor
// are those named by the Connection header.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Client is an executor.Client over HTTP.
type Client struct {
	http *httponce.Client
}

// New returns a client that keeps connections to executors open; opt.MaxConns bounds the
// connections per address.
func New(opt httponce.Options) *Client {
	return &Client{http: httponce.New(opt)}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }

// Do sends the request once; see executor.Client.
func (c *Client) Do(ctx context.Context, addr string, req executor.Request, maxAnswer int64) (executor.Answer, error) {
	out, err := outgoing(addr, req)
	if err != nil {
		return executor.Answer{}, &executor.Failure{Err: err}
	}
	got, err := c.http.Do(ctx, addr, out, req.Body, maxAnswer)
	if err != nil {
		var f *httponce.Failure
		sent := !errors.As(err, &f) || f.Sent
		if errors.Is(err, httponce.ErrTooLarge) {
			err = executor.ErrAnswerTooLarge
		}
		return executor.Answer{}, &executor.Failure{Sent: sent, Err: err}
	}
	header := endToEnd(got.Header)
	leaving := header.Get(LeavingHeader) == LeavingValue
	header.Del(LeavingHeader)
	return executor.Answer{Status: got.Status, Header: header, Body: got.Body, Leaving: leaving}, nil
}

func outgoing(addr string, req executor.Request) (*http.Request, error) {
	if !validPath(req.Path) {
		return nil, errBadPath
	}
	header := endToEnd(req.Header)
	host := header.Get("Host")
	header.Del("Host")
	header.Del("Content-Length") // set from the body
	if header.Get("User-Agent") == "" {
		header["User-Agent"] = nil // otherwise net/http adds its own
	}
	u, err := target(addr, req.Path)
	if err != nil {
		return nil, err
	}
	return &http.Request{Method: req.Method, URL: u, Host: host, Header: header}, nil
}

// target keeps the path and query byte for byte where net/http allows it.
func target(addr, path string) (*url.URL, error) {
	if !strings.HasPrefix(path, "//") {
		return &url.URL{Scheme: "http", Host: addr, Opaque: path}, nil
	}
	raw, query, hasQuery := strings.Cut(path, "?")
	decoded, err := url.PathUnescape(raw)
	if err != nil {
		return nil, errBadPath
	}
	return &url.URL{
		Scheme: "http", Host: addr, Path: decoded, RawPath: raw, RawQuery: query, ForceQuery: hasQuery && query == "",
	}, nil
}

func validPath(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	for i := range len(path) {
		if path[i] <= ' ' || path[i] == 0x7f {
			return false
		}
	}
	return true
}

// endToEnd returns a copy of the header without the fields that belong to one connection.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
