package ctl

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"pulleyquay/internal/problem"
	"pulleyquay/internal/result"
)

// maxResponseBytes bounds how much of a response's body is read.
const maxResponseBytes = 64 << 20

// client sends requests to one of several entries.
type client struct {
	entries []string
	timeout time.Duration
	http    *http.Client
}

func newClient(entries []string, timeout time.Duration) *client {
	// Keep-alive is off because net/http retries a request on its own only on a reused connection,
	// and a request that is not repeatable must be sent at most once.
	return &client{entries: entries, timeout: timeout, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// request is a request that any entry can serve.
type request struct {
	method, path string
	header       http.Header
	body         []byte
	// repeatable requests may be sent to another entry although an earlier one may have received
	// them.
	repeatable bool
	// read requests change no state, so that a failed one never has an unknown outcome.
	read bool
}

// response is a response whose body has been read.
type response struct {
	status int
	header http.Header
	body   []byte
}

// do sends the request to the entries in turn until one responds. The next entry is tried only if
// the request can not have run, or if running it twice is harmless.
func (c *client) do(r request) (response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	var last error
	unknown := false
	for _, entry := range c.entries {
		got, err := c.sendTo(ctx, entry, r)
		if err == nil {
			return got, nil
		}
		var usage *usageError
		if errors.As(err, &usage) {
			return response{}, err
		}
		last = err
		e := result.From(err)
		unknown = unknown || e.Ran != result.RanNo
		if !c.mayTryNext(ctx, r, e) {
			break
		}
	}
	e := result.From(last)
	if r.read && e.Ran != result.RanNo {
		return response{}, &readError{e}
	}
	if unknown && e.Ran == result.RanNo && !r.read {
		last = result.New(e.Code, result.RanUnknown, "an entry got the request and gave no answer; then: %s", e.Detail)
	}
	return response{}, last
}

// mayTryNext reports whether the next entry may be tried after e.
func (c *client) mayTryNext(ctx context.Context, r request, e *result.Error) bool {
	if ctx.Err() != nil {
		return false
	}
	info, _ := result.Lookup(e.Code)
	if info.Status < http.StatusInternalServerError {
		return false // the request is invalid; every entry would refuse it
	}
	return e.Ran == result.RanNo || r.repeatable || r.read
}

// sendTo sends the request to one entry. A problem document is returned as an error, any other
// response as it is.
func (c *client) sendTo(ctx context.Context, entry string, r request) (response, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+entry+r.path, bytes.NewReader(r.body))
	if err != nil {
		return response{}, usagef("%v", err)
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, r.transportError(entry, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, r.transportError(entry, err)
	}
	if resp.Header.Get("Content-Type") == problem.ContentType {
		return response{}, problem.Read(resp.StatusCode, body)
	}
	return response{resp.StatusCode, resp.Header, body}, nil
}

// transportError returns the error of an exchange that failed without a complete response. Only a
// failed dial shows that the request did not run.
func (r request) transportError(entry string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.New(result.PeerNotReached, result.RanNo, "entry %s: %v", entry, op)
	}
	return result.New(result.PeerLost, result.RanUnknown, "entry %s gave no whole answer: %v", entry, err)
}

// readError is the failure of a read request. A read changes no state, so that the exit code is
// ExitFailed and not ExitUnknown, whether or not the request ran.
type readError struct{ cause *result.Error }

func (e *readError) Error() string { return describe(e.cause) }

// json sends a request with a JSON body and returns the body of the response, whose status must be
// 2xx.
func (c *client) json(r request) ([]byte, error) {
	if len(r.body) > 0 {
		r.header = http.Header{"Content-Type": {"application/json"}}
	}
	got, err := c.do(r)
	if err != nil {
		return nil, err
	}
	if got.status/100 != 2 {
		return nil, fmt.Errorf("status %d: %s", got.status, bytes.TrimSpace(got.body))
	}
	return got.body, nil
}

// get sends a GET request, which may go to several entries.
func (c *client) get(path string) ([]byte, error) {
	return c.json(request{method: http.MethodGet, path: path, repeatable: true, read: true})
}
