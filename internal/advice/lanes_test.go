package advice

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_800_000_000, 0)

func newSevenSlots() *QuerySlots {
	q := NewQuerySlots()
	q.SetMembers([]string{"a", "b", "c", "d", "e", "f", "g"})
	return q
}

// query returns a query of one of the first steps of a class.
func query(d time.Duration) Request {
	return Request{Class: ClassOf(d, ByTask), Length: d, Duration: d, Share: 1}
}

// TestShortQueriesNeverWaitBehindLongOnes fills the query slots with long queries and
// checks that a short query is still answered without a wait.
func TestShortQueriesNeverWaitBehindLongOnes(t *testing.T) {
	is := is.New(t)
	for members := 2; members <= 9; members++ {
		q := NewQuerySlots()
		q.SetMembers([]string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}[:members])
		for {
			if _, _, ok := q.Assign(query(900*time.Millisecond), start); !ok {
				break
			}
		}
		if members < 3 {
			continue // queries of all durations share two query slots
		}
		_, replyAt, ok := q.Assign(query(8*time.Millisecond), start)
		is.True(ok)
		is.Equal(replyAt, start.Add(8*time.Millisecond))
	}
}

func TestOneMemberSendsAllQueries(t *testing.T) {
	is := is.New(t)
	q := NewQuerySlots()
	q.SetMembers([]string{"a"})
	for _, duration := range []time.Duration{5 * time.Millisecond, 60 * time.Millisecond, 700 * time.Millisecond} {
		name, _, ok := q.Assign(query(duration), start)
		is.True(ok)
		is.Equal(name, "a")
	}
	_, _, ok := NewQuerySlots().Assign(query(time.Millisecond), start)
	is.True(!ok) // there is no member to send the query
}

func TestLeastLoadedQuerySlotIsChosen(t *testing.T) {
	is := is.New(t)
	q := newSevenSlots()
	first, _, _ := q.Assign(query(700*time.Millisecond), start)
	second, _, _ := q.Assign(query(700*time.Millisecond), start)
	is.True(first != second)
	q.RecordReply(first, false, start, start.Add(100*time.Millisecond)) // earlier than estimated
	third, replyAt, _ := q.Assign(query(700*time.Millisecond), start.Add(100*time.Millisecond))
	is.True(third != second)
	is.Equal(replyAt, start.Add(800*time.Millisecond))
}

// TestFailedQuerySlotIsAvoided guards against the use of a member that has ended for good:
// every policy query about a large gang that was sent through it failed.
func TestFailedQuerySlotIsAvoided(t *testing.T) {
	is := is.New(t)
	q := newSevenSlots()
	now := start
	failures := 0
	for range 40 {
		name, _, ok := q.Assign(query(700*time.Millisecond), now)
		is.True(ok)
		failed := name == "g"
		if failed {
			failures++
		}
		sent := now
		now = now.Add(time.Second)
		q.RecordReply(name, failed, sent, now)
	}
	is.True(failures > 0)
	is.True(failures <= 8)
}

// TestFailuresOfOneEventCountOnce guards against an excessive back-off: with silent
// connections, eight queries of a query slot fail at the same time, and if each of them
// doubles the back-off, the query slot is not used for ten seconds.
func TestFailuresOfOneEventCountOnce(t *testing.T) {
	is := is.New(t)
	q := NewQuerySlots()
	q.SetMembers([]string{"a"})
	for range 8 {
		_, _, ok := q.Assign(query(8*time.Millisecond), start)
		is.True(ok)
	}
	failedAt := start.Add(400 * time.Millisecond)
	for range 8 {
		q.RecordReply("a", true, start, failedAt)
	}
	_, _, ok := q.Assign(query(8*time.Millisecond), failedAt.Add(initialBackoff-1))
	is.True(!ok)
	_, _, ok = q.Assign(query(8*time.Millisecond), failedAt.Add(initialBackoff))
	is.True(ok)
	q.RecordReply("a", true, failedAt.Add(initialBackoff), failedAt.Add(2*initialBackoff)) // failed again
	_, _, ok = q.Assign(query(8*time.Millisecond), failedAt.Add(3*initialBackoff))
	is.True(!ok)
}

// TestOtherQuerySlotsReplaceFailedOnes guards against short queries not being sent because
// all query slots for short queries have failed, while other query slots are idle.
func TestOtherQuerySlotsReplaceFailedOnes(t *testing.T) {
	is := is.New(t)
	q := newSevenSlots()
	for _, name := range []string{"a", "b"} {
		q.RecordReply(name, true, start, start)
	}
	for _, duration := range []time.Duration{8 * time.Millisecond, 60 * time.Millisecond, 700 * time.Millisecond} {
		name, _, ok := q.Assign(query(duration), start)
		is.True(ok)
		is.True(name != "a" && name != "b")
	}
	for _, name := range []string{"c", "d", "e", "f", "g"} {
		q.RecordReply(name, true, start, start)
	}
	_, _, ok := q.Assign(query(8*time.Millisecond), start)
	is.True(!ok)
	_, _, ok = q.Assign(query(8*time.Millisecond), start.Add(initialBackoff))
	is.True(ok) // one query slot is tried again
}
