// Package demo demonstrates the whole system on one machine: it starts the stand-in and
// two entry hosts as separate processes, sends requests and jobs through the public
// interfaces and prints what the stand-in recorded.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"
)

// timeout is the time limit of the whole demonstration.
const timeout = time.Minute

// Run runs the demonstration and writes its results to w. It returns an error if a step
// fails or the stand-in has recorded a violation of an invariant.
func Run(w io.Writer, bin, examples, dir string) error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	cell, err := NewCell(bin, dir, []string{"lake-a", "regie-a"})
	if err != nil {
		return err
	}
	defer cell.Close()
	if err := cell.Start(ctx); err != nil {
		return fmt.Errorf("start (logs in %s): %w", dir, err)
	}
	r := &run{cell: cell, examples: examples}
	if err := r.runSteps(ctx, w); err != nil {
		return fmt.Errorf("%w (logs in %s)", err, dir)
	}
	if err := r.report(ctx, w); err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "took %.1f s\n", time.Since(start).Seconds())
	return err
}

// runSteps runs the steps in order and stops at the first failure.
func (r *run) runSteps(ctx context.Context, w io.Writer) error {
	for i, s := range steps {
		start := time.Now()
		outcome, err := s.do(ctx, r)
		if err != nil {
			return fmt.Errorf("step %d, %s: %w", i+1, s.title, err)
		}
		if _, err := fmt.Fprintf(w, "%2d  %-50s %6d ms  %s\n", i+1, s.title, time.Since(start).Milliseconds(), outcome); err != nil {
			return err
		}
	}
	return nil
}

// record is the part of the stand-in's record that the demonstration prints and checks.
type record struct {
	Violations []json.RawMessage            `json:"violations"`
	Count      int                          `json:"violation_count"`
	Tasks      map[string][]json.RawMessage `json:"tasks"`
	Keys       map[string][]json.RawMessage `json:"keys"`
	Starts     int                          `json:"starts"`
	Requests   int                          `json:"requests"`
	Workers    map[string]struct {
		Peak struct {
			MilliCPU int64 `json:"milli_cpu"`
		} `json:"peak"`
	} `json:"workers"`
}

// report prints the stand-in's record and checks it.
func (r *run) report(ctx context.Context, w io.Writer) error {
	got, err := callExpecting(ctx, http.StatusOK, "GET", r.cell.standin, "/record?details=1", nil, nil)
	if err != nil {
		return err
	}
	var rec record
	if err := json.Unmarshal(got.body, &rec); err != nil {
		return err
	}
	if err := r.table(w, rec); err != nil {
		return err
	}
	return r.check(rec)
}

func (r *run) table(w io.Writer, rec record) error {
	used := 0
	for _, worker := range rec.Workers {
		if worker.Peak.MilliCPU > 0 {
			used++
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows := [][2]any{
		{"requests executed", rec.Requests},
		{"tickets posted twice, distinct keys executed", fmt.Sprintf("%d, %d", len(r.keys), len(rec.Keys))},
		{"task starts", rec.Starts},
		{"distinct tasks", len(rec.Tasks)},
		{"workers that ran tasks", used},
		{"invariant violations", rec.Count},
	}
	_, _ = fmt.Fprintln(t, "\nrecorded by the stand-in:")
	for _, row := range rows {
		_, _ = fmt.Fprintf(t, "  %v\t%v\n", row[0], row[1])
	}
	_, _ = fmt.Fprintln(t, "resident memory, MiB:")
	for name, kib := range r.cell.residentKiB {
		_, _ = fmt.Fprintf(t, "  %s\t%.1f\n", name, float64(kib)/1024)
	}
	return t.Flush()
}

// check fails if an invariant was violated, a ticket was not executed exactly once, or a
// task is missing.
func (r *run) check(rec record) error {
	if rec.Count > 0 {
		return fmt.Errorf("%d invariant violations, first: %s", rec.Count, rec.Violations[0])
	}
	for _, key := range r.keys {
		if n := len(rec.Keys[key]); n != 1 {
			return fmt.Errorf("ticket %s was executed %d times", key, n)
		}
	}
	if want := batchTasks + gangTasks; len(rec.Tasks) != want {
		return fmt.Errorf("%d distinct tasks ran, expected %d", len(rec.Tasks), want)
	}
	return nil
}
