// Package operatorapi serves the operators' settings API over HTTP. It answers reads from the active tree of its
// process and sends changes to the placers.
package operatorapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"pulleyquay/internal/httplimit"
	"pulleyquay/internal/problem"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
)

// maxBody bounds a change's body in bytes; a tree of 20,000 branches fits.
const maxBody = 8 << 20

// maxWait bounds how long a change waits for the members to apply it.
const maxWait = 10 * time.Second

// Changer makes changes to the settings; settings.Remote implements it.
type Changer interface {
	Change(ctx context.Context, c settings.Change) (settings.Accepted, error)
	History(ctx context.Context) ([]settings.Head, error)
}

// API serves /v1/settings.
type API struct {
	// Current returns the active tree, nil before the first was received.
	Current func() *settings.Tree
	Changer Changer
}

// Register adds the handlers to mux.
func (a API) Register(mux *http.ServeMux) {
	mux.Handle("GET /v1/settings", handler(a.branch))
	mux.Handle("GET /v1/settings/effective", handler(a.effective))
	mux.Handle("GET /v1/settings/explain", handler(a.explain))
	mux.Handle("GET /v1/settings/tree", handler(a.tree))
	mux.Handle("GET /v1/settings/history", handler(a.history))
	mux.Handle("POST /v1/settings", handler(a.change))
	mux.Handle("POST /v1/settings/rollback", handler(a.rollback))
}

// handler is an HTTP handler that returns the response body, or an error.
type handler func(r *http.Request) (any, error)

// ServeHTTP writes the response as JSON, or the error as a problem document.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	answer, err := h(r)
	if err != nil {
		problem.Write(w, result.From(err))
		return
	}
	body, err := json.Marshal(answer)
	if err != nil {
		problem.Write(w, result.New(result.Internal, result.RanUnknown, "%v", err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(body) // fails only if the caller has disconnected
}

// Branch is the response of GET /v1/settings.
type Branch struct {
	Revision  int64              `json:"revision"`
	Path      string             `json:"path"`
	Overrides settings.Overrides `json:"overrides"`
}

// Effective is the response of GET /v1/settings/effective.
type Effective struct {
	Revision int64           `json:"revision"`
	Path     string          `json:"path"`
	Values   settings.Values `json:"values"`
}

// Explanation is the response of GET /v1/settings/explain.
type Explanation struct {
	Revision int64                `json:"revision"`
	Path     string               `json:"path"`
	Settings []settings.Explained `json:"settings"`
}

// Tree is the response of GET /v1/settings/tree: every branch with its overrides.
type Tree struct {
	Revision int64                         `json:"revision"`
	Branches map[string]settings.Overrides `json:"branches"`
}

// History is the response of GET /v1/settings/history, newest revision first.
type History struct {
	Revisions []settings.Head `json:"revisions"`
}

// current returns the active tree and the path that the request names, the root if it names none.
func (a API) current(r *http.Request) (*settings.Tree, string, error) {
	tree := a.Current()
	if tree == nil {
		return nil, "", result.New(result.NotReady, result.RanNo, "this entry has learned no settings yet").WithRetryAfter(time.Second)
	}
	path := r.URL.Query().Get("path")
	if path == "" {
		path = settings.Root
	}
	return tree, path, nil
}

func (a API) branch(r *http.Request) (any, error) {
	tree, path, err := a.current(r)
	if err != nil {
		return nil, err
	}
	o, err := tree.Branch(path)
	return Branch{tree.Revision, path, o}, err
}

func (a API) effective(r *http.Request) (any, error) {
	tree, path, err := a.current(r)
	if err != nil {
		return nil, err
	}
	v, err := tree.Effective(path)
	return Effective{tree.Revision, path, v}, err
}

func (a API) explain(r *http.Request) (any, error) {
	tree, path, err := a.current(r)
	if err != nil {
		return nil, err
	}
	list, err := tree.Explain(path)
	return Explanation{tree.Revision, path, list}, err
}

func (a API) tree(r *http.Request) (any, error) {
	tree, _, err := a.current(r)
	if err != nil {
		return nil, err
	}
	return Tree{tree.Revision, tree.Branches()}, nil
}

func (a API) history(r *http.Request) (any, error) {
	heads, err := a.Changer.History(r.Context())
	return History{heads}, err
}

// Intent is the part that the bodies of all kinds of changes have in common.
type Intent struct {
	// Revision is the one that the operator read before making the change.
	Revision *int64 `json:"revision"`
	// ChangeID is a UUIDv7; the entry generates one when it is empty.
	ChangeID string `json:"change_id,omitempty"`
	// First is true if no change with this id was ever sent before. Without it, a refusal caused by the store can't
	// guarantee ran: no.
	First bool   `json:"first,omitempty"`
	By    string `json:"by,omitempty"`
	Note  string `json:"note,omitempty"`
	// WaitMillis is how long to wait for every member to apply the change.
	WaitMillis int64 `json:"wait_ms,omitempty"`
}

// ChangeRequest is the body of POST /v1/settings.
type ChangeRequest struct {
	Intent
	// Branches maps paths to override objects; null removes a branch.
	Branches json.RawMessage `json:"branches"`
}

// RollbackRequest is the body of POST /v1/settings/rollback.
type RollbackRequest struct {
	Intent
	// To is the revision whose tree is restored.
	To *int64 `json:"to"`
}

func (a API) change(r *http.Request) (any, error) {
	var req ChangeRequest
	if err := readBody(r, &req); err != nil {
		return nil, err
	}
	if len(req.Branches) == 0 {
		return nil, missing("branches")
	}
	return a.send(r, req.Intent, settings.Change{Branches: req.Branches})
}

func (a API) rollback(r *http.Request) (any, error) {
	var req RollbackRequest
	if err := readBody(r, &req); err != nil {
		return nil, err
	}
	if req.To == nil {
		return nil, missing("to")
	}
	return a.send(r, req.Intent, settings.Change{Rollback: true, RollbackTo: *req.To})
}

// send validates the intent, completes the change with it and makes the change.
func (a API) send(r *http.Request, intent Intent, c settings.Change) (any, error) {
	if intent.Revision == nil {
		return nil, missing("revision")
	}
	if intent.WaitMillis < 0 || intent.WaitMillis > maxWait.Milliseconds() {
		return nil, result.New(result.BadInput, result.RanNo, "0 to %d milliseconds are allowed", maxWait.Milliseconds()).AtField("wait_ms")
	}
	if intent.ChangeID == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return nil, err
		}
		intent.ChangeID, intent.First = id.String(), true
	}
	c.ID, c.First, c.Base = intent.ChangeID, intent.First, *intent.Revision
	c.By, c.Note, c.WaitMillis = intent.By, intent.Note, intent.WaitMillis
	return a.Changer.Change(r.Context(), c)
}

func missing(field string) *result.Error {
	return result.New(result.BadInput, result.RanNo, "missing").AtField(field)
}

// readBody decodes a JSON body and refuses unknown fields and data after the object.
func readBody(r *http.Request, into any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(into)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.New(result.TooLarge, result.RanNo, "%d bytes are allowed", tooLarge.Limit)
	}
	if refusal := httplimit.Refusal(err); refusal != nil {
		return refusal
	}
	if err == nil {
		if _, extra := d.Token(); !errors.Is(extra, io.EOF) {
			err = errors.New("something follows the object")
		}
	}
	if err != nil {
		return result.New(result.BadInput, result.RanNo, "body: %v", err)
	}
	return nil
}
