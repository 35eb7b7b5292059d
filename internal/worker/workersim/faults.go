package workersim

import (
	"time"

	"pulleyquay/internal/spec"
)

// Faults are what is wrong with one worker. The zero value is a sound one.
type Faults struct {
	// FailTasks lets every task end with a failure FailAfter its start.
	FailTasks bool          `json:"fail_tasks,omitempty"`
	FailAfter time.Duration `json:"fail_after_ns,omitempty"`
	// Unreachable refuses connections; what runs goes on.
	Unreachable bool `json:"unreachable,omitempty"`
	// Slow delays the effect of each call by this much. A caller that gives
	// up earlier does not undo the effect.
	Slow time.Duration `json:"slow_ns,omitempty"`
	// LoseAnswers drops that many answers after their calls took effect;
	// negative drops all.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// Lifeless has the worker tell no life, and take orders whichever one they are meant for.
	Lifeless bool `json:"lifeless,omitempty"`
	// UsageLag is the age of reported usage.
	UsageLag time.Duration `json:"usage_lag_ns,omitempty"`
	// RealSizePercent is the real usage of a task in percent of its declared
	// size, RealTimePercent the same for its run time; zero is 100.
	RealSizePercent int64 `json:"real_size_percent,omitempty"`
	RealTimePercent int64 `json:"real_time_percent,omitempty"`
}

const whole = 100 // percent

func (f Faults) realSize(declared spec.Resources) spec.Resources {
	if f.RealSizePercent == 0 {
		return declared
	}
	r := declared.Times(f.RealSizePercent)
	return spec.Resources{
		MilliCPU: r.MilliCPU / whole, MemoryMiB: r.MemoryMiB / whole, Accelerators: declared.Accelerators,
	}
}

func (f Faults) runTime(declaredMillis int64) time.Duration {
	d := time.Duration(declaredMillis) * time.Millisecond
	if f.RealTimePercent == 0 {
		return d
	}
	return d * time.Duration(f.RealTimePercent) / whole
}

// SetFaults replaces the worker's faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(time.Now())
	w.faults = f
}

// Faults returns the worker's present faults.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// loseAnswer reports whether the answer just made is to be lost.
func (w *Worker) loseAnswer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.LoseAnswers > 0 {
		w.faults.LoseAnswers--
		return true
	}
	return w.faults.LoseAnswers < 0
}
