package fleet

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/hold"
	"pulleyquay/internal/judge"
	"pulleyquay/internal/partition"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
	"pulleyquay/internal/worker"
	"pulleyquay/internal/worker/workersim"
)

const (
	testPartitions = 4
	testLease      = 15 * time.Second
	homeAddr       = "home:1"
	homePartition  = 3
	authorityTerm  = 6 * time.Second
)

// fakeAuthority is a hold.Authorizer controlled by the test.
type fakeAuthority struct {
	mu     sync.Mutex
	epochs map[int]uint64
	// revoked is set when no further authority is granted; grantedUntil is when the
	// last one granted expires.
	revoked      bool
	grantedUntil time.Time
	// onCheck is called once, before the next check.
	onCheck func()
	// neverExpires makes every check succeed: an injected fault.
	neverExpires bool
}

// revoke stops further grants and returns when the last one expires.
func (r *fakeAuthority) revoke() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revoked = true
	return r.grantedUntil
}

func (r *fakeAuthority) Check(p int) (hold.Grant, error) {
	r.mu.Lock()
	hook := r.onCheck
	r.onCheck = nil
	r.mu.Unlock()
	if hook != nil {
		hook()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.epochs[p] == 0 {
		return hold.Grant{}, result.New(result.NotHolder, result.RanNo, "partition %d", p)
	}
	if !r.revoked || r.neverExpires {
		r.grantedUntil = time.Now().Add(authorityTerm)
	}
	if !time.Now().Before(r.grantedUntil) {
		return hold.Grant{}, result.New(result.AuthorityExpired, result.RanNo, "partition %d", p)
	}
	return hold.Grant{Partition: p, Epoch: r.epochs[p], Until: r.grantedUntil}, nil
}

func (r *fakeAuthority) Held() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []int
	for p := range testPartitions {
		if r.epochs[p] > 0 {
			out = append(out, p)
		}
	}
	return out
}

func (r *fakeAuthority) setHeld(p int, epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epochs[p] = epoch
}

// fakeHome is the owner of all jobs: it records updates and acknowledges ends.
type fakeHome struct {
	mu          sync.Mutex
	states      map[worker.Attempt]taskmsg.RunState
	orphans     map[string]bool // by job
	unavailable bool
	// evidence is what the last update of each run reported about its loss.
	evidence map[worker.Attempt]taskmsg.LossEvidence
	// delay is the time before a reply.
	delay time.Duration
}

func (h *fakeHome) accept(_ context.Context, n taskmsg.RunReports) (taskmsg.RunReportsReply, error) {
	reply, delay, err := h.answer(n)
	time.Sleep(delay)
	return reply, err
}

func (h *fakeHome) setDelay(delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delay = delay
}

func (h *fakeHome) answer(n taskmsg.RunReports) (taskmsg.RunReportsReply, time.Duration, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var reply taskmsg.RunReportsReply
	if h.unavailable {
		return reply, 0, result.New(result.NotReady, result.RanNo, "loading")
	}
	for _, r := range n.Runs {
		h.states[r.Run] = r.State
		h.recordEvidence(r)
		if h.orphans[r.Run.Task.Job] {
			reply.Orphans = append(reply.Orphans, r.Run)
		} else if r.State != taskmsg.RunRunning {
			reply.Acked = append(reply.Acked, r.Run)
		}
	}
	return reply, h.delay, nil
}

// recordEvidence records the evidence in an update of a run.
func (h *fakeHome) recordEvidence(r taskmsg.RunReport) {
	if h.evidence == nil {
		h.evidence = map[worker.Attempt]taskmsg.LossEvidence{}
	}
	h.evidence[r.Run] = taskmsg.EvidenceNone
	if r.State == taskmsg.RunLost {
		h.evidence[r.Run] = r.LossEvidence()
	}
}

// crashReported reports whether the last update of a run reported its loss as a crash.
func (h *fakeHome) crashReported(id worker.Attempt) bool {
	return h.lossEvidence(id) == taskmsg.EvidenceCrash
}

// lossEvidence returns what the last update of a run reported about its loss.
func (h *fakeHome) lossEvidence(id worker.Attempt) taskmsg.LossEvidence {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.evidence[id]
}

func (h *fakeHome) state(id worker.Attempt) taskmsg.RunState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.states[id]
}

func (h *fakeHome) setUnavailable(unavailable bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unavailable = unavailable
}

// testbed is a cell of simulated workers with one job owner, for tests with fake time.
type testbed struct {
	t       *testing.T
	is      *is.I
	checker *judge.Checker
	sim     *workersim.Fleet
	home    *fakeHome
	peers   peer.Local

	mu    sync.Mutex
	hosts []platform.Host
	all   map[string]platform.Host // including those not listed now
	table view.Table
}

var testSize = spec.Resources{MilliCPU: 8000, MemoryMiB: 8000}

