package job

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// run makes the steps in a bubble of their own and returns what broke, or "".
func run(t *testing.T, steps []step) (broken string) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		for i, s := range steps {
			w.do(s)
			if b := w.broken(); b != "" {
				broken = fmt.Sprintf("after step %d, %v: %s", i, s, b)
				return
			}
		}
		if broken = w.final(); broken == "" {
			broken = w.broken()
		}
	})
	return broken
}

// TestRandomRuns drives jobs, homes, holders, store and workers through random
// steps. What fails once becomes a case of TestKnownRuns.
func TestRandomRuns(t *testing.T) {
	number := rapid.IntRange(0, 59)
	oneStep := rapid.Custom(func(t *rapid.T) step {
		return step{action(rapid.IntRange(0, int(actions)-1).Draw(t, "do")), number.Draw(t, "a"), number.Draw(t, "b"), number.Draw(t, "c")}
	})
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(oneStep, 3, 25).Draw(rt, "steps")
		if rapid.IntRange(0, 3).Draw(rt, "calm") == 0 {
			steps = slices.DeleteFunc(steps, func(s step) bool { return !s.calm() })
		}
		if b := run(t, steps); b != "" {
			rt.Fatalf("%s\nsteps: %v", b, steps)
		}
	})
}
