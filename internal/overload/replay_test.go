package overload

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// replay simulates a queue with slots for tasks, whose accounts send jobs at given rates, and a member that applies the
// limits 400 ms after they were measured (a heartbeat interval and a late reply).
type replay struct {
	slots    func(at time.Duration) int
	accounts []*replayAccount
	// fifo takes jobs by age alone; otherwise those that can be on time come first and expired ones last.
	fifo bool
	// mixed has the jobs wait for 0.8 and 1.2 times as long in turn, as far as members know.
	mixed bool
	// ticketWait is how long a job waits before it can start.
	ticketWait time.Duration
	// ignoreLimits has every job accepted.
	ignoreLimits bool

	now     time.Duration
	monitor *Monitor
	limits  Limits
	waiting []*replayJob
	ends    []replayEnd
	running int
	jobs    int
	reports []Report
	events  []Change
}

type replayAccount struct {
	name   string
	weight float64
	// jobsPerSecond is the rate at which jobs are sent.
	jobsPerSecond func(at time.Duration) float64
	quota         int // tasks at once; zero for no quota
	due           float64
	running       int
	// The following counts are of jobs: refused, accepted, and of these completed while they had value.
	sent, refused, accepted, inTime int
	refusedAt                       []time.Duration
	admits                          []float64 // by sample; 1 without a limit
}

type replayJob struct {
	account   *replayAccount
	accepted  time.Duration
	unstarted int
	undone    int
}

type replayEnd struct {
	at  time.Duration
	job *replayJob
}

// Each job has one step of 10 tasks that take 0.56 s, as the previews of the tiles deployment, and a target of 1.5
// times that plus 250 ms.
const (
	replayTasks   = 10
	replayRunTime = 560 * time.Millisecond
	replayTarget  = 1090 * time.Millisecond
	replayMaxWait = ExpiryFactor*replayTarget - replayRunTime
	replayTick    = 10 * time.Millisecond
	replayDelay   = 400 * time.Millisecond
	replayTTL     = 1500 * time.Millisecond
	replayEpoch   = 3
	replayWork    = 11000 * 560
)

var replayStart = time.Unix(1_800_000_000, 0)

func (r *replay) at() time.Time { return replayStart.Add(r.now) }

func (a *replayAccount) key() Key { return Key{"previews", a.name} }

// run advances the replay to a time since its start.
func (r *replay) run(until time.Duration) {
	if r.monitor == nil {
		r.monitor = NewMonitor()
	}
	for ; r.now < until; r.now += replayTick {
		r.end()
		for _, a := range r.accounts {
			a.due += a.jobsPerSecond(r.now) * replayTick.Seconds()
			for ; a.due >= 1; a.due-- {
				r.submit(a)
			}
		}
		r.start()
		r.sample()
	}
}

func (r *replay) end() {
	for len(r.ends) > 0 && r.ends[0].at <= r.now {
		j := r.ends[0].job
		r.ends = r.ends[1:]
		r.running--
		j.account.running--
		j.undone--
		r.monitor.Completed(j.account.key(), j.account.weight, replayWork, 1.0/replayTasks)
		if j.undone == 0 && r.now-j.accepted <= ExpiryFactor*replayTarget {
			j.account.inTime++
		}
	}
}

func (r *replay) submit(a *replayAccount) {
	r.jobs++
	maxWait := replayMaxWait
	if r.mixed {
		maxWait = replayMaxWait * time.Duration(8+4*(r.jobs%2)) / 10
	}
	a.sent++
	if _, refused := r.limits.Check(0, a.key(), fmt.Sprintf("%016x", r.jobs), maxWait, r.at()); refused && !r.ignoreLimits {
		a.refused++
		a.refusedAt = append(a.refusedAt, r.now)
		return
	}
	a.accepted++
	r.monitor.Accepted(a.key(), a.weight, replayTasks*replayWork, maxWait)
	r.waiting = append(r.waiting, &replayJob{account: a, accepted: r.now, unstarted: replayTasks, undone: replayTasks})
}

// class orders jobs by the value that they can still have.
func (r *replay) class(j *replayJob) int {
	switch end := r.now - j.accepted + replayRunTime; {
	case end > ExpiryFactor*replayTarget:
		return 2
	case r.fifo || end <= replayTarget:
		return 0
	}
	return 1
}

func (r *replay) start() {
	if r.running >= r.slots(r.now) || len(r.waiting) == 0 {
		return
	}
	slices.SortStableFunc(r.waiting, func(a, b *replayJob) int {
		return cmp.Or(cmp.Compare(r.class(a), r.class(b)), cmp.Compare(a.accepted, b.accepted))
	})
	for _, j := range r.waiting {
		if r.now-j.accepted < r.ticketWait {
			continue
		}
		for j.unstarted > 0 && r.running < r.slots(r.now) && !j.account.atQuota() {
			j.unstarted--
			r.running++
			j.account.running++
			r.ends = append(r.ends, replayEnd{r.now + replayRunTime, j})
		}
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(j *replayJob) bool { return j.unstarted == 0 })
}

func (a *replayAccount) atQuota() bool { return a.quota > 0 && a.running >= a.quota }

// sample samples the monitor when that is due, and applies the limits of 400 ms before.
func (r *replay) sample() {
	if !r.monitor.SampleDue(r.at()) {
		return
	}
	sums := map[*replayAccount]Waiting{}
	for _, j := range r.waiting {
		w := sums[j.account]
		w.RunTime = replayRunTime * 13 / 10
		work := float64(j.unstarted) * replayWork
		if r.class(j) == 2 {
			w.Expired += work
		} else {
			w.Age = time.Duration((float64(w.Age)*w.Work + float64(r.now-j.accepted)*work) / (w.Work + work))
			w.Work += work
			w.Steps += float64(j.unstarted) / replayTasks
			if j.account.atQuota() {
				w.ForQuota += work
			}
		}
		sums[j.account] = w
	}
	for a, w := range sums {
		r.monitor.Waiting(a.key(), a.weight, w)
	}
	r.events = append(r.events, r.monitor.Sample(r.at())...)
	r.reports = append(r.reports, Report{Epoch: replayEpoch, Age: replayDelay, Limits: r.monitor.Limits()})
	if late := len(r.reports) - 1 - int(replayDelay/SampleInterval); late >= 0 {
		r.limits.Apply(0, r.reports[late], replayTTL, r.at())
	}
	for _, a := range r.accounts {
		a.admits = append(a.admits, r.admitOf(a))
	}
}

func (r *replay) admitOf(a *replayAccount) float64 {
	for _, l := range r.monitor.Limits() {
		if l.Key == a.key() {
			return l.Admit
		}
	}
	return 1
}

// longestWait returns for how long the oldest waiting job of an account has waited.
func (r *replay) longestWait(a *replayAccount) (longest time.Duration) {
	for _, j := range r.waiting {
		if j.account == a {
			longest = max(longest, r.now-j.accepted)
		}
	}
	return longest
}
