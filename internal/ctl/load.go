package ctl

import (
	"fmt"
	"io"
	"strings"
	"time"

	"pulleyquay/internal/report"
)

// msgLoad is the message of the log lines in which a process reports its load.
const msgLoad = "process load"

// loadFields are the fields of a log line with msgLoad.
type loadFields struct {
	IsHolder         bool               `json:"holds"`
	Cores            float64            `json:"cores"`
	TimerDelayMS     int64              `json:"late_ms"`
	DecisionMSPerSec float64            `json:"deciding_ms_a_second"`
	LongestWaitMS    int64              `json:"longest_wait_ms"`
	OldestJobAgeMS   int64              `json:"oldest_job_ms"`
	Connections      int64              `json:"connections"`
	PendingHostCalls int64              `json:"host_calls_under_way"`
	In               map[string]float64 `json:"in_kb_a_second"`
	Out              map[string]float64 `json:"out_kb_a_second"`
}

func (l logLine) load() report.Load {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return report.Load{
		Time: l.Time, Process: l.Name, IsHolder: l.IsHolder, Cores: l.Cores, TimerDelay: ms(l.TimerDelayMS), DecisionShare: l.DecisionMSPerSec / 1000,
		LongestWait: ms(l.LongestWaitMS), OldestJobAge: ms(l.OldestJobAgeMS), Connections: l.Connections, PendingCalls: l.PendingHostCalls, In: l.In, Out: l.Out,
	}
}

// Maximum numbers of processes, and of purposes of each, in the table of processes.
const (
	maxProcesses = 12
	maxPurposes  = 4
)

// printLoads prints the load of the processes with the most traffic.
func printLoads(w io.Writer, processes []*report.Process) error {
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	t := newTable(w)
	for _, heading := range []string{"PROCESS", "HELD", "CORES MEAN/MOST", "KB/S MEAN/MOST", "LATE MS", "DECIDING", "WAIT MS", "JOB AGE MS", "CONNECTIONS", "CALLS", "KB/S BY PURPOSE"} {
		t.cell(heading)
	}
	t.endRow()
	for _, p := range processes[:min(len(processes), maxProcesses)] {
		t.cell(p.Name)
		t.cell(fmt.Sprintf("%d of %d", p.LinesAsHolder, p.Lines))
		t.cell(fmt.Sprintf("%.3f/%.3f", p.MeanCores, p.MaxCores))
		t.cell(fmt.Sprintf("%.0f/%.0f", p.MeanRate, p.MaxRate))
		t.cell(fmt.Sprint(p.MaxTimerDelay.Milliseconds()))
		t.cell(fmt.Sprintf("%.0f%%", 100*p.MaxDecisionShare))
		t.cell(fmt.Sprint(p.LongestWait.Milliseconds()))
		t.cell(fmt.Sprint(p.OldestJobAge.Milliseconds()))
		t.cell(fmt.Sprint(p.MaxConnections))
		t.cell(fmt.Sprint(p.MaxPendingCalls))
		var parts []string
		for _, purpose := range p.Purposes()[:min(len(p.ByPurpose), maxPurposes)] {
			parts = append(parts, fmt.Sprintf("%s %.0f", purpose, p.ByPurpose[purpose]))
		}
		t.cell(strings.Join(parts, ", "))
		t.endRow()
	}
	return t.flush()
}