// newTestbed returns a cell of n workers, all in one rack.
func newTestbed(t *testing.T, n int) *testbed {
	j := judge.New()
	b := &testbed{
		t: t, is: is.New(t), checker: j, sim: workersim.NewFleet(j), peers: peer.Local{}, all: map[string]platform.Host{},
		home: &fakeHome{states: map[worker.Attempt]taskmsg.RunState{}, orphans: map[string]bool{}},
	}
	mux := peer.NewMux()
	peer.Handle(mux, peer.KindTaskUpdates, b.home.accept)
	b.peers[homeAddr] = mux
	b.table.Partitions = []view.Partition{{ID: homePartition, Holder: "home", Addr: homeAddr, Epoch: 1}}
	for i := range n {
		name := fmt.Sprintf("w%d", i)
		b.sim.Add(name, worker.Info{Name: name, Rack: "r0", Zone: "z0", Size: testSize})
		b.hosts = append(b.hosts, platform.Host{Name: name, Role: platform.RoleWorker, Addr: name, Rack: "r0", Zone: "z0"})
	}
	for _, h := range b.hosts {
		b.all[h.Name] = h
	}
	return b
}

func (b *testbed) Hosts() []platform.Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]platform.Host(nil), b.hosts...)
}

func (b *testbed) Table() *view.Table {
	b.mu.Lock()
	defer b.mu.Unlock()
	table := b.table
	table.Partitions = append([]view.Partition(nil), b.table.Partitions...)
	return &table
}

func (b *testbed) Settings() *settings.Tree { return nil }

// setEpoch sets a partition's epoch in the table.
func (b *testbed) setEpoch(id int, epoch uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.table.Partitions {
		if b.table.Partitions[i].ID == id {
			b.table.Partitions[i].Epoch = epoch
			return
		}
	}
	b.table.Partitions = append(b.table.Partitions, view.Partition{ID: id, Epoch: epoch})
}

func (b *testbed) rackPartition() int { return partition.OfRack("r0", testPartitions) }

// member is one placer of the testbed.
type member struct {
	*Fleet
	b              *testbed
	authority      *fakeAuthority
	pausableClient *pausableClient // in simulations
	epoch          uint64          // in simulations
	cancel         context.CancelFunc
	done           chan struct{}
}

// member starts a placer that holds no partition yet.
func (b *testbed) member(name string, edits ...func(*Config)) *member {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := &member{b: b, authority: &fakeAuthority{epochs: map[int]uint64{}}, done: make(chan struct{})}
	cfg := Config{
		Name: name, Partitions: testPartitions, Lease: testLease, Hosts: b.Hosts, Authorizer: m.authority,
		Client: b.sim.Caller(name), Peers: b.peers, View: b, Log: logrus.NewEntry(log),
	}
	for _, edit := range edits {
		edit(&cfg)
	}
	m.Fleet = New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go func() { m.Run(ctx); close(m.done) }()
	return m
}

// stop ends the placer like a kill: without a handover.
func (m *member) stop() {
	m.cancel()
	<-m.done
}

// accept makes the member the holder of the workers' partition.
func (m *member) accept(epoch uint64, edit func(*hold.Acquisition)) {
	p := m.b.rackPartition()
	m.authority.setHeld(p, epoch)
	m.b.setEpoch(p, epoch)
	t := hold.Acquisition{Grant: hold.Grant{Partition: p, Epoch: epoch}}
	if edit != nil {
		edit(&t)
	}
	m.b.is.NoErr(m.Acquire(context.Background(), t))
}

func shapeOf(job string, milli int64, run time.Duration) taskmsg.Shape {
	return taskmsg.Shape{
		Job: job, Kind: spec.KindBatch, Policy: taskmsg.Policy{Name: settings.PolicyWaiting},
		Task: spec.Task{Size: spec.Resources{MilliCPU: milli, MemoryMiB: milli}, RunMillis: run.Milliseconds()},
	}
}

// placeTasks requests n tasks of a job and returns the outcomes.
func (m *member) placeTasks(shape taskmsg.Shape, n int) []taskmsg.SlotResult {
	req := taskmsg.PlaceRequest{Home: taskmsg.Home{Partition: homePartition, Epoch: 1}, Shape: shape}
	for i := range n {
		req.Slots = append(req.Slots, taskmsg.Slot{Index: i, Attempt: 1})
	}
	reply, err := m.place(context.Background(), req)
	m.b.is.NoErr(err)
	return reply.Results
}

func attempt(job string, index int) worker.Attempt {
	return worker.Attempt{Task: spec.TaskID{Job: job, Index: index}, Attempt: 1}
}

func count(results []taskmsg.SlotResult, want taskmsg.Outcome) int {
	n := 0
	for _, r := range results {
		if r.Outcome == want {
			n++
		}
	}
	return n
}

// running counts the runs that the workers report as running.
func (b *testbed) running() int {
	n := 0
	for _, h := range b.Hosts() {
		for _, r := range b.sim.Worker(h.Addr).Runs() {
			if r.State == worker.StateRunning {
				n++
			}
		}
	}
	return n
}

// requireNoViolations fails the test for each violation found by the checker.
func (b *testbed) requireNoViolations() {
	b.t.Helper()
	b.sim.Settle()
	for _, v := range b.checker.Violations(time.Now()) {
		b.t.Errorf("%s on %s: %s", v.Rule, v.On, v.Detail)
	}
}
