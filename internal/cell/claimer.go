package cell

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/lateness"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/resend"
	"pulleyquay/internal/result"
	"pulleyquay/internal/uptime"
	"pulleyquay/internal/wait"
)

const (
	// MinHeartbeatInterval is the heartbeat interval in cells of few members.
	MinHeartbeatInterval = 200 * time.Millisecond
	// heartbeatTimeout bounds the wait for the reply to a heartbeat.
	heartbeatTimeout = 500 * time.Millisecond
	// statusTimeout bounds the wait for the other members' holder status.
	statusTimeout = 150 * time.Millisecond
	// claimTimeout bounds the transaction of a claim, with its retries.
	claimTimeout = 3 * time.Second
	// firstClaimDelay is the time after its start at which a member may claim a partition that
	// has never been held. By then the other members have registered.
	firstClaimDelay = 600 * time.Millisecond
	// strongerCheckInterval is how often a holder checks for a member with much more processor
	// time, to hand the partition over to it.
	strongerCheckInterval = time.Second
	// handoverTimeout bounds the wait for the next holder's claim in a handover.
	handoverTimeout = 1500 * time.Millisecond
)

// Hold runs a partition that this process has claimed after the previous holder, until ctx
// ends or the partition is lost. It returns the cause.
type Hold func(ctx context.Context, l *ledger.Ledger, previous ledger.Predecessor) error

// Claimer monitors the holders of all partitions and claims the partitions of failed holders.
type Claimer struct {
	Self   Member
	View   *View
	Store  platform.Poller
	Writes *resend.Sender // sends transactions to Store
	Health *follow.Health
	Peers  peer.Caller
	Log    *logrus.Entry
	Hold   Hold
	// CatalogVersion returns the version of the configuration in force. Behind is called with
	// the address of a member that has a newer one.
	CatalogVersion func() int64
	Behind         func(addr string)
	// EvacuationsRevision returns the revision up to which the evacuated zones are known, EvacuationsChanged that of
	// their last known change. Behind is called for a later change as well. They are nil if the zones aren't followed.
	EvacuationsRevision, EvacuationsChanged func() platform.Revision
	// Limits connects this process to the limits on jobs; nil if it neither measures nor applies any.
	Limits *LimitExchange
	// Lateness measures the lateness of this process's timers. Start runs it.
	Lateness *lateness.Timers

	started   time.Time // by package uptime; the peer address was this process's by then
	monitors  []*holderMonitor
	watch     watch
	leaving   chan struct{}
	leaveOnce sync.Once
	running   sync.WaitGroup
}

// holderMonitor has the state of the failure detection for one partition's holder.
type holderMonitor struct {
	partition int

	mu          sync.Mutex
	epoch       uint64    // of the monitored holder
	heldSince   time.Time // when this process first observed that holder's claim
	lastContact time.Time // when it last replied as the holder
	// refused is true while connections to its address are refused, replaced once another
	// incarnation has replied there; storeOutage is the outage that its last reply reported.
	refused, replaced bool
	storeOutage       time.Duration
	invitedEpoch      uint64 // epoch of a holder that requested a handover to this process
	held              bool
	stop              context.CancelFunc // stops the holder in this process
	chainRevision     platform.Revision  // of the chain's key when last read
	chainChangedAt    time.Time          // when a read first returned chainRevision
	chainReadAt       time.Time          // when the chain's key was last read
	// endedEpoch is the epoch of a holder that is proven to give no more orders, zero if there is
	// none. endObservedAt and endAge are as in ledger.HolderEnd.
	endedEpoch    uint64
	endObservedAt time.Time
	endAge        time.Duration
	doubtAt       time.Time // when a member last reported jobs in doubt
}

// Start registers the message handlers and starts monitoring the partitions.
func (c *Claimer) Start(ctx context.Context, mux *peer.Mux, partitions int) {
	c.started, c.leaving = uptime.Now(), make(chan struct{})
	for p := range partitions {
		c.monitors = append(c.monitors, &holderMonitor{partition: p})
	}
	peer.Handle(mux, peer.KindMemberHeartbeat, c.onHeartbeat)
	peer.Handle(mux, peer.KindHolderStatus, c.onHolderStatus)
	peer.Handle(mux, peer.KindHandover, c.onHandover)
	go c.Lateness.Run(ctx)
	for _, monitor := range c.monitors {
		c.running.Go(func() { c.monitor(ctx, monitor) })
	}
}

func (monitor *holderMonitor) isHeld() bool {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.held
}

