package settings

import (
	"context"
	"encoding/json"
	"errors"
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
	err := r.each(ctx, peer.KindSettingsChange, c, &accepted)
	return accepted, err
}

// History returns the kept revisions, newest first.
func (r Remote) History(ctx context.Context) ([]Head, error) {
	var answer HistoryAnswer
	if err := r.each(ctx, peer.KindSettingsHistory, AskHistory{}, &answer); err != nil {
		return nil, err
	}
	var heads []Head
	err := json.Unmarshal(answer.Heads, &heads)
	return heads, err
}

// undecided are the codes after which another placer may know better.
var undecided = []result.Code{result.PeerNotReached, result.PeerLost, result.Stopping, result.NotReady,
	result.SettingsStoreDown, result.SettingsOutcomeUnknown}

// each calls the placers in turn until one decides.
func (r Remote) each(ctx context.Context, kind peer.Kind, req, resp any) error {
	ran := result.RanNo
	last := result.New(result.NotReady, result.RanNo, "no placer is known")
	for _, addr := range r.Addrs() {
		err := r.Caller.Call(ctx, addr, kind, req, resp)
		if err == nil {
			return nil
		}
		var coded *result.Error
		if !errors.As(err, &coded) {
			coded = result.From(err)
		}
		if coded.Ran != result.RanNo {
			ran = result.RanUnknown
		}
		last = coded
		if !slices.Contains(undecided, coded.Code) || ctx.Err() != nil {
			break
		}
	}
	if ran == result.RanNo || last.Ran == ran {
		return last
	}
	if kind != peer.KindSettingsChange {
		return last
	}
	return result.New(result.SettingsOutcomeUnknown, result.RanUnknown, "a placer got the change and gave no answer; then: %v", last)
}
