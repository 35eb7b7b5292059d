package ctl

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pulleyquay/internal/cellapi"
	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
)

// jsonEntry returns an entry that answers every request with the value as JSON.
func jsonEntry(t *testing.T, value any) *entry {
	t.Helper()
	return newEntry(t, func(w http.ResponseWriter, _ *http.Request) {
		if err := json.NewEncoder(w).Encode(value); err != nil {
			t.Error(err)
		}
	})
}

var (
	fullStatus = jobmsg.Status{
		Job:   spec.Job{ID: "j1", Team: "maps", Kind: spec.KindBatch, Tasks: 9},
		State: jobmsg.StateRunning, TaskCounts: jobmsg.TaskCounts{Waiting: 1, Running: 2, Finished: 3, Failures: 4}, Reason: "because",
	}
	fullExplanation = jobmsg.Explanation{
		Placements: []jobmsg.Placement{{Worker: "w1", Zone: "z1", Partition: 5, Tasks: []int{1, 2}}},
		Waits:      []jobmsg.Wait{{Tasks: 1, For: "memory", FreedBy: "job j0", ByRule: map[string]int{"memory": 3}}},
		Decisions:  []jobmsg.Decision{{What: "placed", Why: "best fit", Times: 2}},
	}
	fullWorkers = cellapi.Workers{Workers: []taskmsg.WorkerState{{Name: "w1", Rack: "r1", Zone: "z1", Partition: 5, Claim: "claimed",
		Status: "ready", Free: spec.Resources{MilliCPU: 7, MemoryMiB: 8, Accelerators: 9}}}}
	fullMembers = cellapi.Members{Members: []cellapi.Member{{Member: view.Member{Name: "m1", Zone: "z1", Addr: "a:1", Leaving: true},
		Partitions: []int{1, 2}, SettingsRevision: 6}}}
)

// TestTablesMatchResponseTypes prints each table from the type that the API serves. A column whose
// path does not exist in that type would show a hyphen.
func TestTablesMatchResponseTypes(t *testing.T) {
	explanation := struct {
		jobmsg.Status
		Explanation jobmsg.Explanation `json:"explanation"`
	}{fullStatus, fullExplanation}
	cases := []struct {
		name     string
		response any
		args     []string
		// lines is the number of non-empty lines of output: headings and rows.
		lines int
	}{
		{"members", fullMembers, []string{"members"}, 2},
		{"workers", fullWorkers, []string{"workers"}, 2},
		{"job get", fullStatus, []string{"job", "get", "j1"}, 2},
		{"job cancel", fullStatus, []string{"job", "cancel", "j1"}, 2},
		{"job submit", fullStatus, []string{"job", "submit", "-"}, 2},
		{"job change", fullStatus, []string{"job", "change", "j1", "-", "--generation", "2"}, 2},
		{"job list", map[string]any{"jobs": []jobmsg.Status{fullStatus}}, []string{"job", "list"}, 2},
		{"job explain", explanation, []string{"job", "explain", "j1"}, 8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			code, out, errs := run([]string{jsonEntry(t, c.response).addr()}, c.args...)
			if code != ExitOK {
				t.Fatal(errs)
			}
			for _, cell := range strings.Fields(out) {
				is.True(cell != "-") // every column has a value
			}
			is.Equal(strings.Count(strings.ReplaceAll(out, "\n\n", "\n"), "\n"), c.lines)
		})
	}
}

// A list of workers or members that is incomplete names what is missing and exits with an error;
// a list of jobs that continues names the next --after.
func TestPartialLists(t *testing.T) {
	cases := []struct {
		name     string
		response any
		args     []string
		exit     int
		wantErr  string
	}{
		{"workers", cellapi.Workers{Missing: []string{"host-3"}}, []string{"workers"}, ExitFailed, "host-3"},
		{"members", cellapi.Members{Unheld: []int{4, 9}}, []string{"members"}, ExitFailed, "4,9"},
		{"jobs", map[string]any{"jobs": []jobmsg.Status{}, "next": "j7"}, []string{"job", "list"}, ExitOK, "--after j7"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			code, _, errs := run([]string{jsonEntry(t, c.response).addr()}, c.args...)
			is.Equal(code, c.exit)
			is.True(strings.Contains(errs, c.wantErr))
		})
	}
}
