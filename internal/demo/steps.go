package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/google/uuid"
)

// The amount of work in the demonstration.
const (
	ticketCount = 20
	readCount   = 40
	batchTasks  = 300
	gangTasks   = 8
	taskRunMS   = 3000
)

// run is the state that the steps share.
type run struct {
	cell     *Cell
	examples string
	revision int64  // of the settings, as of the last accepted change
	batch    string // the batch job's id
	keys     []string
}

// step is one step of the demonstration. It returns the outcome to print.
type step struct {
	title string
	do    func(ctx context.Context, r *run) (outcome string, err error)
}

// steps are run in this order.
var steps = []step{
	{"load the settings of both associations", loadSettings},
	{"change one branch, wait until it is in force", changeBranch},
	{"explain where a value comes from", explain},
	{"contradictory settings change is refused", refuseChange},
	{fmt.Sprintf("post %d tickets through both entry hosts", ticketCount), postTickets},
	{"post the same tickets through the other host", repeatTickets},
	{fmt.Sprintf("send %d reads through both entry hosts", readCount), readCounts},
	{fmt.Sprintf("submit a batch job of %d tasks", batchTasks), submitBatch},
	{"infeasible job is refused immediately", refuseJob},
	{"kill the placer of host-2 during the batch", killPlacer},
	{"send reads after the kill", readCounts},
	{fmt.Sprintf("run a gang job of %d tasks", gangTasks), runGang},
	{"batch job finishes, each task once", waitBatch},
	{"planned stop of all processes", stopAll},
}

func (r *run) entry(i int) string { return r.cell.hosts[i%len(r.cell.hosts)].http }

func newID() (string, error) {
	id, err := uuid.NewV7()
	return id.String(), err
}

func loadSettings(ctx context.Context, r *run) (string, error) {
	for _, name := range []string{"lakeshore.json", "regie.json"} {
		data, err := os.ReadFile(filepath.Join(r.examples, name))
		if err != nil {
			return "", err
		}
		if err := r.change(ctx, json.RawMessage(data)); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("revision %d in force", r.revision), nil
}

// change sends new branches, based on r.revision, and waits until they are in force at
// every member.
func (r *run) change(ctx context.Context, branches any) error {
	body := object{"revision": r.revision, "branches": branches, "by": "demo", "wait_ms": 4000}
	got, err := callExpecting(ctx, http.StatusOK, "POST", r.entry(0), "/v1/settings", nil, body)
	if err != nil {
		return err
	}
	var accepted struct {
		Revision   int64    `json:"revision"`
		NotApplied []string `json:"not_applied"`
	}
	if err := json.Unmarshal(got.body, &accepted); err != nil {
		return err
	}
	if len(accepted.NotApplied) > 0 {
		return fmt.Errorf("not in force after 4 s at %v", accepted.NotApplied)
	}
	r.revision = accepted.Revision
	return nil
}

// changeBranch reads a branch, changes one value and writes the whole branch back, because
// a change replaces whole branches.
func changeBranch(ctx context.Context, r *run) (string, error) {
	start := time.Now()
	got, err := callExpecting(ctx, http.StatusOK, "GET", r.entry(0), "/v1/settings?path=/regie/count", nil, nil)
	if err != nil {
		return "", err
	}
	var branch struct {
		Overrides map[string]object `json:"overrides"`
	}
	if err := json.Unmarshal(got.body, &branch); err != nil {
		return "", err
	}
	branch.Overrides["request"]["queue_limit"] = 500
	err = r.change(ctx, object{"/regie/count": branch.Overrides})
	return fmt.Sprintf("in force at every placer after %d ms", time.Since(start).Milliseconds()), err
}

func explain(ctx context.Context, r *run) (string, error) {
	var got reply
	err := waitFor(ctx, "the entry to have the new revision", func() bool {
		var err error
		got, err = call(ctx, "GET", r.entry(1), "/v1/settings/explain?path=/regie/count", nil, nil)
		return err == nil && got.status == http.StatusOK && got.object()["revision"] == float64(r.revision)
	})
	if err != nil {
		return "", err
	}
	var e struct {
		Settings []struct {
			Name  string `json:"name"`
			Value any    `json:"value"`
			From  string `json:"from"`
		} `json:"settings"`
	}
	if err := json.Unmarshal(got.body, &e); err != nil {
		return "", err
	}
	origins := map[string]string{}
	for _, s := range e.Settings {
		origins[s.Name] = fmt.Sprintf("%v from %s", s.Value, s.From)
	}
	return fmt.Sprintf("queue_limit %s; policy %s", origins["request.queue_limit"], origins["placement.policy"]), nil
}

func refuseChange(ctx context.Context, r *run) (string, error) {
	body := object{"revision": r.revision, "branches": object{
		"/regie/count": object{"request": object{"default_deadline_ms": 9000, "max_deadline_ms": 1000}}}}
	got, err := call(ctx, "POST", r.entry(0), "/v1/settings", nil, body)
	if err == nil && got.status < http.StatusBadRequest {
		err = errors.New("a contradictory change was accepted")
	}
	return got.String(), err
}

func postTickets(ctx context.Context, r *run) (string, error) {
	for i := range ticketCount {
		key, err := newID()
		if err != nil {
			return "", err
		}
		r.keys = append(r.keys, key)
		if err := r.postTicket(ctx, i, key); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d responses, each with the body of its ticket", ticketCount), nil
}

// postTicket posts inspection ticket i to the service lakeshore.ledger and checks that the response has the
// ticket's text.
func (r *run) postTicket(ctx context.Context, i int, key string) error {
	text := fmt.Sprintf("gully %d", i)
	got, err := callExpecting(ctx, http.StatusOK, "POST", r.entry(i), "/v1/services/lakeshore.ledger/tickets",
		map[string]string{"Idempotency-Key": key}, text)
	if err != nil {
		return err
	}
	if string(got.body) != fmt.Sprintf("%q", text) {
		return fmt.Errorf("ticket %d got the response %s", i, got.body)
	}
	return nil
}

func repeatTickets(ctx context.Context, r *run) (string, error) {
	for i, key := range r.keys {
		// i+1 is the other entry host; the body is that of ticket i.
		text := fmt.Sprintf("gully %d", i)
		got, err := callExpecting(ctx, http.StatusOK, "POST", r.entry(i+1), "/v1/services/lakeshore.ledger/tickets",
			map[string]string{"Idempotency-Key": key}, text)
		if err != nil {
			return "", err
		}
		if string(got.body) != fmt.Sprintf("%q", text) {
			return "", fmt.Errorf("ticket %d got the response %s", i, got.body)
		}
	}
	return fmt.Sprintf("%d responses as before", len(r.keys)), nil
}

func readCounts(ctx context.Context, r *run) (string, error) {
	for i := range readCount {
		path := fmt.Sprintf("/v1/services/regie.count/wren/%d", i)
		if _, err := callExpecting(ctx, http.StatusOK, "GET", r.entry(i), path, nil, nil); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d responses", readCount), nil
}
