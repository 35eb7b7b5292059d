package pacing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// hostModel is a host in virtual time: the tail of its serving tasks grows with the share of
// the backfill tasks, and is observed over a window of half a second, with noise.
type hostModel struct {
	rnd *rand.Rand
	// baseline is the ratio of tail to target without backfill tasks, and interference the
	// ratio that a backfill task at full speed adds, each at a time.
	baseline, interference func(t time.Duration) float64
	noise                  float64
	// Every dropEvery-th figure is lost; none if it is zero.
	dropEvery int
}

// result is the effect of a policy on backfill tasks and on serving tasks.
type result struct {
	backfillSpeed float64       // mean speed of the backfill tasks, as a share of full speed
	overTarget    time.Duration // time over the target because of backfill tasks
	longestOver   time.Duration // longest uninterrupted time of this kind
	changes       int           // changes of the share
}

// Times of the host model.
const (
	tick           = 50 * time.Millisecond
	effectDelay    = 100 * time.Millisecond // from an order to its effect
	window         = 500 * time.Millisecond // period that a figure covers
	figureInterval = 450 * time.Millisecond // interval between two figures
)

// throttler is a throttle or a simple policy to compare it with.
type throttler interface {
	Observe(ratio float64, used int, now time.Time) bool
	Share() int
}

func (m hostModel) run(throttle throttler, length time.Duration) result {
	start := time.Unix(1_800_000_000, 0)
	var out result
	var samples []float64
	share, next := float64(throttle.Share()), figureInterval
	pending := map[time.Duration]float64{}
	currentOver, figures := time.Duration(0), 0
	for t := time.Duration(0); t < length; t += tick {
		if s, ok := pending[t]; ok {
			share = s
		}
		baseline := m.baseline(t)
		ratio := baseline + m.interference(t)*share/Full
		out.backfillSpeed += share / Full * tick.Seconds()
		if ratio > 1 && baseline <= 1 {
			out.overTarget += tick
			currentOver += tick
			out.longestOver = max(out.longestOver, currentOver)
		} else {
			currentOver = 0
		}
		samples = append(samples, ratio)
		if n := int(window / tick); len(samples) > n {
			samples = samples[1:]
		}
		if t < next {
			continue
		}
		next += figureInterval
		figures++
		if m.dropEvery > 0 && figures%m.dropEvery == 0 {
			continue
		}
		mean := 0.0
		for _, v := range samples {
			mean += v / float64(len(samples))
		}
		mean *= 1 + m.noise*(2*m.rnd.Float64()-1)
		if throttle.Observe(mean, int(share), start.Add(t)) {
			out.changes++
			pending[t+effectDelay] = float64(throttle.Share())
		}
	}
	out.backfillSpeed /= length.Seconds()
	return out
}

func constant(v float64) func(time.Duration) float64 { return func(time.Duration) float64 { return v } }

// squareWave alternates between two values, each for the duration every.
func squareWave(a, b float64, every time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if (t/every)%2 == 0 {
			return a
		}
		return b
	}
}

// maxInterference is how long, without interruption, the platform tolerates a response time over
// the target that backfill tasks cause. The platform's setting for it is named harm-ms.
const maxInterference = 4 * time.Second

