package engine

import "time"

// Event is a decision or a state change of the engine, for the log and the metrics.
// Fields that do not apply are empty.
type Event struct {
	// What names the event; it is a metric label as well.
	What string
	Job  string
	Step string
	Host string
	// Kind distinguishes events of one name in the metrics, such as how a crash was detected.
	Kind string
	// Why states the inputs of the decision.
	Why string
	// Age is the age of the inputs.
	Age time.Duration
	// Version is the version of the inputs, such as an epoch.
	Version int64
}

func (e *Engine) log(ev Event) {
	if e.cfg.Log != nil {
		ev.Version = int64(e.cfg.Epoch)
		e.cfg.Log(ev)
	}
}
