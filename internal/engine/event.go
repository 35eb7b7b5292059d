package engine

import "time"

// Event is one decision or change of belief, for the log. Fields that do not
// apply are empty.
type Event struct {
	// What names the event.
	What string
	Job  string
	Step string
	Host string
	// Kind tells events of one name apart, for the metrics: how a crash was seen.
	Kind string
	// Why gives the inputs that decided.
	Why string
	// Age is how old the inputs were.
	Age time.Duration
	// Version is that of the inputs, such as an epoch.
	Version int64
}

func (e *Engine) log(ev Event) {
	if e.cfg.Log != nil {
		ev.Version = int64(e.cfg.Epoch)
		e.cfg.Log(ev)
	}
}
