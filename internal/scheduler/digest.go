package scheduler

import (
	"maps"

	"pulleyquay/internal/taskmsg"
)

// Digest summarises the free resources of the ready workers, for heartbeats. Sizes covers every
// known worker, ready or not, since an unavailable worker may return.
func (c *Cell) Digest() taskmsg.Digest {
	d := taskmsg.Digest{Sizes: c.index.machineTypes()}
	for _, w := range c.order {
		if w.Status != StatusReady || w.dedicatedTo != "" {
			continue // no other job may use a dedicated worker
		}
		d.Workers++
		free := w.free().Max(zero)
		d.Free = d.Free.Add(free)
		d.LargestFree = d.LargestFree.Max(free)
	}
	return d
}

// machineTypes lists the distinct machine types with the number of workers of each.
func (x *index) machineTypes() []taskmsg.Size {
	var out []taskmsg.Size
	for _, g := range x.order {
		out = addMachineType(out, g.machineType)
	}
	return out
}

// addMachineType adds the workers of a machine type.
func addMachineType(machineTypes []taskmsg.Size, m taskmsg.Size) []taskmsg.Size {
	for i := range machineTypes {
		if sameMachineType(&machineTypes[i], &m) {
			machineTypes[i].Workers += m.Workers
			return machineTypes
		}
	}
	return append(machineTypes, m)
}

func sameMachineType(a, b *taskmsg.Size) bool {
	return a.Size == b.Size && a.AcceleratorKind == b.AcceleratorKind &&
		a.Generation == b.Generation && maps.Equal(a.Labels, b.Labels)
}
