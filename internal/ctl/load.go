package ctl

import (
	"fmt"
	"io"
	"strings"
	"time"

	"pulleyquay/internal/report"
)

// msgLoad is the line in which a process tells what it is busy with.
const msgLoad = "process load"

// loadFields are those of such a line.
type loadFields struct {
	Holds         bool               `json:"holds"`
	Cores         float64            `json:"cores"`
	LateMS        int64              `json:"late_ms"`
	DecidingMS    float64            `json:"deciding_ms_a_second"`
	LongestWaitMS int64              `json:"longest_wait_ms"`
	OldestJobMS   int64              `json:"oldest_job_ms"`
	Connections   int64              `json:"connections"`
	UnderWay      int64              `json:"host_calls_under_way"`
	In            map[string]float64 `json:"in_kb_a_second"`
	Out           map[string]float64 `json:"out_kb_a_second"`
}

func (l logLine) load() report.Load {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return report.Load{
		Time: l.Time, Process: l.Name, Holds: l.Holds, Cores: l.Cores, Late: ms(l.LateMS), Deciding: l.DecidingMS / 1000,
		LongestWait: ms(l.LongestWaitMS), OldestJob: ms(l.OldestJobMS), Connections: l.Connections, CallsUnderWay: l.UnderWay, In: l.In, Out: l.Out,
	}
}

// Limits of the table of processes.
const (
	mostProcesses = 12
	mostPurposes  = 4
)

// printLoads tells what the busiest processes were busy with.
func printLoads(w io.Writer, processes []*report.Process) error {
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	t := newTable(w)
	for _, heading := range []string{"PROCESS", "HELD", "CORES MEAN/MOST", "KB/S MEAN/MOST", "LATE MS", "DECIDING", "WAIT MS", "JOB AGE MS", "CONNECTIONS", "CALLS", "KB/S BY PURPOSE"} {
		t.cell(heading)
	}
	t.end()
	for _, p := range processes[:min(len(processes), mostProcesses)] {
		t.cell(p.Name)
		t.cell(fmt.Sprintf("%d of %d", p.Held, p.Lines))
		t.cell(fmt.Sprintf("%.3f/%.3f", p.MeanCores, p.MostCores))
		t.cell(fmt.Sprintf("%.0f/%.0f", p.MeanRate, p.MostRate))
		t.cell(fmt.Sprint(p.MostLate.Milliseconds()))
		t.cell(fmt.Sprintf("%.0f%%", 100*p.MostDeciding))
		t.cell(fmt.Sprint(p.LongestWait.Milliseconds()))
		t.cell(fmt.Sprint(p.OldestJob.Milliseconds()))
		t.cell(fmt.Sprint(p.MostConnections))
		t.cell(fmt.Sprint(p.MostCallsUnderWay))
		var parts []string
		for _, purpose := range p.Purposes()[:min(len(p.ByPurpose), mostPurposes)] {
			parts = append(parts, fmt.Sprintf("%s %.0f", purpose, p.ByPurpose[purpose]))
		}
		t.cell(strings.Join(parts, ", "))
		t.end()
	}
	return t.flush()
}
