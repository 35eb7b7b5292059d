package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"pulleyquay/internal/executor/execsim"
	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/problem"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
)

// clientTimeout is the longest wait of a caller; it exceeds every deadline in use.
const clientTimeout = 12 * time.Second

// Reply is the outcome of a caller's request: a complete answer or an error.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Err is set if the connection ended without a complete answer.
	Err error
}

// OK reports whether the answer is an executor's success.
func (r Reply) OK() bool { return r.Err == nil && r.Status == http.StatusOK }

// Problem returns the problem document as an error, or nil.
func (r Reply) Problem() *result.Error {
	if r.Err != nil || r.Status < http.StatusBadRequest {
		return nil
	}
	return problem.Read(r.Status, r.Body)
}

// String returns the reply for messages, shortened.
func (r Reply) String() string {
	if r.Err != nil {
		return "no answer: " + r.Err.Error()
	}
	return fmt.Sprintf("%d %.300s", r.Status, r.Body)
}

// NewKey returns a key for a request or a job.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }

// Post sends a non-idempotent request with the key through a host's entry; its
// execution takes work.
func (c *Cell) Post(h *Host, key, body string, work time.Duration) Reply {
	return c.send(http.MethodPost, h, "/v1/services/"+Service+"/tickets", []byte(body), http.Header{
		execsim.KeyHeader:  {key},
		execsim.WorkHeader: {strconv.FormatInt(work.Milliseconds(), 10)},
	})
}

// Get sends an idempotent request through a host's entry.
func (c *Cell) Get(h *Host, path string) Reply {
	return c.send(http.MethodGet, h, "/v1/services/"+Service+path, nil, nil)
}

func (c *Cell) send(method string, h *Host, path string, body []byte, header http.Header) Reply {
	req, err := http.NewRequest(method, "http://"+h.Addr()+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return Reply{Err: err}
	}
	req.ContentLength = int64(len(body))
	for name, values := range header {
		req.Header[name] = values
	}
	req.Close = true // one connection per request, so that the client never replays one
	resp, err := c.http.Do(req)
	if err != nil {
		return Reply{Err: err}
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: answer, Err: err}
}

// Batch returns a job with identical tasks that each run for the given time.
func Batch(kind spec.Kind, tasks int, run time.Duration) spec.Job {
	return spec.Job{
		ID: NewKey(), Team: "regie", Branch: "/batch", Kind: kind, Tasks: tasks,
		Task: spec.Task{Size: spec.Resources{MilliCPU: 1000, MemoryMiB: 1000}, RunMillis: run.Milliseconds()},
	}
}

// Submit submits a job through a host's entry.
func (c *Cell) Submit(h *Host, job spec.Job) Reply {
	body, err := json.Marshal(job)
	if err != nil {
		return Reply{Err: err}
	}
	return c.send(http.MethodPost, h, "/v1/jobs", body, nil)
}

// MustSubmit submits a job until it is accepted. The job's id makes the retries idempotent.
func (c *Cell) MustSubmit(h *Host, job spec.Job) {
	c.t.Helper()
	start := time.Now()
	var failures []string
	c.t.Cleanup(func() {
		if c.t.Failed() {
			c.t.Logf("submissions of job %s that were not accepted:\n%s", job.ID, strings.Join(failures, "\n"))
		}
	})
	Eventually(c.t, ReadyLimit, "job accepted", func() error {
		sent := time.Since(start)
		r := c.Submit(h, job)
		if r.Status == http.StatusCreated {
			return nil
		}
		failures = append(failures, fmt.Sprintf("after %v, in %v: %s", sent.Round(time.Millisecond), (time.Since(start)-sent).Round(time.Millisecond), r))
		return fmt.Errorf("%s", r)
	})
}

