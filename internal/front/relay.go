package front

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/record"
	"pulleyquay/internal/result"
)

// The store may be unreachable for single processes while it serves the others. A process that
// gets no answers from the store has its jobs stored by a peer. A record is created only if none
// exists, so it does no harm if two processes store the same job.

// Limits of relaying.
const (
	// relayTimeout bounds the call to one peer, which may itself have to send more than one
	// request to the store.
	relayTimeout = 800 * time.Millisecond
	// maxRelayTargets is the maximum number of calls to peers for one job.
	maxRelayTargets = 2
)

// StoreRequest asks a peer to store a job.
type StoreRequest struct {
	Job record.Job `cbor:"1,keyasint"`
}

// StoreReply reports which call created the job's record.
type StoreReply struct {
	// Existed is true if the record existed before the call. Uncertain is true if an earlier copy
	// of the same call may have created it.
	Existed   bool `cbor:"1,keyasint,omitempty"`
	Uncertain bool `cbor:"2,keyasint,omitempty"`
}

// Serve registers the handler that stores jobs for peers.
func (f *Front) Serve(mux *peer.Mux) {
	peer.Handle(mux, peer.KindStoreJob, func(ctx context.Context, q StoreRequest) (StoreReply, error) {
		m, err := f.storeOnPeerRequest(ctx, q.Job)
		return StoreReply{Existed: m == originExisting, Uncertain: m == originUncertain}, err
	})
}

// storeViaPeer has a job stored by a peer.
func (f *Front) storeViaPeer(ctx context.Context, rec record.Job) (origin, error) {
	outcomeUnknown := false
	for _, addr := range f.relayTargets(rec.ID) {
		callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
		var reply StoreReply
		err := f.Peers.Call(callCtx, addr, peer.KindStoreJob, StoreRequest{Job: rec}, &reply)
		cancel()
		switch {
		case err == nil && reply.Existed && !outcomeUnknown:
			return originExisting, nil
		case err == nil && (reply.Existed || reply.Uncertain):
			return originUncertain, nil
		case err == nil:
			return originThisCall, nil
		}
		outcomeUnknown = outcomeUnknown || result.From(err).Ran != result.RanNo
		if ctx.Err() != nil {
			break
		}
	}
	if outcomeUnknown {
		return 0, f.errOutcomeUnknown()
	}
	return 0, f.errStoreUnavailable()
}

// relayTargets returns the peers to try in order: the holder, which is the most likely to reach
// the store, and one other member.
func (f *Front) relayTargets(id string) []string {
	var out []string
	if h, ok := f.View.Holder(f.partition(id)); ok && h.Addr != f.Self {
		out = append(out, h.Addr)
	}
	members := slices.Clone(f.View.Members(time.Now())) // the view's list is shared
	rand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
	for _, m := range members {
		if len(out) >= maxRelayTargets {
			break
		}
		if m.Addr != f.Self && (len(out) == 0 || m.Addr != out[0]) {
			out = append(out, m.Addr)
		}
	}
	if len(out) == 1 {
		out = append(out, out[0]) // retried because its reply may have been lost
	}
	return out
}
