package hostsim

import (
	"fmt"
	"strings"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

// fate is how a start came to its end.
type fate string

// The fates that are no end that a host lists.
const (
	fateOrdered fate = ""                // the host has begun nothing
	fateBegun   fate = "still there"     // no end yet
	fateCrashed fate = "host crashed"    // while the run was there and had not ended
	fateLeft    fate = "host left"       // as it had said, or as it was told to
	fateRefused fate = "refused as "     // with the host's reason behind it
	fateBehind       = ", while cut off" // added where nobody could see it
)

// startRecord is what a host made of one start of a task.
type startRecord struct {
	host.Run
	life string // of the host, as of the order until the start arrives
	// ordered is when the order went out, where that was told; begun and over are when the
	// run began and when it was over.
	ordered, begun, over time.Time
	// answered and shown tell whether the sender heard the answer, or of the run in a view.
	answered, shown bool
	fate            fate
	behind          bool // it ended while its host was cut off
}

// Ordered notes that a start goes out to a host, for the text of breaches.
func (j *Judge) Ordered(to host.ID, r host.Run) {
	j.fleet.mu.Lock()
	defer j.fleet.mu.Unlock()
	j.told = true
	life := string(to)
	if h := j.fleet.hosts[to]; h != nil {
		life = h.lifeName()
	}
	j.add(&startRecord{Run: r, life: life, ordered: j.fleet.clock.Now()})
}

// Answered notes that the sender of a start has heard the host's answer to it.
func (j *Judge) Answered(by host.ID, r host.Run) {
	j.fleet.mu.Lock()
	defer j.fleet.mu.Unlock()
	if rec := j.lastOf(r, by); rec != nil {
		rec.answered = true
	}
}

// Shown notes that a view which shows these runs as running was heard.
func (j *Judge) Shown(by host.ID, rows []host.Running) {
	j.fleet.mu.Lock()
	defer j.fleet.mu.Unlock()
	for _, row := range rows {
		if rec := j.lastOf(row.Run, by); rec != nil {
			rec.shown = true
		}
	}
}

func (j *Judge) add(rec *startRecord) { j.records[rec.Task] = append(j.records[rec.Task], rec) }

// lastOf is the last record of a run on any life of a host, or nil.
func (j *Judge) lastOf(r host.Run, on host.ID) *startRecord {
	of := j.records[r.Task]
	for i := len(of) - 1; i >= 0; i-- {
		id, _, _ := strings.Cut(of[i].life, "/")
		if of[i].Run == r && id == string(on) {
			return of[i]
		}
	}
	return nil
}

// arrived is the record of a start that has come to a host: that of its order, if it was
// told and nothing has come of it yet.
func (j *Judge) arrived(h *Host, r host.Run) *startRecord {
	rec := j.lastOf(r, h.info.ID)
	if rec == nil || rec.fate != fateOrdered {
		rec = &startRecord{Run: r}
		j.add(rec)
	}
	rec.life = h.lifeName()
	return rec
}

// refused notes why a host did not carry out a start.
func (j *Judge) refused(h *Host, r host.Run, why host.Refusal) {
	rec := j.arrived(h, r)
	rec.fate, rec.over = fateRefused+fate(why), j.fleet.clock.Now()
}

// lifeName names one life of a host.
func (h *Host) lifeName() string { return fmt.Sprintf("%s/%d", h.info.ID, h.info.Life) }

// crashesUnder counts the lives of hosts that have crashed while a run of the task was
// there and had not ended.
func (j *Judge) crashesUnder(t spec.StepTask) int {
	lives := map[string]bool{}
	for _, rec := range j.records[t] {
		if rec.fate == fateCrashed {
			lives[rec.life] = true
		}
	}
	return len(lives)
}

// tell lists what hosts made of each start of a task.
func (j *Judge) tell(t spec.StepTask) string {
	if len(j.records[t]) == 0 {
		return "never started"
	}
	parts := make([]string, 0, len(j.records[t]))
	for _, rec := range j.records[t] {
		text := j.describe(rec)
		if rec.fate != fateCrashed {
			text += j.describeLife(rec.life)
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, "; ")
}

func (j *Judge) describe(rec *startRecord) string {
	var out strings.Builder
	fmt.Fprintf(&out, "run %d on %s", rec.No, rec.life)
	if !rec.ordered.IsZero() {
		fmt.Fprintf(&out, ", ordered at %v", rec.ordered.Sub(j.begun))
	}
	switch {
	case rec.fate == fateOrdered:
		return out.String() + ", never came there"
	case rec.begun.IsZero():
		fmt.Fprintf(&out, ", %s at %v", rec.fate, rec.over.Sub(j.begun))
		return out.String()
	}
	fmt.Fprintf(&out, ", began at %v", rec.begun.Sub(j.begun))
	if j.told {
		out.WriteString(heardOf(rec))
	}
	if rec.fate == fateBegun {
		return out.String() + ", " + string(fateBegun)
	}
	fmt.Fprintf(&out, ", %s at %v", rec.fate, rec.over.Sub(j.begun))
	if rec.behind {
		out.WriteString(fateBehind)
	}
	return out.String()
}

// lifeEnd is how one life of a host was over.
type lifeEnd struct {
	fate fate
	at   time.Time
}

// describeLife tells whether a life of a host is over, beside a run that did not end with it.
func (j *Judge) describeLife(life string) string {
	end, over := j.lives[life]
	if !over {
		return ", its host lives"
	}
	return fmt.Sprintf(", its %s at %v", end.fate, end.at.Sub(j.begun))
}

func heardOf(rec *startRecord) string {
	switch {
	case rec.answered && rec.shown:
		return ", answered and shown"
	case rec.answered:
		return ", answered"
	case rec.shown:
		return ", shown only"
	}
	return ", not heard of"
}
