package job

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/hold"
	"pulleyquay/internal/judge"
	"pulleyquay/internal/partition"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
	"pulleyquay/internal/worker"
	"pulleyquay/internal/worker/workersim"
)

const (
	testPartitions   = 4
	testLease        = 15 * time.Second
	testAuthorityTTL = 6 * time.Second
	testBranch       = "lakeshore"
)

// failoverTime is the time from the death of a process until the cell has recovered: every lease
// that the dead holder renewed has expired, and every inventory has arrived.
const failoverTime = testLease + 20*time.Second

var testSize = spec.Resources{MilliCPU: 8000, MemoryMiB: 8000}

// fakeAuthority is a hold.Authorizer controlled by a test.
type fakeAuthority struct {
	mu     sync.Mutex
	epochs map[int]uint64
	until  time.Time // zero: always testAuthorityTTL from now
}

func (r *fakeAuthority) Check(p int) (hold.Grant, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := r.until
	if until.IsZero() {
		until = time.Now().Add(testAuthorityTTL)
	}
	switch {
	case r.epochs[p] == 0:
		return hold.Grant{}, result.New(result.NotHolder, result.RanNo, "partition %d", p)
	case !time.Now().Before(until):
		return hold.Grant{}, result.New(result.AuthorityExpired, result.RanNo, "partition %d", p)
	}
	return hold.Grant{Partition: p, Epoch: r.epochs[p], Until: until}, nil
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

// expire ends the authority for all partitions at once, without notifying the residents.
func (r *fakeAuthority) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until = time.Now()
}

// cell is a complete cell inside a synctest bubble: a store, simulated hosts, and placers whose
// partitions a test assigns.
type cell struct {
	t       testing.TB
	is      *is.I
	engine  *memstore.Engine
	store   *memstore.Client
	checker *judge.Checker
	sim     *workersim.Fleet

	mu           sync.Mutex
	hosts        []platform.Host
	table        view.Table
	values       map[string]settings.Values
	onBranchRead func() // called once, at the next read of a branch
	muxes        peer.Local
	placer       map[string]*placer
	faults       []*peerFault
	bubble       bool
	calls        map[peer.Kind]int
}

// newCell returns a cell with hosts in as many racks as there are partitions.
func newCell(t testing.TB, workersPerPartition int) *cell {
	j := judge.New()
	c := &cell{
		t: t, is: is.New(t), engine: memstore.New(), checker: j, sim: workersim.NewFleet(j),
		values: map[string]settings.Values{testBranch: settings.Defaults()}, muxes: peer.Local{},
		placer: map[string]*placer{}, calls: map[peer.Kind]int{},
	}
	c.store = c.engine.Client("test")
	for p := range testPartitions {
		c.table.Partitions = append(c.table.Partitions, view.Partition{ID: p})
		rack := rackOf(p)
		for i := range workersPerPartition {
			name := fmt.Sprintf("w%d-%d", p, i)
			zone := fmt.Sprintf("z%d", i%3)
			c.sim.Add(name, worker.Info{Name: name, Rack: rack, Zone: zone, Size: testSize, Generation: 1})
			c.hosts = append(c.hosts, platform.Host{Name: name, Role: platform.RoleWorker, Addr: name, Rack: rack, Zone: zone})
		}
	}
	c.bubble = time.Now().Year() == 2000 // the clock of a bubble starts in that year
	t.Cleanup(c.close)
	return c
}

// rackOf returns a rack that belongs to the partition.
func rackOf(partitionID int) string {
	for i := 0; ; i++ {
		if name := fmt.Sprintf("r%d", i); partition.OfRack(name, testPartitions) == partitionID {
			return name
		}
	}
}

// teamOf returns a team whose home partition is the given one.
func teamOf(partitionID int) string {
	for i := 0; ; i++ {
		if name := fmt.Sprintf("team%d", i); partition.OfTeam(name, testPartitions) == partitionID {
			return name
		}
	}
}

func (c *cell) Hosts() []platform.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]platform.Host(nil), c.hosts...)
}

func (c *cell) Table() *view.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table
	t.Partitions = append([]view.Partition(nil), t.Partitions...)
	t.Members = append([]view.Member(nil), t.Members...)
	return &t
}

func (c *cell) Settings() *settings.Tree { return nil }

func (c *cell) branch(name string) (settings.Values, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.onBranchRead != nil {
		c.onBranchRead()
		c.onBranchRead = nil
	}
	v, ok := c.values[name]
	return v, ok
}

// onNextBranchRead calls f at the next read of a branch, which a job owner does after it has
// checked its authority and before it sends the resulting requests.
func (c *cell) onNextBranchRead(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onBranchRead = f
}

func (c *cell) setBranch(name string, edit func(*settings.Values)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := settings.Defaults()
	edit(&v)
	c.values[name] = v
}

func (c *cell) digests() map[string]taskmsg.Digest {
	c.mu.Lock()
	placers := make([]*placer, 0, len(c.placer))
	for _, p := range c.placer {
		placers = append(placers, p)
	}
	c.mu.Unlock()
	out := map[string]taskmsg.Digest{}
	for _, p := range placers {
		out[p.name] = p.fleet.Digest()
	}
	return out
}

// close ends all processes, so that the bubble can end.
func (c *cell) close() {
	c.clearFaults()
	c.mu.Lock()
	remaining := make([]*placer, 0, len(c.placer))
	for _, p := range c.placer {
		remaining = append(remaining, p)
	}
	c.mu.Unlock()
	for _, p := range remaining {
		p.kill()
	}
	if c.bubble {
		time.Sleep(callsEnd) // the clock stops once the test has returned
	}
	c.engine.Close()
}

// callsEnd is the time after which every call to the store has ended, with or without a reply.
const callsEnd = 15 * time.Second

// assertNoViolations fails the test if the checker found a violated invariant.
func (c *cell) assertNoViolations() {
	c.t.Helper()
	c.sim.Settle()
	for _, v := range c.checker.Violations(time.Now()) {
		c.t.Errorf("%s on %s: %s", v.Rule, v.On, v.Detail)
	}
}

// restore grants the expired authority again.
func (r *fakeAuthority) restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until = time.Time{}
}

// storeTime returns the faults of a working store that takes ms milliseconds per call.
func storeTime(ms int64) memstore.Faults { return memstore.Faults{AnswerDelayMS: ms} }
