// Package demo shows the whole path on one machine: it starts the stand-in and
// two entry hosts as separate processes, asks for work through the real
// interfaces and prints what the stand-in counted.
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

// limit bounds the whole demonstration.
const limit = time.Minute

// Run runs the demonstration and writes its table to w. It fails when a step
// failed or the stand-in saw a promise broken.
func Run(w io.Writer, bin, examples, dir string) error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
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
	if err := r.all(ctx, w); err != nil {
		return fmt.Errorf("%w (logs in %s)", err, dir)
	}
	if err := r.report(ctx, w); err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "took %.1f s\n", time.Since(start).Seconds())
	return err
}

// all runs the steps in order and stops at the first that fails.
func (r *run) all(ctx context.Context, w io.Writer) error {
	for i, s := range steps {
		begin := time.Now()
		seen, err := s.do(ctx, r)
		if err != nil {
			return fmt.Errorf("step %d, %s: %w", i+1, s.asked, err)
		}
		if _, err := fmt.Fprintf(w, "%2d  %-50s %6d ms  %s\n", i+1, s.asked, time.Since(begin).Milliseconds(), seen); err != nil {
			return err
		}
	}
	return nil
}

// record is the part of the stand-in's record that the demonstration judges by.
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

// report prints what the stand-in counted and checks it against the promises.
func (r *run) report(ctx context.Context, w io.Writer) error {
	got, err := want(ctx, http.StatusOK, "GET", r.cell.standin, "/record?details=1", nil, nil)
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
	return r.judge(rec)
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
		{"tickets posted twice, keys executed", fmt.Sprintf("%d, %d", len(r.keys), len(rec.Keys))},
		{"task starts", rec.Starts},
		{"distinct tasks", len(rec.Tasks)},
		{"workers that ran something", used},
		{"promises broken", rec.Count},
	}
	_, _ = fmt.Fprintln(t, "\nas counted by the stand-in:")
	for _, row := range rows {
		_, _ = fmt.Fprintf(t, "  %v\t%v\n", row[0], row[1])
	}
	_, _ = fmt.Fprintln(t, "resident memory, MiB:")
	for name, kib := range r.cell.memory {
		_, _ = fmt.Fprintf(t, "  %s\t%.1f\n", name, float64(kib)/1024)
	}
	return t.Flush()
}

// judge fails when a promise was broken.
func (r *run) judge(rec record) error {
	if rec.Count > 0 {
		return fmt.Errorf("%d promises broken, first: %s", rec.Count, rec.Violations[0])
	}
	for _, key := range r.keys {
		if n := len(rec.Keys[key]); n != 1 {
			return fmt.Errorf("ticket %s was executed %d times", key, n)
		}
	}
	if want := batchTasks + gangTasks; len(rec.Tasks) != want {
		return fmt.Errorf("%d distinct tasks ran, wanted %d", len(rec.Tasks), want)
	}
	return nil
}
