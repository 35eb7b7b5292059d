package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// completeLines are lines in the formats of this and of earlier versions.
var completeLines = map[string]string{
	"now":     `{"msg":"run lost","job":"5c0e7a21d94b36f8","step":"0/3","why":"label \"x\", at 0%, \u003cdark\u003e","host":"h06","age_ms":2384,"kinds":{"a":1,"b":2},"epoch":2,"name":"edge-2","level":"info","time":"2026-12-02T10:00:03.500Z"}`,
	"earlier": `{"age_ms":2384,"epoch":2,"host":"h06","job":"5c0e7a21d94b36f8","level":"info","msg":"run lost","name":"edge-2","process":"pulley-node","step":"5c0e7a21d94b36f8/0/3","time":"2026-12-02T10:00:03.5Z","why":"label \"x\", at 0%, \u003cdark\u003e"}`,
}

// Users may keep only about the first 200 bytes of each line. Truncated lines are not valid JSON
// objects; skipping them silently left a trace without its long lines, which are those with reasons.
func TestTruncatedLines(t *testing.T) {
	for name, text := range completeLines {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			complete, ok := parseLine(text)
			is.True(ok)
			is.True(!complete.truncated)
			is.Equal(complete.Why, `label "x", at 0%, <dark>`)
			msgEnds := strings.Index(text, `"run lost"`) + len(`"run lost"`)
			for n := msgEnds; n < len(text); n++ {
				l, ok := parseLine(text[:n])
				is.True(ok)
				is.True(l.truncated)
				is.Equal(l.Msg, complete.Msg)
				for _, part := range []struct{ truncated, complete string }{
					{l.Job, complete.Job}, {l.Step, complete.Step}, {l.Host, complete.Host}, {l.Why, complete.Why}, {l.Name, complete.Name},
				} {
					is.True(strings.HasPrefix(part.complete, part.truncated))
				}
				is.True(l.Time.IsZero() || l.Time.Equal(complete.Time))
				is.True(l.AgeMS == 0 || l.AgeMS == complete.AgeMS) // a truncated number would be a different one
				is.True(l.Epoch == 0 || l.Epoch == complete.Epoch)
			}
		})
	}
}

func TestInvalidLines(t *testing.T) {
	for _, text := range []string{
		"", "noise", "{", "{}", `{"msg":`, `{"msg":""}`, `{"msg":12}`, `{"msg":"a"} more`, `{"msg":"a" "b":1}`, `["msg"]`, strings.Repeat(`{"a":[`, 1000),
		`{"msg":"a","x":[` + strings.Repeat("1,", 10000),
	} {
		if l, ok := parseLine(text); ok {
			t.Errorf("%.40q is read as %+v", text, l)
		}
	}
}

// TestTraceOfTruncatedLines checks that lines that lost their time and name keep their position in the
// log.
func TestTraceOfTruncatedLines(t *testing.T) {
	is := is.New(t)
	const logs = `0.9 edge-2: {"msg":"job known","job":"aa","why":"que
1.0 edge-2: {"msg":"step started","job":"aa","step":"0/0","name":"edge-2","time":"2026-12-02T10:00:01Z"}
1.4 edge-2: {"msg":"crash held against task","job":"aa","step":"0/0","why":"task 0: 2 hosts crashed under it: h06 under r
1.4 edge-2: {"msg":"job ended","job":"aa","why":"failed","name":"edge-2","time":"2026-12-02T10:00:02Z"}
`
	file := filepath.Join(t.TempDir(), "log")
	is.NoErr(os.WriteFile(file, []byte(logs), 0o600))
	code, out, _ := run([]string{"127.0.0.1:1"}, "trace", "aa", file)
	is.Equal(code, ExitOK)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(len(lines), 4)
	for i, want := range []string{
		"0.000 s edge-2 job known que; (cut)", "0.000 s edge-2 step started step 0/0",
		"0.000 s edge-2 crash held against task step 0/0; task 0: 2 hosts crashed under it: h06 under r; (cut)", "1.000 s edge-2 job ended failed",
	} {
		is.Equal(strings.Join(strings.Fields(lines[i]), " "), want)
	}
}

func TestTimesOfTruncatedLines(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1_800_000_000, 0)
	lines := []logLine{{}, {Time: at}, {}, {Time: at.Add(time.Second)}, {}}
	fillMissingTimes(lines)
	for i, want := range []time.Time{at, at, at, at.Add(time.Second), at.Add(time.Second)} {
		is.True(lines[i].Time.Equal(want))
	}
	fillMissingTimes([]logLine{{}, {}}) // none has a time
}
