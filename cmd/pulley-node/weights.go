package main

import (
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/daemon"
	"pulleyquay/internal/record"
)

// msgJobEnded is the message of the line for a job's end.
const msgJobEnded = "job ended"

// linePriorities maps the messages of log lines above PriorityRoutine, which is that of the
// lines of each start, to their priority.
var linePriorities = map[string]daemon.Priority{
	msgJobEnded:               daemon.PriorityFinal,
	"crash held against task": daemon.PriorityFinal,
	"crash taken back":        daemon.PriorityFinal,
	"task failed":             daemon.PriorityNotable,
	"run lost":                daemon.PriorityNotable,
	"start unanswered":        daemon.PriorityNotable,
	"end passed over":         daemon.PriorityNotable,
	"job not accepted":        daemon.PriorityNotable,

	"long-running task waits":      daemon.PriorityNotable,
	"long-running task runs again": daemon.PriorityNotable,

	"host gone":                 daemon.PriorityNotable,
	"host lost":                 daemon.PriorityNotable,
	"host in another life":      daemon.PriorityNotable,
	"host's clock does not fit": daemon.PriorityNotable,
	"host not listed":           daemon.PriorityNotable,
	"an entry names no host":    daemon.PriorityNotable,
	"host set aside":            daemon.PriorityNotable,
	"host over its room":        daemon.PriorityNotable,
	"host draining":             daemon.PriorityNotable,
	"peer link open":            daemon.PriorityNotable,
	"peer link closed":          daemon.PriorityNotable,

	"partition claimed":                     daemon.PriorityFinal,
	"partition handed to a stronger member": daemon.PriorityFinal,
	"records read":                          daemon.PriorityFinal,
	"takeover settled":                      daemon.PriorityFinal,
	"previous holder has ended":             daemon.PriorityFinal,
	"fenced by a host":                      daemon.PriorityFinal,
	"configuration in force":                daemon.PriorityFinal,
	"jobs limited":                          daemon.PriorityFinal,
	"jobs limited no more":                  daemon.PriorityFinal,
	"settings reloaded":                     daemon.PriorityFinal,
	"store regained":                        daemon.PriorityFinal,
	"machines not listed":                   daemon.PriorityFinal,
	"cannot decode a record":                daemon.PriorityFinal,
	"cannot decode a record of the cell":    daemon.PriorityFinal,
	"cannot decode a maintenance rollout":   daemon.PriorityFinal,
	"configuration can not be decoded; the previous one stays in force": daemon.PriorityFinal,
	"calls to hosts are spread over link shards":                        daemon.PriorityFinal,
	"cell load":          daemon.PriorityFinal,
	"process load":       daemon.PriorityFinal,
	"started":            daemon.PriorityFinal,
	"planned stop began": daemon.PriorityFinal,
	"stopped":            daemon.PriorityFinal,
}

// linePriority returns the priority of a log line. The end of a completed or cancelled job is
// only PriorityNotable: it is reported to the caller, and hundreds of such jobs may end at once.
// The reason why a job has failed is only in the log.
func linePriority(entry *logrus.Entry) daemon.Priority {
	if entry.Message == msgJobEnded && (entry.Data["why"] == string(record.StateCompleted) || entry.Data["why"] == string(record.StateCancelled)) {
		return daemon.PriorityNotable
	}
	return linePriorities[entry.Message]
}
