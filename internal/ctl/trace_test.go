package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const traceLogs = `  1.0 edge-1 {"time":"2026-12-02T10:00:01Z","name":"edge-1","msg":"job accepted","job":"aa","level":"info"}
noise of another program
{"time":"2026-12-02T10:00:05.5Z","name":"edge-2","msg":"job ended","job":"aa","why":"failed","age_ms":4500}
{"time":"2026-12-02T10:00:03Z","name":"edge-2","msg":"task failed","job":"aa","step":"aa/0/0","host":"i-7"}
{"time":"2026-12-02T10:00:02Z","name":"edge-2","msg":"partition claimed","epoch":4}
{"time":"2026-12-02T10:00:09Z","name":"edge-2","msg":"store lost"}
{"time":"2026-12-02T10:00:04Z","name":"edge-2","msg":"job ended","job":"bb","why":"completed"}
`

func TestTrace(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "log")
	is.NoErr(os.WriteFile(file, []byte(traceLogs), 0o600))
	code, out, _ := run([]string{"127.0.0.1:1"}, "trace", "aa", file)
	is.Equal(code, ExitOK)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(len(lines), 4) // in order, with the claim in between; without later lines and the other job
	for i, want := range []string{"job accepted", "partition claimed", "task failed", "job ended"} {
		is.True(strings.Contains(lines[i], want))
	}
	is.True(strings.Contains(lines[3], "4.500 s") && strings.Contains(lines[3], "age 4500 ms"))
}

// TestTraceOfBothFormats checks that logs of processes before and after an upgrade give one trace.
func TestTraceOfBothFormats(t *testing.T) {
	is := is.New(t)
	const logs = `{"age_ms":30,"epoch":1,"host":"","job":"aa","level":"info","msg":"step started","name":"edge-1","process":"pulley-node","step":"aa/0/3","time":"2026-12-02T10:00:01.123456789Z","why":"one"}
{"msg":"run lost","job":"aa","step":"0/3","host":"h06","why":"another life answered","age_ms":2384,"epoch":2,"name":"edge-2","level":"info","time":"2026-12-02T10:00:03.500Z"}
{"msg":"end passed over","step":"aa/0/3","level":"info","time":"2026-12-02T10:00:04.000Z"}
`
	file := filepath.Join(t.TempDir(), "log")
	is.NoErr(os.WriteFile(file, []byte(logs), 0o600))
	code, out, _ := run([]string{"127.0.0.1:1"}, "trace", "aa", file)
	is.Equal(code, ExitOK)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(len(lines), 3)
	is.Equal(strings.Join(strings.Fields(lines[0]), " "), "0.000 s edge-1 step started step 0/3; one; age 30 ms")
	is.Equal(strings.Join(strings.Fields(lines[1]), " "), "2.377 s edge-2 run lost step 0/3; host h06; another life answered; age 2384 ms")
	is.True(strings.Contains(lines[2], "step aa/0/3"))
}

func TestTraceOfNothing(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "log")
	is.NoErr(os.WriteFile(file, []byte(traceLogs), 0o600))
	code, _, errs := run([]string{"127.0.0.1:1"}, "trace", "cc", file)
	is.True(code != ExitOK)
	is.True(strings.Contains(errs, "no line of these logs names job cc"))
	code, _, _ = run([]string{"127.0.0.1:1"}, "trace", "cc", file+"-missing")
	is.True(code != ExitOK)
	code, _, _ = run([]string{"127.0.0.1:1"}, "trace", "cc")
	is.Equal(code, ExitUsage)
}
