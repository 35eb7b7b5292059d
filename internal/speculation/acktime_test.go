package speculation

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPatienceExceedsUsualAcknowledgements guards against copies of runs whose acknowledgements are merely on
// their way: in cells with many link shards they take longer than the patience for short work. Replies that
// get lost, of which 5% are learned of late, must not make the patience longer.
func TestPatienceExceedsUsualAcknowledgements(t *testing.T) {
	const patience = 70 * time.Millisecond
	tests := map[string]struct {
		usual    time.Duration
		lost     float64
		min, max time.Duration
	}{
		"hosts called directly": {3 * time.Millisecond, 0, patience, patience},
		"lost replies":          {3 * time.Millisecond, 0.05, patience, patience},
		"many link shards":      {100 * time.Millisecond, 0, 160 * time.Millisecond, 300 * time.Millisecond},
		"nothing works":         {3 * time.Second, 0, maxPatience, maxPatience},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rnd := rand.New(rand.NewPCG(5, 6))
			var a AckTime
			is.Equal(a.Extend(patience), patience)
			for range 2000 {
				d := time.Duration((0.5 + rnd.Float64()) * float64(tc.usual))
				if rnd.Float64() < tc.lost {
					d += 500 * time.Millisecond
				}
				a.Observe(d)
			}
			got := a.Extend(patience)
			is.True(got >= tc.min)
			is.True(got <= tc.max)
		})
	}
}
