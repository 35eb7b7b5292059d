package daemon

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of the lines that wait.
const (
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

// size is how many bytes wait; none where lines are not gathered.
func (l *Lines) size() int {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
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
		out = append(out, leftOutLine(l.leftOut, outputSlow)...)
		l.leftOut = 0
	}
	l.mu.Unlock()
	if len(out) > 0 {
		_, _ = l.out.Write(out) // there is nowhere else to tell of a failure
	}
}

// msgLeftOut is the message of lines that tell of others which were left out.
const msgLeftOut = "log lines left out"

func leftOutLine(n int, why cause) string {
	return fmt.Sprintf("{%q:%q,\"why\":%q,\"lines\":%d,\"time\":%q,\"level\":\"warning\"}\n",
		fieldMsg, msgLeftOut, why, n, time.Now().Format(timeLayout))
}
