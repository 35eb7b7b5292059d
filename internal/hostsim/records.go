package hostsim

import (
	"fmt"
	"strings"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

// fate is the state of a start, or how its run ended.
type fate string

// The fates that are not reasons of an end record.
const (
	fateOrdered      fate = ""                     // the host has started nothing
	fateRunning      fate = "still running"        // no end yet
	fateCrashed      fate = "host crashed"         // while the run was present and had not ended
	fateLeft         fate = "host left"            // after a drain, or by an order
	fateRefused      fate = "refused as "          // followed by the host's reason
	fateDisconnected      = ", while disconnected" // appended if nobody could observe it
)

// startRecord records what became of one start of a task.
type startRecord struct {
	host.Run
	incarnation string // of the host at the time of the order; updated when the start arrives
	// ordered is when the order was sent, if that was recorded; startedAt and endedAt are when
	// the run started and ended.
	ordered, startedAt, endedAt time.Time
	// answered and reported state whether the sender has received the reply, or a view that
	// contains the run.
	answered, reported bool
	fate               fate
	hostDisconnected   bool // it ended while its host was disconnected
}

// RecordOrder records that a start is being sent to a host, for the text of violations.
func (j *Checker) RecordOrder(to host.ID, r host.Run) {
	j.fleet.mu.Lock()
	defer j.fleet.mu.Unlock()
	j.ordersRecorded = true
	incarnation := string(to)
	if h := j.fleet.hosts[to]; h != nil {
		incarnation = h.incarnationName()
	}
	j.add(&startRecord{Run: r, incarnation: incarnation, ordered: j.fleet.clock.Now()})
}

// RecordReply records that the sender of a start has received the host's reply.
func (j *Checker) RecordReply(by host.ID, r host.Run) {
	j.fleet.mu.Lock()
	defer j.fleet.mu.Unlock()
	if rec := j.lastOf(r, by); rec != nil {
		rec.answered = true
	}
}

// RecordReported records that a view with these runs was received.
func (j *Checker) RecordReported(by host.ID, rows []host.Running) {
	j.fleet.mu.Lock()
	defer j.fleet.mu.Unlock()
	for _, row := range rows {
		if rec := j.lastOf(row.Run, by); rec != nil {
			rec.reported = true
		}
	}
}

func (j *Checker) add(rec *startRecord) { j.records[rec.Task] = append(j.records[rec.Task], rec) }

// lastOf returns the last record of a run on any incarnation of a host, or nil.
func (j *Checker) lastOf(r host.Run, on host.ID) *startRecord {
	of := j.records[r.Task]
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
func (j *Checker) recordArrival(h *Host, r host.Run) *startRecord {
	rec := j.lastOf(r, h.info.ID)
	if rec == nil || rec.fate != fateOrdered {
		rec = &startRecord{Run: r}
		j.add(rec)
	}
	rec.incarnation = h.incarnationName()
	return rec
}

// recordRefusal records why a host did not carry out a start.
func (j *Checker) recordRefusal(h *Host, r host.Run, why host.Refusal) {
	rec := j.recordArrival(h, r)
	rec.fate, rec.endedAt = fateRefused+fate(why), j.fleet.clock.Now()
}

// incarnationName returns the name of one incarnation of a host.
func (h *Host) incarnationName() string { return fmt.Sprintf("%s/%d", h.info.ID, h.info.Incarnation) }

// crashesUnder counts the incarnations of hosts that crashed while a run of the task was present
// and had not ended.
func (j *Checker) crashesUnder(t spec.StepTask) int {
	incarnations := map[string]bool{}
	for _, rec := range j.records[t] {
		if rec.fate == fateCrashed {
			incarnations[rec.incarnation] = true
		}
	}
	return len(incarnations)
}

// describeStarts lists what became of each start of a task.
func (j *Checker) describeStarts(t spec.StepTask) string {
	if len(j.records[t]) == 0 {
		return "never started"
	}
	parts := make([]string, 0, len(j.records[t]))
	for _, rec := range j.records[t] {
		text := j.describeStart(rec)
		if rec.fate != fateCrashed {
			text += j.describeIncarnation(rec.incarnation)
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, "; ")
}

func (j *Checker) describeStart(rec *startRecord) string {
	var out strings.Builder
	fmt.Fprintf(&out, "run %d on %s", rec.No, rec.incarnation)
	if !rec.ordered.IsZero() {
		fmt.Fprintf(&out, ", ordered at %v", rec.ordered.Sub(j.startedAt))
	}
	switch {
	case rec.fate == fateOrdered:
		return out.String() + ", never arrived"
	case rec.startedAt.IsZero():
		fmt.Fprintf(&out, ", %s at %v", rec.fate, rec.endedAt.Sub(j.startedAt))
		return out.String()
	}
	fmt.Fprintf(&out, ", began at %v", rec.startedAt.Sub(j.startedAt))
	if j.ordersRecorded {
		out.WriteString(replyState(rec))
	}
	if rec.fate == fateRunning {
		return out.String() + ", " + string(fateRunning)
	}
	fmt.Fprintf(&out, ", %s at %v", rec.fate, rec.endedAt.Sub(j.startedAt))
	if rec.hostDisconnected {
		out.WriteString(fateDisconnected)
	}
	return out.String()
}

// incarnationEnd is how and when an incarnation of a host ended.
type incarnationEnd struct {
	fate fate
	at   time.Time
}

// describeIncarnation states whether an incarnation of a host has ended, for a run that did not
// end with it.
func (j *Checker) describeIncarnation(incarnation string) string {
	end, over := j.incarnations[incarnation]
	if !over {
		return ", its host is up"
	}
	return fmt.Sprintf(", its %s at %v", end.fate, end.at.Sub(j.startedAt))
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
