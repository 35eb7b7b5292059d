package cell

import (
	"context"
	"time"

	"pulleyquay/internal/ledger"
	"pulleyquay/internal/overload"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
	"pulleyquay/internal/uptime"
)

// Heartbeat is sent periodically by each member to the holder of a partition.
type Heartbeat struct {
	Partition int    `cbor:"1,keyasint"`
	From      string `cbor:"2,keyasint"`
	// Catalog is the version of the configuration in force at the sender.
	Catalog int64 `cbor:"3,keyasint"`
	// FromAddr is the sender's peer address, from which a newer configuration can be fetched.
	FromAddr string `cbor:"4,keyasint"`
	// Members requests the member list in the reply, since the store does not answer the
	// sender. The list is large in a large cell: it is left out if it has the digest MembersDigest.
	Members bool `cbor:"5,keyasint,omitempty"`
	// JobsInDoubt is true if the sender has told callers lately that it does not know whether their jobs are
	// stored, or is about to. They may submit these jobs to any member.
	JobsInDoubt bool `cbor:"6,keyasint,omitempty"`
	// Evacuations is the revision of the last change of the evacuated zones that the sender knows.
	Evacuations platform.Revision `cbor:"7,keyasint,omitempty"`
	// MembersDigest is the digest of the member list that the sender last received; zero for none.
	MembersDigest uint64 `cbor:"8,keyasint,omitempty"`
}

// HeartbeatReply is the reply of the process at the holder's address, which may not be the
// holder.
type HeartbeatReply struct {
	Incarnation string `cbor:"1,keyasint"`
	// Holds is true if the replying process is the holder.
	Holds bool `cbor:"2,keyasint"`
	// StoreOutage is the time for which the store has not answered the replying process.
	StoreOutage time.Duration `cbor:"3,keyasint"`
	// Holder is the last known holder, Revision the revision of its record.
	Holder   ledger.Holder     `cbor:"4,keyasint"`
	Revision platform.Revision `cbor:"5,keyasint"`
	Catalog  int64             `cbor:"6,keyasint"`
	// Members are the registered members, if they were requested and the sender does not have the same list.
	Members []Member `cbor:"7,keyasint,omitempty"`
	// Uptime is for how long the replying process has had its peer address at least, including
	// suspensions. The process that had the address before had ended by then. It is zero if the
	// replying process does not report it.
	Uptime time.Duration `cbor:"8,keyasint,omitempty"`
	// Limits are the limits on jobs that the replying process measured as the holder; nil if it has no figures or
	// does not report them.
	Limits *overload.Report `cbor:"9,keyasint,omitempty"`
	// Evacuations is the revision of the last change of the evacuated zones that the replying process knows.
	Evacuations platform.Revision `cbor:"10,keyasint,omitempty"`
	// MembersDigest is the digest of the requested member list; zero if none was requested.
	MembersDigest uint64 `cbor:"11,keyasint,omitempty"`
}

// HolderStatusRequest asks a member whether it is in contact with a holder.
type HolderStatusRequest struct {
	Partition int    `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"`
}

// HolderStatus is a member's view of a holder.
type HolderStatus struct {
	// Reachable is true if the member recently received a reply from the holder.
	Reachable bool `cbor:"1,keyasint"`
	// Holder is the last known holder, Revision the revision of its record.
	Holder   ledger.Holder     `cbor:"2,keyasint"`
	Revision platform.Revision `cbor:"3,keyasint"`
}

// HandoverRequest asks a member to claim a partition from its current holder.
type HandoverRequest struct {
	Holder   ledger.Holder     `cbor:"1,keyasint"`
	Revision platform.Revision `cbor:"2,keyasint"`
	// Released is true if the holder has stopped and gives no more orders. A holder that is slow
	// stays the holder until its partition is claimed.
	Released bool `cbor:"3,keyasint,omitempty"`
}

// Empty is a reply without content: it only acknowledges the request.
type Empty struct{}

