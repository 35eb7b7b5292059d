package fleet

import "pulleyquay/internal/taskmsg"

// ruleGathering is the rule by which starts are refused while a gang gathers.
const ruleGathering = "gang-gathering"

// gathering reports whether a gang other than the given one gathers room here
// and lacks some. The caller has lapsed what is over.
func (f *Fleet) gathering(but gangKey) bool {
	for key, g := range f.gangs {
		if key != but && g.req.Gather && len(g.held) < len(g.req.Slots) {
			return true
		}
	}
	return false
}

// refuseForGang says that every worker was kept for a gang.
func (f *Fleet) refuseForGang() *taskmsg.Refusal {
	n := len(f.agents)
	return &taskmsg.Refusal{Workers: n, ByRule: map[string]int{ruleGathering: n}}
}

// anyTombstone reports whether the home was told that a held task will not be
// started here.
func (f *Fleet) anyTombstone(g *gang) bool {
	for id := range g.held {
		if f.tombs.Contains(id) {
			return true
		}
	}
	return false
}
