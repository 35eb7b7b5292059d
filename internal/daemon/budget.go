package daemon

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Bounds of what a process logs.
const (
	// infoPerSecond is how many lines of level info and below are written each second at
	// the most, of each weight, so that a burst costs little processor time and disk;
	// warnings and errors are not counted.
	infoPerSecond = 1000
	// mostKinds is how many kinds of lines that were left out are told by their message;
	// the others are told together.
	mostKinds = 32
)

// otherKinds stands for those beyond mostKinds.
const otherKinds = "others"

// mostWaiting is how many bytes may wait for the output for a line to be taken in: what is
// final still fits when a burst of starts has met an output that blocks.
var mostWaiting = [weights]int{Routine: mostGathered / 2, Notable: mostGathered * 3 / 4, Final: mostGathered * 7 / 8}

// cause is why a line was left out.
type cause uint8

const (
	overBudget cause = iota
	outputSlow

	causes // how many there are
)

// String tells the cause for the log.
func (c cause) String() string {
	return [...]string{"over the budget of a second", "the output is too slow"}[c]
}

// budget is a formatter that leaves lines out, those of little weight first, and tells how
// many of which.
type budget struct {
	logrus.Formatter
	weigh func(*logrus.Entry) Weight // nil stands for Routine
	lines *Lines                     // where the lines go; nil while they are written one by one

	mu      sync.Mutex
	second  time.Time
	written [weights]int
	leftOut [causes]map[string]int // by message
}

// Format implements logrus.Formatter; a line that is left out is empty.
func (b *budget) Format(entry *logrus.Entry) ([]byte, error) {
	before, fits := b.admit(entry)
	var out []byte
	for _, e := range before {
		line, err := b.Formatter.Format(e)
		if err != nil {
			return nil, err
		}
		out = append(out, line...)
	}
	if !fits {
		return out, nil
	}
	line, err := b.Formatter.Format(entry)
	if len(out) == 0 {
		return line, err
	}
	return append(out, line...), err
}

// admit reports whether a line is to be written, and what is to be told before it of those
// that were not.
func (b *budget) admit(entry *logrus.Entry) (before []*logrus.Entry, fits bool) {
	w := b.weightOf(entry)
	waiting := b.lines.size()
	b.mu.Lock()
	defer b.mu.Unlock()
	if entry.Time.Sub(b.second) >= time.Second {
		b.second, b.written = entry.Time, [weights]int{}
		if waiting < mostWaiting[Final] {
			before = b.tell(entry)
		}
	}
	switch {
	case waiting >= mostWaiting[w]:
		b.leave(entry, outputSlow)
		return before, false
	case entry.Level < logrus.InfoLevel:
		return before, true
	case b.written[w] >= infoPerSecond:
		b.leave(entry, overBudget)
		return before, false
	}
	b.written[w]++
	return before, true
}

// weightOf weighs a line.
func (b *budget) weightOf(entry *logrus.Entry) Weight {
	if entry.Level < logrus.InfoLevel {
		return Final
	}
	if b.weigh == nil {
		return Routine
	}
	return b.weigh(entry)
}

// leave counts a line that is left out.
func (b *budget) leave(entry *logrus.Entry, why cause) {
	if b.leftOut[why] == nil {
		b.leftOut[why] = map[string]int{}
	}
	kind := entry.Message
	if _, known := b.leftOut[why][kind]; !known && len(b.leftOut[why]) >= mostKinds {
		kind = otherKinds
	}
	b.leftOut[why][kind]++
}

// logRest logs what was left out and not told yet, as a process ends.
func (b *budget) logRest(like *logrus.Entry) {
	b.mu.Lock()
	rest := b.tell(like)
	b.mu.Unlock()
	for _, e := range rest {
		e.Warn(e.Message)
	}
}

// tell makes the lines on what was left out, which name the process as the given one does.
func (b *budget) tell(like *logrus.Entry) []*logrus.Entry {
	var out []*logrus.Entry
	for why, kinds := range b.leftOut {
		if len(kinds) == 0 {
			continue
		}
		lines := 0
		for _, n := range kinds {
			lines += n
		}
		out = append(out, &logrus.Entry{
			Logger: like.Logger, Time: like.Time, Level: logrus.WarnLevel, Message: msgLeftOut,
			Data: logrus.Fields{
				"lines": lines, "kinds": kinds, "why": cause(why).String(),
				fieldName: like.Data[fieldName], fieldProcess: like.Data[fieldProcess],
			},
		})
		b.leftOut[why] = nil
	}
	return out
}
