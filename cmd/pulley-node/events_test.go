package main

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/engine"
)

func TestFieldsOfEvents(t *testing.T) {
	for name, tc := range map[string]struct {
		event engine.Event
		want  logrus.Fields
	}{
		"of a host":     {engine.Event{Host: "h", Version: 2}, logrus.Fields{"host": "h", "epoch": int64(2)}},
		"of a job":      {engine.Event{Job: "ab", Why: "w", Age: 1999 * time.Microsecond}, logrus.Fields{"job": "ab", "why": "w", "age_ms": int64(1), "epoch": int64(0)}},
		"of a step":     {engine.Event{Job: "ab", Step: "ab/0/3"}, logrus.Fields{"job": "ab", "step": "0/3", "epoch": int64(0)}},
		"step, no job":  {engine.Event{Step: "ab/0/3"}, logrus.Fields{"step": "ab/0/3", "epoch": int64(0)}},
		"age not known": {engine.Event{Job: "ab", Age: -time.Second}, logrus.Fields{"job": "ab", "epoch": int64(0)}},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(eventFields(tc.event), tc.want)
		})
	}
}
