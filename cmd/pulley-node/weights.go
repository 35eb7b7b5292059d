package main

import (
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/daemon"
	"pulleyquay/internal/record"
)

// msgJobEnded is the message of the line for a job's end.
const msgJobEnded = "job ended"

// lineWeights maps the messages of log lines that matter more than the Routine lines of
// each start to their weight.
var lineWeights = map[string]daemon.Weight{
	msgJobEnded:               daemon.Final,
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

// lineWeight returns the weight of a log line. The end of a completed or cancelled job is
// only Notable: its caller learns of it, and hundreds of such jobs may end at once. The reason
// why a job has failed is only in the log.
func lineWeight(entry *logrus.Entry) daemon.Weight {
	if entry.Message == msgJobEnded && (entry.Data["why"] == string(record.StateCompleted) || entry.Data["why"] == string(record.StateCancelled)) {
		return daemon.Notable
	}
	return lineWeights[entry.Message]
}
