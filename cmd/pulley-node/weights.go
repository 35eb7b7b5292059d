package main

import (
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/daemon"
	"pulleyquay/internal/record"
)

// msgEnded is the message of a job's end.
const msgEnded = "job ended"

// weights are those of lines that matter more than those which come with each start, by
// their message.
var weights = map[string]daemon.Weight{
	msgEnded:                  daemon.Final,
	"crash held against task": daemon.Final,
	"crash taken back":        daemon.Final,
	"task failed":             daemon.Notable,
	"run lost":                daemon.Notable,
	"start unanswered":        daemon.Notable,
	"end passed over":         daemon.Notable,
	"job not accepted":        daemon.Notable,

	"host gone":                 daemon.Notable,
	"host lost":                 daemon.Notable,
	"host in another life":      daemon.Notable,
	"host's clock does not fit": daemon.Notable,
	"host not listed":           daemon.Notable,
	"host set aside":            daemon.Notable,
	"host over its room":        daemon.Notable,
	"host draining":             daemon.Notable,
	"peer link open":            daemon.Notable,
	"peer link closed":          daemon.Notable,

	"partition claimed":                          daemon.Final,
	"partition handed to a stronger member":      daemon.Final,
	"records read":                               daemon.Final,
	"takeover settled":                           daemon.Final,
	"fenced by a host":                           daemon.Final,
	"configuration in force":                     daemon.Final,
	"settings reloaded":                          daemon.Final,
	"store regained":                             daemon.Final,
	"machines not listed":                        daemon.Final,
	"calls to hosts are spread over link shards": daemon.Final,
	"cell load":                                  daemon.Final,
	"process load":                               daemon.Final,
	"started":                                    daemon.Final,
	"planned stop began":                         daemon.Final,
	"stopped":                                    daemon.Final,
}

// weigh weighs a line. A job that was done or cancelled is told to its caller, and may end
// together with hundreds of others; why one was given up stands in the log alone.
func weigh(entry *logrus.Entry) daemon.Weight {
	if entry.Message == msgEnded && (entry.Data["why"] == string(record.StateCompleted) || entry.Data["why"] == string(record.StateCancelled)) {
		return daemon.Notable
	}
	return weights[entry.Message]
}
