package daemon

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Limits on what a process logs.
const (
	// infoPerSecond is the maximum number of lines of level info and below that are written
	// each second, of each priority, so that a burst costs little processor time and disk.
	// Warnings and errors are not limited.
	infoPerSecond = 1000
	// maxKinds limits how many kinds of dropped lines are counted by their message; the others
	// are counted together.
	maxKinds = 32
)

// otherKinds is the kind under which lines beyond maxKinds are counted.
const otherKinds = "others"

// bufferLimits are the numbers of buffered bytes from which lines of a priority are dropped. Final
// lines still fit when a burst of starts has filled the buffer of a blocked output up to its limit.
var bufferLimits = [priorityCount]int{PriorityRoutine: maxBufferedBytes / 2, PriorityNotable: maxBufferedBytes * 3 / 4, PriorityFinal: maxBufferedBytes * 7 / 8}

// cause is the reason why a line was dropped.
type cause uint8

const (
	overBudget cause = iota
	outputSlow

	causeCount // number of causes
)

// String returns the cause as it is logged.
func (c cause) String() string {
	return [...]string{"over the budget of a second", "the output is too slow"}[c]
}

// limiter is a formatter that drops lines when there are too many, those of low priority first, and
// logs how many of which kind were dropped.
type limiter struct {
	logrus.Formatter
	priorityOf func(*logrus.Entry) Priority // nil means PriorityRoutine for all lines below warning
	buffer     *Lines                       // where the lines go; nil if they are written one by one

	mu          sync.Mutex
	windowStart time.Time
	written     [priorityCount]int
	dropped     [causeCount]map[string]int // counts by message
}

// Format implements logrus.Formatter. A dropped line adds nothing to the result.
func (l *limiter) Format(entry *logrus.Entry) ([]byte, error) {
	reports, admitted := l.admit(entry)
	var out []byte
	for _, e := range reports {
		line, err := l.Formatter.Format(e)
		if err != nil {
			return nil, err
		}
		out = append(out, line...)
	}
	if !admitted {
		return out, nil
	}
	line, err := l.Formatter.Format(entry)
	if len(out) == 0 {
		return line, err
	}
	return append(out, line...), err
}

// admit reports whether a line is to be written, and returns the reports on dropped lines that are to
// be written before it.
func (l *limiter) admit(entry *logrus.Entry) (reports []*logrus.Entry, admitted bool) {
	priority := l.linePriority(entry)
	buffered := l.buffer.size()
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry.Time.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.written = entry.Time, [priorityCount]int{}
		if buffered < bufferLimits[PriorityFinal] {
			reports = l.takeDropReports(entry)
		}
	}
	switch {
	case buffered >= bufferLimits[priority]:
		l.countDropped(entry, outputSlow)
		return reports, false
	case entry.Level < logrus.InfoLevel:
		return reports, true
	case l.written[priority] >= infoPerSecond:
		l.countDropped(entry, overBudget)
		return reports, false
	}
	l.written[priority]++
	return reports, true
}

// linePriority returns the priority of a line. Warnings and errors have PriorityFinal.
func (l *limiter) linePriority(entry *logrus.Entry) Priority {
	if entry.Level < logrus.InfoLevel {
		return PriorityFinal
	}
	if l.priorityOf == nil {
		return PriorityRoutine
	}
	return l.priorityOf(entry)
}

// countDropped counts a dropped line.
func (l *limiter) countDropped(entry *logrus.Entry, reason cause) {
	if l.dropped[reason] == nil {
		l.dropped[reason] = map[string]int{}
	}
	kind := entry.Message
	if _, counted := l.dropped[reason][kind]; !counted && len(l.dropped[reason]) >= maxKinds {
		kind = otherKinds
	}
	l.dropped[reason][kind]++
}

// logDropped logs the dropped lines that have not been reported yet. It is called at the end of a
// process.
func (l *limiter) logDropped(template *logrus.Entry) {
	l.mu.Lock()
	reports := l.takeDropReports(template)
	l.mu.Unlock()
	for _, e := range reports {
		e.Warn(e.Message)
	}
}

// takeDropReports returns one log entry per cause with the counts of dropped lines, and resets the
// counts. The entries get their time and process fields from template.
func (l *limiter) takeDropReports(template *logrus.Entry) []*logrus.Entry {
	var out []*logrus.Entry
	for reason, kinds := range l.dropped {
		if len(kinds) == 0 {
			continue
		}
		lines := 0
		for _, n := range kinds {
			lines += n
		}
		out = append(out, &logrus.Entry{
			Logger: template.Logger, Time: template.Time, Level: logrus.WarnLevel, Message: msgDropped,
			Data: logrus.Fields{
				"lines": lines, "kinds": kinds, "why": cause(reason).String(),
				fieldName: template.Data[fieldName], fieldProcess: template.Data[fieldProcess],
			},
		})
		l.dropped[reason] = nil
	}
	return out
}
