package main

import (
	"strings"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/engine"
)

// logEvent logs a scheduling decision.
func (n *node) logEvent(e engine.Event) {
	n.log.WithFields(eventFields(e)).Info(e.What)
}

// eventFields returns the log fields of an event without the empty ones. If the event has a
// job, the job's id is removed from the start of the step, because the field "job" contains it.
func eventFields(e engine.Event) logrus.Fields {
	fields := logrus.Fields{"epoch": e.Version}
	for _, f := range [...]struct{ name, value string }{
		{"job", e.Job}, {"step", strings.TrimPrefix(e.Step, e.Job+"/")}, {"host", e.Host}, {"why", e.Why},
	} {
		if f.value != "" {
			fields[f.name] = f.value
		}
	}
	if e.Age > 0 {
		fields["age_ms"] = e.Age.Milliseconds()
	}
	return fields
}
