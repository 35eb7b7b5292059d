package ctl

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/spf13/cobra"
)

// cellEvents are messages of events that affect the whole cell. A job's trace includes those that fall
// between its first and last line.
var cellEvents = map[string]bool{
	"store lost": true, "store regained": true, "partition claimed": true, "takeover settled": true,
	"holder taken for dead": true, "partition not held any more": true, "configuration in force": true, "log lines left out": true,
}

func (a *app) traceCommand() *cobra.Command {
	return &cobra.Command{
		Use: "trace JOB FILE...", Short: "Show from saved logs what happened to a job (- reads standard input)",
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []logLine
			for _, name := range args[1:] {
				more, err := readLog(cmd.InOrStdin(), name)
				if err != nil {
					return err
				}
				lines = append(lines, more...)
			}
			trace := buildTrace(args[0], lines)
			if len(trace) == 0 {
				return fmt.Errorf("no line of these logs names job %s", args[0])
			}
			return printTrace(cmd.OutOrStdout(), trace)
		},
	}
}

// buildTrace returns the lines about a job and the cell events between the first and the last of them,
// in the order of time.
func buildTrace(job string, lines []logLine) []logLine {
	var out []logLine
	for _, l := range lines {
		if l.Job == job || strings.HasPrefix(l.Step, job+"/") {
			out = append(out, l)
		}
	}
	if len(out) == 0 {
		return nil
	}
	byTime := func(a, b int) bool { return out[a].Time.Before(out[b].Time) }
	sort.SliceStable(out, byTime)
	first, last := out[0].Time, out[len(out)-1].Time
	for _, l := range lines {
		if cellEvents[l.Msg] && l.Job == "" && !l.Time.Before(first) && !l.Time.After(last) {
			out = append(out, l)
		}
	}
	sort.SliceStable(out, byTime)
	return out
}

func printTrace(w io.Writer, trace []logLine) error {
	first := trace[0].Time
	for _, l := range trace {
		var parts []string
		for _, p := range []struct{ name, value string }{{"step", l.stepOfJob()}, {"host", l.Host}, {"", l.Why}, {"error", l.Error}} {
			switch {
			case p.value == "":
			case p.name == "":
				parts = append(parts, p.value)
			default:
				parts = append(parts, p.name+" "+p.value)
			}
		}
		if l.Code != 0 {
			parts = append(parts, fmt.Sprintf("code %d", l.Code))
		}
		if l.AgeMS != 0 {
			parts = append(parts, fmt.Sprintf("age %d ms", l.AgeMS))
		}
		if l.truncated {
			parts = append(parts, "(cut)")
		}
		if _, err := fmt.Fprintf(w, "%9.3f s  %-22s %-24s %s\n", l.Time.Sub(first).Seconds(), l.Name, l.Msg, strings.Join(parts, "; ")); err != nil {
			return err
		}
	}
	return nil
}
