package fleet

import "pulleyquay/internal/taskmsg"

// ruleGathering is the rule named in refusals while capacity is kept for a gang.
const ruleGathering = "gang-gathering"

// otherGangGathering reports whether a gang other than the given one is gathering
// capacity here and does not have all of it yet. The caller has released expired holds.
func (f *Fleet) otherGangGathering(except gangKey) bool {
	for key, g := range f.gangs {
		if key != except && g.req.AccumulateCapacity && len(g.slots) < len(g.req.Slots) {
			return true
		}
	}
	return false
}

// gangRefusal returns a refusal stating that every worker is kept for a gang.
func (f *Fleet) gangRefusal() *taskmsg.Refusal {
	n := len(f.workers)
	return &taskmsg.Refusal{Workers: n, ByRule: map[string]int{ruleGathering: n}}
}

// anyTombstone reports whether the job owner has been informed that one of the held tasks
// will not be started here.
func (f *Fleet) anyTombstone(g *gangHold) bool {
	for id := range g.slots {
		if f.tombstones.Contains(id) {
			return true
		}
	}
	return false
}
