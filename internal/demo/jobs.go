package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// jobStatus is the part of a job's status that the demonstration reads.
type jobStatus struct {
	State string         `json:"state"`
	Tasks map[string]int `json:"tasks"`
}

// submit submits a job and returns its identifier.
func (r *run) submit(ctx context.Context, job object) (string, error) {
	id, err := newID()
	if err != nil {
		return "", err
	}
	job["id"] = id
	_, err = callExpecting(ctx, http.StatusCreated, "POST", r.entry(0), "/v1/jobs", nil, job)
	return id, err
}

func (r *run) status(ctx context.Context, id string) jobStatus {
	var s jobStatus
	got, err := call(ctx, "GET", r.entry(0), "/v1/jobs/"+id, nil, nil)
	if err != nil || json.Unmarshal(got.body, &s) != nil {
		return jobStatus{}
	}
	return s
}

func (r *run) waitFinished(ctx context.Context, id string, tasks int) (string, error) {
	err := waitFor(ctx, "job "+id, func() bool { return r.status(ctx, id).Tasks["finished"] == tasks })
	s := r.status(ctx, id)
	return fmt.Sprintf("%s, %d of %d tasks finished", s.State, s.Tasks["finished"], tasks), err
}

func size(cpu, memory, accelerators int) object {
	return object{"milli_cpu": cpu, "memory_mib": memory, "accelerators": accelerators}
}

func submitBatch(ctx context.Context, r *run) (string, error) {
	var err error
	r.batch, err = r.submit(ctx, object{
		"team": "trend-maps", "branch": "/regie/reconciliations/trend-maps", "kind": "batch", "tasks": batchTasks,
		"task": object{"size": size(8000, 16384, 0), "run_ms": taskRunMS},
	})
	if err != nil {
		return "", err
	}
	err = waitFor(ctx, "the first tasks to run", func() bool { return r.status(ctx, r.batch).Tasks["running"] > 0 })
	return fmt.Sprintf("accepted, %d running", r.status(ctx, r.batch).Tasks["running"]), err
}

func runGang(ctx context.Context, r *run) (string, error) {
	id, err := r.submit(ctx, object{
		"team": "trend-maps", "branch": "/regie/reconciliations/trend-maps", "kind": "gang", "tasks": gangTasks,
		"task": object{"size": size(16000, 32768, 1), "accelerator_kind": "a1", "run_ms": taskRunMS / 2},
	})
	if err != nil {
		return "", err
	}
	path := fmt.Sprintf("/record/gangs/%s?tasks=%d", id, gangTasks)
	if _, err := callExpecting(ctx, http.StatusOK, "PUT", r.cell.standin, path, nil, nil); err != nil {
		return "", err
	}
	return r.waitFinished(ctx, id, gangTasks)
}

func refuseJob(ctx context.Context, r *run) (string, error) {
	got, err := call(ctx, "POST", r.entry(1), "/v1/jobs", nil, object{
		"team": "trend-maps", "branch": "/regie/reconciliations/trend-maps", "kind": "batch", "tasks": 1,
		"task": object{"size": size(96000, 16384, 8), "run_ms": taskRunMS},
	})
	if err == nil && got.object()["ran"] != "no" {
		err = fmt.Errorf("expected a refusal, got %s", got)
	}
	return got.String(), err
}

func killPlacer(ctx context.Context, r *run) (string, error) {
	before := r.status(ctx, r.batch)
	if err := r.cell.Kill("placer-host-2"); err != nil {
		return "", err
	}
	err := waitFor(ctx, "all partitions to have a holder", func() bool {
		got, err := call(ctx, "GET", r.entry(0), "/v1/members", nil, nil)
		return err == nil && got.status == http.StatusOK && allHeld(got)
	})
	return fmt.Sprintf("%d tasks were running at the kill; all partitions have a holder", before.Tasks["running"]), err
}

func allHeld(got reply) bool {
	var m struct {
		Members []struct {
			Partitions []int `json:"partitions"`
		} `json:"members"`
		Unheld []int `json:"unheld"`
	}
	if json.Unmarshal(got.body, &m) != nil {
		return false
	}
	held := 0
	for _, member := range m.Members {
		held += len(member.Partitions)
	}
	return len(m.Members) == 1 && len(m.Unheld) == 0 && held > 0
}

func waitBatch(ctx context.Context, r *run) (string, error) {
	return r.waitFinished(ctx, r.batch, batchTasks)
}

func stopAll(_ context.Context, r *run) (string, error) {
	var failed []error
	for _, name := range []string{"entry-host-1", "entry-host-2", "placer-host-1"} {
		if err := r.cell.Stop(name); err != nil {
			failed = append(failed, fmt.Errorf("%s: %w", name, err))
		}
	}
	return strings.TrimSpace(fmt.Sprintf("%d processes stopped cleanly", 3-len(failed))), errors.Join(failed...)
}
