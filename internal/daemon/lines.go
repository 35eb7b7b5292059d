package daemon

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of buffering.
const (
	// flushEvery is the interval at which buffered lines are written, in one system call.
	flushEvery = 20 * time.Millisecond
	// maxBufferedBytes limits the buffer while the output blocks; lines beyond it are
	// dropped.
	maxBufferedBytes = 512 << 10
)

// Lines buffers log lines and writes them in the background, so that logging never waits
// for the output. Lines that do not fit are dropped; their number is logged.
type Lines struct {
	out io.Writer

	mu       sync.Mutex
	buffered []byte
	dropped  int
	flushMu  sync.Mutex // one flush at a time
}

// NewLines returns a buffer that is written to out until the process ends.
func NewLines(out io.Writer) *Lines {
	l := &Lines{out: out}
	go func() {
		for range time.Tick(flushEvery) {
			l.Flush()
		}
	}()
	return l
}

// size returns the number of buffered bytes; zero for a nil buffer.
func (l *Lines) size() int {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.buffered)
}

// Write implements io.Writer. It never blocks and never fails.
func (l *Lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case len(line) == 0: // dropped by the limiter
	case len(l.buffered)+len(line) > maxBufferedBytes:
		l.dropped++
	default:
		l.buffered = append(l.buffered, line...)
	}
	return len(line), nil
}

// Flush writes the buffered lines. Lines logged meanwhile are kept for the next flush.
func (l *Lines) Flush() {
	l.flushMu.Lock()
	defer l.flushMu.Unlock()
	l.mu.Lock()
	out := l.buffered
	l.buffered = nil
	if l.dropped > 0 {
		out = append(out, droppedLine(l.dropped, outputSlow)...)
		l.dropped = 0
	}
	l.mu.Unlock()
	if len(out) > 0 {
		_, _ = l.out.Write(out) // a failure can not be logged anywhere else
	}
}

// msgDropped is the message of lines that report dropped lines.
const msgDropped = "log lines left out"

func droppedLine(n int, why cause) string {
	return fmt.Sprintf("{%q:%q,\"why\":%q,\"lines\":%d,\"time\":%q,\"level\":\"warning\"}\n",
		fieldMsg, msgDropped, why, n, time.Now().Format(timeLayout))
}
