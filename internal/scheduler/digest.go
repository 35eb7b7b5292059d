package scheduler

import (
	"maps"

	"pulleyquay/internal/taskmsg"
)

// Digest sums up the room of the ready workers, for heartbeats. Sizes counts
// every worker that is known, ready or not: what is away may come back.
func (c *Cell) Digest() taskmsg.Digest {
	d := taskmsg.Digest{Sizes: c.index.makes()}
	for _, b := range c.order {
		if b.Status != StatusReady || b.keptFor != "" {
			continue // nobody else may have the room of a kept worker
		}
		d.Workers++
		free := b.free().Max(zero)
		d.Free = d.Free.Add(free)
		d.Largest = d.Largest.Max(free)
	}
	return d
}

// makes lists the distinct makes of worker with their numbers.
func (x *index) makes() []taskmsg.Size {
	var out []taskmsg.Size
	for _, g := range x.order {
		out = addMake(out, g.size)
	}
	return out
}

// addMake adds the workers of a make.
func addMake(makes []taskmsg.Size, m taskmsg.Size) []taskmsg.Size {
	for i := range makes {
		if sameMake(&makes[i], &m) {
			makes[i].Workers += m.Workers
			return makes
		}
	}
	return append(makes, m)
}

func sameMake(a, b *taskmsg.Size) bool {
	return a.Size == b.Size && a.AcceleratorKind == b.AcceleratorKind &&
		a.Generation == b.Generation && maps.Equal(a.Labels, b.Labels)
}
