package scheduler

import (
	"slices"

	"pulleyquay/internal/taskmsg"
)

// refusal counts for each rule how many workers it turned down. A worker counts
// for the first rule that does. It looks into a bucket only where the bucket's
// levels do not settle the rule for all workers in it.
func (s *search) refusal() *taskmsg.Refusal {
	r := &taskmsg.Refusal{Workers: len(s.cell.order), ByRule: map[string]int{}}
	count := func(rule string, n int) {
		if n > 0 {
			r.ByRule[rule] += n
		}
	}
	closed := 0
	for _, k := range s.cell.kept {
		if k.book.Status == StatusReady {
			count(refusedBy(s.ask, k.book), 1)
			closed-- // in no bucket, but not for its status
		}
	}
	for _, g := range s.cell.index.order {
		closed += g.size.Workers - g.ready
		if rule := refusedByHardware(s.ask, &g.size); rule != "" {
			count(rule, g.ready)
			continue
		}
		for _, k := range g.buckets {
			s.countBucket(k, count)
		}
	}
	count(RuleStatus, closed)
	r.Never = s.cell.Never(&s.ask.Shape.Task) != nil
	return r
}

// countBucket counts the refusals of one bucket.
func (s *search) countBucket(k *bucket, count func(string, int)) {
	if rule := k.rule(s.levels, &s.size); rule != "" {
		avoided := s.avoidedIn(k)
		count(RuleAvoid, avoided)
		count(rule, len(k.books)-avoided)
		return
	}
	for _, b := range k.books {
		count(refusedBy(s.ask, b), 1)
	}
}

// avoidedIn counts the workers in the bucket that the ask avoids.
func (s *search) avoidedIn(k *bucket) int {
	names := slices.Clone(s.ask.Shape.Avoid)
	slices.Sort(names)
	n := 0
	for _, name := range slices.Compact(names) {
		if b := s.cell.books[name]; b != nil && b.bucket == k {
			n++
		}
	}
	return n
}
