package workersim

import (
	"time"

	"pulleyquay/internal/spec"
)

// Faults are the injected faults of one worker. The zero value has none.
type Faults struct {
	// FailTasks has every task fail FailAfter its start.
	FailTasks bool          `json:"fail_tasks,omitempty"`
	FailAfter time.Duration `json:"fail_after_ns,omitempty"`
	// Unreachable refuses connections. Running tasks continue.
	Unreachable bool `json:"unreachable,omitempty"`
	// Delay delays the effect of each call by this much. The effect still occurs if the
	// caller cancels earlier.
	Delay time.Duration `json:"slow_ns,omitempty"`
	// LoseAnswers is the number of replies to drop after their calls have taken effect; a
	// negative number drops all.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// OmitIncarnation has the worker omit its incarnation from replies and accept orders for any
	// incarnation.
	OmitIncarnation bool `json:"lifeless,omitempty"`
	// UsageLag is the age of the reported usage.
	UsageLag time.Duration `json:"usage_lag_ns,omitempty"`
	// RealSizePercent is the real usage of a task as a percentage of its declared size,
	// RealTimePercent is the same for its run time. Zero means 100.
	RealSizePercent int64 `json:"real_size_percent,omitempty"`
	RealTimePercent int64 `json:"real_time_percent,omitempty"`
}

const percentBase = 100

func (f Faults) realSize(declared spec.Resources) spec.Resources {
	if f.RealSizePercent == 0 {
		return declared
	}
	r := declared.Times(f.RealSizePercent)
	return spec.Resources{
		MilliCPU: r.MilliCPU / percentBase, MemoryMiB: r.MemoryMiB / percentBase, Accelerators: declared.Accelerators,
	}
}

func (f Faults) runTime(declaredMillis int64) time.Duration {
	d := time.Duration(declaredMillis) * time.Millisecond
	if f.RealTimePercent == 0 {
		return d
	}
	return d * time.Duration(f.RealTimePercent) / percentBase
}

// SetFaults replaces the worker's faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	w.faults = f
}

// Faults returns the worker's current faults.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// dropReply reports whether the next reply is to be dropped, and counts it if it is.
func (w *Worker) dropReply() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.LoseAnswers > 0 {
		w.faults.LoseAnswers--
		return true
	}
	return w.faults.LoseAnswers < 0
}
