package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const jobLogs = `{"time":"2026-12-02T10:00:01Z","name":"edge-1","msg":"job accepted","job":"aa","queue":"q","took_ms":8,"why":"stored"}
{"time":"2026-12-02T10:00:02Z","name":"edge-2","msg":"step started","job":"aa","step":"aa/0/0","age_ms":30}
  5.5 edge-2 {"time":"2026-12-02T10:00:05.5Z","name":"edge-2","msg":"job ended","job":"aa","why":"completed","age_ms":4500}
{"time":"2026-12-02T10:00:07Z","name":"edge-1","msg":"job accepted","job":"bb","queue":"q","took_ms":8,"why":"stored"}
{"time":"2026-12-02T10:00:09Z","name":"edge-2","msg":"job ended","job":"bb","why":"failed","age_ms":2000}
`

func TestReport(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	file, plot := filepath.Join(dir, "log"), filepath.Join(dir, "plot.svg")
	is.NoErr(os.WriteFile(file, []byte(jobLogs), 0o600))
	code, out, _ := run([]string{"127.0.0.1:1"}, "report", "--plot", plot, file)
	is.Equal(code, ExitOK)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(len(lines), 2)
	is.Equal(strings.Join(strings.Fields(lines[1]), " "), "q 2 0 1 completed, 1 failed 8/8/8 30/30/30 4500/4500/4500")
	svg, err := os.ReadFile(plot)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(svg), "<svg"))
}

func TestReportOfNothing(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	empty, one := filepath.Join(dir, "empty"), filepath.Join(dir, "one")
	is.NoErr(os.WriteFile(empty, []byte("noise\n"), 0o600))
	is.NoErr(os.WriteFile(one, []byte(strings.SplitAfterN(jobLogs, "\n", 4)[2]), 0o600))
	for args, want := range map[string]string{
		empty:                                "no line of these logs names a job",
		filepath.Join(dir, "missing"):        "no such file",
		"--plot " + dir + "/x.svg " + one:    "too few jobs",
		"--plot " + dir + "/no/x.svg " + one: "no such file",
	} {
		code, _, errs := run([]string{"127.0.0.1:1"}, append([]string{"report"}, strings.Fields(args)...)...)
		is.True(code != ExitOK)
		is.True(strings.Contains(errs, want))
	}
}

const loadLogs = `{"time":"2026-12-02T10:00:02Z","name":"edge-1","msg":"process load","holds":true,"cores":0.4,"late_ms":12,"deciding_ms_a_second":80,"longest_wait_ms":7,"oldest_job_ms":30,"connections":50,"host_calls_under_way":9,"in_kb_a_second":{"store":300,"host reports":100},"out_kb_a_second":{"host calls":200}}
{"time":"2026-12-02T10:00:04Z","name":"edge-1","msg":"process load","holds":true,"cores":0.8,"late_ms":90,"deciding_ms_a_second":240,"longest_wait_ms":70,"oldest_job_ms":400,"connections":60,"host_calls_under_way":900,"in_kb_a_second":{"store":300,"host reports":300},"out_kb_a_second":{"host calls":600}}
{"time":"2026-12-02T10:00:04Z","name":"edge-2","msg":"process load","holds":false,"cores":0.02,"connections":5,"in_kb_a_second":{"hosts":10},"out_kb_a_second":{"hosts":20}}
`

// TestReportOfLoads checks that lines with msgLoad give the busiest process first, with its traffic by
// purpose and its timer delay.
func TestReportOfLoads(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	file, plot := filepath.Join(dir, "log"), filepath.Join(dir, "load.svg")
	is.NoErr(os.WriteFile(file, []byte(jobLogs+loadLogs), 0o600))
	code, out, _ := run([]string{"127.0.0.1:1"}, "report", "--plot-load", plot, file)
	is.Equal(code, ExitOK)
	_, table, found := strings.Cut(out, "\n\n")
	is.True(found)
	lines := strings.Split(strings.TrimSpace(table), "\n")
	is.Equal(len(lines), 3)
	is.Equal(strings.Join(strings.Fields(lines[1]), " "),
		"edge-1 2 of 2 0.600/0.800 900/1200 90 24% 70 400 60 900 host calls 400, store 300, host reports 200")
	is.True(strings.HasPrefix(lines[2], "edge-2"))
	svg, err := os.ReadFile(plot)
	is.NoErr(err)
	is.True(strings.Contains(string(svg), "edge-1"))
	code, _, errs := run([]string{"127.0.0.1:1"}, "report", "--plot-load", plot, filepath.Join(dir, "missing"))
	is.True(code != ExitOK)
	is.True(strings.Contains(errs, "no such file"))
}
