package daemon

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"github.com/sirupsen/logrus"
)

// timeLayout is RFC 3339 with milliseconds.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// Keys of the fields that every line of a process has.
const (
	fieldMsg     = "msg"
	fieldLevel   = "level"
	fieldTime    = "time"
	fieldName    = "name"
	fieldProcess = "process"
)

// fieldOrder is the order of a line's fields, so that a truncated line still contains what was
// decided, why, and when. Fields below zero come first, then all others by name, then the time, and
// last those above zero, which are the same on many lines of a process.
var fieldOrder = map[string]int{
	"job": -7, "step": -6, "code": -5, "why": -4, logrus.ErrorKey: -3, "host": -2, "age_ms": -1,
	"partition": 1, "epoch": 2, fieldName: 3, fieldProcess: 4,
}

// typicalLineBytes is the buffer size reserved for a line, which most lines fit; a longer one costs an
// allocation.
const typicalLineBytes = 512

// jsonLines formats entries as JSON objects, one per line, in fieldOrder after the message. Fields that
// are nil or empty strings are omitted. Values that can not be encoded as JSON become strings.
type jsonLines struct{}

// Format implements logrus.Formatter.
func (jsonLines) Format(entry *logrus.Entry) ([]byte, error) {
	var l lineBuffer
	if entry.Buffer != nil {
		entry.Buffer.Grow(typicalLineBytes)
		l = entry.Buffer.AvailableBuffer()
	}
	l = append(l, '{')
	l = l.key(fieldMsg).quoted(entry.Message)
	var names [16]string
	leading, trailing := sortedFields(entry, names[:0])
	l = l.fields(entry.Data, leading)
	l = l.key(fieldTime)
	l = append(l, '"')
	l = entry.Time.AppendFormat(l, timeLayout)
	l = append(l, '"')
	l = l.fields(entry.Data, trailing)
	l = l.key(fieldLevel).quoted(entry.Level.String())
	return append(l, '}', '\n'), nil
}

// sortedFields returns two lists with the names of the entry's fields that have a value, each sorted by
// fieldOrder: leading holds the fields before the time, trailing those after it. Both lists are parts of
// names, which must be empty and to which sortedFields appends.
func sortedFields(entry *logrus.Entry, names []string) (leading, trailing []string) {
	for name, v := range entry.Data {
		if v != nil && v != "" {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(fieldOrder[a], fieldOrder[b]), cmp.Compare(a, b))
	})
	n := len(names)
	for n > 0 && fieldOrder[names[n-1]] > 0 {
		n--
	}
	return names[:n], names[n:]
}

// fieldKey returns the JSON key of a field. Fields named like the line's own keys get a prefix, so that
// no key occurs twice.
func fieldKey(name string) string {
	switch name {
	case fieldMsg, fieldLevel, fieldTime:
		return "fields." + name
	}
	return name
}

// lineBuffer is a JSON object that is being built.
type lineBuffer []byte

func (l lineBuffer) key(name string) lineBuffer {
	if l[len(l)-1] != '{' {
		l = append(l, ',')
	}
	return append(l.quoted(name), ':')
}

func (l lineBuffer) fields(data logrus.Fields, names []string) lineBuffer {
	for _, name := range names {
		l = l.key(fieldKey(name)).value(data[name])
	}
	return l
}

func (l lineBuffer) value(v any) lineBuffer {
	switch v := v.(type) {
	case string:
		return l.quoted(v)
	case error:
		return l.quoted(v.Error())
	case bool:
		return strconv.AppendBool(l, v)
	case int:
		return strconv.AppendInt(l, int64(v), 10)
	case int64:
		return strconv.AppendInt(l, v, 10)
	case uint64:
		return strconv.AppendUint(l, v, 10)
	}
	encoded, err := json.Marshal(v)
	if err != nil {
		return l.quoted(fmt.Sprint(v))
	}
	return append(l, encoded...)
}

func (l lineBuffer) quoted(s string) lineBuffer {
	if isPlainASCII(s) {
		l = append(l, '"')
		l = append(l, s...)
		return append(l, '"')
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		panic("daemon: can not encode a string as JSON: " + err.Error()) // json.Marshal accepts every string
	}
	return append(l, encoded...)
}

// isPlainASCII reports whether a string needs no escaping in JSON.
func isPlainASCII(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}
