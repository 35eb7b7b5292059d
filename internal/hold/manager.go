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
	// confirmed is the store session in which the cached partitions were read.
	confirmed uint64
	notReady  []string // reasons from checking the number of partitions and from joining
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
	k := &Manager{
		store: d.Store, peers: d.Peers, config: d.Config, log: d.Log, settings: d.SettingsRevision,
		metrics: newMetrics(d.Registry), session: member.NewSession(d.Store, d.Self, d.Config.times()),
		decideNow: make(chan struct{}, 1), renewNow: make(chan struct{}, 1),
		handOverLimit: make(chan struct{}, maxHandOvers), cache: newCache(), promises: right.NewVoterState(),
		fencings: map[right.MemberID]*fencing{}, unusedSince: map[right.MemberID]time.Time{}, renewals: map[right.MemberID]*delegateRenewal{},
	}
	for id := range d.Config.Partitions {
		k.slots = append(k.slots, newSlot(id))
	}
	k.table.Store(&view.Table{})
	k.heartbeats = heartbeat.New(d.Peers, d.Mux, &heartbeatHost{k}, d.Config.Heartbeat, d.Registry)
	peer.Handle(d.Mux, peer.KindStateTransfer, k.onHandOver)
	peer.Handle(d.Mux, peer.KindFence, k.onFence)
	return k, nil
}

// AddComponent adds a component; it must be called before Start. Partitions are released in the
// order of the calls and acquired in reverse order.
func (k *Manager) AddComponent(r Component) { k.components = append(k.components, r) }

// SetDelegate sets the part of the placer that renews dead members' task leases; it must be called
// before Start.
func (k *Manager) SetDelegate(d Delegate) { k.delegate = d }

// Provide adds a value to this process's heartbeats.
func (k *Manager) Provide(name string, fn func() any) { k.heartbeats.Provide(name, fn) }

// Extra decodes the value that a member last sent under the name. This process's own values are not
// included.
func (k *Manager) Extra(member, name string, into any) (age time.Duration, ok bool) {
	return k.heartbeats.Extra(member, name, into)
}

// Self returns this process as a member.
func (k *Manager) Self() view.Member { return k.session.Self() }

// Table returns the latest members and partitions. Its revision never decreases.
func (k *Manager) Table() *view.Table { return k.table.Load() }

// Changed returns a channel that is closed at the next change of the table.
func (k *Manager) Changed() <-chan struct{} { return k.changes.Next() }

// Start checks the number of partitions if the store answers, and starts to join, send heartbeats
// and claim. It returns at once; NotReadyReasons lists what is still missing.
func (k *Manager) Start(ctx context.Context) error {
	k.started = uptime.Now()
	if err := k.checkCount(ctx); err != nil {
		return err
	}
	ctx, k.cancel = context.WithCancel(context.WithoutCancel(ctx))
	for _, loop := range []func(context.Context){
		k.renewLoop, k.decideLoop, k.heartbeats.Run,
		func(ctx context.Context) { k.watchLoop(ctx, member.Prefix) },
		func(ctx context.Context) { k.watchLoop(ctx, PartitionPrefix) },
	} {
		k.loops.Add(1)
		go func() {
			defer k.loops.Done()
			loop(ctx)
		}()
	}
	return nil
}

// Stop hands over every partition, leaves the cell and ends all loops. If ctx ends first, or the
// store is unavailable, the remaining partitions are released in place or dropped, and other members
// acquire them like those of a dead holder.
func (k *Manager) Stop(ctx context.Context) error {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	if k.cancel == nil {
		return nil
	}
	k.wakeRenewal()
	err := k.waitHandedOver(ctx)
	k.cancel()
	k.loops.Wait()
	k.steps.Wait()
	if err != nil {
		// The member key stays until its lease ends: orders already sent under it may still be in
		// transit.
		k.dropAll()
		return err
	}
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), k.config.Term)
	defer cancel()
	if leaveErr := k.session.Leave(leaveCtx); leaveErr != nil {
		k.log.WithError(leaveErr).Warn("store did not confirm that this member has left")
	}
	return nil
}

