// Package cellapi serves the state of the cell to operators over HTTP: its members
// with the partitions that they hold, and its workers.
package cellapi

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"golang.org/x/sync/errgroup"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/problem"
	"pulleyquay/internal/result"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
)

// queryTimeout limits the time to serve a request, over all placers or members queried.
const queryTimeout = 3 * time.Second

// MembersRequest asks a placer for the members.
type MembersRequest struct{}

// MembersReply contains the member table and the settings revision that each member has in force, by
// name.
type MembersReply struct {
	Table   *view.Table      `cbor:"1,keyasint"`
	Applied map[string]int64 `cbor:"2,keyasint"`
}

// Member is one member in the response of GET /v1/members.
type Member struct {
	view.Member
	Partitions []int `json:"partitions"`
	// SettingsRevision is the revision that the member has in force; zero if it has not
	// reported one.
	SettingsRevision int64 `json:"settings_revision"`
}

// Members is the response of GET /v1/members.
type Members struct {
	Revision int64    `json:"revision"`
	Members  []Member `json:"members"`
	// Unheld lists the partitions that no live member holds.
	Unheld []int `json:"unheld"`
}

// Workers is the response of GET /v1/workers.
type Workers struct {
	Workers []taskmsg.WorkerState `json:"workers"`
	// Missing names the members that did not reply; their workers are not listed.
	Missing []string `json:"missing,omitempty"`
}

// API serves /v1/members and /v1/workers.
type API struct {
	View  func() *view.Table
	Peers peer.Caller
	// Placers lists the addresses of placers in the order to query them, the nearest first.
	Placers func() []string
}

// Register adds the routes to a mux.
func (a API) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/members", func(w http.ResponseWriter, r *http.Request) { serve(w, r, a.members) })
	mux.HandleFunc("GET /v1/workers", func(w http.ResponseWriter, r *http.Request) { serve(w, r, a.workers) })
}

func serve[T any](w http.ResponseWriter, r *http.Request, fn func(context.Context) (T, error)) {
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	v, err := fn(ctx)
	if err != nil {
		problem.Write(w, result.From(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

// members queries the placers in turn until one replies.
func (a API) members(ctx context.Context) (Members, error) {
	err := error(result.New(result.NotReady, result.RanNo, "no placer is known"))
	for _, addr := range a.Placers() {
		var reply MembersReply
		if err = a.Peers.Call(ctx, addr, peer.KindMembers, MembersRequest{}, &reply); err == nil {
			return newMembers(reply), nil
		}
	}
	return Members{}, err
}

func newMembers(reply MembersReply) Members {
	out := Members{Members: []Member{}, Unheld: []int{}}
	if reply.Table == nil {
		return out
	}
	out.Revision = reply.Table.Revision
	held := map[string][]int{}
	for _, p := range reply.Table.Partitions {
		held[p.Incarnation] = append(held[p.Incarnation], p.ID)
	}
	live := map[string]bool{}
	for _, m := range reply.Table.Members {
		live[m.Incarnation] = true
		out.Members = append(out.Members, Member{
			Member: m, Partitions: append([]int{}, held[m.Incarnation]...), SettingsRevision: reply.Applied[m.Name],
		})
	}
	for incarnation, ids := range held {
		if !live[incarnation] {
			out.Unheld = append(out.Unheld, ids...)
		}
	}
	sort.Ints(out.Unheld)
	return out
}

// workers queries all members concurrently and merges their lists of workers.
func (a API) workers(ctx context.Context) (Workers, error) {
	table := a.View()
	replies := make([]taskmsg.WorkersReply, len(table.Members))
	errs := make([]error, len(table.Members))
	var g errgroup.Group
	for i, m := range table.Members {
		g.Go(func() error {
			errs[i] = a.Peers.Call(ctx, m.Addr, peer.KindWorkers, taskmsg.WorkersRequest{}, &replies[i])
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return Workers{}, err
	}
	out := Workers{Workers: []taskmsg.WorkerState{}}
	for i, m := range table.Members {
		if errs[i] != nil {
			out.Missing = append(out.Missing, m.Name)
			continue
		}
		out.Workers = append(out.Workers, replies[i].Workers...)
	}
	sort.Slice(out.Workers, func(i, j int) bool { return out.Workers[i].Name < out.Workers[j].Name })
	return out, nil
}
