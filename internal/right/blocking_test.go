package right

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBlockingMeetsEveryMajority(t *testing.T) {
	is := is.New(t)
	for n := 1; n <= 16; n++ {
		is.True(blockingSize(n)+majority(n) > n)    // both sets share a voter
		is.True(blockingSize(n)+majority(n)-1 <= n) // a smaller set may share none
	}
}

// TestSurvivorOfTwoFences guards against a fence that requires a majority: of two voters that is
// both, and one of them is the dead member itself.
func TestSurvivorOfTwoFences(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	times := Times{Term: 3 * time.Second, Margin: 10, OutageLimit: time.Hour}
	dead, survivor := Voter{Incarnation: "1"}, Voter{Incarnation: "2"}
	f := NewFencing(times, VoterSet{Session: 1, Voters: []Voter{dead, survivor}}, start)
	is.True(!f.Done(start))
	f.RecordAnswer(survivor, FenceAnswer{Incarnation: "2"})
	is.True(f.Done(start))
}
