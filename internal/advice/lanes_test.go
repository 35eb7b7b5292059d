package advice

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_800_000_000, 0)

func seven() *Lanes {
	l := NewLanes()
	l.SetMembers([]string{"a", "b", "c", "d", "e", "f", "g"})
	return l
}

// TestShortQuestionsNeverWaitBehindLongOnes books as many long questions as the
// lanes take; a short one is then still answered at once.
func TestShortQuestionsNeverWaitBehindLongOnes(t *testing.T) {
	is := is.New(t)
	for members := 2; members <= 9; members++ {
		l := NewLanes()
		l.SetMembers([]string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}[:members])
		for {
			if _, _, ok := l.Book(900*time.Millisecond, start); !ok {
				break
			}
		}
		if members < 3 {
			continue // two lanes are shared by all
		}
		_, answered, ok := l.Book(8*time.Millisecond, start)
		is.True(ok)
		is.Equal(answered, start.Add(8*time.Millisecond))
	}
}

func TestOneMemberAsksEverything(t *testing.T) {
	is := is.New(t)
	l := NewLanes()
	l.SetMembers([]string{"a"})
	for _, took := range []time.Duration{5 * time.Millisecond, 60 * time.Millisecond, 700 * time.Millisecond} {
		name, _, ok := l.Book(took, start)
		is.True(ok)
		is.Equal(name, "a")
	}
	_, _, ok := NewLanes().Book(time.Millisecond, start)
	is.True(!ok) // nobody can ask
}

func TestLeastBookedLaneIsTaken(t *testing.T) {
	is := is.New(t)
	l := seven()
	first, _, _ := l.Book(700*time.Millisecond, start)
	second, _, _ := l.Book(700*time.Millisecond, start)
	is.True(first != second)
	l.Answered(first, false, start, start.Add(100*time.Millisecond)) // sooner than worked out
	third, answered, _ := l.Book(700*time.Millisecond, start.Add(100*time.Millisecond))
	is.True(third != second)
	is.Equal(answered, start.Add(800*time.Millisecond))
}

// TestFailedLaneIsLeftAlone: a member that was gone for good stayed among those
// asked, and every question about a large gang was lost there.
func TestFailedLaneIsLeftAlone(t *testing.T) {
	is := is.New(t)
	l := seven()
	now := start
	lost := 0
	for range 40 {
		name, _, ok := l.Book(700*time.Millisecond, now)
		is.True(ok)
		failed := name == "g"
		if failed {
			lost++
		}
		asked := now
		now = now.Add(time.Second)
		l.Answered(name, failed, asked, now)
	}
	is.True(lost > 0)
	is.True(lost <= 8)
}

// TestFailuresOfOneEventCountOnce: when connections fell silent, eight questions of a
// lane failed at the same moment, and the lane was left alone for ten seconds.
func TestFailuresOfOneEventCountOnce(t *testing.T) {
	is := is.New(t)
	l := NewLanes()
	l.SetMembers([]string{"a"})
	for range 8 {
		_, _, ok := l.Book(8*time.Millisecond, start)
		is.True(ok)
	}
	failed := start.Add(400 * time.Millisecond)
	for range 8 {
		l.Answered("a", true, start, failed)
	}
	_, _, ok := l.Book(8*time.Millisecond, failed.Add(firstRest-1))
	is.True(!ok)
	_, _, ok = l.Book(8*time.Millisecond, failed.Add(firstRest))
	is.True(ok)
	l.Answered("a", true, failed.Add(firstRest), failed.Add(2*firstRest)) // failed again
	_, _, ok = l.Book(8*time.Millisecond, failed.Add(3*firstRest))
	is.True(!ok)
}

// TestFailedLanesAreStoodInFor: the lanes that short questions may use were all
// left alone, while others had nothing to do.
func TestFailedLanesAreStoodInFor(t *testing.T) {
	is := is.New(t)
	l := seven()
	for _, name := range []string{"a", "b"} {
		l.Answered(name, true, start, start)
	}
	for _, took := range []time.Duration{8 * time.Millisecond, 60 * time.Millisecond, 700 * time.Millisecond} {
		name, _, ok := l.Book(took, start)
		is.True(ok)
		is.True(name != "a" && name != "b")
	}
	for _, name := range []string{"c", "d", "e", "f", "g"} {
		l.Answered(name, true, start, start)
	}
	_, _, ok := l.Book(8*time.Millisecond, start)
	is.True(!ok)
	_, _, ok = l.Book(8*time.Millisecond, start.Add(firstRest))
	is.True(ok) // one is tried again
}
