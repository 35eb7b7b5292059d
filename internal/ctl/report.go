package ctl

import (
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"pulleyquay/internal/report"
	"pulleyquay/internal/result"
)

func (a *app) reportCommand() *cobra.Command {
	var plot, plotLoad string
	cmd := &cobra.Command{
		Use: "report FILE...", Short: "Show from saved logs how long the stages of jobs take, by queue, and the load of processes (- reads standard input)",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []report.Line
			var loads []report.Load
			for _, name := range args {
				more, err := readLog(cmd.InOrStdin(), name)
				if err != nil {
					return err
				}
				for _, l := range more {
					lines = append(lines, l.reportLine())
					if l.Msg == msgLoad {
						loads = append(loads, l.load())
					}
				}
			}
			queues := report.ByQueue(lines)
			if len(queues) == 0 {
				return fmt.Errorf("no line of these logs names a job")
			}
			if plot != "" {
				if err := savePlot(plot, lines, func(w io.Writer, from time.Time) error { return report.Plot(w, queues, from) }); err != nil {
					return err
				}
			}
			processes := report.Processes(loads)
			if plotLoad != "" {
				busiest := ""
				if len(processes) > 0 {
					busiest = processes[0].Name
				}
				if err := savePlot(plotLoad, lines, func(w io.Writer, from time.Time) error { return report.PlotLoad(w, loads, busiest, from) }); err != nil {
					return err
				}
			}
			if err := printReport(cmd.OutOrStdout(), queues); err != nil || len(processes) == 0 {
				return err
			}
			return printLoads(cmd.OutOrStdout(), processes)
		},
	}
	cmd.Flags().StringVar(&plot, "plot", "", "draw how long jobs took over time into this SVG file")
	cmd.Flags().StringVar(&plotLoad, "plot-load", "", "draw the traffic of the busiest link over time, by purpose, into this SVG file")
	return cmd
}

func (l logLine) reportLine() report.Line {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return report.Line{Time: l.Time, Msg: l.Msg, Job: l.Job, Queue: l.Queue, Why: l.Why, Took: ms(l.TookMS), Age: ms(l.AgeMS)}
}

// savePlot draws into a file; the plot starts at the earliest time of the lines.
func savePlot(name string, lines []report.Line, draw func(w io.Writer, from time.Time) error) error {
	from := lines[0].Time
	for _, l := range lines {
		if l.Time.Before(from) {
			from = l.Time
		}
	}
	f, err := os.Create(name)
	if err != nil {
		return result.New(result.BadInput, result.RanNo, "%v", err).AtField("plot")
	}
	err = draw(f, from)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// quantiles are the quantiles of each stage's duration in a report.
var quantiles = []float64{0.5, 0.95, 0.99}

func printReport(w io.Writer, queues []*report.Queue) error {
	t := newTable(w)
	for _, heading := range []string{"QUEUE", "ACCEPTED", "REFUSED", "ENDED"} {
		t.cell(heading)
	}
	for _, s := range report.Stages {
		t.cell(strings.ToUpper(string(s)) + " 50/95/99% MS")
	}
	t.endRow()
	for _, q := range queues {
		name := q.Name
		if name == "" {
			name = "(not told)"
		}
		t.cell(name)
		t.cell(fmt.Sprint(q.Accepted))
		t.cell(fmt.Sprint(q.Refused))
		t.cell(outcomes(q))
		for _, s := range report.Stages {
			var parts []string
			for _, p := range quantiles {
				parts = append(parts, fmt.Sprint(q.Quantile(s, p).Milliseconds()))
			}
			t.cell(strings.Join(parts, "/"))
		}
		t.endRow()
	}
	return t.flush()
}

// outcomes lists the outcomes of a queue's jobs with their counts, the most frequent first.
func outcomes(q *report.Queue) string {
	states := make([]string, 0, len(q.Outcomes))
	for s := range q.Outcomes {
		states = append(states, s)
	}
	sort.Slice(states, func(a, b int) bool {
		if q.Outcomes[states[a]] != q.Outcomes[states[b]] {
			return q.Outcomes[states[a]] > q.Outcomes[states[b]]
		}
		return states[a] < states[b]
	})
	var parts []string
	for _, s := range states {
		parts = append(parts, fmt.Sprintf("%d %s", q.Outcomes[s], s))
	}
	return strings.Join(parts, ", ")
}
