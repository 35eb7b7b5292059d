package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"pulleyquay/internal/spec"
)

// clients are the callers.
type clients struct{ http *http.Client }

func newClients() clients {
	return clients{&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// answerDeadline is the client's Pulleyquay-Deadline-Ms, as on the users' sites.
const answerDeadline = 3 * time.Second

// job is a job of a client.
type job struct {
	id   string
	body []byte
}

// batchStep is a step of tasks that each take some milliseconds.
func batchStep(count, millis int) spec.Step {
	return spec.Step{Count: count, Size: spec.Resources{MilliCPU: 3900, MemoryMiB: 7200}, EstimateMillis: int64(millis)}
}

// newJob makes a job of one step.
func newJob(step spec.Step) job {
	j := job{id: fmt.Sprintf("%016x", rand.Uint64())}
	wire := map[string]any{
		"count": step.Count, "cpu": step.Size.MilliCPU, "mem-mb": step.Size.MemoryMiB, "estimate-ms": step.EstimateMillis,
	}
	j.body = mustJSON(map[string]any{"spec": "x", "steps": []any{wire}})
	return j
}

// answer is a complete answer; status is 0 if there was none.
type answer struct {
	status int
	body   []byte
}

func (a answer) String() string {
	if a.status == 0 {
		return "no answer"
	}
	return fmt.Sprintf("%d %.200s", a.status, bytes.TrimSpace(a.body))
}

// state is the job's state in an answer to GET.
func (a answer) state() string {
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(a.body, &body) // an answer without a state has none
	return body.State
}

// call sends a request to one node.
func (r *run) call(method string, j job, body []byte, to int) answer {
	ctx, cancel := context.WithTimeout(context.Background(), answerDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.nodes[to%len(r.nodes)].callers+prefix+j.id, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Pulleyquay-Deadline-Ms", strconv.FormatInt(answerDeadline.Milliseconds(), 10))
	resp, err := r.clients.http.Do(req)
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	return answer{resp.StatusCode, text}
}

func (r *run) post(j job, to int) answer   { return r.call(http.MethodPost, j, j.body, to) }
func (r *run) get(j job, to int) answer    { return r.call(http.MethodGet, j, nil, to) }
func (r *run) delete(j job, to int) answer { return r.call(http.MethodDelete, j, nil, to) }