// withRevision returns h with the revision, which is not part of the encoded record.
func withRevision(h ledger.Holder, at platform.Revision) ledger.Holder {
	h.Revision = at
	return h
}

// onHeartbeat replies to a heartbeat and starts an update of the configuration if the sender
// has a newer one.
func (c *Claimer) onHeartbeat(_ context.Context, req Heartbeat) (HeartbeatReply, error) {
	if req.Partition < 0 || req.Partition >= len(c.monitors) {
		return HeartbeatReply{}, result.New(result.BadInput, result.RanNo, "partition %d", req.Partition)
	}
	if req.Catalog > c.CatalogVersion() || req.Evacuations > revisionOf(c.EvacuationsRevision) {
		c.Behind(req.FromAddr)
	}
	h, _ := c.View.Holder(req.Partition)
	reply := HeartbeatReply{
		Incarnation: c.Self.Incarnation, Holds: c.monitors[req.Partition].isHeld(),
		StoreOutage: c.storeOutage(time.Now()), Holder: h, Revision: h.Revision, Catalog: c.CatalogVersion(),
		Uptime: uptime.Since(c.started), Evacuations: revisionOf(c.EvacuationsChanged),
	}
	if req.Members {
		reply.Members, reply.MembersDigest = c.View.registeredSince(req.MembersDigest)
	}
	if req.JobsInDoubt {
		c.monitors[req.Partition].recordDoubt(time.Now())
	}
	if reply.Holds {
		reply.Limits = c.measuredLimits(c.monitors[req.Partition], time.Now())
	}
	return reply, nil
}

// revisionOf returns the result of a function, 0 if it is nil.
func revisionOf(fn func() platform.Revision) platform.Revision {
	if fn == nil {
		return 0
	}
	return fn()
}

// storeSilenceThreshold is the time without any answered call after which a process considers
// itself disconnected from the store. It exceeds the latency of a store that is merely slow.
const storeSilenceThreshold = 500 * time.Millisecond

// storeOutage returns the time for which the store has not answered this process: the time
// since the first call after which no call was answered.
func (c *Claimer) storeOutage(now time.Time) time.Duration {
	outage := c.Health.FailingFor(now)
	if silent := c.Health.UnansweredFor(now); silent >= storeSilenceThreshold {
		outage = max(outage, silent)
	}
	return outage
}

// onHolderStatus replies whether this process is in contact with the holder.
func (c *Claimer) onHolderStatus(_ context.Context, req HolderStatusRequest) (HolderStatus, error) {
	if req.Partition < 0 || req.Partition >= len(c.monitors) {
		return HolderStatus{}, result.New(result.BadInput, result.RanNo, "partition %d", req.Partition)
	}
	m := c.monitors[req.Partition]
	h, _ := c.View.Holder(req.Partition)
	now := time.Now()
	limit := silenceLimit(c.watch.interval(c.View.Members(now), h.Name, c.Self.Name))
	return HolderStatus{Reachable: m.isInContact(req.Epoch, limit, now), Holder: h, Revision: h.Revision}, nil
}

// onHandover accepts the request to claim a partition, unless this process is slow or stopping.
func (c *Claimer) onHandover(_ context.Context, req HandoverRequest) (Empty, error) {
	h := withRevision(req.Holder, req.Revision)
	if h.Partition < 0 || h.Partition >= len(c.monitors) {
		return Empty{}, result.New(result.BadInput, result.RanNo, "partition %d", h.Partition)
	}
	c.View.UpdateHolder(h)
	if req.Released {
		c.monitors[h.Partition].recordEnd(h.Epoch, time.Now(), 0)
	}
	if c.isLeaving() {
		return Empty{}, result.New(result.NotReady, result.RanNo, "this process is stopping")
	}
	if c.Lateness.Slow() {
		return Empty{}, errProcessSlow()
	}
	c.monitors[h.Partition].invite(h.Epoch)
	return Empty{}, nil
}
