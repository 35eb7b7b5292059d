package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// wholeLines are lines of this and of earlier versions.
var wholeLines = map[string]string{
	"now":     `{"msg":"run lost","job":"5c0e7a21d94b36f8","step":"0/3","why":"label \"x\", at 0%, \u003cdark\u003e","host":"h06","age_ms":2384,"kinds":{"a":1,"b":2},"epoch":2,"name":"edge-2","level":"info","time":"2026-12-02T10:00:03.500Z"}`,
	"earlier": `{"age_ms":2384,"epoch":2,"host":"h06","job":"5c0e7a21d94b36f8","level":"info","msg":"run lost","name":"edge-2","process":"pulley-node","step":"5c0e7a21d94b36f8/0/3","time":"2026-12-02T10:00:03.5Z","why":"label \"x\", at 0%, \u003cdark\u003e"}`,
}

// Users keep the first 200 bytes or so of each line. A trace of such a log had the job's
// short lines alone: those that told why, which are long, were no objects any more and were
// passed over without a word.
func TestLinesThatWereCut(t *testing.T) {
	for name, text := range wholeLines {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			whole, ok := parseLine(text)
			is.True(ok)
			is.True(!whole.cut)
			is.Equal(whole.Why, `label "x", at 0%, <dark>`)
			msgEnds := strings.Index(text, `"run lost"`) + len(`"run lost"`)
			for n := msgEnds; n < len(text); n++ {
				l, ok := parseLine(text[:n])
				is.True(ok)
				is.True(l.cut)
				is.Equal(l.Msg, whole.Msg)
				for _, part := range []struct{ cut, whole string }{
					{l.Job, whole.Job}, {l.Step, whole.Step}, {l.Host, whole.Host}, {l.Why, whole.Why}, {l.Name, whole.Name},
				} {
					is.True(strings.HasPrefix(part.whole, part.cut))
				}
				is.True(l.Time.IsZero() || l.Time.Equal(whole.Time))
				is.True(l.AgeMS == 0 || l.AgeMS == whole.AgeMS) // a number in part would be another
				is.True(l.Epoch == 0 || l.Epoch == whole.Epoch)
			}
		})
	}
}

func TestLinesThatAreNone(t *testing.T) {
	for _, text := range []string{
		"", "noise", "{", "{}", `{"msg":`, `{"msg":""}`, `{"msg":12}`, `{"msg":"a"} more`, `{"msg":"a" "b":1}`, `["msg"]`, strings.Repeat(`{"a":[`, 1000),
		`{"msg":"a","x":[` + strings.Repeat("1,", 10000),
	} {
		if l, ok := parseLine(text); ok {
			t.Errorf("%.40q is read as %+v", text, l)
		}
	}
}

// TestTraceOfCutLines: lines without their time and name stand where they stood in the log.
func TestTraceOfCutLines(t *testing.T) {
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

func TestDatesOfCutLines(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1_800_000_000, 0)
	lines := []logLine{{}, {Time: at}, {}, {Time: at.Add(time.Second)}, {}}
	dateCut(lines)
	for i, want := range []time.Time{at, at, at, at.Add(time.Second), at.Add(time.Second)} {
		is.True(lines[i].Time.Equal(want))
	}
	dateCut([]logLine{{}, {}}) // none has a time
}
