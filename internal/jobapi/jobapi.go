// Package jobapi is the entry's HTTP interface for jobs. It is stateless: each call is forwarded
// over the peer link to the owner of the team's jobs, or to all job owners if the request
// names no team.
package jobapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/httplimit"
	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/problem"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/view"
)

// Limits of one HTTP call.
const (
	maxBodyBytes = 256 << 10
	callTimeout  = 8 * time.Second
	// IdempotencyHeader may carry the job's identifier instead of the body.
	IdempotencyHeader = "Idempotency-Key"
)

// API serves /v1/jobs.
type API struct {
	ownerClient ownerClient
	log         *logrus.Entry
}

// New returns the API of an entry that calls the job owners through peers.
func New(source view.Source, peers peer.Caller, log *logrus.Entry) *API {
	return &API{ownerClient: ownerClient{source: source, peers: peers}, log: log}
}

// Register adds the routes to a mux.
func (a *API) Register(mux *http.ServeMux) {
	mux.Handle("POST /v1/jobs", a.route(a.submit))
	mux.Handle("GET /v1/jobs", a.route(a.list))
	mux.Handle("GET /v1/jobs/{id}", a.route(a.get))
	mux.Handle("GET /v1/jobs/{id}/explain", a.route(a.explain))
	mux.Handle("PUT /v1/jobs/{id}", a.route(a.update))
	mux.Handle("DELETE /v1/jobs/{id}", a.route(a.cancel))
}

// response is the response to a successful request.
type response struct {
	status   int
	location string
	body     any
}

type handler func(ctx context.Context, r *http.Request) (response, error)

// route limits the time of a request and writes its response or problem.
func (a *API) route(fn handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		resp, err := fn(ctx, r)
		if err != nil {
			problem.Write(w, result.From(err))
			return
		}
		a.write(w, resp)
	})
}

func (a *API) write(w http.ResponseWriter, resp response) {
	body, err := json.Marshal(resp.body)
	if err != nil {
		problem.Write(w, result.New(result.Internal, result.RanUnknown, "encode: %v", err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	if resp.location != "" {
		w.Header().Set("Location", resp.location)
	}
	w.WriteHeader(resp.status)
	if _, err := w.Write(append(body, '\n')); err != nil {
		a.log.WithError(err).Debug("failed to write response to caller")
	}
}

func (a *API) submit(ctx context.Context, r *http.Request) (response, error) {
	job, err := readJob(r, r.Header.Get(IdempotencyHeader))
	if err != nil {
		return response{}, err
	}
	if job.ID == "" {
		if job.ID, err = newID(); err != nil {
			return response{}, err
		}
	}
	status, err := a.ownerClient.submit(ctx, job)
	if err != nil {
		return response{}, err
	}
	return response{status: http.StatusCreated, location: "/v1/jobs/" + job.ID, body: status}, nil
}

// newID generates an identifier for a submitter who gave none, and who therefore cannot retry the
// call safely.
func newID() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", result.New(result.Internal, result.RanNo, "no identifier: %v", err)
	}
	return id.String(), nil
}

var errTooLarge = result.New(result.TooLarge, result.RanNo, "a job's specification has at most %d bytes", maxBodyBytes)

// readJob decodes a specification and refuses unknown fields. The identifier is given in the body,
// by the caller of readJob, or by both if they agree.
func readJob(r *http.Request, id string) (spec.Job, error) {
	var job spec.Job
	if r.ContentLength > maxBodyBytes {
		return job, errTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if refusal := httplimit.Refusal(err); refusal != nil {
		return job, refusal
	}
	if err != nil {
		return job, result.New(result.BadInput, result.RanNo, "the body was not read whole: %v", err)
	}
	if len(body) > maxBodyBytes {
		return job, errTooLarge
	}
	if err := decodeStrict(body, &job); err != nil {
		return job, err
	}
	if id != "" && job.ID != "" && id != job.ID {
		return job, result.New(result.BadInput, result.RanNo, "the body's id differs from the one in the path or the Idempotency-Key header").AtField("id")
	}
	if job.ID == "" {
		job.ID = id
	}
	return job, nil
}

func decodeStrict(body []byte, dst any) error {
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	if err := d.Decode(dst); err != nil {
		return badJSON(err)
	}
	if _, err := d.Token(); err != io.EOF {
		return result.New(result.BadInput, result.RanNo, "something follows the JSON object")
	}
	return nil
}

func badJSON(err error) error {
	e := result.New(result.BadInput, result.RanNo, "%v", err)
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return e.AtField(wrongType.Field)
	}
	return e
}

// update changes a service. The generation parameter, if given, is the generation that the job must
// have.
func (a *API) update(ctx context.Context, r *http.Request) (response, error) {
	job, err := readJob(r, r.PathValue("id"))
	if err != nil {
		return response{}, err
	}
	req := jobmsg.UpdateRequest{Job: job}
	if s := r.URL.Query().Get("generation"); s != "" {
		if req.Generation, err = strconv.Atoi(s); err != nil || req.Generation < 1 {
			return response{}, result.New(result.BadInput, result.RanNo, "generation is a number from 1").AtField("generation")
		}
	}
	status, err := callOwner[jobmsg.Status](ctx, a.ownerClient, job.Team, peer.KindJobUpdate, req, job.ID)
	return response{status: http.StatusOK, body: status}, err
}

func (a *API) get(ctx context.Context, r *http.Request) (response, error) {
	reply, err := a.ownerClient.get(ctx, r.URL.Query().Get("team"), jobmsg.GetRequest{ID: r.PathValue("id")})
	return response{status: http.StatusOK, body: reply.Status}, err
}

// explainedJob is a job with an explanation of its placements and of what it waits for.
type explainedJob struct {
	jobmsg.Status
	Explanation *jobmsg.Explanation `json:"explanation"`
}

func (a *API) explain(ctx context.Context, r *http.Request) (response, error) {
	reply, err := a.ownerClient.get(ctx, r.URL.Query().Get("team"), jobmsg.GetRequest{ID: r.PathValue("id"), Explain: true})
	return response{status: http.StatusOK, body: explainedJob{reply.Status, reply.Explain}}, err
}

func (a *API) cancel(ctx context.Context, r *http.Request) (response, error) {
	status, err := a.ownerClient.cancel(ctx, r.URL.Query().Get("team"), r.PathValue("id"))
	return response{status: http.StatusAccepted, body: status}, err
}

// page is one page of a list; Next is the value of the parameter "after" for the next page.
type page struct {
	Jobs []jobmsg.Status `json:"jobs"`
	Next string          `json:"next,omitempty"`
}

func (a *API) list(ctx context.Context, r *http.Request) (response, error) {
	q := r.URL.Query()
	req := jobmsg.ListRequest{Team: q.Get("team"), After: q.Get("after")}
	if s := q.Get("limit"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > jobmsg.MaxListLimit {
			return response{}, result.New(result.BadInput, result.RanNo, "limit is a number from 1 to %d", jobmsg.MaxListLimit).AtField("limit")
		}
		req.Limit = n
	}
	reply, err := a.ownerClient.list(ctx, req)
	if err != nil {
		return response{}, err
	}
	p := page{Jobs: reply.Jobs}
	if p.Jobs == nil {
		p.Jobs = []jobmsg.Status{}
	}
	if reply.More && len(p.Jobs) > 0 {
		p.Next = p.Jobs[len(p.Jobs)-1].Job.ID
	}
	return response{status: http.StatusOK, body: p}, nil
}
