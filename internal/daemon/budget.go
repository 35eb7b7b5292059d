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
	priorityOf func(*logrus.Entry) Priority // nil means Routine for all lines below warning
	buffer     *Lines                       // where the lines go; nil if they are written one by one

	mu      sync.Mutex
	second  time.Time
	written [priorityCount]int
	dropped [causeCount]map[string]int // counts by message
}

// Format implements logrus.Formatter. A dropped line adds nothing to the result.
func (b *limiter) Format(entry *logrus.Entry) ([]byte, error) {
	reports, admitted := b.admit(entry)
	var out []byte
	for _, e := range reports {
		line, err := b.Formatter.Format(e)
		if err != nil {
			return nil, err
		}
		out = append(out, line...)
	}
	if !admitted {
		return out, nil
	}
	line, err := b.Formatter.Format(entry)
	if len(out) == 0 {
		return line, err
	}
	return append(out, line...), err
}

// admit reports whether a line is to be written, and returns the reports on dropped lines that are to
// be written before it.
func (b *limiter) admit(entry *logrus.Entry) (reports []*logrus.Entry, admitted bool) {
	w := b.linePriority(entry)
	buffered := b.buffer.size()
	b.mu.Lock()
	defer b.mu.Unlock()
	if entry.Time.Sub(b.second) >= time.Second {
		b.second, b.written = entry.Time, [priorityCount]int{}
		if buffered < bufferLimits[PriorityFinal] {
			reports = b.takeDropReports(entry)
		}
	}
	switch {
	case buffered >= bufferLimits[w]:
		b.countDropped(entry, outputSlow)
		return reports, false
	case entry.Level < logrus.InfoLevel:
		return reports, true
	case b.written[w] >= infoPerSecond:
		b.countDropped(entry, overBudget)
		return reports, false
	}
	b.written[w]++
	return reports, true
}

// linePriority returns the priority of a line. Warnings and errors are Final.
func (b *limiter) linePriority(entry *logrus.Entry) Priority {
	if entry.Level < logrus.InfoLevel {
		return PriorityFinal
	}
	if b.priorityOf == nil {
		return PriorityRoutine
	}
	return b.priorityOf(entry)
}

// countDropped counts a dropped line.
func (b *limiter) countDropped(entry *logrus.Entry, why cause) {
	if b.dropped[why] == nil {
		b.dropped[why] = map[string]int{}
	}
	kind := entry.Message
	if _, known := b.dropped[why][kind]; !known && len(b.dropped[why]) >= maxKinds {
		kind = otherKinds
	}
	b.dropped[why][kind]++
}

// logDropped logs the dropped lines that have not been reported yet. It is called at the end of a
// process.
func (b *limiter) logDropped(like *logrus.Entry) {
	b.mu.Lock()
	reports := b.takeDropReports(like)
	b.mu.Unlock()
	for _, e := range reports {
		e.Warn(e.Message)
	}
}

// takeDropReports returns one log entry per cause with the counts of dropped lines, and resets the
// counts. The entries name the process as the given one does.
func (b *limiter) takeDropReports(like *logrus.Entry) []*logrus.Entry {
	var out []*logrus.Entry
	for why, kinds := range b.dropped {
		if len(kinds) == 0 {
			continue
		}
		lines := 0
		for _, n := range kinds {
			lines += n
		}
		out = append(out, &logrus.Entry{
			Logger: like.Logger, Time: like.Time, Level: logrus.WarnLevel, Message: msgDropped,
			Data: logrus.Fields{
				"lines": lines, "kinds": kinds, "why": cause(why).String(),
				fieldName: like.Data[fieldName], fieldProcess: like.Data[fieldProcess],
			},
		})
		b.dropped[why] = nil
	}
	return out
}
