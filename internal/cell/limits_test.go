package cell

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/ledger"
	"pulleyquay/internal/overload"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform/follow"
)

var measured = overload.Report{Epoch: 3, Age: 100 * time.Millisecond, Limits: []overload.Limit{
	{Key: overload.Key{Queue: "q", Account: "a"}, Admit: 0.5, Wait: 4 * time.Second, RetryAfter: time.Second},
}}

// limitMember is a member with limits, and the reports that it has applied.
type limitMember struct {
	*Claimer
	measured *overload.Report
	inDoubt  bool
	applied  []overload.Report
	ttl      time.Duration
	sentAt   time.Time
}

func newLimitMember(name string) *limitMember {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := &limitMember{}
	m.Claimer = &Claimer{
		Self: Member{Name: name, Incarnation: name + "-1", Addr: name}, View: NewView(), Health: follow.NewHealth(nil),
		Log: log.WithField("member", name), CatalogVersion: func() int64 { return 1 }, monitors: []*holderMonitor{{}},
		Limits: &LimitExchange{
			Measured:    func(int, time.Time) *overload.Report { return m.measured },
			JobsInDoubt: func(time.Time) bool { return m.inDoubt },
			Apply: func(_ int, r overload.Report, ttl time.Duration, sentAt time.Time) {
				m.applied, m.ttl, m.sentAt = append(m.applied, r), ttl, sentAt
			},
		},
	}
	m.View.UpdateHolder(ledger.Holder{Epoch: 3, Name: "holder", Incarnation: "holder-1", Addr: "holder", Revision: 7})
	return m
}

// heartbeatsTo delivers heartbeats to a holder, encoded as on the wire, with a delay in each direction.
type heartbeatsTo struct {
	holder *limitMember
	delay  time.Duration
	lost   bool
}

func (p heartbeatsTo) Call(ctx context.Context, _ string, _ peer.Kind, req, resp any) error {
	if p.lost {
		return errors.New("lost")
	}
	time.Sleep(p.delay)
	data, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	var received Heartbeat
	if err := cbor.Unmarshal(data, &received); err != nil {
		return err
	}
	reply, err := p.holder.onHeartbeat(ctx, received)
	if err != nil {
		return err
	}
	time.Sleep(p.delay)
	if data, err = cbor.Marshal(reply); err != nil {
		return err
	}
	return cbor.Unmarshal(data, resp)
}

// beat sends one heartbeat from m.
func (m *limitMember) beat(t *testing.T, to heartbeatsTo) {
	m.Peers = to
	h, _ := m.View.Holder(0)
	m.monitors[0].trackEpoch(h.Epoch, time.Now())
	m.sendHeartbeat(t.Context(), m.monitors[0], h)
}

// TestLimitsTravelWithHeartbeats: a member applies the limits of the holder, as sent before the heartbeat at the
// latest; a process that does not hold the partition sends none, also if it once did.
func TestLimitsTravelWithHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		holder, member := newLimitMember("holder"), newLimitMember("member")
		holder.measured = &measured
		member.beat(t, heartbeatsTo{holder: holder})
		is.Equal(len(member.applied), 0) // not the holder
		holder.monitors[0].held = true
		start := time.Now()
		member.beat(t, heartbeatsTo{holder: holder, delay: 50 * time.Millisecond})
		is.Equal(member.applied, []overload.Report{measured})
		is.Equal(member.sentAt, start) // limits do not live longer because a reply was late
		is.Equal(member.ttl, 1500*time.Millisecond)
		member.beat(t, heartbeatsTo{holder: holder, lost: true})
		is.Equal(len(member.applied), 1)
	})
}

// TestHolderAppliesItsOwnLimits: a holder sends itself no heartbeats.
func TestHolderAppliesItsOwnLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		holder := newLimitMember("holder")
		holder.measured = &measured
		ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
		defer cancel()
		holder.applyOwnLimits(ctx, holder.monitors[0])
		is.Equal(len(holder.applied), 4)
		is.Equal(holder.applied[0], measured)
	})
}

// TestNoLimitsWhileJobsAreInDoubt: a caller that was told by one member that its job may be stored submits it to
// another one, which must not answer that it was not accepted. The holder reports that there are no limits until all members
// have answered for their jobs.
func TestNoLimitsWhileJobsAreInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		holder, asked, other := newLimitMember("holder"), newLimitMember("asked"), newLimitMember("other")
		holder.measured, holder.monitors[0].held = &measured, true
		to := heartbeatsTo{holder: holder}
		asked.inDoubt = true
		asked.beat(t, to)
		other.beat(t, to)
		is.Equal(other.applied, []overload.Report{{Epoch: 3, Age: 100 * time.Millisecond}}) // ends the limits
		asked.inDoubt = false
		time.Sleep(doubtRetention - time.Millisecond)
		other.beat(t, to)
		is.Equal(len(other.applied[1].Limits), 0)
		time.Sleep(time.Millisecond)
		other.beat(t, to)
		is.Equal(other.applied[2], measured)
		holder.inDoubt = true
		other.beat(t, to)
		is.Equal(len(other.applied[3].Limits), 0)
	})
}

// formerReply is a HeartbeatReply of a version without limits.
type formerReply struct {
	Incarnation string `cbor:"1,keyasint"`
	Holds       bool   `cbor:"2,keyasint"`
	Catalog     int64  `cbor:"6,keyasint"`
}

// TestVersionsWithoutLimits: such a version reads a reply with limits, and its own replies and heartbeats are read as
// without limits and without doubt.
func TestVersionsWithoutLimits(t *testing.T) {
	is := is.New(t)
	data, err := cbor.Marshal(HeartbeatReply{Incarnation: "a", Holds: true, Catalog: 4, Limits: &measured})
	is.NoErr(err)
	var former formerReply
	is.NoErr(cbor.Unmarshal(data, &former))
	is.Equal(former, formerReply{"a", true, 4})

	data, err = cbor.Marshal(former)
	is.NoErr(err)
	var reply HeartbeatReply
	is.NoErr(cbor.Unmarshal(data, &reply))
	is.True(reply.Holds && reply.Limits == nil)

	with, err := cbor.Marshal(HeartbeatReply{Incarnation: "a"})
	is.NoErr(err)
	var fields map[int]any
	is.NoErr(cbor.Unmarshal(with, &fields))
	_, sent := fields[9]
	is.True(!sent) // a reply without figures is that of the former version
	c := newLimitMember("member")
	c.Limits = nil // a process that neither measures nor applies limits
	c.monitors[0].held = true
	answer, err := c.onHeartbeat(t.Context(), Heartbeat{})
	is.NoErr(err)
	is.True(answer.Limits == nil)
	c.Limits.apply(0, &measured, 3, time.Now())
}

// TestLimitsOfLargeCellsLiveLonger: heartbeats are less frequent there.
func TestLimitsOfLargeCellsLiveLonger(t *testing.T) {
	is := is.New(t)
	is.Equal(limitTTL(32), 1500*time.Millisecond)
	is.Equal(limitTTL(43), 1500*time.Millisecond)
	is.Equal(limitTTL(300), 4500*time.Millisecond)
	is.True(limitMaxAge >= overload.SampleInterval+heartbeatTimeout)
}