// Job returns a job's status through a host's entry.
func (c *Cell) Job(h *Host, id string) (jobmsg.Status, error) {
	var status jobmsg.Status
	r := c.send(http.MethodGet, h, "/v1/jobs/"+id, nil, nil)
	if !r.OK() {
		return status, fmt.Errorf("%s", r)
	}
	err := json.Unmarshal(r.Body, &status)
	return status, err
}

// WaitJob waits until the job satisfies the condition.
func (c *Cell) WaitJob(h *Host, id string, limit time.Duration, what string, cond func(jobmsg.Status) bool) {
	c.t.Helper()
	Eventually(c.t, limit, what, func() error {
		s, err := c.Job(h, id)
		if err == nil && !cond(s) {
			err = fmt.Errorf("job is %s, tasks %+v, %s", s.State, s.TaskCounts, s.Reason)
		}
		return err
	})
}

// Finished is the condition that a job has finished successfully.
func Finished(s jobmsg.Status) bool { return s.State == jobmsg.StateFinished }

// settingsChange is the request body of a settings change.
type settingsChange struct {
	Revision int64          `json:"revision"`
	ChangeID string         `json:"change_id"`
	Branches map[string]any `json:"branches"`
}

// SettingsRevision returns the revision in force at a host's entry.
func (c *Cell) SettingsRevision(h *Host) (int64, error) {
	var tree struct {
		Revision int64 `json:"revision"`
	}
	r := c.send(http.MethodGet, h, "/v1/settings", nil, nil)
	if !r.OK() {
		return 0, fmt.Errorf("%s", r)
	}
	err := json.Unmarshal(r.Body, &tree)
	return tree.Revision, err
}

// Change sends one change of branches through a host's entry and returns the
// revision of the accepted change.
func (c *Cell) Change(h *Host, changeID string, branches map[string]any) (int64, error) {
	base, err := c.SettingsRevision(h)
	if err != nil {
		return 0, err
	}
	body, err := json.Marshal(settingsChange{base, changeID, branches})
	if err != nil {
		return 0, err
	}
	r := c.send(http.MethodPost, h, "/v1/settings", body, nil)
	if !r.OK() {
		return 0, fmt.Errorf("%s", r)
	}
	var accepted settings.Accepted
	err = json.Unmarshal(r.Body, &accepted)
	return accepted.Revision, err
}

// Branches returns the paths of the branches in force at a host's entry.
func (c *Cell) Branches(h *Host) map[string]bool {
	c.t.Helper()
	var tree struct {
		Branches map[string]json.RawMessage `json:"branches"`
	}
	r := c.send(http.MethodGet, h, "/v1/settings/tree", nil, nil)
	if !r.OK() || json.Unmarshal(r.Body, &tree) != nil {
		c.t.Fatalf("settings of %s: %s", h.Name, r)
	}
	out := map[string]bool{}
	for path := range tree.Branches {
		out[path] = true
	}
	return out
}

// SetBranches changes branches through the first host, with retries until accepted, and
// waits until every entry has them in force.
func (c *Cell) SetBranches(branches map[string]any) {
	c.t.Helper()
	var revision int64
	id := NewKey()
	Eventually(c.t, ReadyLimit, "settings accepted", func() (err error) {
		revision, err = c.Change(c.Hosts[0], id, branches)
		return err
	})
	for _, h := range c.Hosts {
		c.WaitRevision(h, revision, ReadyLimit)
	}
}

// WaitRevision waits until a host's entry has at least the revision in force.
func (c *Cell) WaitRevision(h *Host, revision int64, limit time.Duration) {
	c.t.Helper()
	Eventually(c.t, limit, h.Name+" applies settings", func() error {
		have, err := c.SettingsRevision(h)
		if err == nil && have < revision {
			err = fmt.Errorf("revision %d is in force, want %d", have, revision)
		}
		return err
	})
}

// bodyExcerpt returns up to 500 bytes of a response body for a message.
func bodyExcerpt(resp *http.Response) string {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, 500))
	return string(b)
}
