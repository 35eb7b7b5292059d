// Package storehttp serves the in-memory store with the protocol of the etcd v3 JSON
// gateway, and endpoints that set its faults. It is for development and tests only.
package storehttp

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/etcdhttp"
	"pulleyquay/internal/platform/memstore"
)

// maxRequest is the maximum size of a request's body in bytes: enough for the largest value
// in base64 and the other fields.
const maxRequest = 2 << 20

// Handler serves the calls under /v3/ and the faults under /faults. The User-Agent of a
// request selects the engine's client whose faults apply. If a fault refuses a call or
// makes its outcome unknown, the connection is closed without a response.
func Handler(engine *memstore.Engine) http.Handler {
	s := &server{engine: engine, clusterID: rand.Uint64() | 1}
	mux := http.NewServeMux()
	handle(mux, s, etcdhttp.PathRange, s.rangeKeys)
	handle(mux, s, etcdhttp.PathTxn, s.txn)
	handle(mux, s, etcdhttp.PathGrant, s.grant)
	handle(mux, s, etcdhttp.PathKeepAlive, s.keepAlive)
	handle(mux, s, etcdhttp.PathRevoke, s.revoke)
	mux.HandleFunc("POST "+etcdhttp.PathWatch, s.watch)
	s.handleFaults(mux)
	return mux
}

// server has the state that the handlers share.
type server struct {
	engine    *memstore.Engine
	clusterID uint64
}

// header returns the header of a reply at a revision; zero means the current revision.
func (s *server) header(at platform.Revision) etcdhttp.Header {
	if at == 0 {
		at = s.engine.Dump().Revision
	}
	return etcdhttp.Header{ClusterID: s.clusterID, Revision: at}
}

// client returns the engine's client for a request.
func (s *server) client(r *http.Request) *memstore.Client {
	return s.engine.Client(r.UserAgent())
}

// callHandler carries out one call as a client of the engine.
type callHandler[Req, Reply any] func(r *http.Request, c *memstore.Client, req Req) (Reply, error)

// handle registers a call with one request and one reply.
func handle[Req, Reply any](mux *http.ServeMux, s *server, path string, fn callHandler[Req, Reply]) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if !decodeBody(w, r, &req) {
			return
		}
		reply, err := fn(r, s.client(r), req)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, reply)
	})
}

// decodeBody decodes a JSON body and refuses unknown names. If it returns false it has sent
// an error response.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequest))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil && decoder.More() {
		err = errors.New("more than one JSON value")
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, etcdhttp.ErrorReply{Code: etcdhttp.CodeInvalidArgument, Message: err.Error()})
		return false
	}
	// The server detects that the client has disconnected only after the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	return true
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

// writeError responds to a failed call as the etcd gateway does, or aborts the connection.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, platform.ErrLeaseGone):
		writeJSON(w, http.StatusNotFound, etcdhttp.ErrorReply{
			Code: etcdhttp.CodeNotFound, Message: "etcdserver: requested lease not found",
		})
	case errors.Is(err, platform.ErrRefused):
		writeJSON(w, http.StatusBadRequest, etcdhttp.ErrorReply{Code: etcdhttp.CodeInvalidArgument, Message: err.Error()})
	default:
		panic(http.ErrAbortHandler) // closes the connection
	}
}
