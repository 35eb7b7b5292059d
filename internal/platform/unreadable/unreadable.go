// Package unreadable reports records of the store that cannot be decoded: once for each change of such a record, and
// not each time that it is read.
package unreadable

import (
	"hash/maphash"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/platform"
)

const (
	// maxKeys bounds the records that a Reporter remembers. Those beyond it are counted and not logged.
	maxKeys = 1024
	// maxReasonBytes bounds the reason in a log line, as decoding errors quote what they can't decode.
	maxReasonBytes = 300
)

// Counters count the reported records by list.
type Counters struct{ records *prometheus.CounterVec }

// NewCounters returns counters that are registered in reg.
func NewCounters(reg prometheus.Registerer) *Counters {
	return &Counters{promauto.With(reg).NewCounterVec(prometheus.CounterOpts{
		Name: "pulleyquay_unreadable_records_total",
		Help: "Records in the store that could not be decoded, by list; each counts once for each change.",
	}, []string{"list"})}
}

func (c *Counters) count(list string) {
	if c != nil {
		c.records.WithLabelValues(list).Inc()
	}
}

// Reporter reports the unreadable records of one list. It is safe for concurrent use. Its fields have to be set before
// the first call.
type Reporter struct {
	Log *logrus.Entry
	// Message is that of the log lines; List names the list in them and in Counters, which may be nil.
	Message, List string
	Counters      *Counters
	// Level is the level of the log lines.
	Level logrus.Level
	// Content returns the part of a value whose change is reported; nil for the whole value.
	Content func(value []byte) []byte

	mu   sync.Mutex
	seed maphash.Seed
	// reported has the digests of the last reported values by key, also of those that have become readable since:
	// two writers that write one key in turn change nothing.
	reported map[string]uint64
}

// Report logs and counts a record that could not be decoded, unless it was reported with the same content before.
func (r *Reporter) Report(rec platform.Record, reason error) {
	changed, log := r.record(rec)
	if !changed {
		return
	}
	r.Counters.count(r.List)
	if log {
		r.Log.WithFields(logrus.Fields{
			"list": r.List, "key": rec.Key, "revision": rec.ModRevision, "bytes": len(rec.Value), logrus.ErrorKey: shortened(reason.Error()),
		}).Log(r.Level, r.Message)
	}
}

// Forget removes what is remembered of a key that was deleted.
func (r *Reporter) Forget(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reported, key)
}

// record remembers a record. It returns whether its content has changed, and whether to log that.
func (r *Reporter) record(rec platform.Record) (changed, log bool) {
	content := rec.Value
	if r.Content != nil {
		content = r.Content(content)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reported == nil {
		r.reported, r.seed = map[string]uint64{}, maphash.MakeSeed()
	}
	digest := maphash.Bytes(r.seed, content)
	last, known := r.reported[rec.Key]
	if known && last == digest {
		return false, false
	}
	if !known && len(r.reported) >= maxKeys {
		return true, false
	}
	r.reported[rec.Key] = digest
	return true, true
}

func shortened(s string) string {
	if len(s) <= maxReasonBytes {
		return s
	}
	return s[:maxReasonBytes] + "..."
}
