// Package job implements the owner of jobs: it accepts jobs, keeps their records in the store,
// decides which tasks have to run and asks the holders of hosts to run them.
//
// This process runs one job owner (the "home" in messages and texts) for each partition of teams
// that it holds. A job owner keeps the state of every task of its jobs in one table under one lock.
// The store gets a write per job and per group of finished tasks, never per start. Calls to holders
// and to the store are made outside the lock, and a reply is applied only to the attempts that the
// request was about.
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

// componentName is the name of this package among the components of a partition.
const componentName = "jobs"

// tableInterval is the polling interval for changes of the partition table.
const tableInterval = 250 * time.Millisecond

// Config holds the dependencies of a Manager. All fields are required.
type Config struct {
	Source     view.Source
	Authorizer hold.Authorizer
	// Store must resolve lost replies and group commits: package confirm below groupcommit.
	Store platform.Store
	Peers peer.Caller
	// PartitionKey returns the key of a partition's record in the store.
	PartitionKey func(partition int) string
	// Values returns the effective settings of a branch; ok is false when the
	// settings do not have it.
	Values func(branch string) (v settings.Values, ok bool)
	// Digests returns the latest digest of each live member, by member name.
	Digests func() map[string]taskmsg.Digest
	// StoreAge returns the time since this process last reached the store; nil counts as zero.
	StoreAge   func() time.Duration
	Registerer prometheus.Registerer
	Log        *logrus.Entry
}

// Manager manages the job owners of this process. It implements hold.Component.
type Manager struct {
	cfg     Config
	metrics *metrics

	cancel context.CancelFunc // stops watchTable

	holderList holderList

	mu     sync.Mutex
	owners map[int]*jobOwner
}

var _ hold.Component = (*Manager)(nil)

// New returns a Manager without job owners and starts watching the partition table. Close stops it.
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

// watchTable wakes all job owners whenever the partition table has changed, so that an idle job
// owner need not poll it.
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

// Name implements hold.Component.
func (m *Manager) Name() string { return componentName }

// Acquire implements hold.Component. It starts the job owner, which reads the job records and asks
// every holder for an inventory of their runs before it restarts any of them. It returns at once;
// until the records are read, requests are refused with JobHomeRecovering.
func (m *Manager) Acquire(_ context.Context, t hold.Acquisition) error {
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

// Release implements hold.Component. It writes the changed records within the time limit of ctx and
// stops the job owner. The next one gets the remaining state from the holders of hosts.
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

// Drop implements hold.Component.
func (m *Manager) Drop(partition int) {
	m.mu.Lock()
	o := m.owners[partition]
	delete(m.owners, partition)
	m.mu.Unlock()
	if o != nil {
		o.stop()
	}
}

// Close stops all job owners without writing records.
func (m *Manager) Close() {
	m.cancel()
	for _, o := range m.allOwners() {
		m.Drop(o.partition)
	}
}

// jobOwner returns the job owner of a partition, or nil.
func (m *Manager) jobOwner(partition int) *jobOwner {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owners[partition]
}

// allOwners returns the job owners in ascending order of partitions.
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

// authorizedOwner returns the job owner of a partition after checking that this process has the
// authority to act for it.
func (m *Manager) authorizedOwner(partition int) (*jobOwner, error) {
	o := m.jobOwner(partition)
	if o == nil {
		return nil, result.New(result.JobHomeMoved, result.RanNo, "partition %d is not held here", partition).WithRetryAfter(time.Second)
	}
	if err := o.checkAuthority(); err != nil {
		return nil, err
	}
	return o, nil
}

// DumpOwner is one job owner in the dump of the process.
type DumpOwner struct {
	Partition     int    `json:"partition"`
	Epoch         uint64 `json:"epoch"`
	Phase         string `json:"phase"`
	Jobs          int    `json:"jobs"`
	LiveJobs      int    `json:"live_jobs"`
	UnackedStarts int    `json:"doubts"`
	Unwritten     int    `json:"unwritten"`
	// MissingInventories lists the host partitions without a complete inventory.
	MissingInventories []int               `json:"uncovered"`
	Teams              map[string]DumpTeam `json:"teams"`
}

// Dump returns the state of all job owners for /debug/state.
func (m *Manager) Dump() any {
	out := []DumpOwner{}
	for _, o := range m.allOwners() {
		out = append(out, o.dump())
	}
	return out
}
