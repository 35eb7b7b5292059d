// Package fragment rates how much a placement breaks up hosts that large tasks need
// in one piece.
//
// The load that it answers: work that takes a whole host, or half of one, arrives
// beside small work that fits anywhere. Small work that is spread over all hosts
// leaves room enough in sum and none in one piece. So a placement is charged for the
// places that it takes from the large tasks seen last, in whatever dimension is the
// scarce one for them: processors, memory or accelerators.
//
// It is the measure of "fragmentation gradient descent" (Weng et al., USENIX ATC
// 2023), with the last tasks of the queue in place of a history of traces.
package fragment

import "pulleyquay/internal/spec"

// remembered is how many of the last large tasks stand for those to come: enough for
// a mix of a few sizes; with twice as many the choice of hosts was no better, and took
// twice as long.
const remembered = 4

// Shapes are the sizes of the large tasks seen last. The zero value has seen none.
type Shapes struct {
	sizes [remembered]spec.Resources
	seen  int
}

// Learn takes in the size of a large task.
func (s *Shapes) Learn(size spec.Resources) {
	s.sizes[s.seen%remembered] = size
	s.seen++
}

// PlacesLost is how many places for a large task, in the mean over those seen last,
// a host loses whose free room shrinks from before to after.
func (s *Shapes) PlacesLost(before, after spec.Resources) float64 {
	known := min(s.seen, remembered)
	if known == 0 {
		return 0
	}
	lost := 0
	for _, size := range s.sizes[:known] {
		if size.Fits(before) { // most hosts have no place to lose
			lost += before.Holds(size) - after.Holds(size)
		}
	}
	return float64(lost) / float64(known)
}
