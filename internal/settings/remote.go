package settings

import (
	"context"
	"encoding/json"
	"slices"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
)

// Remote makes operators' changes through any placer. A change is idempotent
// by its id, so one that got no answer is sent again to another placer.
type Remote struct {
	Caller peer.Caller
	Addrs  func() []string
}

// Change sends the change to the placers in turn until one decides. When none
// does, the error says whether the change can have been made.
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
	if err == nil || !unknown || e.Ran != result.RanNo || !slices.Contains(undecided, e.Code) {
		return accepted, err
	}
	return accepted, result.New(result.SettingsOutcomeUnknown, result.RanUnknown, "a placer got the change and gave no answer; then: %v", e)
}

// History returns the kept revisions, newest first.
func (r Remote) History(ctx context.Context) ([]Head, error) {
	var answer HistoryAnswer
	err := r.each(ctx, func(addr string) error {
		return r.Caller.Call(ctx, addr, peer.KindSettingsHistory, AskHistory{}, &answer)
	})
	if err != nil {
		return nil, err
	}
	var heads []Head
	err = json.Unmarshal(answer.Heads, &heads)
	return heads, err
}

// undecided are the codes after which another placer may know better.
var undecided = []result.Code{result.PeerNotReached, result.PeerLost, result.Stopping, result.NotReady,
	result.SettingsStoreDown, result.SettingsOutcomeUnknown}

// each calls the placers in turn until one decides.
func (r Remote) each(ctx context.Context, call func(addr string) error) error {
	var last error = result.New(result.NotReady, result.RanNo, "no placer is known")
	for _, addr := range r.Addrs() {
		last = call(addr)
		if last == nil || ctx.Err() != nil || !slices.Contains(undecided, result.CodeOf(last)) {
			return last
		}
	}
	return last
}
