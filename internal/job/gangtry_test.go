package job

import (
	"context"
	"testing"
	"time"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// scriptedPeers is a Caller that keeps the reservations of each holder. Like a real holder it
// starts everything that it has reserved.
type scriptedPeers struct {
	capacity map[string]int
	held     map[string]map[int]bool
	lose     map[string]int // replies to reservation requests still to be lost
	order    []string       // requests in order of arrival
}

func (s *scriptedPeers) Call(_ context.Context, addr string, kind peer.Kind, req, resp any) error {
	switch m := req.(type) {
	case taskmsg.GangReserveRequest:
		s.order = append(s.order, addr+" hold")
		reply := resp.(*taskmsg.GangReserveReply)
		for _, slot := range m.Slots {
			if !s.held[addr][slot.Index] && len(s.held[addr]) < s.capacity[addr] {
				s.held[addr][slot.Index] = true
			}
			if s.held[addr][slot.Index] {
				reply.Reserved = append(reply.Reserved, slot)
			}
		}
		if s.lose[addr] > 0 {
			s.lose[addr]--
			*reply = taskmsg.GangReserveReply{}
			return result.New(result.PeerLost, result.RanUnknown, "lost")
		}
	case taskmsg.GangFinishRequest:
		if !m.Start {
			s.order = append(s.order, addr+" release")
			s.held[addr] = map[int]bool{}
		}
	}
	return nil
}

// newScriptedTry returns a try of a gang of n tasks with scripted holders a and b.
func newScriptedTry(t *testing.T, n int) (*gangTry, *scriptedPeers) {
	o, j := newStaticOwner(t, phaseReady, false, spec.KindGang, n)
	s := &scriptedPeers{capacity: map[string]int{}, held: map[string]map[int]bool{"a": {}, "b": {}}, lose: map[string]int{}}
	o.m.cfg.Peers = s
	var slots []taskmsg.Slot
	for i := range n {
		slots = append(slots, o.newAttempt(j, i))
	}
	o.fireGangEvent(j, gangEventHold)
	return newGangTry(o, j, taskmsg.Shape{Job: j.id()}, slots, []holder{{addr: "a", member: "a"}, {addr: "b", member: "b"}}, time.Now()), s
}

// TestSlotsAreReservedOnce frees capacity while a gang gathers reservations, after a reply was
// lost. No two holders may have reserved the same slot in the end.
func TestSlotsAreReservedOnce(t *testing.T) {
	try, s := newScriptedTry(t, 6)
	is := try.owner.m.cfg.Source.(*cell).is
	s.capacity["a"], s.capacity["b"], s.lose["b"] = 2, 3, 1
	is.True(!try.reserveAll())
	s.capacity["a"] = 4 // two more than before
	is.True(try.reserveAll())
	for i := range s.held["a"] {
		is.True(!s.held["b"][i])
	}
	is.Equal(s.order, []string{"a hold", "b hold", "a hold", "b release", "b hold"})
}

// TestExpiringReservationIsNotStarted lets the first reservation get too old before the gang is
// started.
func TestExpiringReservationIsNotStarted(t *testing.T) {
	try, s := newScriptedTry(t, 4)
	is := try.owner.m.cfg.Source.(*cell).is
	s.capacity["a"], s.capacity["b"] = 2, 2
	is.True(try.reserveAll())
	try.parts[0].reservedAt = time.Now().Add(-gangReservationTTL)
	is.True(!try.beginStart())
	try.parts[0].reservedAt = time.Now()
	is.True(try.beginStart())
}
