package hold

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/heartbeat"
	"pulleyquay/internal/member"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
	"pulleyquay/internal/right"
	"pulleyquay/internal/uptime"
	"pulleyquay/internal/view"
)

// maxHandOvers is the number of concurrent handovers.
const maxHandOvers = 8

// Manager maintains this process's membership and partitions, and implements Authorizer.
type Manager struct {
	store      platform.Store
	peers      peer.Caller
	config     Config
	log        *logrus.Entry
	metrics    *metrics
	session    *member.Session
	heartbeats *heartbeat.Service
	settings   func() int64
	started    time.Time

	components []Component
	delegate   Delegate

	decideNow chan struct{} // wakes the decision loop
	renewNow  chan struct{} // wakes the renewal loop
	cancel    context.CancelFunc
	loops     sync.WaitGroup // the loops that Start runs
	steps     sync.WaitGroup // running steps and fences
	table     atomic.Pointer[view.Table]
	// changes notifies those that wait for a newer table.
	changes       view.Broadcast
	handOverLimit chan struct{} // limits concurrent handovers

	mu          sync.Mutex
	cache       *cache
	slots       []*slot
	promises    *right.VoterState
	fencings    map[right.MemberID]*fencing
	unusedSince map[right.MemberID]time.Time // when each unused voter record became unused
	renewals    map[right.MemberID]*delegateRenewal
	leaving     bool
	// confirmedSession is the store session in which the cached partitions were read.
	confirmedSession uint64
	notReady         []string // reasons from checking the number of partitions and from joining
}

// New returns a Manager and registers its message handlers in the mux.
func New(d Deps) (*Manager, error) {
	if err := d.Config.Check(); err != nil {
		return nil, err
	}
	if err := checkSelf(d.Self); err != nil {
		return nil, err
	}
	if d.Self.Incarnation == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return nil, result.New(result.Internal, result.RanNo, "incarnation: %v", err)
		}
		d.Self.Incarnation = id.String()
	}
	if d.SettingsRevision == nil {
		d.SettingsRevision = func() int64 { return 0 }
	}
	m := &Manager{
		store: d.Store, peers: d.Peers, config: d.Config, log: d.Log, settings: d.SettingsRevision,
		metrics: newMetrics(d.Registry), session: member.NewSession(d.Store, d.Self, d.Config.times()),
		decideNow: make(chan struct{}, 1), renewNow: make(chan struct{}, 1),
		handOverLimit: make(chan struct{}, maxHandOvers), cache: newCache(), promises: right.NewVoterState(),
		fencings: map[right.MemberID]*fencing{}, unusedSince: map[right.MemberID]time.Time{}, renewals: map[right.MemberID]*delegateRenewal{},
	}
	for id := range d.Config.Partitions {
		m.slots = append(m.slots, newSlot(id))
	}
	m.table.Store(&view.Table{})
	m.heartbeats = heartbeat.New(d.Peers, d.Mux, &heartbeatHost{m}, d.Config.Heartbeat, d.Registry)
	peer.Handle(d.Mux, peer.KindStateTransfer, m.onHandOver)
	peer.Handle(d.Mux, peer.KindFence, m.onFence)
	return m, nil
}

// AddComponent adds a component; it must be called before Start. Partitions are released in the
// order of the calls and acquired in reverse order.
func (m *Manager) AddComponent(r Component) { m.components = append(m.components, r) }

// SetDelegate sets the part of the placer that renews dead members' task leases; it must be called
// before Start.
func (m *Manager) SetDelegate(d Delegate) { m.delegate = d }

// Provide adds a value to this process's heartbeats.
func (m *Manager) Provide(name string, fn func() any) { m.heartbeats.Provide(name, fn) }

// Extra decodes the value that a member last sent under the name. This process's own values are not
// included.
func (m *Manager) Extra(member, name string, into any) (age time.Duration, ok bool) {
	return m.heartbeats.Extra(member, name, into)
}

// Self returns this process as a member.
func (m *Manager) Self() view.Member { return m.session.Self() }

// Table returns the latest members and partitions. Its revision never decreases.
func (m *Manager) Table() *view.Table { return m.table.Load() }

// Changed returns a channel that is closed at the next change of the table.
func (m *Manager) Changed() <-chan struct{} { return m.changes.Next() }

// Start checks the number of partitions if the store answers, and starts to join, send heartbeats
// and claim. It returns at once; NotReadyReasons lists what is still missing.
func (m *Manager) Start(ctx context.Context) error {
	m.started = uptime.Now()
	if err := m.checkCount(ctx); err != nil {
		return err
	}
	ctx, m.cancel = context.WithCancel(context.WithoutCancel(ctx))
	for _, loop := range []func(context.Context){
		m.renewLoop, m.decideLoop, m.heartbeats.Run,
		func(ctx context.Context) { m.watchLoop(ctx, member.Prefix) },
		func(ctx context.Context) { m.watchLoop(ctx, PartitionPrefix) },
	} {
		m.loops.Add(1)
		go func() {
			defer m.loops.Done()
			loop(ctx)
		}()
	}
	return nil
}

