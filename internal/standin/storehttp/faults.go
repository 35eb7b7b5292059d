package storehttp

import (
	"net/http"

	"pulleyquay/internal/platform/memstore"
)

// FaultsReply is what GET /faults answers.
type FaultsReply struct {
	// All strike every client.
	All memstore.Faults `json:"all"`
	// Clients strike one client each, by name.
	Clients map[string]memstore.Faults `json:"clients"`
}

// handleFaults registers the endpoints that show and replace faults:
//
//	GET  /faults                 all of them
//	PUT  /faults                 those that strike every client
//	PUT  /faults/clients/{name}  those that strike one client
//	POST /faults/compact         forget old changes now
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

// showFaults answers with all faults.
func (s *server) showFaults(w http.ResponseWriter) {
	write(w, http.StatusOK, FaultsReply{All: s.engine.Faults(), Clients: s.engine.Clients()})
}

// replaceFaults sets the faults in the body and answers with all.
func (s *server) replaceFaults(w http.ResponseWriter, r *http.Request, set func(memstore.Faults)) {
	var f memstore.Faults
	if !read(w, r, &f) {
		return
	}
	set(f)
	s.showFaults(w)
}
