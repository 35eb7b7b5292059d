package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/daemon"
)

func TestWeights(t *testing.T) {
	for name, tc := range map[string]struct {
		msg, why string
		want     daemon.Priority
	}{
		"a start":              {"step started", "2 tasks, on 2 hosts", daemon.PriorityRoutine},
		"a run that is lost":   {"run lost", "another life answered", daemon.PriorityNotable},
		"a crash":              {"crash held against task", "task 0: ...", daemon.PriorityFinal},
		"a job done":           {"job ended", "completed", daemon.PriorityNotable},
		"a job cancelled":      {"job ended", "cancelled", daemon.PriorityNotable},
		"a job that failed":    {"job ended", "failed", daemon.PriorityFinal},
		"a job crashing hosts": {"job ended", "failed 5212 job-crashes-hosts: ...", daemon.PriorityFinal},
		"a holder":             {"partition claimed", "", daemon.PriorityFinal},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(linePriority(&logrus.Entry{Message: tc.msg, Data: logrus.Fields{"why": tc.why}}), tc.want)
		})
	}
}

// TestWeighedLinesAreLogged guards against a message that is changed where it is logged but
// not in linePriorities, and so silently loses its priority.
func TestWeighedLinesAreLogged(t *testing.T) {
	is := is.New(t)
	var source strings.Builder
	for _, dir := range []string{"../../internal", "."} {
		is.NoErr(filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
			matchesOnly := strings.Contains(path, "internal/ctl") || strings.Contains(path, "internal/report") || d.Name() == "weights.go"
			if err != nil || d.IsDir() || matchesOnly || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			source.Write(text)
			return err
		}))
	}
	for msg := range linePriorities {
		if !strings.Contains(source.String(), strconv.Quote(msg)) {
			t.Errorf("no source file logs the message %q", msg)
		}
	}
}
