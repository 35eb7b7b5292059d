package harness

import (
	"fmt"
	"sync"
	"time"

	"pulleyquay/internal/judge"
	"pulleyquay/internal/result"
)

// Load sends non-idempotent requests, each with its own key, through the ready
// entries in turn, as a balancer would, until Stop.
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

// balancerEvery is how often the balancer asks the entries whether they are
// ready; it is below the time that a stopping entry announces.
const balancerEvery = 50 * time.Millisecond

// StartLoad starts the given number of callers, each with one request at a time
// whose execution takes the given time.
func (c *Cell) StartLoad(callers int, work time.Duration) *Load {
	l := &Load{cell: c, work: work, stop: make(chan struct{}), replies: map[string]Reply{}}
	l.balance()
	l.wg.Go(func() {
		for l.sleep(balancerEvery) {
			l.balance()
		}
	})
	for range callers {
		l.wg.Go(l.caller)
	}
	return l
}

// balance asks every entry whether it is ready.
func (l *Load) balance() {
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

// sleep reports whether the load goes on after the pause.
func (l *Load) sleep(d time.Duration) bool {
	select {
	case <-l.stop:
		return false
	case <-time.After(d):
		return true
	}
}

func (l *Load) pick() *Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ready) == 0 {
		return nil
	}
	l.next++
	return l.ready[l.next%len(l.ready)]
}

func (l *Load) caller() {
	for l.sleep(time.Millisecond) {
		h := l.pick()
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

// Answered is the number of replies so far that are successes.
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

// Verdict is how the replies compare with what the executors ran.
type Verdict struct {
	Answered int // whole answers to the caller's own request
	Refused  int // problem documents
	Cut      int // connections that ended without a whole answer
	Unknown  int // problem documents that say "unknown"
	// Codes counts the problem documents by their code.
	Codes map[result.Code]int
	// Broken names the promises that were broken.
	Broken []string
}

// Judge compares the replies, by key, with the record.
func Judge(replies map[string]Reply, record judge.Record) Verdict {
	v := Verdict{Codes: map[result.Code]int{}}
	for key, r := range replies {
		v.add(key, r, len(record.Keys[key]))
	}
	for key, list := range record.Keys {
		if len(list) > 1 {
			v.broken("key %s ran %d times", key, len(list))
		}
	}
	return v
}

func (v *Verdict) add(key string, r Reply, ran int) {
	problem := r.Problem()
	switch {
	case r.Err != nil:
		v.Cut++
	case r.OK():
		v.Answered++
		if string(r.Body) != key {
			v.broken("key %s got the answer %q", key, r.Body)
		}
		if ran == 0 {
			v.broken("key %s was answered and never ran", key)
		}
	case problem == nil:
		v.broken("key %s got %s", key, r)
	default:
		v.Refused++
		v.Codes[problem.Code]++
		if problem.Ran == result.RanUnknown {
			v.Unknown++
		}
		if problem.Ran == result.RanNo && ran > 0 {
			v.broken("key %s was answered ran=no and ran: %v", key, problem)
		}
		if problem.Ran == result.RanYes && ran == 0 {
			v.broken("key %s was answered ran=yes and never ran: %v", key, problem)
		}
	}
}

// String counts the replies by their kind.
func (v Verdict) String() string {
	return fmt.Sprintf("answered %d, refused %d of which unknown %d, cut %d, by code %v",
		v.Answered, v.Refused, v.Unknown, v.Cut, v.Codes)
}

func (v *Verdict) broken(format string, args ...any) {
	v.Broken = append(v.Broken, fmt.Sprintf(format, args...))
}
