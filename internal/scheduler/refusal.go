package scheduler

import (
	"slices"

	"pulleyquay/internal/taskmsg"
)

// refusal counts for each rule how many workers it rejected. A worker counts for the first rule
// that rejects it. If the levels of a bucket show which rule rejects all its workers, the workers
// are counted together; otherwise each worker of the bucket is examined.
func (s *search) refusal() *taskmsg.Refusal {
	r := &taskmsg.Refusal{Workers: len(s.cell.order), ByRule: map[string]int{}}
	count := func(rule string, n int) {
		if n > 0 {
			r.ByRule[rule] += n
		}
	}
	unavailable := 0
	for _, d := range s.cell.dedicated {
		if d.record.Status == StatusReady {
			count(rejectingRule(s.request, d.record), 1)
			unavailable-- // in no bucket, but not because of its status
		}
	}
	for _, g := range s.cell.index.order {
		unavailable += g.machineType.Workers - g.ready
		if rule := rejectingHardwareRule(s.request, &g.machineType); rule != "" {
			count(rule, g.ready)
			continue
		}
		for _, b := range g.buckets {
			s.countBucketRejections(b, count)
		}
	}
	count(RuleStatus, unavailable)
	r.Never = s.cell.Never(&s.request.Shape.Task) != nil
	return r
}

// countBucketRejections counts the rejections in one bucket.
func (s *search) countBucketRejections(b *bucket, count func(string, int)) {
	if rule := b.rule(s.levels, &s.size); rule != "" {
		avoided := s.countAvoided(b)
		count(RuleAvoid, avoided)
		count(rule, len(b.workers)-avoided)
		return
	}
	for _, w := range b.workers {
		count(rejectingRule(s.request, w), 1)
	}
}

// countAvoided returns the number of workers in the bucket that the request avoids.
func (s *search) countAvoided(b *bucket) int {
	names := slices.Clone(s.request.Shape.Avoid)
	slices.Sort(names)
	n := 0
	for _, name := range slices.Compact(names) {
		if w := s.cell.workers[name]; w != nil && w.bucket == b {
			n++
		}
	}
	return n
}
