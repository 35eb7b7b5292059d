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

// scripted is a Caller that keeps, for each holder, what it holds; a holder
// starts whatever it holds, as a real one does.
type scripted struct {
	room  map[string]int
	held  map[string]map[int]bool
	lose  map[string]int // answers to holds still to be lost
	order []string       // what was sent, in order
}

func (s *scripted) Call(_ context.Context, addr string, kind peer.Kind, req, resp any) error {
	switch m := req.(type) {
	case taskmsg.GangHold:
		s.order = append(s.order, addr+" hold")
		reply := resp.(*taskmsg.GangHeld)
		for _, slot := range m.Slots {
			if !s.held[addr][slot.Index] && len(s.held[addr]) < s.room[addr] {
				s.held[addr][slot.Index] = true
			}
			if s.held[addr][slot.Index] {
				reply.Held = append(reply.Held, slot)
			}
		}
		if s.lose[addr] > 0 {
			s.lose[addr]--
			*reply = taskmsg.GangHeld{}
			return result.New(result.PeerLost, result.RanUnknown, "lost")
		}
	case taskmsg.GangEnd:
		if !m.Start {
			s.order = append(s.order, addr+" release")
			s.held[addr] = map[int]bool{}
		}
	}
	return nil
}

// tryOf makes a try of a gang of n tasks with scripted holders a and b.
func tryOf(t *testing.T, n int) (*gangTry, *scripted) {
	h, j := still(t, phaseReady, false, spec.KindGang, n)
	s := &scripted{room: map[string]int{}, held: map[string]map[int]bool{"a": {}, "b": {}}, lose: map[string]int{}}
	h.m.cfg.Peers = s
	var slots []taskmsg.Slot
	for i := range n {
		slots = append(slots, h.reserve(j, i))
	}
	h.moveGang(j, gangEventHold)
	return newGangTry(h, j, taskmsg.Shape{Job: j.id()}, slots, []holder{{addr: "a", member: "a"}, {addr: "b", member: "b"}}, time.Now()), s
}

// TestSlotsAreHeldOnce lets room come free while a gang gathers, after an answer
// was lost: no two holders hold the same slot at the end.
func TestSlotsAreHeldOnce(t *testing.T) {
	try, s := tryOf(t, 6)
	is := try.h.m.cfg.Source.(*cell).is
	s.room["a"], s.room["b"], s.lose["b"] = 2, 3, 1
	is.True(!try.holdAll())
	s.room["a"] = 4 // two more than before
	is.True(try.holdAll())
	for i := range s.held["a"] {
		is.True(!s.held["b"][i])
	}
	is.Equal(s.order, []string{"a hold", "b hold", "a hold", "b release", "b hold"})
}

// TestLapsingHoldIsNotStarted lets the first hold grow old while others are
// asked for.
func TestLapsingHoldIsNotStarted(t *testing.T) {
	try, s := tryOf(t, 4)
	is := try.h.m.cfg.Source.(*cell).is
	s.room["a"], s.room["b"] = 2, 2
	is.True(try.holdAll())
	try.parts[0].since = time.Now().Add(-gangHoldTime)
	is.True(!try.commit())
	try.parts[0].since = time.Now()
	is.True(try.commit())
}
