package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestWorkerStates(t *testing.T) {
	cfg := DefaultConfig()
	type step struct {
		after time.Duration
		do    string // "ok" (a task succeeds), "probe" (asks if a probe is due) or the job whose task fails
		want  State
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"failures of one job do not exclude", []step{{0, "a", Healthy}, {0, "a", Healthy}, {0, "a", Healthy}, {0, "a", Healthy}}},
		{"failures of different jobs exclude", []step{{0, "a", Healthy}, {0, "b", Healthy}, {0, "c", Excluded}, {0, "d", Excluded}}},
		{"success in between clears", []step{{0, "a", Healthy}, {0, "b", Healthy}, {0, "ok", Healthy}, {0, "c", Healthy}}},
		{"old failures expire", []step{{0, "a", Healthy}, {0, "b", Healthy}, {cfg.Window + 1, "c", Healthy}}},
		{"probe too early", []step{{0, "a", Healthy}, {0, "b", Healthy}, {0, "c", Excluded}, {cfg.MinProbeWait - 1, "probe", Excluded}}},
		{"successful probe", []step{{0, "a", Healthy}, {0, "b", Healthy}, {0, "c", Excluded}, {cfg.MinProbeWait, "probe", Probing}, {0, "ok", Healthy}, {0, "a", Healthy}}},
		{"failed probe doubles the wait", []step{
			{0, "a", Healthy}, {0, "b", Healthy}, {0, "c", Excluded}, {cfg.MinProbeWait, "probe", Probing}, {0, "d", Excluded},
			{cfg.MinProbeWait, "probe", Excluded}, {cfg.MinProbeWait, "probe", Probing},
		}},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w, now := NewWorkers(cfg), start
			for _, s := range tt.steps {
				now = now.Add(s.after)
				switch s.do {
				case "ok":
					w.Succeeded("w")
				case "probe":
					is.Equal(w.ProbeDue("w", now), s.want == Probing)
				default:
					w.Failed("w", s.do, now)
				}
				is.Equal(w.State("w"), s.want)
			}
		})
	}
}

func TestProbeWaitIsBounded(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	w, now := NewWorkers(cfg), start
	for i := range cfg.DifferentJobs {
		w.Failed("w", fmt.Sprint(i), now)
	}
	for range 20 {
		now = now.Add(cfg.MaxProbeWait)
		is.True(w.ProbeDue("w", now))
		is.Equal(w.Failed("w", "x", now), Excluded)
	}
}

func TestFaultyJob(t *testing.T) {
	is := is.New(t)
	j := NewJobs(DefaultConfig())
	is.True(j.Failed("job", "w1", start) == nil)
	is.True(j.Failed("job", "w1", start) == nil) // the same worker again
	is.True(j.Failed("job", "w2", start) == nil)
	j.ClearWorker("w1") // the worker was excluded
	is.True(j.Failed("job", "w3", start) == nil)
	is.Equal(j.Avoid("job"), []string{"w2", "w3"})
	err := j.Failed("job", "w4", start)
	is.True(err != nil)
	is.Equal(err.Code, result.JobFaulty)
	j.Forget("job")
	is.Equal(len(j.Avoid("job")), 0)
}

func TestFailuresExpire(t *testing.T) {
	is := is.New(t)
	j := NewJobs(DefaultConfig())
	for i := range 10 {
		is.True(j.Failed("job", fmt.Sprint(i), start.Add(time.Duration(i)*6*time.Minute)) == nil)
	}
}

// TestZoneLost replaces what a zone ran: urgent tasks at once, the others at the limited rate,
// services before batch.
func TestZoneLost(t *testing.T) {
	is := is.New(t)
	p := NewReplacementQueue(100, 50)
	p.TakeDue(start)
	for i := range 1000 {
		kind := spec.KindBatch
		if i%5 == 0 {
			kind = spec.KindService
		}
		p.Add(LostTask{Task: spec.TaskID{Job: string(kind), Index: i}, Kind: kind, Urgent: i%10 == 7, At: start})
	}
	first := p.TakeDue(start)
	is.Equal(len(first), 100) // the urgent ones, which used up the burst
	for _, l := range first {
		is.True(l.Urgent)
	}
	var order []spec.Kind
	for s := 1; p.Len() > 0; s++ {
		batch := p.TakeDue(start.Add(time.Duration(s) * 100 * time.Millisecond))
		is.True(len(batch) <= 11)
		for _, l := range batch {
			order = append(order, l.Kind)
		}
	}
	is.Equal(len(order), 900)
	for i, kind := range order {
		is.Equal(kind == spec.KindService, i < 200)
	}
}

func TestPacerDrop(t *testing.T) {
	is := is.New(t)
	p := NewReplacementQueue(1, 10)
	p.Add(LostTask{Task: spec.TaskID{Job: "a"}}, LostTask{Task: spec.TaskID{Job: "b"}}, LostTask{Task: spec.TaskID{Job: "a", Index: 1}})
	is.Equal(p.Drop("a"), 2)
	is.Equal(len(p.TakeDue(start)), 1)
}
