package judge

import (
	"time"

	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker"
)

type taskKey = spec.TaskID

// Place is one run of a task on a worker, from its start to its end.
type Place struct {
	Worker  string         `json:"worker"`
	Task    spec.TaskID    `json:"task"`
	Attempt int            `json:"attempt"`
	Size    spec.Resources `json:"size"`
	Started time.Time      `json:"started"`
	// Until is when the run ends unless renewed, or when it ended.
	Until    time.Time    `json:"until"`
	Ended    bool         `json:"ended"`
	State    worker.State `json:"state,omitempty"`
	ExitCode int          `json:"exit_code,omitempty"`
}

func (p *Place) runsAt(t time.Time) bool {
	return !p.Ended && p.Until.After(t)
}

type workerBook struct {
	size   spec.Resources
	used   spec.Resources
	peak   spec.Resources
	epoch  uint64
	holder string
	// overload counts reports of real usage above the size.
	overload int
}

type gangBook struct {
	tasks   int
	first   time.Time
	running map[int]int
	peak    int
}

// Worker makes a worker of the given size known.
func (j *Judge) Worker(name string, size spec.Resources) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.workers[name] = &workerBook{size: size}
}

// Claimed notes an accepted claim.
func (j *Judge) Claimed(name string, epoch uint64, holder string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	w := j.workers[name]
	if w.epoch == epoch && w.holder != holder {
		j.violate(RuleSharedEpoch, name, at, "epoch %d claimed by %s and %s", epoch, w.holder, holder)
	}
	w.epoch, w.holder = epoch, holder
}

// Gang tells how many tasks a gang has, so that a partly started one shows.
func (j *Judge) Gang(job string, tasks int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.gang(job).tasks = tasks
}

func (j *Judge) gang(job string) *gangBook {
	g := j.gangs[job]
	if g == nil {
		g = &gangBook{running: map[int]int{}}
		j.gangs[job] = g
	}
	return g
}

// Start notes that a run started at p.Started and will end at p.Until unless
// renewed. The caller keeps p for Renew and End and does not change it.
func (j *Judge) Start(p *Place, kind spec.Kind) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts++
	j.perSecond[p.Started.Unix()]++
	j.checkRoom(p)
	for _, other := range j.places[p.Task] {
		if other.runsAt(p.Started) {
			j.violate(RuleTwoPlaces, p.Task.String(), p.Started,
				"attempt %d on %s while attempt %d runs on %s until %s",
				p.Attempt, p.Worker, other.Attempt, other.Worker, other.Until.Format(time.StampMicro))
		}
	}
	j.places[p.Task] = append(j.places[p.Task], p)
	if kind == spec.KindGang {
		j.gang(p.Task.Job).start(p)
	}
}

func (j *Judge) checkRoom(p *Place) {
	w := j.workers[p.Worker]
	w.used = w.used.Add(p.Size)
	w.peak = w.peak.Max(w.used)
	if !w.used.Fits(w.size) {
		j.violate(RuleOvercommit, p.Worker, p.Started, "%+v ordered of %+v, last by %s", w.used, w.size, p.Task)
	}
}

func (g *gangBook) start(p *Place) {
	if g.first.IsZero() {
		g.first = p.Started
	}
	g.running[p.Task.Index]++
	g.peak = max(g.peak, len(g.running))
}

// Renew notes that the given runs now last until their new end.
func (j *Judge) Renew(places []*Place, until []time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i, p := range places {
		p.Until = until[i]
	}
}

// End notes that a run ended at the given time.
func (j *Judge) End(p *Place, at time.Time, state worker.State, exitCode int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ends++
	p.Ended, p.Until, p.State, p.ExitCode = true, at, state, exitCode
	w := j.workers[p.Worker]
	w.used = w.used.Sub(p.Size)
	if g := j.gangs[p.Task.Job]; g != nil {
		if g.running[p.Task.Index]--; g.running[p.Task.Index] <= 0 {
			delete(g.running, p.Task.Index)
		}
	}
}

// Usage notes a worker's real usage; above its size it counts as overload,
// which lag makes unavoidable for a while and which is therefore no violation.
func (j *Judge) Usage(name string, usage spec.Resources) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if w := j.workers[name]; !usage.Fits(w.size) {
		w.overload++
	}
}

func (j *Judge) brokenGangs(now time.Time) []Violation {
	var out []Violation
	for job, g := range j.gangs {
		if g.tasks == 0 || g.first.IsZero() || g.peak >= g.tasks || now.Sub(g.first) <= j.GangGrace {
			continue
		}
		out = append(out, Violation{RuleGangPartly, job, g.first, "not all tasks ran at once"})
	}
	return out
}

// Places returns copies of all runs of a task, in the order of their starts.
func (j *Judge) Places(task spec.TaskID) []Place {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []Place
	for _, p := range j.places[task] {
		out = append(out, *p)
	}
	return out
}

// Starts returns the number of runs started so far.
func (j *Judge) Starts() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.starts
}
