package engine

// filter is a rule that decides whether a step may run on a host, regardless of free capacity.
type filter struct {
	name    string
	accepts func(*group, *hostState) bool
}

// filters in the order of evaluation; a host is counted under the first filter that rejects it.
var filters = []filter{
	{"service", func(g *group, h *hostState) bool { return h.info.Service == g.job.rec.Service }},
	{"label", func(g *group, h *hostState) bool { return g.step.Label == "" || h.info.HasLabel(g.step.Label) }},
	{"size", func(g *group, h *hostState) bool { return g.step.Allocation().Fits(h.info.Size) }},
	{"policy", func(g *group, h *hostState) bool {
		permitted, known := g.policy.permission[h]
		return permitted || !known
	}},
}

// rejectedBy returns the name of the first filter that rejects a host, or "".
func rejectedBy(g *group, h *hostState) string {
	for _, f := range filters {
		if !f.accepts(g, h) {
			return f.name
		}
	}
	return ""
}
