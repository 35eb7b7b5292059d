package storehttp

import (
	"net/http"

	"pulleyquay/internal/platform/memstore"
)

// FaultsReply is the response to the requests under /faults.
type FaultsReply struct {
	// All applies to every client.
	All memstore.Faults `json:"all"`
	// Clients has the faults that apply to a single client, by the client's name.
	Clients map[string]memstore.Faults `json:"clients"`
}

// handleFaults registers the endpoints that return and replace faults:
//
//	GET  /faults                 all faults
//	PUT  /faults                 the faults that apply to every client
//	PUT  /faults/clients/{name}  the faults that apply to one client
//	POST /faults/compact         compact the history of changes now
func (s *server) handleFaults(mux *http.ServeMux) {
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { s.showFaults(w) })
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		s.replaceFaults(w, r, s.engine.SetFaults)
	})
	mux.HandleFunc("PUT /faults/clients/{name}", func(w http.ResponseWriter, r *http.Request) {
		s.replaceFaults(w, r, s.engine.Client(r.PathValue("name")).SetFaults)
	})
	mux.HandleFunc("POST /faults/compact", func(w http.ResponseWriter, _ *http.Request) {
		s.engine.Compact()
		s.showFaults(w)
	})
}

// showFaults responds with all faults.
func (s *server) showFaults(w http.ResponseWriter) {
	writeJSON(w, http.StatusOK, FaultsReply{All: s.engine.Faults(), Clients: s.engine.Clients()})
}

// replaceFaults sets the faults in the request's body and responds with all faults.
func (s *server) replaceFaults(w http.ResponseWriter, r *http.Request, set func(memstore.Faults)) {
	var f memstore.Faults
	if !decodeBody(w, r, &f) {
		return
	}
	set(f)
	s.showFaults(w)
}
