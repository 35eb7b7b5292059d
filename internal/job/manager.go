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

// residentName is the name of the jobs among the residents of a partition.
const residentName = "jobs"

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

	mu    sync.Mutex
	homes map[int]*home
}

var _ hold.Resident = (*Manager)(nil)

// New returns a Manager without homes. Close ends it.
func New(cfg Config) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		cfg:     cfg,
		metrics: newMetrics(cfg.Registerer),
		cancel:  cancel,
		homes:   map[int]*home{},
	}
	go m.watch(ctx)
	return m
}

// watch rouses all homes whenever the table has changed, so that a home with
// nothing to do need not look by itself.
func (m *Manager) watch(ctx context.Context) {
	ticker := time.NewTicker(tableInterval)
	defer ticker.Stop()
	seen := int64(-1)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		table := m.cfg.Source.Table()
		if table == nil || table.Revision == seen {
			continue
		}
		seen = table.Revision
		for _, h := range m.all() {
			h.rouse()
		}
	}
}

// Name implements hold.Resident.
func (m *Manager) Name() string { return residentName }

// Acquire implements hold.Resident: it starts the home, which reads the records
// of its jobs and asks every holder what runs of them before it starts any of
// them again. It returns at once; until the records are read the home refuses
// with JobHomeRecovering.
func (m *Manager) Acquire(_ context.Context, t hold.Takeover) error {
	h := newHome(m, t)
	m.mu.Lock()
	old := m.homes[t.Partition]
	m.homes[t.Partition] = h
	m.mu.Unlock()
	if old != nil {
		old.end()
	}
	h.start()
	return nil
}

// Release implements hold.Resident: it writes what is not yet recorded, as far
// as ctx allows, and ends the home. The next one learns the rest from the
// holders of workers.
func (m *Manager) Release(ctx context.Context, partition int) ([]byte, error) {
	h := m.home(partition)
	if h == nil {
		return nil, nil
	}
	h.quiesce()
	h.flushAll(ctx)
	m.Drop(partition)
	return nil, nil
}

// Drop implements hold.Resident.
func (m *Manager) Drop(partition int) {
	m.mu.Lock()
	h := m.homes[partition]
	delete(m.homes, partition)
	m.mu.Unlock()
	if h != nil {
		h.end()
	}
}

// Close ends all homes without writing anything.
func (m *Manager) Close() {
	m.cancel()
	for _, h := range m.all() {
		m.Drop(h.partition)
	}
}

// home returns the home of a partition, or nil.
func (m *Manager) home(partition int) *home {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.homes[partition]
}

// all returns the homes in ascending order of partitions.
func (m *Manager) all() []*home {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*home, 0, len(m.homes))
	for _, h := range m.homes {
		out = append(out, h)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].partition < out[b].partition })
	return out
}

// rightful returns the home of a partition after checking that this process may
// act for it now.
func (m *Manager) rightful(partition int) (*home, error) {
	h := m.home(partition)
	if h == nil {
		return nil, result.New(result.JobHomeMoved, result.RanNo, "partition %d is not held here", partition).Later(time.Second)
	}
	if err := h.checkRight(); err != nil {
		return nil, err
	}
	return h, nil
}

// DumpHome is one home in the dump of the process.
type DumpHome struct {
	Partition int    `json:"partition"`
	Epoch     uint64 `json:"epoch"`
	Phase     string `json:"phase"`
	Jobs      int    `json:"jobs"`
	LiveJobs  int    `json:"live_jobs"`
	Doubts    int    `json:"doubts"`
	Unwritten int    `json:"unwritten"`
	// Uncovered lists the worker partitions whose inventory is still missing.
	Uncovered []int               `json:"uncovered"`
	Teams     map[string]DumpTeam `json:"teams"`
}

// Dump returns the state of all homes for /debug/state.
func (m *Manager) Dump() any {
	out := []DumpHome{}
	for _, h := range m.all() {
		out = append(out, h.dump())
	}
	return out
}
