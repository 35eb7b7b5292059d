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

// maxAnswer bounds an answer in bytes.
const maxAnswer = 64 << 20

// client sends requests to the entries.
type client struct {
	entries []string
	timeout time.Duration
	http    *http.Client
}

func newClient(entries []string, timeout time.Duration) *client {
	// A connection is used once: net/http repeats a request by itself only on
	// a reused connection.
	return &client{entries: entries, timeout: timeout, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// request is one request to any entry.
type request struct {
	method, path string
	header       http.Header
	body         []byte
	// repeatable requests may be sent to another entry although an earlier one
	// may have received them.
	repeatable bool
	// read requests change nothing: their failure leaves nothing unknown.
	read bool
}

// answer is a whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// do sends the request to the entries in turn until one answers. Another entry
// is tried only when nothing can have run, or when running twice is harmless.
func (c *client) do(r request) (answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	var last error
	unknown := false
	for _, entry := range c.entries {
		got, err := c.one(ctx, entry, r)
		if err == nil {
			return got, nil
		}
		var usage *usageError
		if errors.As(err, &usage) {
			return answer{}, err
		}
		last = err
		e := result.From(err)
		unknown = unknown || e.Ran != result.RanNo
		if !c.goesOn(ctx, r, e) {
			break
		}
	}
	e := result.From(last)
	if r.read && e.Ran != result.RanNo {
		return answer{}, &readError{e}
	}
	if unknown && e.Ran == result.RanNo && !r.read {
		last = result.New(e.Code, result.RanUnknown, "an entry got the request and gave no answer; then: %s", e.Detail)
	}
	return answer{}, last
}

// goesOn reports whether the next entry may be tried after e.
func (c *client) goesOn(ctx context.Context, r request, e *result.Error) bool {
	if ctx.Err() != nil {
		return false
	}
	info, _ := result.Lookup(e.Code)
	if info.Status < http.StatusInternalServerError {
		return false // the request itself was refused: each entry would
	}
	return e.Ran == result.RanNo || r.repeatable || r.read
}

// one sends the request to one entry. An answer that is a problem document is
// an error; every other one is returned.
func (c *client) one(ctx context.Context, entry string, r request) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+entry+r.path, bytes.NewReader(r.body))
	if err != nil {
		return answer{}, usagef("%v", err)
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, r.transportError(entry, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return answer{}, r.transportError(entry, err)
	}
	if resp.Header.Get("Content-Type") == problem.ContentType {
		return answer{}, problem.Read(resp.StatusCode, body)
	}
	return answer{resp.StatusCode, resp.Header, body}, nil
}

// transportError says whether a failed exchange can have had an effect.
func (r request) transportError(entry string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.New(result.PeerNotReached, result.RanNo, "entry %s: %v", entry, op)
	}
	return result.New(result.PeerLost, result.RanUnknown, "entry %s gave no whole answer: %v", entry, err)
}

// readError is a failed read. It changed nothing, so that it is a failure and
// not an unknown outcome, whatever may have run to answer it.
type readError struct{ cause *result.Error }

func (e *readError) Error() string { return describe(e.cause) }

// json sends a request whose answer must be JSON with a status of the 200s.
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

// get reads a path.
func (c *client) get(path string) ([]byte, error) {
	return c.json(request{method: http.MethodGet, path: path, repeatable: true, read: true})
}
