package settings

import (
	"context"
	"encoding/json"
	"slices"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
)

// Remote makes operators' changes through any placer. A change is idempotent by its id, so an unanswered one is sent
// again to another placer.
type Remote struct {
	Caller peer.Caller
	Addrs  func() []string
}

// Change sends the change to the placers in turn until one accepts or refuses it. When none does, the error's Ran
// says whether the change may have been made.
func (r Remote) Change(ctx context.Context, c Change) (Accepted, error) {
	var accepted Accepted
	unknown := false
	err := r.each(ctx, func(addr string) error {
		err := r.Caller.Call(ctx, addr, peer.KindSettingsChange, c, &accepted)
		if err != nil && result.From(err).Ran != result.RanNo {
			unknown, c.First = true, false
		}
		return err
	})
	e := result.From(err)
	if err == nil || !unknown || e.Ran != result.RanNo || !slices.Contains(retryableCodes, e.Code) {
		return accepted, err
	}
	return accepted, result.New(result.SettingsOutcomeUnknown, result.RanUnknown, "a placer got the change and gave no answer; then: %v", e)
}

// History returns the revisions in the history, newest first.
func (r Remote) History(ctx context.Context) ([]Head, error) {
	var reply HistoryReply
	err := r.each(ctx, func(addr string) error {
		return r.Caller.Call(ctx, addr, peer.KindSettingsHistory, HistoryRequest{}, &reply)
	})
	if err != nil {
		return nil, err
	}
	var heads []Head
	err = json.Unmarshal(reply.Heads, &heads)
	return heads, err
}

// retryableCodes are the codes after which the call is retried at another placer.
var retryableCodes = []result.Code{result.PeerNotReached, result.PeerLost, result.Stopping, result.NotReady,
	result.SettingsStoreDown, result.SettingsOutcomeUnknown}

// each calls the placers in turn until one succeeds or fails with a code that isn't retryable.
func (r Remote) each(ctx context.Context, call func(addr string) error) error {
	var last error = result.New(result.NotReady, result.RanNo, "no placer is known")
	for _, addr := range r.Addrs() {
		last = call(addr)
		if last == nil || ctx.Err() != nil || !slices.Contains(retryableCodes, result.CodeOf(last)) {
			return last
		}
	}
	return last
}
