package front

import (
	"context"
	"math/rand/v2"
	"time"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/record"
	"pulleyquay/internal/result"
)

// The store may turn single processes away while it serves the others. A process
// that it does not answer has its jobs stored by a peer. As a record is made only
// where none is, it does no harm when two processes do.

// Times of relaying.
const (
	// relayPatience bounds the wait for one peer, which itself may have to ask the
	// store more than once.
	relayPatience = 800 * time.Millisecond
	// mostRelays is how many peers are tried with a job.
	mostRelays = 2
)

// StoreRequest asks a peer to store a job.
type StoreRequest struct {
	Job record.Job `cbor:"1,keyasint"`
}

// StoreReply tells who made the job's record.
type StoreReply struct {
	// There is true when the record stood there before, Unsure when an earlier copy
	// of the same call may have made it.
	There  bool `cbor:"1,keyasint,omitempty"`
	Unsure bool `cbor:"2,keyasint,omitempty"`
}

// Serve stores jobs for peers.
func (f *Front) Serve(mux *peer.Mux) {
	peer.Handle(mux, peer.KindStoreJob, func(ctx context.Context, q StoreRequest) (StoreReply, error) {
		m, err := f.store(ctx, q.Job)
		return StoreReply{There: m == stoodThere, Unsure: m == mayBeHere}, err
	})
}

// relay has a job stored by a peer.
func (f *Front) relay(ctx context.Context, rec record.Job) (made, error) {
	doubt := false
	for _, addr := range f.relays(rec.ID) {
		callCtx, cancel := context.WithTimeout(ctx, relayPatience)
		var reply StoreReply
		err := f.Peers.Call(callCtx, addr, peer.KindStoreJob, StoreRequest{Job: rec}, &reply)
		cancel()
		switch {
		case err == nil && reply.There && !doubt:
			return stoodThere, nil
		case err == nil && (reply.There || reply.Unsure):
			return mayBeHere, nil
		case err == nil:
			return madeHere, nil
		}
		doubt = doubt || result.From(err).Ran != result.RanNo
		if ctx.Err() != nil {
			break
		}
	}
	if doubt {
		return 0, f.unsettled()
	}
	return 0, f.storeAway()
}

// relays are the peers to try, one after the other: the holder, which most likely
// has the store, and another one.
func (f *Front) relays(id string) []string {
	var out []string
	if h, ok := f.View.Holder(f.partition(id)); ok && h.Addr != f.Self {
		out = append(out, h.Addr)
	}
	members := f.View.Members(time.Now())
	rand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
	for _, m := range members {
		if len(out) >= mostRelays {
			break
		}
		if m.Addr != f.Self && (len(out) == 0 || m.Addr != out[0]) {
			out = append(out, m.Addr)
		}
	}
	if len(out) == 1 {
		out = append(out, out[0]) // its answer may have been lost
	}
	return out
}
