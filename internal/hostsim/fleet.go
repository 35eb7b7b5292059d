// Package hostsim simulates the users' hosts for tests and the development stand-in: hosts keep
// the highest epoch, kill everything when their lease expires, report end records until these are
// acknowledged, and carry out every start. Checker checks the invariants of what runs.
package hostsim

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// Clock is the time source of a fleet: real time, or that of a test.
type Clock interface {
	Now() time.Time
	// AfterFunc calls fn after d.
	AfterFunc(d time.Duration, fn func())
}

// RealClock is real time.
type RealClock struct{}

// Now implements Clock.
func (RealClock) Now() time.Time { return time.Now() }

// AfterFunc implements Clock.
func (RealClock) AfterFunc(d time.Duration, fn func()) { time.AfterFunc(d, fn) }

// Bounds are the time limits of the platform's hosts.
type Bounds struct {
	MaxLease, MaxStopTime, GangTimeout time.Duration
}

// DefaultBounds are the limits at the users' first sites.
var DefaultBounds = Bounds{MaxLease: 6 * time.Second, MaxStopTime: 200 * time.Millisecond, GangTimeout: 3 * time.Second}

// Fleet is a set of hosts. It is safe for concurrent use.
type Fleet struct {
	Bounds Bounds
	// SpreadOfWork is the additional work of the last member of a gang relative to the first, as
	// a fraction of the step's estimate per member. Set it before use.
	SpreadOfWork float64
	// BackfillImpact is, for each image of backfill tasks, the increase in tail latency of the
	// serving tasks on the same host at full speed, as a fraction of the target. Set it before use.
	BackfillImpact map[string]float64
	// RunTime returns the run time of a task on a host of normal speed; nil uses the task's
	// estimate. Set it before use.
	RunTime func(spec.StepTask) time.Duration

	// CrashAfter returns the time after which a task crashes the host that has started it; zero
	// means never. Set it before use.
	CrashAfter func(spec.StepTask) time.Duration
	// PowerLossCrashes makes crashes caused by tasks power losses: no connections are reset.
	PowerLossCrashes bool

	// KeepID makes crashed hosts start again under the same id, after RestartDelay; zero is some
	// seconds. Set both before use.
	KeepID       bool
	RestartDelay time.Duration

	// AcceptEarlierStarts makes hosts carry out starts that were sent to an earlier incarnation
	// under the same id. Set it before use.
	AcceptEarlierStarts bool

	// OmitIncarnation makes hosts omit their incarnation in their views.
	OmitIncarnation bool

	// ListedEnds is the maximum number of end records in one view; zero is MaxListedEnds. Set it before use.
	ListedEnds int

	// EnforceCapacity makes hosts refuse starts for which they lack capacity. Set it before use.
	EnforceCapacity bool

	clock   Clock
	checker *Checker

	mu    sync.Mutex
	hosts map[host.ID]*Host
	jobs  map[string]*record.Job
	// saved is the amount of a task's work in its last checkpoint.
	saved map[spec.StepTask]time.Duration
	// failNext is how many more runs will fail, counting only runs of the first task (index 0) of a
	// step.
	failNext int
	// incarnations counts the incarnations that were started under a new id.
	incarnations int
	// quotas are the current and former quotas of client accounts, oldest first.
	quotas map[string][]grantedQuota
}

// NewFleet returns a fleet without hosts.
func NewFleet(clock Clock) *Fleet {
	f := &Fleet{Bounds: DefaultBounds, clock: clock, hosts: map[host.ID]*Host{}, jobs: map[string]*record.Job{}, saved: map[spec.StepTask]time.Duration{}}
	f.checker = newChecker(f)
	return f
}

// Checker returns the checker of the fleet.
func (f *Fleet) Checker() *Checker { return f.checker }

// AddJob gives the hosts the description of a job. Orders to start tasks contain only the job's id.
func (f *Fleet) AddJob(j *record.Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[j.ID] = j
}

// FailNext makes the next n runs of first tasks fail.
func (f *Fleet) FailNext(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failNext = n
}

// Add adds identical hosts of a service, four to a rack, in three zones by turns. The numbering
// of names continues.
func (f *Fleet) Add(n int, service string, size spec.Resources) []*Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*Host
	for range n {
		i := len(f.hosts)
		rack := fmt.Sprint("r", i/4)
		info := host.Info{
			ID: host.ID(fmt.Sprintf("h%02d", i)), Addr: fmt.Sprintf("h%02d", i), Zone: fmt.Sprint("z", i%3),
			Service: service, Kind: "a", Rack: rack, Labels: []string{"a", rack}, Size: size,
		}
		out = append(out, f.add(info))
	}
	return out
}

func (f *Fleet) add(info host.Info) *Host {
	info.Incarnation = host.Incarnation(f.clock.Now().UnixMilli())
	h := &Host{
		fleet: f, info: info, link: &link{}, size: info.Size, up: true, listed: true, rate: 1,
		// Hosts have been up for different times, so their clocks differ.
		bootedAt: f.clock.Now().Add(-time.Duration(1000+137*len(f.hosts)) * time.Second),
		runs:     map[host.Run]*run{}, highestEnded: map[spec.StepTask]int{},
	}
	f.hosts[info.ID] = h
	return h
}

// Host returns a host by its id, or nil.
func (f *Fleet) Host(id host.ID) *Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[id]
}

// Hosts returns all hosts in the order of their ids.
func (f *Fleet) Hosts() []*Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sorted()
}

func (f *Fleet) sorted() []*Host {
	out := make([]*Host, 0, len(f.hosts))
	for _, h := range f.hosts {
		out = append(out, h)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].info.ID < out[b].info.ID })
	return out
}

// heartbeatInterval is the interval at which hosts send their descriptions.
const heartbeatInterval = 1500 * time.Millisecond

// Listed returns the descriptions of the hosts in the platform's list.
func (f *Fleet) Listed() []host.Info {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []host.Info
	for _, h := range f.sorted() {
		if h.listed {
			info := h.info
			info.HeartbeatSeq = int64(f.clock.Now().Sub(f.checker.startedAt) / heartbeatInterval)
			out = append(out, info)
		}
	}
	return out
}

// after runs fn under the fleet's lock after d.
func (f *Fleet) after(d time.Duration, fn func()) {
	f.clock.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		fn()
	})
}

// Job returns a job whose description the hosts have, or nil.
func (f *Fleet) Job(id string) *record.Job {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.jobs[id]
}
