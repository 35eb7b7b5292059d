package ctl

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"
	"regexp"
	"strings"
	"time"

	"pulleyquay/internal/result"
)

// logLine is one line of a process's log, as far as a trace needs it.
type logLine struct {
	Time  time.Time `json:"time"`
	Name  string    `json:"name"`
	Msg   string    `json:"msg"`
	Level string    `json:"level"`
	Job   string    `json:"job"`
	// Step begins with the job's id where the line has no job, and in logs of earlier
	// versions.
	Step  string `json:"step"`
	Host  string `json:"host"`
	Why   string `json:"why"`
	Error string `json:"error"`
	Code  int    `json:"code"`
	AgeMS int64  `json:"age_ms"`
	Epoch uint64 `json:"epoch"`
	Queue string `json:"queue"`
	// TookMS is how long a call of the front took.
	TookMS int64 `json:"took_ms"`
	loadFields
	// cut is true where the line's end is missing.
	cut bool
}

// stepOfJob names the step within its job.
func (l *logLine) stepOfJob() string { return strings.TrimPrefix(l.Step, l.Job+"/") }

// maxLogLine bounds a line of a log.
const maxLogLine = 1 << 20

// readLog reads the lines of one file that are logs. A line whose end is missing tells what
// is left of it; its time, where that was cut, is that of the line before.
func readLog(stdin io.Reader, name string) ([]logLine, error) {
	in := stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, result.New(result.BadInput, result.RanNo, "%v", err).At(name)
		}
		defer f.Close()
		in = f
	}
	var out []logLine
	scan := bufio.NewScanner(in)
	scan.Buffer(nil, maxLogLine)
	for scan.Scan() {
		if l, ok := parseLine(scan.Text()); ok {
			out = append(out, l)
		}
	}
	if err := scan.Err(); err != nil {
		return nil, result.New(result.BadInput, result.RanNo, "%v", err).At(name)
	}
	dateCut(out)
	return out, nil
}

// parseLine reads a line. What stands before the object, as a collector may put it there, is
// passed over, but for its last word, which names the process where the line does not.
func parseLine(text string) (l logLine, ok bool) {
	before, object, found := strings.Cut(text, "{")
	if !found {
		return logLine{}, false
	}
	object = "{" + object
	err := json.Unmarshal([]byte(object), &l)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) && syntax.Offset == int64(len(object)) {
		l, err = parseCut(object)
	}
	if words := strings.Fields(before); l.Name == "" && len(words) > 0 {
		l.Name = strings.TrimRight(words[len(words)-1], ":")
	}
	return l, err == nil && l.Msg != ""
}

// cutEscape is an escape sequence whose end is missing.
var cutEscape = regexp.MustCompile(`\\(u[0-9a-fA-F]{0,3})?$`)

// mostFieldsCut is how many parts of a cut line may have to be given up to read the rest.
const mostFieldsCut = 64

// parseCut reads an object whose end is missing: with a text that was cut, or up to the last
// field that is whole.
func parseCut(object string) (logLine, error) {
	l, err := parseEnded(cutEscape.ReplaceAllString(object, "") + `"}`)
	if err != nil && strings.HasSuffix(object, `"`) {
		l, err = parseEnded(object + "}")
	}
	for range mostFieldsCut {
		at := strings.LastIndexByte(object, ',')
		if err == nil || at < 0 {
			break
		}
		object = object[:at]
		l, err = parseEnded(object + "}")
	}
	return l, err
}

func parseEnded(object string) (logLine, error) {
	l := logLine{cut: true}
	err := json.Unmarshal([]byte(object), &l)
	return l, err
}

// dateCut gives lines that were cut before their time that of the line before, as a log is
// in the order of time; the first ones get that of the next.
func dateCut(lines []logLine) {
	var last time.Time
	for i := range lines {
		if !lines[i].Time.IsZero() {
			last = lines[i].Time
			break
		}
	}
	for i := range lines {
		if lines[i].Time.IsZero() {
			lines[i].Time = last
		}
		last = lines[i].Time
	}
}
