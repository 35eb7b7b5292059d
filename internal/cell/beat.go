package cell

import (
	"context"
	"time"

	"pulleyquay/internal/ledger"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
)

// Beat is a member's question to the holder of a partition.
type Beat struct {
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

// BeatReply is the answer of whoever is asked.
type BeatReply struct {
	Incarnation string `cbor:"1,keyasint"`
	// Holds is true when the answering process is the holder.
	Holds bool `cbor:"2,keyasint"`
	// Cut is for how long it has been without the store.
	Cut time.Duration `cbor:"3,keyasint"`
	// Holder is the holder that it knows of, with its record's revision.
	Holder   ledger.Holder     `cbor:"4,keyasint"`
	Revision platform.Revision `cbor:"5,keyasint"`
	Catalog  int64             `cbor:"6,keyasint"`
	// Members are those that it knows, if they were asked for.
	Members []Member `cbor:"7,keyasint,omitempty"`
}

// OpinionRequest asks whether a member has heard a holder.
type OpinionRequest struct {
	Partition int    `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"`
}

// Opinion is what a member says of a holder.
type Opinion struct {
	// Hears is true when it has heard the holder lately.
	Hears bool `cbor:"1,keyasint"`
	// Holder is the holder that it knows of, with its record's revision.
	Holder   ledger.Holder     `cbor:"2,keyasint"`
	Revision platform.Revision `cbor:"3,keyasint"`
}

// SucceedRequest asks a member to claim a partition from a holder that leaves.
type SucceedRequest struct {
	Holder   ledger.Holder     `cbor:"1,keyasint"`
	Revision platform.Revision `cbor:"2,keyasint"`
}

// Empty is an answer that says nothing but that it came.
type Empty struct{}

// known puts a holder and its record's revision together again.
func known(h ledger.Holder, at platform.Revision) ledger.Holder {
	h.Revision = at
	return h
}

// onBeat answers a member's heartbeat.
func (c *Claimer) onBeat(_ context.Context, b Beat) (BeatReply, error) {
	if b.Partition < 0 || b.Partition >= len(c.watches) {
		return BeatReply{}, result.New(result.BadInput, result.RanNo, "partition %d", b.Partition)
	}
	if b.Catalog > c.CatalogVersion() {
		c.Behind(b.FromAddr)
	}
	h, _ := c.View.Holder(b.Partition)
	reply := BeatReply{
		Incarnation: c.Self.Incarnation, Holds: c.watches[b.Partition].holding(),
		Cut: c.cutFor(time.Now()), Holder: h, Revision: h.Revision, Catalog: c.CatalogVersion(),
	}
	if b.Members {
		reply.Members = c.View.Entered()
	}
	return reply, nil
}

// noticedAfter is for how long no call may have been answered before a process counts
// itself as cut from the store: longer than a store that is only slow takes.
const noticedAfter = 500 * time.Millisecond

// cutFor is for how long this process has been without the store: since the first call
// that nothing was answered after.
func (c *Claimer) cutFor(now time.Time) time.Duration {
	cut := c.Health.Failing(now)
	if silent := c.Health.Silent(now); silent >= noticedAfter {
		cut = max(cut, silent)
	}
	return cut
}

// onOpinion tells another member whether this one hears the holder.
func (c *Claimer) onOpinion(_ context.Context, q OpinionRequest) (Opinion, error) {
	if q.Partition < 0 || q.Partition >= len(c.watches) {
		return Opinion{}, result.New(result.BadInput, result.RanNo, "partition %d", q.Partition)
	}
	w := c.watches[q.Partition]
	h, _ := c.View.Holder(q.Partition)
	return Opinion{Hears: w.hears(q.Epoch, doubtAfter(c.View.Size()), time.Now()), Holder: h, Revision: h.Revision}, nil
}

// onSucceed claims a partition at its holder's wish.
func (c *Claimer) onSucceed(_ context.Context, q SucceedRequest) (Empty, error) {
	h := known(q.Holder, q.Revision)
	if h.Partition < 0 || h.Partition >= len(c.watches) {
		return Empty{}, result.New(result.BadInput, result.RanNo, "partition %d", h.Partition)
	}
	c.View.Learn(h)
	if c.Late.Slow() {
		return Empty{}, errSlow()
	}
	c.watches[h.Partition].invite(h.Epoch)
	return Empty{}, nil
}