func (k *Manager) waitHandedOver(ctx context.Context) error {
	tick := time.NewTicker(k.config.Heartbeat / 10)
	defer tick.Stop()
	lastConnected := uptime.Now()
	for {
		if k.idle() {
			return nil
		}
		if k.storeConnected() {
			lastConnected = uptime.Now()
		}
		if uptime.Since(lastConnected) > k.config.Term {
			k.releaseInPlace(ctx)
			return result.New(result.HandOverFailed, result.RanNo, "the store is not reached; finished without hand-over")
		}
		k.wakeDecide()
		select {
		case <-ctx.Done():
			return result.New(result.HandOverFailed, result.RanNo, "%d partitions were not handed over", len(k.Held()))
		case <-tick.C:
		}
	}
}

func (k *Manager) storeConnected() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.canMove()
}

// releaseInPlace lets the components finish the work in progress when a handover is not possible.
func (k *Manager) releaseInPlace(ctx context.Context) {
	var finished sync.WaitGroup
	k.mu.Lock()
	for _, s := range k.slots {
		if s.busy || s.machine.Current() != stateHeld {
			continue
		}
		s.busy = true
		s.event(eventRelease)
		finished.Add(1)
		go func() {
			defer finished.Done()
			k.releaseComponents(ctx, s.id)
			k.mu.Lock()
			s.event(eventReleased)
			s.busy = false
			k.mu.Unlock()
		}()
	}
	k.mu.Unlock()
	finished.Wait()
}

// idle reports whether this process owns no partition and has no step running.
func (k *Manager) idle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.slots {
		if s.busy || s.owned() {
			return false
		}
	}
	return true
}

// Check implements Authorizer.
func (k *Manager) Check(id int) (Grant, error) {
	now := uptime.Now()
	k.mu.Lock()
	if id < 0 || id >= len(k.slots) || !k.slots[id].acts() {
		k.mu.Unlock()
		return Grant{}, result.New(result.NotHolder, result.RanNo, "partition %d", id)
	}
	grant := k.grant(now, k.slots[id])
	k.mu.Unlock()
	if !grant.Until.After(now) {
		k.metrics.expired.Inc()
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
func (k *Manager) currentGrant(s *slot) Grant {
	now := uptime.Now()
	return k.grant(now, s).onGoClock(now)
}

// grant computes the authority over a slot's partition. The lock is held.
func (k *Manager) grant(now time.Time, s *slot) Grant {
	g := Grant{Partition: s.id, Epoch: s.record.Epoch}
	k.session.WithAuthority(func(h *right.Authority) { g.Until = h.Until(now, s.session) })
	return g
}

// Held implements Authorizer.
func (k *Manager) Held() []int {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []int
	for _, s := range k.slots {
		if s.acts() {
			out = append(out, s.id)
		}
	}
	return out
}

// NotReadyReasons lists what this process still lacks for full operation, for /readyz.
func (k *Manager) NotReadyReasons() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := append([]string(nil), k.notReady...)
	if len(k.cache.members) == 0 {
		out = append(out, "members: neither the store nor a seed has answered")
	} else if len(k.cache.listed) < 2 {
		out = append(out, "the store's own list of members and partitions; those of a peer are in use")
	}
	if state := k.session.State(); state != member.StateJoined {
		out = append(out, "membership: "+state)
	}
	return out
}

func (k *Manager) wakeDecide() {
	select {
	case k.decideNow <- struct{}{}:
	default:
	}
}

func (k *Manager) wakeRenewal() {
	select {
	case k.renewNow <- struct{}{}:
	default:
	}
}

func (k *Manager) memberID() right.MemberID {
	self := k.session.Self()
	return right.MemberID{Name: self.Name, Incarnation: self.Incarnation}
}
