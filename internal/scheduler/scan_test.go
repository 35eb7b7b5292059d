package scheduler

import "pulleyquay/internal/taskmsg"

// selectByScan looks at every worker. It is the reference that the index is
// tested and measured against.
func (c *Cell) selectByScan(a *Ask) (Choice, *taskmsg.Refusal) {
	s := search{cell: c, ask: a, size: a.size(), scores: scoresOf(&a.Shape.Policy)}
	for _, g := range c.index.order {
		if g.ready > 0 && hardwareAdmits(a, &g.size) {
			s.groups = append(s.groups, rankedGroup{group: g})
		}
	}
	s.least, s.most = s.zoneRange()
	refusal := &taskmsg.Refusal{Workers: len(c.order), ByRule: map[string]int{}}
	var best candidate
	for _, b := range c.order {
		if rule := refusedBy(a, b); rule != "" {
			refusal.ByRule[rule]++
			continue
		}
		s.rate(b, &rankedGroup{group: b.group, place: s.placeIn(b.group)}, &best)
	}
	if best.book != nil {
		return Choice{Worker: best.book.Info.Name, Score: best.score}, nil
	}
	refusal.Never = c.Never(&a.Shape.Task) != nil
	return Choice{}, refusal
}
