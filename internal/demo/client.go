package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// reply is one HTTP answer, read whole.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// object reads the answer as a JSON object.
func (r reply) object() object {
	var o object
	if json.Unmarshal(r.body, &o) != nil {
		return object{}
	}
	return o
}

// String is the status and, for a refusal, its code and promise.
func (r reply) String() string {
	if r.status < http.StatusBadRequest {
		return fmt.Sprint(r.status)
	}
	o := r.object()
	return fmt.Sprintf("%d code=%v ran=%v: %v", r.status, o["code"], o["ran"], o["detail"])
}

// call makes one request to an entry host or the stand-in.
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

// want makes one request and fails unless it is answered with the status.
func want(ctx context.Context, status int, method, addr, path string, header map[string]string, body any) (reply, error) {
	r, err := call(ctx, method, addr, path, header, body)
	if err == nil && r.status != status {
		err = fmt.Errorf("%s %s: wanted %d, got %s", method, path, status, r)
	}
	return r, err
}
