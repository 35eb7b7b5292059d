package main

import (
	"strings"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/engine"
)

// event logs a decision.
func (n *node) event(e engine.Event) {
	n.log.WithFields(eventFields(e)).Info(e.What)
}

// eventFields are those that apply to an event. The step goes without the job's id where
// that stands beside it.
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