func (monitor *holderMonitor) isInContact(epoch uint64, limit time.Duration, now time.Time) bool {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.held || monitor.epoch == epoch && now.Sub(monitor.lastContact) < limit
}

func (monitor *holderMonitor) invite(epoch uint64) {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	monitor.invitedEpoch = epoch
}

// trackEpoch resets the monitor if the holder has changed. The new holder has the full silence
// limit to reply to a heartbeat.
func (monitor *holderMonitor) trackEpoch(epoch uint64, now time.Time) {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	if monitor.epoch != epoch {
		monitor.epoch, monitor.lastContact, monitor.chainChangedAt, monitor.chainRevision = epoch, now, time.Time{}, 0
		monitor.heldSince = now
		monitor.refused, monitor.replaced, monitor.storeOutage = false, false, 0
	}
}

// monitor sends heartbeats to one partition's holder and claims the partition if the holder is
// considered dead.
func (c *Claimer) monitor(ctx context.Context, monitor *holderMonitor) {
	for ctx.Err() == nil {
		h, _ := c.View.Holder(monitor.partition)
		monitor.trackEpoch(h.Epoch, time.Now())
		if c.Health.SinceLastReply(time.Now()) > time.Hour {
			wait.For(ctx, MinHeartbeatInterval/4) // no information before the store's first reply
			continue
		}
		if h.Epoch > 0 && h.Incarnation != c.Self.Incarnation {
			go c.sendHeartbeat(ctx, monitor, h)
		}
		if c.isLeaving() || !c.isHolderDead(ctx, monitor, c.evidence(monitor, h)) {
			c.waitForChange(ctx, monitor, h.Epoch)
			continue
		}
		c.claim(ctx, monitor, h)
	}
}

// waitForChange waits until the next heartbeat is due, the holder has changed or a handover is
// requested of a process that is not stopping.
func (c *Claimer) waitForChange(ctx context.Context, monitor *holderMonitor, epoch uint64) {
	holder, _ := c.View.Holder(monitor.partition)
	timer := time.NewTimer(c.watch.interval(c.View.Members(time.Now()), holder.Name, c.Self.Name))
	defer timer.Stop()
	for {
		changed := c.View.Changed()
		if h, _ := c.View.Holder(monitor.partition); h.Epoch != epoch || monitor.isInvited(epoch) && !c.isLeaving() {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (monitor *holderMonitor) isInvited(epoch uint64) bool {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.invitedEpoch == epoch && epoch != 0
}

// sendHeartbeat sends one heartbeat and processes the reply. Heartbeats may overlap; each reply
// is processed on arrival.
func (c *Claimer) sendHeartbeat(ctx context.Context, monitor *holderMonitor, h ledger.Holder) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var reply HeartbeatReply
	sent := time.Now()
	err := c.Peers.Call(ctx, h.Addr, peer.KindMemberHeartbeat, Heartbeat{
		Partition: monitor.partition, From: c.Self.Name, FromAddr: c.Self.Addr, Catalog: c.CatalogVersion(),
		Members: c.Health.FailingFor(time.Now()) > 0, MembersDigest: c.View.reportedDigest(time.Now()), JobsInDoubt: c.Limits.jobsInDoubt(),
		Evacuations: revisionOf(c.EvacuationsChanged),
	}, &reply)
	received := time.Now()
	switch {
	case err != nil:
	case reply.Incarnation == h.Incarnation:
		c.applyReply(reply)
		c.Limits.apply(monitor.partition, reply.Limits, c.View.Size(), sent)
	case reply.Incarnation != "":
		monitor.recordEnd(h.Epoch, received, reply.Uptime)
	}
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	if monitor.epoch != h.Epoch {
		return
	}
	switch {
	case err != nil:
		monitor.refused = result.CodeOf(err) == result.PeerNotReached && ctx.Err() == nil
	case reply.Incarnation != h.Incarnation:
		monitor.replaced = true
	default:
		monitor.refused, monitor.storeOutage = false, reply.StoreOutage
		if reply.Holds {
			monitor.lastContact = time.Now()
		}
	}
}

func (c *Claimer) applyReply(reply HeartbeatReply) {
	c.View.UpdateHolder(withRevision(reply.Holder, reply.Revision))
	if c.Health.FailingFor(time.Now()) > 0 {
		c.View.applyReport(reply.Members, reply.MembersDigest, time.Now())
	}
	if reply.Catalog > c.CatalogVersion() || reply.Evacuations > revisionOf(c.EvacuationsRevision) {
		c.Behind(reply.Holder.Addr)
	}
}
