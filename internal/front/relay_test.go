package front

import (
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestRelayTargetsLeaveTheMemberListAlone guards against a data race: the list of members, which all readers of the
// view share, was shuffled in place, so that another reader could see a member twice and another not at all.
func TestRelayTargetsLeaveTheMemberListAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimCell(t, 7, 1, io.Discard, false)
		defer c.close()
		time.Sleep(5 * time.Second)
		f := c.running("m0")
		shared := f.View.Members(time.Now())
		is.Equal(len(shared), 7)
		before := slices.Clone(shared)
		tried := map[string]bool{}
		for range 100 {
			for _, addr := range f.relayTargets("0123456789abcdef") {
				tried[addr] = true
			}
		}
		is.Equal(shared, before)
		is.True(len(tried) > 3) // the targets vary all the same
		is.True(!tried["m0"])
	})
}
