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

// TestHeartbeatRepliesStaySmall guards against member lists in all heartbeat replies. With many
// members they exceeded the capacity of the holder's link, and the holder was presumed dead.
func TestHeartbeatRepliesStaySmall(t *testing.T) {
	is := is.New(t)
	view := NewView()
	var records []platform.Record
	for i := range 300 {
		records = append(records, entry(is, fmt.Sprint("edge-", i)))
	}
	is.NoErr(view.applyMembers(records))
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
	is.True(size(Heartbeat{Catalog: 3, Members: true}) > 300*10) // a member without the store still receives them

	// Once it has the list, it is told that the list is the same: the replies to 205 of 585 members without the store
	// were 9.7 MB a second.
	reply, err := c.onHeartbeat(t.Context(), Heartbeat{Catalog: 3, Members: true})
	is.NoErr(err)
	is.True(size(Heartbeat{Catalog: 3, Members: true, MembersDigest: reply.MembersDigest}) < 200)
	is.NoErr(view.applyChange(platform.Change{Record: entry(is, "joins")}))
	is.True(size(Heartbeat{Catalog: 3, Members: true, MembersDigest: reply.MembersDigest}) > 300*10)
}

// TestReportIsRenewedWithoutTheList checks that reported members are kept as long as the peer has the same list, and
// are requested again once the report has expired.
func TestReportIsRenewedWithoutTheList(t *testing.T) {
	is := is.New(t)
	v := NewView()
	now := time.Unix(1_800_000_000, 0)
	v.applyReport([]Member{{Name: "a", Addr: "a:1"}}, 7, now)
	for range 5 {
		now = now.Add(reportedMemberTTL / 2)
		is.Equal(v.reportedDigest(now), uint64(7))
		v.applyReport(nil, 7, now)
		is.Equal(names(v.Members(now)), []string{"a"})
	}
	v.applyReport([]Member{{Name: "b", Addr: "b:1"}}, 9, now) // a has left
	for range 3 {
		now = now.Add(reportedMemberTTL / 2)
		v.applyReport(nil, 9, now)
		is.Equal(names(v.Members(now)), []string{"b"})
	}
	v.applyReport(nil, 8, now) // of another list
	now = now.Add(reportedMemberTTL + 1)
	is.Equal(v.reportedDigest(now), uint64(0))
	is.Equal(len(v.Members(now)), 0)
}

// TestHolderWithoutStore checks that a holder reports a store outage from its first unanswered
// call on, and that a member which the store has not answered since then does not start a
// failover.
func TestHolderWithoutStore(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		unansweredFor     time.Duration // age of the holder's open call; zero for none
		memberAnsweredAgo time.Duration // time since the last reply to the member
		storeOutage       bool
	}{
		"store answers the holder":                {0, 100 * ms, false},
		"reply to the holder is pending":          {400 * ms, 100 * ms, false},
		"outage, member reaches the store":        {800 * ms, 100 * ms, true},
		"outage at holder and member":             {800 * ms, 900 * ms, false},
		"outage, last reply to the member as old": {800 * ms, 800 * ms, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				now := time.Now()
				holder, member := follow.NewHealth(nil), follow.NewHealth(nil)
				holder.RecordCall(true, now.Add(-time.Second))
				if tc.unansweredFor > 0 {
					holder.RecordSend(now.Add(-tc.unansweredFor))
				}
				member.RecordCall(true, now.Add(-tc.memberAnsweredAgo))
				reply, err := (&Claimer{View: NewView(), Health: holder, CatalogVersion: func() int64 { return 0 }, monitors: []*holderMonitor{{}}}).onHeartbeat(t.Context(), Heartbeat{})
				is.NoErr(err)
				monitor := &holderMonitor{storeOutage: reply.StoreOutage, lastContact: now}
				e := (&Claimer{View: NewView(), Health: member}).evidence(monitor, ledger.Holder{Epoch: 3, Incarnation: "a-1"})
				is.Equal(e.Dead(), tc.storeOutage)
			})
		})
	}
}
