package advice

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_800_000_000, 0)

func newSevenSlots() *QuerySlots {
	l := NewQuerySlots()
	l.SetMembers([]string{"a", "b", "c", "d", "e", "f", "g"})
	return l
}

// TestShortQueriesNeverWaitBehindLongOnes fills the query slots with long queries and
// checks that a short query is still answered without a wait.
func TestShortQueriesNeverWaitBehindLongOnes(t *testing.T) {
	is := is.New(t)
	for members := 2; members <= 9; members++ {
		l := NewQuerySlots()
		l.SetMembers([]string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}[:members])
		for {
			if _, _, ok := l.Assign(900*time.Millisecond, start); !ok {
				break
			}
		}
		if members < 3 {
			continue // queries of all durations share two query slots
		}
		_, answered, ok := l.Assign(8*time.Millisecond, start)
		is.True(ok)
		is.Equal(answered, start.Add(8*time.Millisecond))
	}
}

func TestOneMemberSendsAllQueries(t *testing.T) {
	is := is.New(t)
	l := NewQuerySlots()
	l.SetMembers([]string{"a"})
	for _, duration := range []time.Duration{5 * time.Millisecond, 60 * time.Millisecond, 700 * time.Millisecond} {
		name, _, ok := l.Assign(duration, start)
		is.True(ok)
		is.Equal(name, "a")
	}
	_, _, ok := NewQuerySlots().Assign(time.Millisecond, start)
	is.True(!ok) // there is no member to send the query
}

func TestLeastLoadedQuerySlotIsChosen(t *testing.T) {
	is := is.New(t)
	l := newSevenSlots()
	first, _, _ := l.Assign(700*time.Millisecond, start)
	second, _, _ := l.Assign(700*time.Millisecond, start)
	is.True(first != second)
	l.RecordReply(first, false, start, start.Add(100*time.Millisecond)) // earlier than estimated
	third, answered, _ := l.Assign(700*time.Millisecond, start.Add(100*time.Millisecond))
	is.True(third != second)
	is.Equal(answered, start.Add(800*time.Millisecond))
}

// TestFailedQuerySlotIsAvoided guards against the use of a member that has ended for good:
// every policy query about a large gang that was sent through it failed.
func TestFailedQuerySlotIsAvoided(t *testing.T) {
	is := is.New(t)
	l := newSevenSlots()
	now := start
	failures := 0
	for range 40 {
		name, _, ok := l.Assign(700*time.Millisecond, now)
		is.True(ok)
		failed := name == "g"
		if failed {
			failures++
		}
		sent := now
		now = now.Add(time.Second)
		l.RecordReply(name, failed, sent, now)
	}
	is.True(failures > 0)
	is.True(failures <= 8)
}

// TestFailuresOfOneEventCountOnce guards against an excessive back-off: with silent
// connections, eight queries of a query slot fail at the same time, and if each of them
// doubles the back-off, the query slot is not used for ten seconds.
func TestFailuresOfOneEventCountOnce(t *testing.T) {
	is := is.New(t)
	l := NewQuerySlots()
	l.SetMembers([]string{"a"})
	for range 8 {
		_, _, ok := l.Assign(8*time.Millisecond, start)
		is.True(ok)
	}
	failed := start.Add(400 * time.Millisecond)
	for range 8 {
		l.RecordReply("a", true, start, failed)
	}
	_, _, ok := l.Assign(8*time.Millisecond, failed.Add(initialBackoff-1))
	is.True(!ok)
	_, _, ok = l.Assign(8*time.Millisecond, failed.Add(initialBackoff))
	is.True(ok)
	l.RecordReply("a", true, failed.Add(initialBackoff), failed.Add(2*initialBackoff)) // failed again
	_, _, ok = l.Assign(8*time.Millisecond, failed.Add(3*initialBackoff))
	is.True(!ok)
}

// TestOtherQuerySlotsReplaceFailedOnes guards against short queries not being sent because
// all query slots for short queries have failed, while other query slots are idle.
func TestOtherQuerySlotsReplaceFailedOnes(t *testing.T) {
	is := is.New(t)
	l := newSevenSlots()
	for _, name := range []string{"a", "b"} {
		l.RecordReply(name, true, start, start)
	}
	for _, duration := range []time.Duration{8 * time.Millisecond, 60 * time.Millisecond, 700 * time.Millisecond} {
		name, _, ok := l.Assign(duration, start)
		is.True(ok)
		is.True(name != "a" && name != "b")
	}
	for _, name := range []string{"c", "d", "e", "f", "g"} {
		l.RecordReply(name, true, start, start)
	}
	_, _, ok := l.Assign(8*time.Millisecond, start)
	is.True(!ok)
	_, _, ok = l.Assign(8*time.Millisecond, start.Add(initialBackoff))
	is.True(ok) // one query slot is tried again
}
