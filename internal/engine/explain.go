package engine

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"pulleyquay/internal/advice"
	"pulleyquay/internal/spec"
)

// waitLogInterval is how long a step waits before the reason is logged, and the interval at
// which it is logged again.
const waitLogInterval = 4 * time.Second

// maxWaitsLogged bounds the number of steps whose reason is logged between two "cell load"
// lines: finding it examines every host, which delays decisions when the queue is long.
const maxWaitsLogged = 20

// logWaiting logs the reason for which a step waits, if it has waited for waitLogInterval.
func (e *Engine) logWaiting(g *group, now time.Time) {
	if now.Sub(g.dueSince) < waitLogInterval || now.Sub(g.waitLoggedAt) < waitLogInterval || e.waitsLogged >= maxWaitsLogged {
		return
	}
	e.waitsLogged++
	g.waitLoggedAt = now
	e.log(Event{What: "step waits", Job: g.job.id(), Step: g.id.String(), Why: e.waitReason(g, now), Age: now.Sub(g.dueSince)})
}

// logStart logs that starts of tasks of a step were ordered.
func (e *Engine) logStart(g *group, tasks, hosts int, now time.Time) {
	e.log(Event{
		What: "step started", Job: g.job.id(), Step: g.id.String(), Age: now.Sub(g.dueSince),
		Why: fmt.Sprintf("%d tasks, on %d hosts, after %d answers of the policy service; %d wait", tasks, hosts, g.policy.answers, g.waiting),
	})
}

// waitReason describes what a step lacks: how many hosts each rule refuses, and how much
// free capacity the others have.
func (e *Engine) waitReason(g *group, now time.Time) string {
	refused := map[string]int{}
	permitted, ticketed, slots, reservedOn, slotsIfEmpty := 0, 0, 0, 0, 0
	for _, h := range e.hostsByID {
		rule := rejectedBy(g, h)
		if !e.placeable(h, now) {
			rule = "not placeable"
		}
		if h.parked {
			rule = "parked"
		}
		if h.evacuated {
			rule = "zone evacuated"
		}
		if rule != "" {
			refused[rule]++
			continue
		}
		if g.policy.permission[h] {
			permitted++
		}
		if e.hasPermission(g, h, now) {
			ticketed++
		}
		slotsIfEmpty += g.slotsFor(h, h.info.Size)
		slots += g.slotsFor(h, e.capacityFor(g, h, now))
		if len(h.reserved) > 0 {
			reservedOn++
		}
	}
	rules := make([]string, 0, len(refused))
	for rule, n := range refused {
		rules = append(rules, fmt.Sprintf("%s %d", rule, n))
	}
	sort.Strings(rules)
	if over := e.describeMissingQuota(g); over != "" {
		return over
	}
	return fmt.Sprintf("wants %d places (%d cores, %d MiB, %d accelerators each, label %q); has room for %d, %d if empty; %d hosts good, %d ticketed, places reserved on %d, for it on %d, %d questions asked, query slots: %s; refused by rule: %s; %s",
		g.waiting, g.step.Size.MilliCPU/1000, g.step.Size.MemoryMiB, g.step.Size.Accelerators, g.step.Label, slots, slotsIfEmpty, permitted, ticketed, reservedOn, len(g.reserved), g.policy.openQueries, g.policy.use, strings.Join(rules, ", "), g.describeRuns(e, now))
}

