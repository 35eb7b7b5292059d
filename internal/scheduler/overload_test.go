package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker"
)

func TestOverload(t *testing.T) {
	size := resources(1000, 1000, 0)
	cases := []struct {
		name  string
		usage spec.Resources
		after time.Duration
		mode  worker.StopMode // "" for no action
		steps int
	}{
		{"within its size", size, 0, "", 0},
		{"processors", resources(1100, 1000, 0), 0, worker.ModeThrottle, 1},
		{"processors, after two lags", resources(1100, 1000, 0), 4 * time.Second, worker.ModeCheckpoint, 1},
		{"processors, after four lags", resources(1100, 1000, 0), 8 * time.Second, worker.ModeStop, 1},
		{"memory is not throttled", resources(1000, 1001, 0), 0, worker.ModeCheckpoint, 1},
		{"memory, after four lags", resources(1000, 1001, 0), 8 * time.Second, worker.ModeStop, 1},
		{"more than one run throttled", resources(1500, 1000, 0), 0, worker.ModeThrottle, 2},
		{"more than one run checkpointed", resources(1600, 1000, 0), 4 * time.Second, worker.ModeCheckpoint, 2},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := NewCell(1)
			c.Upsert(readyWorker("w", "a", size))
			for i := range 3 {
				r := run("job", i, resources(300, 300, 0))
				r.Urgent = i == 0
				is.NoErr(c.Reserve("w", r, start))
			}
			c.Observe("w", tt.usage, start)
			c.Observe("w", tt.usage, start.Add(tt.after))
			over := c.Overloaded(start.Add(tt.after))
			if tt.mode == "" {
				is.Equal(len(over), 0)
				return
			}
			is.Equal(len(over[0].Actions), tt.steps)
			for _, s := range over[0].Actions {
				is.Equal(s.Mode, tt.mode)
				is.True(!s.Urgent) // the least urgent first
			}
			_, refusal := c.Select(requestFor(resources(0, 0, 0)))
			is.True(refusal != nil) // an overloaded worker takes no new work
			c.Observe("w", size, start.Add(time.Minute))
			is.Equal(len(c.Overloaded(start.Add(time.Minute))), 0)
		})
	}
}
