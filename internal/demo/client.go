package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// reply is an HTTP response with its complete body.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// object decodes the body as a JSON object; the result is empty if that fails.
func (r reply) object() object {
	var o object
	if json.Unmarshal(r.body, &o) != nil {
		return object{}
	}
	return o
}

// String returns the status and, for an error, the code, whether the request ran, and the
// detail.
func (r reply) String() string {
	if r.status < http.StatusBadRequest {
		return fmt.Sprint(r.status)
	}
	o := r.object()
	return fmt.Sprintf("%d code=%v ran=%v: %v", r.status, o["code"], o["ran"], o["detail"])
}

// call sends one request to an entry host or the stand-in.
func call(ctx context.Context, method, addr, path string, header map[string]string, body any) (reply, error) {
	var in io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return reply{}, err
		}
		in = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, in)
	if err != nil {
		return reply{}, err
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, data}, err
}

// callExpecting sends one request and fails unless the response has the given status.
func callExpecting(ctx context.Context, status int, method, addr, path string, header map[string]string, body any) (reply, error) {
	r, err := call(ctx, method, addr, path, header, body)
	if err == nil && r.status != status {
		err = fmt.Errorf("%s %s: expected status %d, got %s", method, path, status, r)
	}
	return r, err
}
