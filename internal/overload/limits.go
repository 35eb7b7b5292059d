package overload

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// minRetryAfter is the least Retry-After: a caller waits 3 s for an answer and retries up to 4 times.
const minRetryAfter = time.Second

// Limits are the limits that a member applies, by partition. It is safe for concurrent use; the zero value has no
// limits.
type Limits struct {
	mu         sync.Mutex
	partitions map[int]*received
}

// received are the newest limits of one partition.
type received struct {
	epoch      uint64
	measuredAt time.Time
	expiresAt  time.Time
	limits     map[Key]Limit
}

// Apply replaces the limits of a partition by those of a report, unless it has limits of a later holder or later ones
// of the same holder. now is when the report was sent at the latest; an earlier time has the limits expire earlier. ttl is
// the time from the measurement until the limits expire.
func (l *Limits) Apply(partition int, r Report, ttl time.Duration, now time.Time) {
	measuredAt := now.Add(-r.Age)
	l.mu.Lock()
	defer l.mu.Unlock()
	if before := l.partitions[partition]; before != nil {
		if r.Epoch < before.epoch || r.Epoch == before.epoch && measuredAt.Before(before.measuredAt) {
			return
		}
	}
	if l.partitions == nil {
		l.partitions = map[int]*received{}
	}
	next := &received{epoch: r.Epoch, measuredAt: measuredAt, expiresAt: measuredAt.Add(ttl), limits: make(map[Key]Limit, len(r.Limits))}
	for _, limit := range r.Limits {
		next.limits[limit.Key] = limit
	}
	l.partitions[partition] = next
}

// Decision is a limit that a job does not pass, with the age of its figures.
type Decision struct {
	Limit
	Age time.Duration
}

// Check returns the decision on a job: refused is true if it does not pass the limit of its queue and account.
// maxWait is how long the job can wait until its completion has no value. Without limits, or with expired ones,
// every job passes.
func (l *Limits) Check(partition int, key Key, job string, maxWait time.Duration, now time.Time) (d Decision, refused bool) {
	limit, measuredAt, ok := l.limit(partition, key, now)
	if !ok || limit.Wait < maxWait || admits(limit.Admit, job) {
		return Decision{}, false
	}
	return Decision{Limit: limit, Age: now.Sub(measuredAt)}, true
}

func (l *Limits) limit(partition int, key Key, now time.Time) (limit Limit, measuredAt time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.partitions[partition]
	if r == nil || !now.Before(r.expiresAt) {
		return Limit{}, time.Time{}, false
	}
	limit, ok = r.limits[key]
	return limit, r.measuredAt, ok
}

// admits reports whether a job is within the admitted fraction. It depends on the id alone, so that all members
// decide alike, also on a retry.
func admits(fraction float64, job string) bool {
	return float64(xxhash.Sum64String(job)) < fraction*math.MaxUint64
}

// RetryAfter returns when a caller should try again: the time until the wait has fallen below the limit, plus a random
// part of at most the same length, so that callers do not all return at once. Both are whole seconds, the unit of the HTTP
// header: a part of a second would be rounded up for all callers alike. random is a random number from 0 to below 1.
func (d Decision) RetryAfter(random float64) time.Duration {
	seconds := math.Ceil(max(d.Limit.RetryAfter, minRetryAfter).Seconds())
	return time.Duration(seconds+math.Floor(random*(seconds+1))) * time.Second
}

// DumpedLimits are the limits of one partition in the state dump of a member.
type DumpedLimits struct {
	Partition int    `json:"partition"`
	Epoch     uint64 `json:"epoch"`
	// AgeMillis is the time since the holder measured them, Expired is true if they do not apply any more.
	AgeMillis int64   `json:"age_ms"`
	Expired   bool    `json:"expired"`
	Limits    []Limit `json:"limits"`
}

// Dump returns the limits for the state dump.
func (l *Limits) Dump(now time.Time) []DumpedLimits {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []DumpedLimits{}
	for partition, r := range l.partitions {
		row := DumpedLimits{Partition: partition, Epoch: r.epoch, AgeMillis: now.Sub(r.measuredAt).Milliseconds(), Expired: !now.Before(r.expiresAt), Limits: []Limit{}}
		for _, limit := range r.limits {
			row.Limits = append(row.Limits, limit)
		}
		sortLimits(row.Limits)
		out = append(out, row)
	}
	return out
}
