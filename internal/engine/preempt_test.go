package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// loadedWorld is a cell of four hosts filled with tasks of a less urgent queue.
func loadedWorld(t *testing.T, change func(*spec.Step, *catalog.Rules)) *world {
	w := idleWorld(t, 4)
	s, rules := step(32, 8, 8, 9000), catalog.Rules{Priority: 2}
	s.Checkpointing = true
	change(&s, &rules)
	w.submit("busy", rules, s)
	w.run(2 * time.Second)
	return w
}

// TestGangsPreemptCheckpointingTasks guards against gangs that wait for capacity while tasks run that lose
// nothing when stopped, and against processors that stay idle until a gang has all of its slots.
func TestGangsPreemptCheckpointingTasks(t *testing.T) {
	tests := map[string]struct {
		change    func(*spec.Step, *catalog.Rules)
		preempted bool
	}{
		"less urgent, checkpointing":     {func(*spec.Step, *catalog.Rules) {}, true},
		"less urgent, not checkpointing": {func(s *spec.Step, _ *catalog.Rules) { s.Checkpointing = false }, false},
		"equally urgent":                 {func(_ *spec.Step, r *catalog.Rules) { r.Priority = 1 }, false},
		"long-running":                   {func(s *spec.Step, _ *catalog.Rules) { s.LongRunning = true }, false},
		"a gang":                         {func(s *spec.Step, _ *catalog.Rules) { s.Gang = true }, false},
		"less urgent, with a deadline":   {func(_ *spec.Step, r *catalog.Rules) { r.CriticalPathFactor = 3 }, true},
	}
	for name, tc := range tests {
		for _, advised := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", advice ", advised), func(t *testing.T) {
				is := is.New(t)
				w := loadedWorld(t, tc.change)
				before := w.fleet.Checker().Starts()
				is.Equal(before, 32)
				gang := step(6, 18, 26, 1000)
				gang.Gang = true
				rules := catalog.Rules{Priority: 1}
				if advised {
					rules.PolicyQuery = testAdvice
				}
				w.submit("gang", rules, gang)
				w.run(time.Second)
				is.Equal(w.running("gang") == 6, tc.preempted)
				w.run(60 * time.Second)
				w.checkInvariants()
				if tc.preempted {
					is.Equal(w.reported["busy"], record.StateCompleted)
				}
			})
		}
	}
}

// TestPreemptionsOfATaskAreLimited checks that a task is preempted only a limited number of times.
func TestPreemptionsOfATaskAreLimited(t *testing.T) {
	is := is.New(t)
	w := loadedWorld(t, func(*spec.Step, *catalog.Rules) {})
	for i := range 40 {
		w.after(time.Duration(i)*700*time.Millisecond, func() {
			gang := step(6, 18, 26, 600)
			gang.Gang = true
			w.submit(fmt.Sprint("gang", i), catalog.Rules{Priority: 1}, gang)
		})
	}
	w.run(60 * time.Second)
	w.checkInvariants()
	is.Equal(w.reported["busy"], record.StateCompleted)
	is.Equal(w.completed(), 41)
	is.True(w.fleet.Checker().Starts() <= 40*6+32*(1+maxPreemptions))
}
