package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"pulleyquay/internal/record"
)

// report fails the test for each violation, and reports the faults injected and the
// histories of the jobs that the violations name.
func report(t *testing.T, l *load, seed uint64, allSeries []*faultSeries) {
	t.Helper()
	accepted := 0
	for _, w := range l.jobs {
		if w.accepted {
			accepted++
		}
	}
	judge := l.c.platform.Fleet.Checker()
	t.Logf("%d jobs, %d accepted, %d starts, %d hosts crashed", len(l.jobs), accepted, judge.Starts(), judge.HostsCrashed())
	t.Log("in the logs:", l.c.countInLogs("start unanswered", "run lost", "crash held against task", "job-crashes-hosts"))
	violations := judge.Violations()
	for _, v := range violations {
		t.Error(v)
	}
	if accepted == 0 {
		t.Error("no job was accepted")
	}
	text := fmt.Sprintf("seed %d: %v\n%s\n\n%s\n", seed, l.c.conds, strings.Join(violations, "\n"), injectedFaults(allSeries))
	involved := jobsIn(violations)
	if t.Failed() {
		t.Log(text + l.c.histories(involved[:min(len(involved), maxHistories)]))
	}
	if *reports != "" {
		involved = append(involved, l.failed()...)
		l.c.save(t, filepath.Join(*reports, fmt.Sprint("seed-", seed)), text+l.c.histories(involved))
	}
}

// failed returns the ids of the jobs that were reported as failed.
func (l *load) failed() []string {
	var out []string
	for _, w := range l.jobs {
		if w.state == record.StateFailed {
			out = append(out, w.id)
		}
	}
	return out
}

// countInLogs returns how often each text occurs in the logs of all nodes.
func (c *cell) countInLogs(texts ...string) string {
	var out []string
	for _, text := range texts {
		count := 0
		for _, n := range c.nodes {
			count += strings.Count(n.log(), text)
		}
		out = append(out, fmt.Sprint(count, " ", text))
	}
	return strings.Join(out, ", ")
}

// injectedFaults lists the faults of each series.
func injectedFaults(allSeries []*faultSeries) string {
	var lines []string
	for i, s := range allSeries {
		lines = append(lines, fmt.Sprintf("series %d:", i))
		lines = append(lines, s.injected...)
	}
	return strings.Join(lines, "\n")
}

// save writes the report and the logs of all nodes to a directory.
func (c *cell) save(t *testing.T, dir, text string) {
	t.Helper()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Error(err)
		return
	}
	files := map[string]string{"report.txt": text}
	for _, n := range c.nodes {
		files[n.name+".log"] = n.log()
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o644); err != nil {
			t.Error(err)
		}
	}
}

// jobID matches the ids of jobs.
var jobID = regexp.MustCompile(`\b[0-9a-f]{16}\b`)

// maxHistories is the largest number of jobs whose histories a failed test shows.
const maxHistories = 5

// jobsIn returns the ids of the jobs in the violations, in the order of the violations.
func jobsIn(violations []string) []string {
	var out []string
	for _, id := range jobID.FindAllString(strings.Join(violations, "\n"), -1) {
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

// histories returns the histories of jobs.
func (c *cell) histories(jobs []string) string {
	var out strings.Builder
	for _, id := range jobs {
		out.WriteString("\njob " + id + ":\n" + c.history(id))
	}
	return out.String()
}

// historyLine is one line of a job's history.
type historyLine struct {
	at   time.Time
	line string
}

// history returns, in order of time, the hosts' events of a job's runs, and the lines of the
// nodes' logs that contain the job's id or report that one of these hosts was lost.
func (c *cell) history(job string) string {
	var lines []historyLine
	hosts := map[string]bool{}
	for _, e := range c.platform.RunEvents(job) {
		lines = append(lines, historyLine{e.At, e.String()})
		hosts[string(e.Host)] = true
	}
	for _, n := range c.nodes {
		for line := range strings.Lines(n.log()) {
			if l, ok := concerns(line, job, hosts); ok {
				lines = append(lines, historyLine{l.at, l.at.Format("15:04:05.000 ") + n.name + " " + strings.TrimSpace(line)})
			}
		}
	}
	slices.SortStableFunc(lines, func(a, b historyLine) int { return a.at.Compare(b.at) })
	var out strings.Builder
	for _, l := range lines {
		out.WriteString(l.line + "\n")
	}
	return out.String()
}

// logLine holds the fields of a log line that a history needs.
type logLine struct {
	Time time.Time
	Msg  string
	Host string
}

// concerns parses a log line and reports whether it contains the job's id or reports the loss
// of one of its hosts.
func concerns(line, job string, hosts map[string]bool) (historyLine, bool) {
	var l logLine
	if err := json.Unmarshal([]byte(line), &l); err != nil {
		return historyLine{}, false // cut short by the end of the process
	}
	hostLost := hosts[l.Host] && (l.Msg == "host gone" || l.Msg == "host lost")
	return historyLine{at: l.Time.Local()}, hostLost || strings.Contains(line, job)
}
