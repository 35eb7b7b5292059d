package harness

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"pulleyquay/internal/judge"
	"pulleyquay/internal/result"
)

// Load sends non-idempotent requests, each with its own key, through the ready
// entries in turn, as a load balancer would, until Stop.
type Load struct {
	cell *Cell
	work time.Duration
	stop chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	next    int
	ready   []*Host
	replies map[string]Reply
}

// balancerInterval is how often the simulated load balancer checks the readiness of
// the entries; it is shorter than the time for which a stopping entry stays open.
const balancerInterval = 50 * time.Millisecond

// StartLoad starts the given number of callers, each with one request at a time
// whose execution takes the given time.
func (c *Cell) StartLoad(callers int, work time.Duration) *Load {
	l := &Load{cell: c, work: work, stop: make(chan struct{}), replies: map[string]Reply{}}
	l.checkReadiness()
	l.wg.Go(func() {
		for l.sleep(balancerInterval) {
			l.checkReadiness()
		}
	})
	for range callers {
		l.wg.Go(l.runCaller)
	}
	return l
}

// checkReadiness updates the list of ready entries.
func (l *Load) checkReadiness() {
	var ready []*Host
	for _, h := range l.cell.Hosts {
		if h.EntryReady() {
			ready = append(ready, h)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready = ready
}

// sleep waits for d and reports whether the load goes on; it returns early at Stop.
func (l *Load) sleep(d time.Duration) bool {
	select {
	case <-l.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// nextEntry returns the next ready entry in turn, or nil.
func (l *Load) nextEntry() *Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ready) == 0 {
		return nil
	}
	l.next++
	return l.ready[l.next%len(l.ready)]
}

func (l *Load) runCaller() {
	for l.sleep(time.Millisecond) {
		h := l.nextEntry()
		if h == nil {
			continue
		}
		key := NewKey()
		reply := l.cell.Post(h, key, key, l.work)
		l.mu.Lock()
		l.replies[key] = reply
		l.mu.Unlock()
	}
}

// Answered returns the number of successful replies so far.
func (l *Load) Answered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.replies {
		if r.OK() {
			n++
		}
	}
	return n
}

// Stop ends the load and returns each key's reply.
func (l *Load) Stop() map[string]Reply {
	close(l.stop)
	l.wg.Wait()
	return l.replies
}

// ReplySummary is the result of comparing the replies with the executions.
type ReplySummary struct {
	Answered   int // complete answers of executors
	Refused    int // problem documents
	Incomplete int // connections that ended without a complete answer
	Unknown    int // problem documents of unknown outcome
	// Codes counts the problem documents by their code.
	Codes map[result.Code]int
	// Errors counts the incomplete connections by the innermost error of each.
	Errors map[string]int
	// Violations describes replies and executions that violate a guarantee.
	Violations []string
}

// CheckReplies compares the replies, by key, with the record.
func CheckReplies(replies map[string]Reply, record judge.Record) ReplySummary {
	v := ReplySummary{Codes: map[result.Code]int{}, Errors: map[string]int{}}
	for key, r := range replies {
		v.add(key, r, len(record.Keys[key]))
	}
	for key, list := range record.Keys {
		if len(list) > 1 {
			v.violation("key %s ran %d times", key, len(list))
		}
	}
	return v
}

func (v *ReplySummary) add(key string, r Reply, ran int) {
	problem := r.Problem()
	switch {
	case r.Err != nil:
		v.Incomplete++
		v.Errors[innermost(r.Err)]++
	case r.OK():
		v.Answered++
		if string(r.Body) != key {
			v.violation("key %s got the answer %q", key, r.Body)
		}
		if ran == 0 {
			v.violation("key %s was answered and never ran", key)
		}
	case problem == nil:
		v.violation("key %s got %s", key, r)
	default:
		v.Refused++
		v.Codes[problem.Code]++
		if problem.Ran == result.RanUnknown {
			v.Unknown++
		}
		if problem.Ran == result.RanNo && ran > 0 {
			v.violation("key %s was answered ran=no and ran: %v", key, problem)
		}
		if problem.Ran == result.RanYes && ran == 0 {
			v.violation("key %s was answered ran=yes and never ran: %v", key, problem)
		}
	}
}

// innermost returns the text of an error without its url and addresses, such as "dial: connection
// refused".
func innermost(err error) string {
	operation := ""
	var op *net.OpError
	if errors.As(err, &op) {
		operation = op.Op + ": "
	}
	for next := errors.Unwrap(err); next != nil; next = errors.Unwrap(err) {
		err = next
	}
	return operation + err.Error()
}

// String returns the counts of replies by kind.
func (v ReplySummary) String() string {
	return fmt.Sprintf("answered %d, refused %d of which unknown %d, incomplete %d, by code %v, by error %v",
		v.Answered, v.Refused, v.Unknown, v.Incomplete, v.Codes, v.Errors)
}

func (v *ReplySummary) violation(format string, args ...any) {
	v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
}
