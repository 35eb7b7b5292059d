package daemon

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Bounds of what a process logs.
const (
	// infoPerSecond is how many lines of level info and below are written each
	// second at the most; warnings and errors are not counted. A cell of the users'
	// grown size has some 400 decisions a second at its holder.
	infoPerSecond = 1000
	// flushEvery is how often gathered lines are written, in one system call.
	flushEvery = 20 * time.Millisecond
	// mostGathered is how many bytes wait to be written while the output blocks;
	// lines beyond are left out.
	mostGathered = 512 << 10
)

// Lines gathers log lines and writes them in the background, so that whoever logs
// never waits for the output. What does not fit is counted, and the count logged.
type Lines struct {
	out io.Writer

	mu      sync.Mutex
	waiting []byte
	leftOut int
	writing sync.Mutex // one flush at a time
}

// NewLines returns a Lines that writes to out until the process ends.
func NewLines(out io.Writer) *Lines {
	l := &Lines{out: out}
	go func() {
		for range time.Tick(flushEvery) {
			l.Flush()
		}
	}()
	return l
}

// Write implements io.Writer. It never blocks and never fails.
func (l *Lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case len(line) == 0: // left out by the budget
	case len(l.waiting)+len(line) > mostGathered:
		l.leftOut++
	default:
		l.waiting = append(l.waiting, line...)
	}
	return len(line), nil
}

// Flush writes what has been gathered.
func (l *Lines) Flush() {
	l.writing.Lock()
	defer l.writing.Unlock()
	l.mu.Lock()
	out := l.waiting
	l.waiting = nil
	if l.leftOut > 0 {
		out = append(out, leftOutLine(l.leftOut, "the output is too slow")...)
		l.leftOut = 0
	}
	l.mu.Unlock()
	if len(out) > 0 {
		_, _ = l.out.Write(out) // there is nowhere else to tell of a failure
	}
}

func leftOutLine(n int, why string) string {
	return fmt.Sprintf("{\"level\":\"warning\",\"msg\":\"log lines left out\",\"lines\":%d,\"why\":%q,\"time\":%q}\n",
		n, why, time.Now().Format(time.RFC3339Nano))
}

// budget is a formatter that leaves lines out once a second has had its share.
type budget struct {
	logrus.Formatter

	mu      sync.Mutex
	second  time.Time
	written int
	leftOut int
}

// Format implements logrus.Formatter; a line that is left out is empty.
func (b *budget) Format(entry *logrus.Entry) ([]byte, error) {
	if entry.Level < logrus.InfoLevel {
		return b.Formatter.Format(entry)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var before string
	if entry.Time.Sub(b.second) >= time.Second {
		if b.leftOut > 0 {
			before = leftOutLine(b.leftOut, "over the budget of a second")
		}
		b.second, b.written, b.leftOut = entry.Time, 0, 0
	}
	if b.written >= infoPerSecond {
		b.leftOut++
		return nil, nil
	}
	b.written++
	line, err := b.Formatter.Format(entry)
	return append([]byte(before), line...), err
}
