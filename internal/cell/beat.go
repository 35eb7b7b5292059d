package cell

import (
	"context"
	"time"

	"pulleyquay/internal/ledger"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
)

// Heartbeat is a member's question to the holder of a partition.
type Heartbeat struct {
	Partition int    `cbor:"1,keyasint"`
	From      string `cbor:"2,keyasint"`
	// Catalog is the version of the configuration that the sender has in force.
	Catalog int64 `cbor:"3,keyasint"`
	// FromAddr is where the sender can be asked for a newer configuration.
	FromAddr string `cbor:"4,keyasint"`
	// Members asks for those that the other knows, as the sender lacks the store. They
	// are many bytes in a large cell.
	Members bool `cbor:"5,keyasint,omitempty"`
}

// HeartbeatReply is the answer of whoever is asked.
type HeartbeatReply struct {
	Incarnation string `cbor:"1,keyasint"`
	// Holds is true when the answering process is the holder.
	Holds bool `cbor:"2,keyasint"`
	// StoreOutage is for how long it has been without the store.
	StoreOutage time.Duration `cbor:"3,keyasint"`
	// Holder is the holder that it knows of, with its record's revision.
	Holder   ledger.Holder     `cbor:"4,keyasint"`
	Revision platform.Revision `cbor:"5,keyasint"`
	Catalog  int64             `cbor:"6,keyasint"`
	// Members are those that it knows, if they were asked for.
	Members []Member `cbor:"7,keyasint,omitempty"`
}

// HolderStatusRequest asks whether a member has heard a holder.
type HolderStatusRequest struct {
	Partition int    `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"`
}

// HolderStatus is what a member says of a holder.
type HolderStatus struct {
	// Reachable is true when it has heard the holder lately.
	Reachable bool `cbor:"1,keyasint"`
	// Holder is the holder that it knows of, with its record's revision.
	Holder   ledger.Holder     `cbor:"2,keyasint"`
	Revision platform.Revision `cbor:"3,keyasint"`
}

// HandoverRequest asks a member to claim a partition from a holder that leaves.
type HandoverRequest struct {
	Holder   ledger.Holder     `cbor:"1,keyasint"`
	Revision platform.Revision `cbor:"2,keyasint"`
}

// Empty is an answer that says nothing but that it came.
type Empty struct{}

// withRevision puts a holder and its record's revision together again.
func withRevision(h ledger.Holder, at platform.Revision) ledger.Holder {
	h.Revision = at
	return h
}

// onHeartbeat answers a member's heartbeat.
func (c *Claimer) onHeartbeat(_ context.Context, req Heartbeat) (HeartbeatReply, error) {
	if req.Partition < 0 || req.Partition >= len(c.monitors) {
		return HeartbeatReply{}, result.New(result.BadInput, result.RanNo, "partition %d", req.Partition)
	}
	if req.Catalog > c.CatalogVersion() {
		c.Behind(req.FromAddr)
	}
	h, _ := c.View.Holder(req.Partition)
	reply := HeartbeatReply{
		Incarnation: c.Self.Incarnation, Holds: c.monitors[req.Partition].isHeld(),
		StoreOutage: c.storeOutage(time.Now()), Holder: h, Revision: h.Revision, Catalog: c.CatalogVersion(),
	}
	if req.Members {
		reply.Members = c.View.Registered()
	}
	return reply, nil
}

// storeSilenceThreshold is for how long no call may have been answered before a process counts
// itself as cut from the store: longer than a store that is only slow takes.
const storeSilenceThreshold = 500 * time.Millisecond

// storeOutage is for how long this process has been without the store: since the first call
// that nothing was answered after.
func (c *Claimer) storeOutage(now time.Time) time.Duration {
	outage := c.Health.Failing(now)
	if silent := c.Health.Silent(now); silent >= storeSilenceThreshold {
		outage = max(outage, silent)
	}
	return outage
}

// onHolderStatus tells another member whether this one hears the holder.
func (c *Claimer) onHolderStatus(_ context.Context, req HolderStatusRequest) (HolderStatus, error) {
	if req.Partition < 0 || req.Partition >= len(c.monitors) {
		return HolderStatus{}, result.New(result.BadInput, result.RanNo, "partition %d", req.Partition)
	}
	m := c.monitors[req.Partition]
	h, _ := c.View.Holder(req.Partition)
	return HolderStatus{Reachable: m.isInContact(req.Epoch, silenceLimit(c.View.Size()), time.Now()), Holder: h, Revision: h.Revision}, nil
}

// onHandover claims a partition at its holder's wish.
func (c *Claimer) onHandover(_ context.Context, req HandoverRequest) (Empty, error) {
	h := withRevision(req.Holder, req.Revision)
	if h.Partition < 0 || h.Partition >= len(c.monitors) {
		return Empty{}, result.New(result.BadInput, result.RanNo, "partition %d", h.Partition)
	}
	c.View.Learn(h)
	if c.Late.Slow() {
		return Empty{}, errProcessSlow()
	}
	c.monitors[h.Partition].invite(h.Epoch)
	return Empty{}, nil
}
