// Package hostsim simulates the users' hosts for tests and the development
// stand-in: hosts keep the highest epoch, kill everything when their lease ends,
// list ends until these are forgotten, and start whatever they are told to. What
// runs is judged against the promises: see Judge.
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

// Clock is the time that a fleet lives in: the real one, or a test's.
type Clock interface {
	Now() time.Time
	// AfterFunc calls fn when d has passed.
	AfterFunc(d time.Duration, fn func())
}

// RealClock is the process's own time.
type RealClock struct{}

// Now implements Clock.
func (RealClock) Now() time.Time { return time.Now() }

// AfterFunc implements Clock.
func (RealClock) AfterFunc(d time.Duration, fn func()) { time.AfterFunc(d, fn) }

// Bounds are the platform's times for hosts.
type Bounds struct {
	LeaseLimit, StopTakes, GangWait time.Duration
}

// DefaultBounds are those of the users' first sites.
var DefaultBounds = Bounds{LeaseLimit: 6 * time.Second, StopTakes: 200 * time.Millisecond, GangWait: 3 * time.Second}

// Fleet is a number of hosts. It is safe for concurrent use.
type Fleet struct {
	Bounds Bounds
	// SpreadOfWork is by how much more the last member of a gang works than the
	// first, as a share of the step's estimate a member. Set it before use.
	SpreadOfWork float64
	// Harm is by how much fillers of an image lengthen the tail of serving tasks on
	// their host at full pace, as a share of the target. Set it before use.
	Harm map[string]float64
	// Work is how long a task works on a host of usual speed; nil stands for its
	// estimate. Set it before use.
	Work func(spec.StepTask) time.Duration

	// Crashes is after how long a task crashes the host that has started it; zero stands
	// for never. Set it before use.
	Crashes func(spec.StepTask) time.Duration
	// DarkCrashes has the machines of hosts go down that tasks crash: nothing is reset.
	DarkCrashes bool

	// KeepsID has hosts that crashed start again under the id that they had, after BackAfter;
	// zero stands for some seconds. Set both before use.
	KeepsID   bool
	BackAfter time.Duration

	// CarriesOver has hosts carry out starts that were sent to an earlier life under their
	// ids. Set it before use.
	CarriesOver bool

	// Lifeless has hosts tell no life in their views.
	Lifeless bool

	// Guards has hosts refuse what they have no room for. Set it before use.
	Guards bool

	clock Clock
	judge *Judge

	mu    sync.Mutex
	hosts map[host.ID]*Host
	jobs  map[string]*record.Job
	// saved is how much of a task's work its last checkpoint holds.
	saved map[spec.StepTask]time.Duration
	// failNext runs of first tasks fail.
	failNext int
	// lives counts the lives of hosts after their first.
	lives int
	// quotas are those of client accounts, the oldest first.
	quotas map[string][]grantedQuota
}

// NewFleet returns a fleet without hosts.
func NewFleet(clock Clock) *Fleet {
	f := &Fleet{Bounds: DefaultBounds, clock: clock, hosts: map[host.ID]*Host{}, jobs: map[string]*record.Job{}, saved: map[spec.StepTask]time.Duration{}}
	f.judge = newJudge(f)
	return f
}

// Judge is the record of what ran and what was wrong.
func (f *Fleet) Judge() *Judge { return f.judge }

// Know tells the hosts what a job is made of. Hosts are asked to start tasks of
// jobs by name only.
func (f *Fleet) Know(j *record.Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[j.ID] = j
}

// FailNext lets so many runs of first tasks fail.
func (f *Fleet) FailNext(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failNext = n
}

// Add adds like hosts of a service, four to a rack, in three zones by turns. The
// names go on where the last ones ended.
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
	info.Life = host.Life(f.clock.Now().UnixMilli())
	h := &Host{
		fleet: f, info: info, link: &link{}, size: info.Size, up: true, listed: true, rate: 1,
		// Hosts have been up for different times; the clocks differ.
		born: f.clock.Now().Add(-time.Duration(1000+137*len(f.hosts)) * time.Second),
		runs: map[host.Run]*run{}, over: map[spec.StepTask]int{},
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

// beatEvery is how often hosts say what they are.
const beatEvery = 1500 * time.Millisecond

// Listed returns what the hosts in the platform's list say of themselves.
func (f *Fleet) Listed() []host.Info {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []host.Info
	for _, h := range f.sorted() {
		if h.listed {
			info := h.info
			info.Beat = int64(f.clock.Now().Sub(f.judge.begun) / beatEvery)
			out = append(out, info)
		}
	}
	return out
}

// after runs fn under the fleet's lock when d has passed.
func (f *Fleet) after(d time.Duration, fn func()) {
	f.clock.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		fn()
	})
}

// Job returns a job that the hosts were told of, or nil.
func (f *Fleet) Job(id string) *record.Job {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.jobs[id]
}
