// Package view holds a process's view of the cell: members, partitions and effective settings.
// Processes read it through the Source interface.
package view

import "pulleyquay/internal/settings"

// Member is the store's latest known record of a placer process.
type Member struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// Incarnation is a UUIDv7 generated at process start. It distinguishes processes with the
	// same name.
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
	// Addr is the address for peer connections, host:port.
	Addr string `cbor:"3,keyasint" json:"addr"`
	Zone string `cbor:"4,keyasint" json:"zone"`
	// Leaving is true while the member hands over its partitions and acquires no new ones.
	Leaving bool `cbor:"5,keyasint,omitempty" json:"leaving,omitempty"`
}

// Partition is the record of a partition in the store.
type Partition struct {
	ID int `cbor:"1,keyasint" json:"id"`
	// Holder, Incarnation and Addr are those of the member that holds the partition. Holder is
	// empty after a graceful handover, until another member claims the partition.
	Holder      string `cbor:"2,keyasint" json:"holder"`
	Incarnation string `cbor:"3,keyasint" json:"incarnation"`
	Addr        string `cbor:"4,keyasint" json:"addr"`
	// Epoch increases with each change of holder.
	Epoch uint64 `cbor:"5,keyasint" json:"epoch"`
	// ModRevision is the store's revision of the record.
	ModRevision int64 `cbor:"6,keyasint" json:"mod_revision"`
}

// Table has the members and partitions. Revision is the highest store revision that the placer
// has received of either. A placer follows the two separately, so a table may lack a change of
// one that is older than the latest change of the other.
type Table struct {
	Revision   int64       `cbor:"1,keyasint" json:"revision"`
	Members    []Member    `cbor:"2,keyasint" json:"members"`
	Partitions []Partition `cbor:"3,keyasint" json:"partitions"`
}

// sum returns the sum of the partitions' revisions, which increases with every change of a
// partition. Of two tables with the same revision, the one with the higher sum is newer.
func (t *Table) sum() int64 {
	sum := int64(0)
	for _, p := range t.Partitions {
		sum += p.ModRevision
	}
	return sum
}

// merge returns a table with the members of the table with the higher revision and the latest
// record of each partition. It returns t itself if u has nothing newer.
func (t *Table) merge(u *Table) *Table {
	if u.Revision <= t.Revision && u.sum() <= t.sum() {
		return t
	}
	out := &Table{Revision: t.Revision, Members: t.Members}
	if u.Revision >= t.Revision {
		out.Revision, out.Members = u.Revision, u.Members
	}
	longer, shorter := u.Partitions, t.Partitions
	if len(shorter) > len(longer) {
		longer, shorter = shorter, longer
	}
	out.Partitions = append(out.Partitions, longer...)
	for i, p := range shorter {
		if p.ModRevision > out.Partitions[i].ModRevision {
			out.Partitions[i] = p
		}
	}
	return out
}

// Source provides the latest table and settings that the process has received. Both are
// immutable snapshots; their revisions never decrease.
type Source interface {
	Table() *Table
	Settings() *settings.Tree
}
