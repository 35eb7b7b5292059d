package scheduler

import "pulleyquay/internal/taskmsg"

// selectByScan evaluates every worker. It is the reference for tests and benchmarks of the
// index.
func (c *Cell) selectByScan(req *Request) (Choice, *taskmsg.Refusal) {
	s := search{cell: c, request: req, size: req.size(), scorers: scorersOf(&req.Shape.Policy)}
	for _, g := range c.index.order {
		if g.ready > 0 && hardwareMatches(req, &g.machineType) {
			s.groups = append(s.groups, rankedGroup{group: g})
		}
	}
	s.minRuns, s.maxRuns = s.zoneRange()
	refusal := &taskmsg.Refusal{Workers: len(c.order), ByRule: map[string]int{}}
	var best bestSoFar
	for _, w := range c.order {
		if rule := rejectingRule(req, w); rule != "" {
			refusal.ByRule[rule]++
			continue
		}
		s.evaluate(w, &rankedGroup{group: w.group, candidate: s.candidateIn(w.group)}, &best)
	}
	if best.record != nil {
		return Choice{Worker: best.record.Info.Name, Score: best.score}, nil
	}
	refusal.Never = c.Never(&req.Shape.Task) != nil
	return Choice{}, refusal
}
