package job

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// run carries out the steps in a bubble of their own and returns the violation, or "".
func run(t *testing.T, steps []step) (violation string) {
	synctest.Test(t, func(t *testing.T) {
		sn := newSimulation(t)
		for i, s := range steps {
			sn.do(s)
			if b := sn.violation(); b != "" {
				violation = fmt.Sprintf("after step %d, %v: %s", i, s, b)
				return
			}
		}
		if violation = sn.finalCheck(); violation == "" {
			violation = sn.violation()
		}
	})
	return violation
}

// TestRandomRuns applies random steps to jobs, job owners, holders, store and hosts and checks the
// invariants after each step. Steps that fail are to be added as a test case of their own.
func TestRandomRuns(t *testing.T) {
	number := rapid.IntRange(0, 59)
	oneStep := rapid.Custom(func(t *rapid.T) step {
		return step{action(rapid.IntRange(0, int(actions)-1).Draw(t, "do")), number.Draw(t, "a"), number.Draw(t, "b"), number.Draw(t, "c")}
	})
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(oneStep, 3, 25).Draw(rt, "steps")
		if rapid.IntRange(0, 3).Draw(rt, "calm") == 0 {
			steps = slices.DeleteFunc(steps, func(s step) bool { return !s.harmless() })
		}
		if b := run(t, steps); b != "" {
			rt.Fatalf("%s\nsteps: %v", b, steps)
		}
	})
}
