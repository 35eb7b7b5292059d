// Package storehttp serves the in-memory engine in the wire form of the
// published etcd v3 JSON gateway, and endpoints to switch its faults. It is for
// development and tests only.
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

// maxRequest bounds a request's body: the largest value in base64 and room for
// the rest, in bytes.
const maxRequest = 2 << 20

// Handler serves the calls under /v3/ and the faults under /faults. A caller's
// User-Agent names the engine's client whose faults strike it. A call whose
// outcome the engine calls unknown, or refuses by fault, gets no answer: its
// connection is closed.
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

// server holds the engine for the handlers.
type server struct {
	engine    *memstore.Engine
	clusterID uint64
}

// header is that of a reply at a revision; of the present one when that is
// zero.
func (s *server) header(at platform.Revision) etcdhttp.Header {
	if at == 0 {
		at = s.engine.Dump().Revision
	}
	return etcdhttp.Header{ClusterID: s.clusterID, Revision: at}
}

// client returns the engine's client of the caller.
func (s *server) client(r *http.Request) *memstore.Client {
	return s.engine.Client(r.UserAgent())
}

// answerer makes one call of a client.
type answerer[Req, Reply any] func(r *http.Request, c *memstore.Client, req Req) (Reply, error)

// handle registers a call with one request and one reply.
func handle[Req, Reply any](mux *http.ServeMux, s *server, path string, fn answerer[Req, Reply]) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if !read(w, r, &req) {
			return
		}
		reply, err := fn(r, s.client(r), req)
		if err != nil {
			refuse(w, err)
			return
		}
		write(w, http.StatusOK, reply)
	})
}

// read decodes a request's body, which has to be known to the last name.
func read(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequest))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil && decoder.More() {
		err = errors.New("more than one JSON value")
	}
	if err != nil {
		write(w, http.StatusBadRequest, etcdhttp.ErrorReply{Code: etcdhttp.CodeInvalidArgument, Message: err.Error()})
		return false
	}
	// The server sees a caller go away only once the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	return true
}

// write sends a value as JSON.
func write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has gone.
	_ = json.NewEncoder(w).Encode(value)
}

// refuse answers a failed call as the service would, or not at all.
func refuse(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, platform.ErrLeaseGone):
		write(w, http.StatusNotFound, etcdhttp.ErrorReply{
			Code: etcdhttp.CodeNotFound, Message: "etcdserver: requested lease not found",
		})
	case errors.Is(err, platform.ErrRefused):
		write(w, http.StatusBadRequest, etcdhttp.ErrorReply{Code: etcdhttp.CodeInvalidArgument, Message: err.Error()})
	default:
		panic(http.ErrAbortHandler) // closes the connection
	}
}
