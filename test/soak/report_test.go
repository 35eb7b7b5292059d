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

// report fails the test for each breach, and tells what struck and what became of the jobs
// that the breaches name.
func report(t *testing.T, l *load, seed uint64, storms []*storm) {
	t.Helper()
	accepted := 0
	for _, w := range l.jobs {
		if w.accepted {
			accepted++
		}
	}
	judge := l.c.platform.Fleet.Judge()
	t.Logf("%d jobs, %d accepted, %d starts, %d hosts crashed", len(l.jobs), accepted, judge.Starts(), judge.HostsCrashed())
	t.Log("in the logs:", l.c.lines("start unanswered", "run lost", "crash held against task", "job-crashes-hosts"))
	wrong := judge.Wrong()
	for _, s := range wrong {
		t.Error(s)
	}
	if accepted == 0 {
		t.Error("no job was accepted")
	}
	text := fmt.Sprintf("seed %d: %v\n%s\n\n%s\n", seed, l.c.world, strings.Join(wrong, "\n"), struck(storms))
	named := jobsIn(wrong)
	if t.Failed() {
		t.Log(text + l.c.histories(named[:min(len(named), mostHistories)]))
	}
	if *reports != "" {
		named = append(named, l.failed()...)
		l.c.keep(t, filepath.Join(*reports, fmt.Sprint("seed-", seed)), text+l.c.histories(named))
	}
}

// failed names the jobs that were shown as failed.
func (l *load) failed() []string {
	var out []string
	for _, w := range l.jobs {
		if w.state == record.StateFailed {
			out = append(out, w.id)
		}
	}
	return out
}

// lines counts the lines of all logs that hold each text.
func (c *cell) lines(texts ...string) string {
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

// struck lists the faults of each series.
func struck(storms []*storm) string {
	var lines []string
	for i, s := range storms {
		lines = append(lines, fmt.Sprintf("series %d:", i))
		lines = append(lines, s.said...)
	}
	return strings.Join(lines, "\n")
}

// keep writes the report and the logs of all nodes to a directory.
func (c *cell) keep(t *testing.T, dir, text string) {
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

// jobID finds the ids of jobs.
var jobID = regexp.MustCompile(`\b[0-9a-f]{16}\b`)

// mostHistories bounds the jobs whose histories a failed test shows.
const mostHistories = 5

// jobsIn names the jobs that breaches name, in the order of these.
func jobsIn(wrong []string) []string {
	var out []string
	for _, id := range jobID.FindAllString(strings.Join(wrong, "\n"), -1) {
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

// histories tells what became of jobs.
func (c *cell) histories(jobs []string) string {
	var out strings.Builder
	for _, id := range jobs {
		out.WriteString("\njob " + id + ":\n" + c.history(id))
	}
	return out.String()
}

// told is a line of a history.
type told struct {
	at   time.Time
	line string
}

// history gives, in the order of time, what hosts made of a job's runs, and what the nodes'
// logs say of it and of the ends of these hosts.
func (c *cell) history(job string) string {
	var lines []told
	hosts := map[string]bool{}
	for _, e := range c.platform.RunEvents(job) {
		lines = append(lines, told{e.At, e.String()})
		hosts[string(e.Host)] = true
	}
	for _, n := range c.nodes {
		for line := range strings.Lines(n.log()) {
			if l, ok := concerns(line, job, hosts); ok {
				lines = append(lines, told{l.at, l.at.Format("15:04:05.000 ") + n.name + " " + strings.TrimSpace(line)})
			}
		}
	}
	slices.SortStableFunc(lines, func(a, b told) int { return a.at.Compare(b.at) })
	var out strings.Builder
	for _, l := range lines {
		out.WriteString(l.line + "\n")
	}
	return out.String()
}

// logLine is what a history needs of a line of a log.
type logLine struct {
	Time time.Time
	Msg  string
	Host string
}

// concerns reports whether a line names the job, or the end of one of its hosts.
func concerns(line, job string, hosts map[string]bool) (told, bool) {
	var l logLine
	if err := json.Unmarshal([]byte(line), &l); err != nil {
		return told{}, false // the output of a process that ended in the midst of it
	}
	ofHost := hosts[l.Host] && (l.Msg == "host gone" || l.Msg == "host lost")
	return told{at: l.Time.Local()}, ofHost || strings.Contains(line, job)
}