// describeRuns describes the recorded runs of a step: a gang starts only when there are none.
// The run that was ordered first is described in detail.
func (g *group) describeRuns(e *Engine, now time.Time) string {
	n := 0
	var first *run
	for i := range g.tasks {
		r := g.tasks[i].cur
		if r == nil {
			continue
		}
		n++
		if first == nil || r.orderedAt.Before(first.orderedAt) {
			first = r
		}
	}
	if first == nil {
		return "none of it in the books"
	}
	h := first.placedOn
	return fmt.Sprintf("%d of it in the books, the oldest task %d, run %d on %s (%s, unwanted %t, known for %d ms; listed %t, life %d, silent for %d ms, lease over in %d ms%s)",
		n, first.Task.Index, first.No, h.info.ID, first.state, first.stopRequested, now.Sub(first.confirmedAt).Milliseconds(),
		h.listed, h.incarnation, h.unresponsiveFor(now).Milliseconds(), e.leasesExpireAt(h).Sub(now).Milliseconds(), first.lateness.describe(now))
}

// loadLogInterval is the interval between two "cell load" lines of the log.
const loadLogInterval = 2 * time.Second

// queueLoad is the resource usage and the waiting work of a queue.
type queueLoad struct {
	used    spec.Resources
	waiting int           // steps
	longest time.Duration // longest wait among these steps
}

// logLoad logs the usage of the cell and the waiting steps, by queue.
func (e *Engine) logLoad(now time.Time) {
	if now.Sub(e.loadLoggedAt) < loadLogInterval {
		return
	}
	e.loadLoggedAt, e.waitsLogged = now, 0
	e.logQuotaWaits(now)
	e.logDelayedAccounts(now)
	var size spec.Resources
	queues, placeable := map[string]*queueLoad{}, 0
	of := func(queue string) *queueLoad {
		if queues[queue] == nil {
			queues[queue] = &queueLoad{}
		}
		return queues[queue]
	}
	for _, h := range e.hostsByID {
		if !e.placeable(h, now) {
			continue
		}
		placeable++
		size = size.Add(h.info.Size)
		for _, r := range h.runs {
			if r.group != nil {
				q := of(r.group.job.rec.Queue)
				q.used = q.used.Add(r.size)
			}
		}
	}
	unresponsiveRuns, longest := 0, time.Duration(0)
	for _, h := range e.hostsByID {
		if len(h.runs) > 0 && !h.unresponsiveSince.IsZero() {
			unresponsiveRuns += len(h.runs)
			longest = max(longest, e.leasesExpireAt(h).Sub(now))
		}
	}
	reserving := 0
	for _, g := range e.ready {
		if !g.dueSince.IsZero() {
			q := of(g.job.rec.Queue)
			q.waiting++
			q.longest = max(q.longest, now.Sub(g.dueSince))
		}
		if len(g.reserved) > 0 {
			reserving++
		}
	}
	parts := make([]string, 0, len(queues))
	for name, q := range queues {
		parts = append(parts, q.describe(name, size))
	}
	sort.Strings(parts)
	uses := e.queryOrder.lastUses
	e.log(Event{What: "cell load", Why: fmt.Sprintf("%d of %d hosts take work, %d are parked; %s; %d steps have places reserved; %d questions asked, of the steps of a pass %d up to the backlog limit, %d through idle slots, %d not; %d runs on silent hosts, the last lease over in %d ms",
		placeable, len(e.hostsByID), e.index.parked.Len(), strings.Join(parts, ", "), reserving, len(e.queries), uses[advice.UseBacklog], uses[advice.UseIdle], uses[advice.UseNone], unresponsiveRuns, longest.Milliseconds())})
}

// describe returns the queue's load as text for the log.
func (q *queueLoad) describe(name string, size spec.Resources) string {
	out := fmt.Sprintf("%s uses %.0f%% of processors, %.0f%% of memory", name,
		100*fraction(q.used.MilliCPU, size.MilliCPU), 100*fraction(q.used.MemoryMiB, size.MemoryMiB))
	if q.used.Accelerators > 0 {
		out += fmt.Sprintf(", %.0f%% of accelerators", 100*fraction(q.used.Accelerators, size.Accelerators))
	}
	if q.waiting > 0 {
		out += fmt.Sprintf(" and has %d steps waiting, the longest for %d ms", q.waiting, q.longest.Milliseconds())
	}
	return out
}
