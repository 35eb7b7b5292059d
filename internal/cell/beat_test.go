package cell

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"pulleyquay/internal/ledger"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
)

// TestBeatsStaySmall: each answer to a heartbeat carried all members, more than the link
// of a holder of many members could take, which then was taken for dead.
func TestBeatsStaySmall(t *testing.T) {
	is := is.New(t)
	view := NewView()
	var records []platform.Record
	for i := range 300 {
		records = append(records, entry(is, fmt.Sprint("edge-", i)))
	}
	is.NoErr(view.applyList(records))
	c := &Claimer{
		View: view, Health: follow.NewHealth(nil), CatalogVersion: func() int64 { return 3 },
		monitors: []*holderMonitor{{}},
	}
	size := func(b Heartbeat) int {
		reply, err := c.onHeartbeat(t.Context(), b)
		is.NoErr(err)
		data, err := cbor.Marshal(reply)
		is.NoErr(err)
		return len(data)
	}
	is.True(size(Heartbeat{Catalog: 3}) < 200)
	is.True(size(Heartbeat{Catalog: 3, Members: true}) > 300*10) // a member without the store still learns them
}

// TestHolderCutFromTheStore: a holder tells for how long it has been without the store
// from its first unanswered call on; a member that the store has not answered since
// either does not try to take over.
func TestHolderCutFromTheStore(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		unansweredFor     time.Duration // ago, by the holder; zero for answered
		memberAnsweredAgo time.Duration // ago, to the member
		storeOutage       bool
	}{
		"the store answers the holder":           {0, 100 * ms, false},
		"an answer to the holder is due":         {400 * ms, 100 * ms, false},
		"cut, and the member reaches the store":  {800 * ms, 100 * ms, true},
		"cut, and nobody has heard of the store": {800 * ms, 900 * ms, false},
		"cut, heard just before":                 {800 * ms, 800 * ms, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				now := time.Now()
				holder, member := follow.NewHealth(nil), follow.NewHealth(nil)
				holder.Note(true, now.Add(-time.Second))
				if tc.unansweredFor > 0 {
					holder.Asked(now.Add(-tc.unansweredFor))
				}
				member.Note(true, now.Add(-tc.memberAnsweredAgo))
				reply, err := (&Claimer{View: NewView(), Health: holder, CatalogVersion: func() int64 { return 0 }, monitors: []*holderMonitor{{}}}).onHeartbeat(t.Context(), Heartbeat{})
				is.NoErr(err)
				w := &holderMonitor{storeOutage: reply.StoreOutage, lastContact: now}
				e := (&Claimer{View: NewView(), Health: member}).evidence(w, ledger.Holder{Epoch: 3, Incarnation: "a-1"})
				is.Equal(e.Dead(), tc.storeOutage)
			})
		})
	}
}
