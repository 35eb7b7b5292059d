// Package job is the jobs' home: it accepts jobs, keeps their records in the
// store, decides what has to run and asks the holders of workers to run it.
//
// There is one home for each partition of teams that this process holds. A home
// keeps the state of every task of its jobs in one table under one lock; the
// store sees a write per job and per group of finished tasks, never per start.
// Calls to holders and to the store are made outside the lock, and what they
// answer is applied only to the very attempt that they were about.
package job

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/hold"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
)

// componentName is the name of the jobs among the residents of a partition.
const componentName = "jobs"

// tableInterval is how often the table is looked at for changes.
const tableInterval = 250 * time.Millisecond

// Config is what a Manager works with. All fields are required.
type Config struct {
	Source view.Source
	Right  hold.Right
	// Store must settle lost answers and group commits: package confirm below
	// groupcommit.
	Store platform.Store
	Peers peer.Caller
	// PartitionKey returns the key of a partition's record in the store.
	PartitionKey func(partition int) string
	// Values returns the effective settings of a branch; ok is false when the
	// settings do not have it.
	Values func(branch string) (v settings.Values, ok bool)
	// Digests returns the latest digest of each live member, by member name.
	Digests func() map[string]taskmsg.Digest
	// StoreAge returns how long ago this process last reached the store; nil
	// counts as just now.
	StoreAge   func() time.Duration
	Registerer prometheus.Registerer
	Log        *logrus.Entry
}

// Manager holds the homes of this process. It is a hold.Resident.
type Manager struct {
	cfg     Config
	metrics *metrics

	cancel context.CancelFunc // ends watch

	holderList holderList

	mu     sync.Mutex
	owners map[int]*jobOwner
}

var _ hold.Resident = (*Manager)(nil)

// New returns a Manager without homes. Close ends it.
func New(cfg Config) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		cfg:     cfg,
		metrics: newMetrics(cfg.Registerer),
		cancel:  cancel,
		owners:  map[int]*jobOwner{},
	}
	go m.watchTable(ctx)
	return m
}

// watchTable rouses all homes whenever the table has changed, so that a home with
// nothing to do need not look by itself.
func (m *Manager) watchTable(ctx context.Context) {
	ticker := time.NewTicker(tableInterval)
	defer ticker.Stop()
	lastRevision := int64(-1)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		table := m.cfg.Source.Table()
		if table == nil || table.Revision == lastRevision {
			continue
		}
		lastRevision = table.Revision
		for _, o := range m.allOwners() {
			o.wakeLoop()
		}
	}
}

// Name implements hold.Resident.
func (m *Manager) Name() string { return componentName }

// Acquire implements hold.Resident: it starts the home, which reads the records
// of its jobs and asks every holder what runs of them before it starts any of
// them again. It returns at once; until the records are read the home refuses
// with JobHomeRecovering.
func (m *Manager) Acquire(_ context.Context, t hold.Takeover) error {
	o := newJobOwner(m, t)
	m.mu.Lock()
	old := m.owners[t.Partition]
	m.owners[t.Partition] = o
	m.mu.Unlock()
	if old != nil {
		old.stop()
	}
	o.start()
	return nil
}

// Release implements hold.Resident: it writes what is not yet recorded, as far
// as ctx allows, and ends the home. The next one learns the rest from the
// holders of workers.
func (m *Manager) Release(ctx context.Context, partition int) ([]byte, error) {
	o := m.jobOwner(partition)
	if o == nil {
		return nil, nil
	}
	o.quiesce()
	o.flushAll(ctx)
	m.Drop(partition)
	return nil, nil
}

// Drop implements hold.Resident.
func (m *Manager) Drop(partition int) {
	m.mu.Lock()
	o := m.owners[partition]
	delete(m.owners, partition)
	m.mu.Unlock()
	if o != nil {
		o.stop()
	}
}

// Close ends all homes without writing anything.
func (m *Manager) Close() {
	m.cancel()
	for _, o := range m.allOwners() {
		m.Drop(o.partition)
	}
}

// jobOwner returns the home of a partition, or nil.
func (m *Manager) jobOwner(partition int) *jobOwner {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owners[partition]
}

// allOwners returns the homes in ascending order of partitions.
func (m *Manager) allOwners() []*jobOwner {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*jobOwner, 0, len(m.owners))
	for _, o := range m.owners {
		out = append(out, o)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].partition < out[b].partition })
	return out
}

// authorizedOwner returns the home of a partition after checking that this process may
// act for it now.
func (m *Manager) authorizedOwner(partition int) (*jobOwner, error) {
	o := m.jobOwner(partition)
	if o == nil {
		return nil, result.New(result.JobHomeMoved, result.RanNo, "partition %d is not held here", partition).Later(time.Second)
	}
	if err := o.checkAuthority(); err != nil {
		return nil, err
	}
	return o, nil
}

// DumpOwner is one home in the dump of the process.
type DumpOwner struct {
	Partition     int    `json:"partition"`
	Epoch         uint64 `json:"epoch"`
	Phase         string `json:"phase"`
	Jobs          int    `json:"jobs"`
	LiveJobs      int    `json:"live_jobs"`
	UnackedStarts int    `json:"doubts"`
	Unwritten     int    `json:"unwritten"`
	// MissingInventories lists the worker partitions whose inventory is still missing.
	MissingInventories []int               `json:"uncovered"`
	Teams              map[string]DumpTeam `json:"teams"`
}

// Dump returns the state of all homes for /debug/state.
func (m *Manager) Dump() any {
	out := []DumpOwner{}
	for _, o := range m.allOwners() {
		out = append(out, o.dump())
	}
	return out
}
