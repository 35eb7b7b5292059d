package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// gate stands between the nodes and the store. While it is silent no call is answered: reads are
// dropped, and writes are dropped or carried out late, if their conditions still hold.
type gate struct {
	mu       sync.Mutex
	silent   chan struct{} // closed when the silence ends; nil while the store answers
	lateness time.Duration
	// onLate is called when a late write has been carried out.
	onLate func(body []byte, status int)
}

// silence makes the store silent until the returned function is called. Writes that arrive meanwhile
// are carried out after the lateness, or never if it is zero.
func (g *gate) silence(lateness time.Duration, onLate func(body []byte, status int)) (end func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	silent := make(chan struct{})
	g.silent, g.lateness, g.onLate = silent, lateness, onLate
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.silent = nil
		close(silent)
	}
}

// serve opens an address in front of a store endpoint.
func (g *gate) serve(target string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.forward(w, r, target)
	})}
	go func() { _ = server.Serve(l) }() // ends with this process
	return l.Addr().String(), nil
}

// storeClient has no time-outs: the nodes' calls have.
var storeClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

func (g *gate) forward(w http.ResponseWriter, r *http.Request, target string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the caller closed the connection
	}
	g.mu.Lock()
	silent, lateness, onLate := g.silent, g.lateness, g.onLate
	g.mu.Unlock()
	if silent != nil {
		if lateness > 0 && r.Method == http.MethodPost && r.URL.Path == "/api/kv-txn" {
			time.AfterFunc(lateness, func() {
				status, _ := send(context.Background(), r, target, body)
				onLate(body, status)
			})
		}
		<-r.Context().Done() // a connection on which an answer is lost returns nothing further
		panic(http.ErrAbortHandler)
	}
	status, reply := send(r.Context(), r, target, body)
	g.mu.Lock()
	silent = g.silent
	g.mu.Unlock()
	if status == 0 || silent != nil {
		if silent != nil {
			<-r.Context().Done() // the answer is lost in the silence
		}
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(reply) // fails if the caller closed the connection
}

// send carries a call out; the status is 0 if there is no answer.
func send(ctx context.Context, r *http.Request, target string, body []byte) (int, []byte) {
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+target+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	out.Header.Set("Content-Type", "application/json")
	resp, err := storeClient.Do(out)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	reply, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, reply
}
