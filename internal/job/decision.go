package job

import (
	"time"

	"pulleyquay/internal/jobmsg"
)

// maxDecisions bounds the decisions kept per job.
const maxDecisions = 32

// decisionLog holds the latest decisions about a job. Consecutive equal decisions are one entry
// with a count.
type decisionLog struct {
	entries []jobmsg.Decision
}

func (l *decisionLog) add(now time.Time, what, why string) {
	if n := len(l.entries); n > 0 && l.entries[n-1].What == what && l.entries[n-1].Why == why {
		l.entries[n-1].Times++
		l.entries[n-1].UnixMilli = now.UnixMilli()
		return
	}
	if len(l.entries) == maxDecisions {
		l.entries = append(l.entries[:0], l.entries[1:]...)
	}
	l.entries = append(l.entries, jobmsg.Decision{UnixMilli: now.UnixMilli(), What: what, Why: why, Times: 1})
}