func TestGovernor(t *testing.T) {
	tests := map[string]struct {
		hostModel hostModel
		// minSpeed is the mean speed that backfill tasks must get, and maxOver the longest
		// uninterrupted time over the target because of them.
		minSpeed float64
		maxOver  time.Duration
	}{
		"no interference":               {hostModel{baseline: constant(0.4), interference: constant(0.1)}, 0.99, 0},
		"interference":                  {hostModel{baseline: constant(0.5), interference: constant(1.0)}, 0.25, maxInterference / 2},
		"strong interference":           {hostModel{baseline: constant(0.5), interference: constant(6)}, 0, maxInterference / 2},
		"no share is small enough":      {hostModel{baseline: constant(0.95), interference: constant(2)}, 0, maxInterference / 2},
		"intermittent interference":     {hostModel{baseline: constant(0.5), interference: squareWave(0, 2, 5*time.Second)}, 0.25, maxInterference / 2},
		"varying load of serving tasks": {hostModel{baseline: squareWave(0.3, 0.8, 7*time.Second), interference: constant(0.8)}, 0.18, maxInterference / 2},
		"noise":                         {hostModel{baseline: constant(0.5), interference: constant(1.0), noise: 0.25}, 0.15, maxInterference / 2},
		"every second figure lost":      {hostModel{baseline: constant(0.5), interference: squareWave(0, 2, 5*time.Second), dropEvery: 2}, 0.15, maxInterference * 3 / 4},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(10) {
				model := tc.hostModel
				model.rnd = rand.New(rand.NewPCG(seed, 1))
				out := model.run(NewThrottle(DefaultParams(), Full), time.Minute)
				if out.backfillSpeed < tc.minSpeed {
					t.Errorf("seed %d: backfill tasks ran at %.2f of full speed, want %.2f", seed, out.backfillSpeed, tc.minSpeed)
				}
				is.True(out.longestOver <= tc.maxOver) // interference does not last too long
			}
		})
	}
}

func TestOverloadWithoutBackfillKeepsItPaused(t *testing.T) {
	is := is.New(t)
	throttle := NewThrottle(DefaultParams(), Full)
	now := time.Unix(1_800_000_000, 0)
	for range 40 {
		now = now.Add(figureInterval)
		throttle.Observe(1.5, throttle.Share(), now)
	}
	is.Equal(throttle.Share(), 0)
	is.True(throttle.LiftLimit(now)) // no serving tasks are left
	is.Equal(throttle.Share(), Full)
	is.True(!throttle.LiftLimit(now))
}

func TestInitialShareIsClamped(t *testing.T) {
	is := is.New(t)
	is.Equal(NewThrottle(DefaultParams(), 30).Share(), 30)
	is.Equal(NewThrottle(DefaultParams(), -5).Share(), 0)
	is.Equal(NewThrottle(DefaultParams(), 500).Share(), Full)
}

// fixed is the simple policy of a constant share.
type fixed int

func (f fixed) Observe(float64, int, time.Time) bool { return false }
func (f fixed) Share() int                           { return int(f) }

// stopper is the simple policy that pauses backfill tasks while the tail is too long and
// resumes them at full speed when it is short again.
type stopper struct{ share int }

func (s *stopper) Share() int { return s.share }
func (s *stopper) Observe(ratio float64, _ int, _ time.Time) bool {
	before := s.share
	switch {
	case ratio > 1:
		s.share = 0
	case ratio < 0.75:
		s.share = Full
	}
	return s.share != before
}

// BenchmarkPolicies compares the throttle with the simple policies on a mix of loads: the
// speed of backfill tasks, and the time over the targets because of them.
func BenchmarkPolicies(b *testing.B) {
	throttlers := map[string]func() throttler{
		"governor": func() throttler { return NewThrottle(DefaultParams(), Full) },
		"fixed-30": func() throttler { return fixed(30) },
		"stop":     func() throttler { return &stopper{Full} },
	}
	for name, newThrottler := range throttlers {
		b.Run(name, func(b *testing.B) {
			var backfillSpeed, overTarget, longestOver float64
			n := 0.0
			for range b.N {
				for seed := range uint64(20) {
					rnd := rand.New(rand.NewPCG(seed, 2))
					model := hostModel{
						rnd: rnd, noise: 0.2, baseline: squareWave(0.2+0.3*rnd.Float64(), 0.4+0.4*rnd.Float64(), 9*time.Second),
						interference: squareWave(rnd.Float64(), 3*rnd.Float64(), 6*time.Second),
					}
					out := model.run(newThrottler(), time.Minute)
					backfillSpeed += out.backfillSpeed
					overTarget += out.overTarget.Seconds() / 60
					longestOver = max(longestOver, out.longestOver.Seconds())
					n++
				}
			}
			b.ReportMetric(backfillSpeed/n, "worked")
			b.ReportMetric(overTarget/n, "over")
			b.ReportMetric(longestOver, "longest-s")
		})
	}
}
