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

// Fields that every line of a process has.
const (
	fieldMsg     = "msg"
	fieldLevel   = "level"
	fieldTime    = "time"
	fieldName    = "name"
	fieldProcess = "process"
)

// places orders the fields of a line, so that one that is cut short still says what was
// decided, why, and when: those below zero come first, all others by name, then the time, and
// those above zero, which many lines of a process share, last.
var places = map[string]int{
	"job": -7, "step": -6, "code": -5, "why": -4, logrus.ErrorKey: -3, "host": -2, "age_ms": -1,
	"partition": 1, "epoch": 2, fieldName: 3, fieldProcess: 4,
}

// usualLine is how many bytes a line mostly takes; a longer one costs an allocation.
const usualLine = 512

// jsonLines formats entries as JSON objects, one a line, the message and what decided
// first. Fields without a value are left out; those that can not be encoded become text.
type jsonLines struct{}

// Format implements logrus.Formatter.
func (jsonLines) Format(entry *logrus.Entry) ([]byte, error) {
	var l line
	if entry.Buffer != nil {
		entry.Buffer.Grow(usualLine)
		l = entry.Buffer.AvailableBuffer()
	}
	l = append(l, '{')
	l = l.key(fieldMsg).quoted(entry.Message)
	var keep [16]string
	own, shared := fieldsOf(entry, keep[:0])
	l = l.fields(entry.Data, own)
	l = l.key(fieldTime)
	l = append(l, '"')
	l = entry.Time.AppendFormat(l, timeLayout)
	l = append(l, '"')
	l = l.fields(entry.Data, shared)
	l = l.key(fieldLevel).quoted(entry.Level.String())
	return append(l, '}', '\n'), nil
}

// fieldsOf names the entry's fields that have a value, in their order: those that come
// before the time, and those after it. It uses keep.
func fieldsOf(entry *logrus.Entry, keep []string) (own, shared []string) {
	for name, v := range entry.Data {
		if v != nil && v != "" {
			keep = append(keep, name)
		}
	}
	slices.SortFunc(keep, func(a, b string) int {
		return cmp.Or(cmp.Compare(places[a], places[b]), cmp.Compare(a, b))
	})
	n := len(keep)
	for n > 0 && places[keep[n-1]] > 0 {
		n--
	}
	return keep[:n], keep[n:]
}

// fieldKey is the key of a field, which must not stand twice in a line.
func fieldKey(name string) string {
	switch name {
	case fieldMsg, fieldLevel, fieldTime:
		return "fields." + name
	}
	return name
}

// line is a line in the making.
type line []byte

func (l line) key(name string) line {
	if l[len(l)-1] != '{' {
		l = append(l, ',')
	}
	return append(l.quoted(name), ':')
}

func (l line) fields(data logrus.Fields, names []string) line {
	for _, name := range names {
		l = l.key(fieldKey(name)).value(data[name])
	}
	return l
}

func (l line) value(v any) line {
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

func (l line) quoted(s string) line {
	if plain(s) {
		l = append(l, '"')
		l = append(l, s...)
		return append(l, '"')
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		panic("daemon: a string has no JSON: " + err.Error()) // every string has one
	}
	return append(l, encoded...)
}

// plain reports whether a string is its own JSON, but for the quotes.
func plain(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}
