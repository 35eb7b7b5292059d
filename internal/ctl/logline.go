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

// logLine is one line of a process's log, with the fields that traces and reports use.
type logLine struct {
	Time  time.Time `json:"time"`
	Name  string    `json:"name"`
	Msg   string    `json:"msg"`
	Level string    `json:"level"`
	Job   string    `json:"job"`
	// Step starts with the job's id if the line has no job, and in logs of earlier versions.
	Step  string `json:"step"`
	Host  string `json:"host"`
	Why   string `json:"why"`
	Error string `json:"error"`
	Code  int    `json:"code"`
	AgeMS int64  `json:"age_ms"`
	Epoch uint64 `json:"epoch"`
	Queue string `json:"queue"`
	// TookMS is the duration of a call to the front, such as the submission of a job.
	TookMS int64 `json:"took_ms"`
	loadFields
	// truncated is true if the end of the line is missing.
	truncated bool
}

// stepOfJob returns the step's name without the job's id.
func (l *logLine) stepOfJob() string { return strings.TrimPrefix(l.Step, l.Job+"/") }

// maxLogLine bounds the length of a log line, in bytes.
const maxLogLine = 1 << 20

// readLog reads the log lines of one file and skips other lines. Of a truncated line it returns the
// fields that are left. If the time is not among them, the line gets that of the line before it.
func readLog(stdin io.Reader, name string) ([]logLine, error) {
	in := stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, result.New(result.BadInput, result.RanNo, "%v", err).AtField(name)
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
		return nil, result.New(result.BadInput, result.RanNo, "%v", err).AtField(name)
	}
	fillMissingTimes(out)
	return out, nil
}

// parseLine parses a log line. A log collector may add text before the JSON object. If the object has no
// process name, the last word of that text is used as the name; the rest of the text is ignored.
func parseLine(text string) (l logLine, ok bool) {
	prefix, object, found := strings.Cut(text, "{")
	if !found {
		return logLine{}, false
	}
	object = "{" + object
	err := json.Unmarshal([]byte(object), &l)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) && syntax.Offset == int64(len(object)) {
		l, err = parseTruncated(object)
	}
	if words := strings.Fields(prefix); l.Name == "" && len(words) > 0 {
		l.Name = strings.TrimRight(words[len(words)-1], ":")
	}
	return l, err == nil && l.Msg != ""
}

// truncatedEscape matches an escape sequence whose end is missing.
var truncatedEscape = regexp.MustCompile(`\\(u[0-9a-fA-F]{0,3})?$`)

// maxDroppedFields is how many comma-separated parts are removed from the end of a truncated line
// until the remainder must parse.
const maxDroppedFields = 64

// parseTruncated parses an object whose end is missing. It keeps the start of a truncated string, or
// else drops fields from the end until the remainder parses.
func parseTruncated(object string) (logLine, error) {
	l, err := parseCompleted(truncatedEscape.ReplaceAllString(object, "") + `"}`)
	if err != nil && strings.HasSuffix(object, `"`) {
		l, err = parseCompleted(object + "}")
	}
	for range maxDroppedFields {
		at := strings.LastIndexByte(object, ',')
		if err == nil || at < 0 {
			break
		}
		object = object[:at]
		l, err = parseCompleted(object + "}")
	}
	return l, err
}

func parseCompleted(object string) (logLine, error) {
	l := logLine{truncated: true}
	err := json.Unmarshal([]byte(object), &l)
	return l, err
}

// fillMissingTimes gives lines without a time that of the line before them, since a log is in the
// order of time. Lines before the first time get that time.
func fillMissingTimes(lines []logLine) {
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
