package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"pulleyquay/internal/executor/execsim"
	"pulleyquay/internal/standin/hostlist"
	"pulleyquay/internal/worker/workersim"
)

// maxRequest is the maximum size of a request's body in bytes.
const maxRequest = 1 << 20

// handler serves the store and the host list with their faults, and also:
//
//	PUT  /faults/workers/{name}    replace a worker's faults (workersim.Faults)
//	PUT  /faults/executors/{name}  replace an executor's faults (execsim.Faults)
//	POST /restart/{name}           restart a worker
//	PUT  /record/gangs/{job}       ?tasks=N: expect a gang of N tasks
//	GET  /record                   the checker's record; ?details=1 adds every run
//	                               by task and every execution by key
func (s *Standin) handler() http.Handler {
	hosts := hostlist.Handler(s.hostList)
	mux := http.NewServeMux()
	mux.Handle("/", s.store)
	mux.Handle("/v1/hosts", hosts)
	mux.Handle("/v1/hosts/", hosts)
	mux.Handle("/faults/hosts", hosts)
	mux.HandleFunc("PUT /faults/workers/{name}", s.setWorkerFaults)
	mux.HandleFunc("PUT /faults/executors/{name}", s.setExecutorFaults)
	mux.HandleFunc("POST /restart/{name}", s.restart)
	mux.HandleFunc("PUT /record/gangs/{job}", s.expectGang)
	mux.HandleFunc("GET /record", s.record)
	return mux
}

func (s *Standin) setWorkerFaults(w http.ResponseWriter, r *http.Request) {
	var f workersim.Faults
	target := s.workersByName[r.PathValue("name")]
	if target == nil {
		http.NotFound(w, r)
		return
	}
	if decode(w, r, &f) {
		target.SetFaults(f)
	}
}

func (s *Standin) setExecutorFaults(w http.ResponseWriter, r *http.Request) {
	var f execsim.Faults
	target := s.executors[r.PathValue("name")]
	if target == nil {
		http.NotFound(w, r)
		return
	}
	if decode(w, r, &f) {
		target.SetFaults(f)
	}
}

func (s *Standin) restart(w http.ResponseWriter, r *http.Request) {
	target := s.workersByName[r.PathValue("name")]
	if target == nil {
		http.NotFound(w, r)
		return
	}
	target.Restart()
}

func (s *Standin) expectGang(w http.ResponseWriter, r *http.Request) {
	tasks, err := strconv.Atoi(r.URL.Query().Get("tasks"))
	if err != nil || tasks < 1 {
		http.Error(w, "tasks must be a number above zero", http.StatusBadRequest)
		return
	}
	s.judge.ExpectGang(r.PathValue("job"), tasks)
}

func (s *Standin) record(w http.ResponseWriter, r *http.Request) {
	s.workers.Settle()
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(s.judge.Record(time.Now(), r.URL.Query().Get("details") != ""))
}

// decode decodes a JSON body and refuses unknown names. If it returns false it has sent an
// error response.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequest))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
