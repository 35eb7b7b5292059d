package hostsim

import (
	"fmt"
	"strings"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

// startStatus is the state of a start, or the way in which its run ended.
type startStatus string

// Statuses other than the reason of an end record.
const (
	statusOrdered      startStatus = ""                     // the host has started nothing
	statusRunning      startStatus = "still running"        // no end yet
	statusHostCrashed  startStatus = "host crashed"         // while the run was present and had not ended
	statusHostLeft     startStatus = "host left"            // after a drain, or by an order
	statusRefused      startStatus = "refused as "          // followed by the host's reason
	disconnectedSuffix             = ", while disconnected" // appended if the host was disconnected, so that nobody could observe the end
)

// startRecord records one start of a task and its outcome.
type startRecord struct {
	host.Run
	incarnation string // of the host at the time of the order; updated when the start arrives
	// ordered is when the order was sent, if that was recorded; startedAt and endedAt are when
	// the run started and ended.
	ordered, startedAt, endedAt time.Time
	// answered and reported state whether the sender has received the reply, or a view that
	// contains the run.
	answered, reported bool
	status             startStatus
	hostDisconnected   bool // it ended while its host was disconnected
}

// RecordOrder records that a start is being sent to a host, for the text of violations.
func (c *Checker) RecordOrder(to host.ID, r host.Run) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.ordersRecorded = true
	incarnation := string(to)
	if h := c.fleet.hosts[to]; h != nil {
		incarnation = h.incarnationName()
	}
	c.add(&startRecord{Run: r, incarnation: incarnation, ordered: c.fleet.clock.Now()})
}

// RecordReply records that the sender of a start has received the host's reply.
func (c *Checker) RecordReply(by host.ID, r host.Run) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if rec := c.lastOf(r, by); rec != nil {
		rec.answered = true
	}
}

// RecordReported records that a view with these runs was received.
func (c *Checker) RecordReported(by host.ID, rows []host.Running) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	for _, row := range rows {
		if rec := c.lastOf(row.Run, by); rec != nil {
			rec.reported = true
		}
	}
}

func (c *Checker) add(rec *startRecord) { c.records[rec.Task] = append(c.records[rec.Task], rec) }

// lastOf returns the last record of a run on any incarnation of a host, or nil.
func (c *Checker) lastOf(r host.Run, on host.ID) *startRecord {
	of := c.records[r.Task]
	for i := len(of) - 1; i >= 0; i-- {
		id, _, _ := strings.Cut(of[i].incarnation, "/")
		if of[i].Run == r && id == string(on) {
			return of[i]
		}
	}
	return nil
}

// recordArrival returns the record of a start that has arrived at a host: that of its order, if
// the order was recorded and has no result yet, or a new one.
func (c *Checker) recordArrival(h *Host, r host.Run) *startRecord {
	rec := c.lastOf(r, h.info.ID)
	if rec == nil || rec.status != statusOrdered {
		rec = &startRecord{Run: r}
		c.add(rec)
	}
	rec.incarnation = h.incarnationName()
	return rec
}

// recordRefusal records why a host did not carry out a start.
func (c *Checker) recordRefusal(h *Host, r host.Run, refusal host.Refusal) {
	rec := c.recordArrival(h, r)
	rec.status, rec.endedAt = statusRefused+startStatus(refusal), c.fleet.clock.Now()
}

// incarnationName returns the name of one incarnation of a host.
func (h *Host) incarnationName() string { return fmt.Sprintf("%s/%d", h.info.ID, h.info.Incarnation) }

// crashesUnder counts the incarnations of hosts that crashed while a run of the task was present
// and had not ended.
func (c *Checker) crashesUnder(t spec.StepTask) int {
	incarnations := map[string]bool{}
	for _, rec := range c.records[t] {
		if rec.status == statusHostCrashed {
			incarnations[rec.incarnation] = true
		}
	}
	return len(incarnations)
}

// describeStarts lists the outcome of each start of a task.
func (c *Checker) describeStarts(t spec.StepTask) string {
	if len(c.records[t]) == 0 {
		return "never started"
	}
	parts := make([]string, 0, len(c.records[t]))
	for _, rec := range c.records[t] {
		text := c.describeStart(rec)
		if rec.status != statusHostCrashed {
			text += c.describeIncarnation(rec.incarnation)
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, "; ")
}

func (c *Checker) describeStart(rec *startRecord) string {
	var out strings.Builder
	fmt.Fprintf(&out, "run %d on %s", rec.No, rec.incarnation)
	if !rec.ordered.IsZero() {
		fmt.Fprintf(&out, ", ordered at %v", rec.ordered.Sub(c.startedAt))
	}
	switch {
	case rec.status == statusOrdered:
		return out.String() + ", never arrived"
	case rec.startedAt.IsZero():
		fmt.Fprintf(&out, ", %s at %v", rec.status, rec.endedAt.Sub(c.startedAt))
		return out.String()
	}
	fmt.Fprintf(&out, ", began at %v", rec.startedAt.Sub(c.startedAt))
	if c.ordersRecorded {
		out.WriteString(replyState(rec))
	}
	if rec.status == statusRunning {
		return out.String() + ", " + string(statusRunning)
	}
	fmt.Fprintf(&out, ", %s at %v", rec.status, rec.endedAt.Sub(c.startedAt))
	if rec.hostDisconnected {
		out.WriteString(disconnectedSuffix)
	}
	return out.String()
}

// incarnationEnd is how and when an incarnation of a host ended.
type incarnationEnd struct {
	status startStatus
	at     time.Time
}

// describeIncarnation states whether an incarnation of a host has ended, for a run that did not
// end with it.
func (c *Checker) describeIncarnation(incarnation string) string {
	end, over := c.endedIncarnations[incarnation]
	if !over {
		return ", its host is up"
	}
	return fmt.Sprintf(", its %s at %v", end.status, end.at.Sub(c.startedAt))
}

func replyState(rec *startRecord) string {
	switch {
	case rec.answered && rec.reported:
		return ", answered and reported"
	case rec.answered:
		return ", answered"
	case rec.reported:
		return ", reported only"
	}
	return ", not reported"
}
