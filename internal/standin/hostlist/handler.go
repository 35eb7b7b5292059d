package hostlist

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/hosthttp"
)

// maxRequest is the maximum size of a request's body in bytes.
const maxRequest = 4 << 20

// Faults are the injected faults of the list.
type Faults struct {
	// Down fails every read of the list.
	Down bool `json:"down"`
	// LagMS is the delay, in milliseconds, until a change appears in the list.
	LagMS int64 `json:"lag_ms"`
}

// Handler serves the list:
//
//	GET    /v1/hosts         the list, without changes more recent than the lag
//	PUT    /v1/hosts         replace the whole list
//	PUT    /v1/hosts/{name}  add or replace one host
//	DELETE /v1/hosts/{name}  remove one host
//	PUT    /faults/hosts     set the faults
func Handler(l *List) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+hosthttp.Path, l.serveList)
	mux.HandleFunc("PUT "+hosthttp.Path, func(w http.ResponseWriter, r *http.Request) {
		var body hosthttp.Reply
		if decodeBody(w, r, &body) {
			l.Replace(body.Hosts)
		}
	})
	mux.HandleFunc("PUT "+hosthttp.Path+"/{name}", func(w http.ResponseWriter, r *http.Request) {
		var host platform.Host
		if !decodeBody(w, r, &host) {
			return
		}
		host.Name = r.PathValue("name")
		l.Put(host)
	})
	mux.HandleFunc("DELETE "+hosthttp.Path+"/{name}", func(_ http.ResponseWriter, r *http.Request) {
		l.Remove(r.PathValue("name"))
	})
	mux.HandleFunc("PUT /faults/hosts", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if !decodeBody(w, r, &f) {
			return
		}
		l.SetDown(f.Down)
		l.SetLag(time.Duration(f.LagMS) * time.Millisecond)
	})
	return mux
}

// serveList responds with the list as it was one lag ago.
func (l *List) serveList(w http.ResponseWriter, r *http.Request) {
	hosts, err := l.Hosts(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(hosthttp.Reply{Hosts: hosts})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_, _ = w.Write(body)
}

// decodeBody decodes a JSON body and refuses unknown names. If it returns false it has sent
// an error response.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequest))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