// Stop hands over every partition, leaves the cell and ends all loops. If ctx ends first, or the
// store is unavailable, the remaining partitions are released in place or dropped, and other members
// acquire them like those of a dead holder.
func (m *Manager) Stop(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	if m.cancel == nil {
		return nil
	}
	m.wakeRenewal()
	err := m.waitHandedOver(ctx)
	m.cancel()
	m.loops.Wait()
	m.steps.Wait()
	if err != nil {
		// The member key stays until its lease ends: orders already sent under it may still be in
		// transit.
		m.dropAll()
		return err
	}
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), m.config.Term)
	defer cancel()
	if leaveErr := m.session.Leave(leaveCtx); leaveErr != nil {
		m.log.WithError(leaveErr).Warn("store did not confirm that this member has left")
	}
	return nil
}

func (m *Manager) waitHandedOver(ctx context.Context) error {
	tick := time.NewTicker(m.config.Heartbeat / 10)
	defer tick.Stop()
	lastConnected := uptime.Now()
	for {
		if m.idle() {
			return nil
		}
		if m.storeConnected() {
			lastConnected = uptime.Now()
		}
		if uptime.Since(lastConnected) > m.config.Term {
			m.releaseInPlace(ctx)
			return result.New(result.HandOverFailed, result.RanNo, "the store is not reached; finished without hand-over")
		}
		m.wakeDecide()
		select {
		case <-ctx.Done():
			return result.New(result.HandOverFailed, result.RanNo, "%d partitions were not handed over", len(m.Held()))
		case <-tick.C:
		}
	}
}

func (m *Manager) storeConnected() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.canMove()
}

// releaseInPlace lets the components finish the work in progress when a handover is not possible.
func (m *Manager) releaseInPlace(ctx context.Context) {
	var finished sync.WaitGroup
	m.mu.Lock()
	for _, s := range m.slots {
		if s.busy || s.machine.Current() != stateHeld {
			continue
		}
		s.busy = true
		s.event(eventRelease)
		finished.Add(1)
		go func() {
			defer finished.Done()
			m.releaseComponents(ctx, s.id)
			m.mu.Lock()
			s.event(eventReleased)
			s.busy = false
			m.mu.Unlock()
		}()
	}
	m.mu.Unlock()
	finished.Wait()
}

// idle reports whether this process owns no partition and has no step running.
func (m *Manager) idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.slots {
		if s.busy || s.owned() {
			return false
		}
	}
	return true
}

// Check implements Authorizer.
func (m *Manager) Check(id int) (Grant, error) {
	now := uptime.Now()
	m.mu.Lock()
	if id < 0 || id >= len(m.slots) || !m.slots[id].acts() {
		m.mu.Unlock()
		return Grant{}, result.New(result.NotHolder, result.RanNo, "partition %d", id)
	}
	grant := m.grant(now, m.slots[id])
	m.mu.Unlock()
	if !grant.Until.After(now) {
		m.metrics.expired.Inc()
		return Grant{}, result.New(result.AuthorityExpired, result.RanNo, "partition %d epoch %d", id, grant.Epoch)
	}
	return grant.onGoClock(now), nil
}

// onGoClock returns the grant with its end converted to Go's monotonic clock, which the callers
// read. Inside this package times come from a clock that counts suspensions of the machine: by the
// monotonic clock alone a process that was suspended for seconds would continue to act beside its
// successor.
func (g Grant) onGoClock(now time.Time) Grant {
	g.Until = time.Now().Add(g.Until.Sub(now))
	return g
}

// currentGrant returns the grant for a slot on Go's monotonic clock. The lock is held.
func (m *Manager) currentGrant(s *slot) Grant {
	now := uptime.Now()
	return m.grant(now, s).onGoClock(now)
}

// grant computes the authority over a slot's partition. The lock is held.
func (m *Manager) grant(now time.Time, s *slot) Grant {
	g := Grant{Partition: s.id, Epoch: s.record.Epoch}
	m.session.WithAuthority(func(a *right.Authority) { g.Until = a.Until(now, s.session) })
	return g
}

// Held implements Authorizer.
func (m *Manager) Held() []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []int
	for _, s := range m.slots {
		if s.acts() {
			out = append(out, s.id)
		}
	}
	return out
}

// NotReadyReasons lists what this process still lacks for full operation, for /readyz.
func (m *Manager) NotReadyReasons() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := append([]string(nil), m.notReady...)
	if len(m.cache.members) == 0 {
		out = append(out, "members: neither the store nor a seed has answered")
	} else if len(m.cache.listed) < 2 {
		out = append(out, "the store's own list of members and partitions; those of a peer are in use")
	}
	if state := m.session.State(); state != member.StateJoined {
		out = append(out, "membership: "+state)
	}
	return out
}

func (m *Manager) wakeDecide() {
	select {
	case m.decideNow <- struct{}{}:
	default:
	}
}

func (m *Manager) wakeRenewal() {
	select {
	case m.renewNow <- struct{}{}:
	default:
	}
}

func (m *Manager) memberID() right.MemberID {
	self := m.session.Self()
	return right.MemberID{Name: self.Name, Incarnation: self.Incarnation}
}
