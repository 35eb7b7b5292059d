package speculation

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_800_000_000, 0)

// TestPatienceLeavesTimeForTheCopy: a copy that starts after the patience ends within 1.5 times the run time,
// also if a policy query takes 30 ms and the copy takes 1.2 times as long. With half of the slack as patience,
// short work of 560 ms would miss it.
func TestPatienceLeavesTimeForTheCopy(t *testing.T) {
	is := is.New(t)
	const query = 30 * time.Millisecond
	for _, expected := range []time.Duration{300 * time.Millisecond, 560 * time.Millisecond, time.Second, 3 * time.Second} {
		p := Patience(expected, 1.5)
		is.True(p+query+6*expected/5 < 3*expected/2)
	}
	is.Equal(Patience(560*time.Millisecond, 1.5), 70*time.Millisecond)
	is.Equal(Patience(560*time.Millisecond, 0), Patience(560*time.Millisecond, 1.5)) // no target
	is.Equal(Patience(10*time.Millisecond, 1.5), minPatience)
	is.Equal(Patience(time.Minute, 4), maxPatience)
}

func TestLateAt(t *testing.T) {
	const ms = time.Millisecond
	at := func(d time.Duration) time.Time { return start.Add(d) }
	base := Run{OrderedAt: start, AcknowledgedAt: at(5 * ms), Expected: 500 * ms, NearlyAll: 800 * ms, Patience: 60 * ms}
	tests := map[string]struct {
		change func(r *Run)
		want   time.Duration // since the order
		cause  Cause
	}{
		"running":                         {func(*Run) {}, 805 * ms, Slow},
		"run times not learned":           {func(r *Run) { r.NearlyAll = 0 }, 0, NotLate},
		"run times without spread":        {func(r *Run) { r.NearlyAll = 500 * ms }, 605 * ms, Slow},
		"not acknowledged":                {func(r *Run) { r.AcknowledgedAt = time.Time{} }, 60 * ms, Unacknowledged},
		"unresponsive":                    {func(r *Run) { r.UnresponsiveSince = at(300 * ms) }, 360 * ms, Unresponsive},
		"unresponsive, not learned":       {func(r *Run) { r.UnresponsiveSince, r.NearlyAll = at(300*ms), 0 }, 360 * ms, Unresponsive},
		"unresponsive before the start":   {func(r *Run) { r.UnresponsiveSince = at(-300 * ms) }, 60 * ms, Unresponsive},
		"unresponsive once it is late":    {func(r *Run) { r.UnresponsiveSince = at(900 * ms) }, 805 * ms, Slow},
		"ends sooner than a copy":         {func(r *Run) { r.PredictedEnd = at(1200 * ms) }, 1260 * ms, Slow},
		"ends later than a copy":          {func(r *Run) { r.PredictedEnd = at(1400 * ms) }, 805 * ms, Slow},
		"predicted to end before it late": {func(r *Run) { r.PredictedEnd = at(700 * ms) }, 805 * ms, Slow},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := base
			tc.change(&r)
			lateAt, cause := r.LateAt()
			is.Equal(cause, tc.cause)
			if cause != NotLate {
				is.Equal(lateAt.Sub(start), tc.want)
			}
		})
	}
}

func TestTaskRefuse(t *testing.T) {
	base := Task{Copyable: true, MaxAttempts: 3}
	tests := map[string]struct {
		change func(x *Task)
		want   Refusal
	}{
		"permitted":                {func(*Task) {}, Permitted},
		"one failure of three":     {func(x *Task) { x.Failures = 1 }, Permitted},
		"two failures of three":    {func(x *Task) { x.Failures = 2 }, FewAttempts},
		"one attempt":              {func(x *Task) { x.MaxAttempts = 1 }, FewAttempts},
		"not speculative":          {func(x *Task) { x.Copyable = false }, NotSpeculative},
		"suspect":                  {func(x *Task) { x.Suspect = true }, Suspect},
		"one silent host":          {func(x *Task) { x.SilentHosts = 1 }, Permitted},
		"two silent hosts":         {func(x *Task) { x.SilentHosts = 2 }, Suspect},
		"two runs":                 {func(x *Task) { x.OtherRun = true }, TwoRuns},
		"second copy":              {func(x *Task) { x.Copies = 1 }, Permitted},
		"third copy":               {func(x *Task) { x.Copies = 2 }, CopiedBefore},
		"job without value":        {func(x *Task) { x.Expired = true }, NoValue},
		"suspect without attempts": {func(x *Task) { x.Suspect, x.Failures = true, 3 }, Suspect},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			x := base
			tc.change(&x)
			if got := x.Refuse(); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

func TestLoadRefuse(t *testing.T) {
	tests := map[string]struct {
		load Load
		want Refusal
	}{
		"one late":                 {Load{QueueRunning: 20, QueueLate: 1, Running: 100}, Permitted},
		"alone in the cell":        {Load{QueueRunning: 1, QueueLate: 1, Running: 1}, Permitted},
		"a fifth late":             {Load{QueueRunning: 100, QueueLate: 20, Running: 300}, Permitted},
		"more than a fifth late":   {Load{QueueRunning: 100, QueueLate: 21, Running: 300}, ManyLate},
		"half of the hosts slow":   {Load{QueueRunning: 400, QueueLate: 200, Running: 900}, ManyLate},
		"small step, four late":    {Load{QueueRunning: 10, QueueLate: 4, Running: 10}, ManyLate},
		"one step late as a whole": {Load{QueueRunning: 400, QueueLate: 10, StepRunning: 10, StepLate: 10, Running: 900}, ManyLate},
		"other steps wait":         {Load{QueueRunning: 20, QueueLate: 1, Running: 100, StepsWait: true}, StepsWait},
		"a tenth are copies":       {Load{QueueRunning: 20, QueueLate: 1, Running: 100, Copies: 10}, ShareExceeded},
		"few runs, one is a copy":  {Load{QueueRunning: 4, QueueLate: 2, Running: 5, Copies: 1}, ShareExceeded},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := tc.load.Refuse(); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}
