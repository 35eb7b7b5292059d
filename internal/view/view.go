// Package view is what a process knows of the cell: members, partitions and the
// settings in force. Every process reads it through the small Source interface.
package view

import "pulleyquay/internal/settings"

// Member is one placer process as the store last showed it.
type Member struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// Incarnation is a UUIDv7 made at the process's start; two processes with
	// the same name differ in it.
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
	// Addr is the address of the peer link, host:port.
	Addr string `cbor:"3,keyasint" json:"addr"`
	Zone string `cbor:"4,keyasint" json:"zone"`
	// Leaving members hand over and take nothing new.
	Leaving bool `cbor:"5,keyasint,omitempty" json:"leaving,omitempty"`
}

// Partition is one partition's record in the store.
type Partition struct {
	ID int `cbor:"1,keyasint" json:"id"`
	// Holder, Incarnation and Addr are those of the member that holds it; an
	// empty Holder means that it was signed off and waits for a claim.
	Holder      string `cbor:"2,keyasint" json:"holder"`
	Incarnation string `cbor:"3,keyasint" json:"incarnation"`
	Addr        string `cbor:"4,keyasint" json:"addr"`
	// Epoch grows with each change of holder.
	Epoch uint64 `cbor:"5,keyasint" json:"epoch"`
	// ModRevision is the store's revision of the record.
	ModRevision int64 `cbor:"6,keyasint" json:"mod_revision"`
}

// Table is the members and partitions, at the highest store revision that the
// placer has seen of either. A placer follows the two apart, so that a table may
// lack a change of the one that is older than the latest of the other.
type Table struct {
	Revision   int64       `cbor:"1,keyasint" json:"revision"`
	Members    []Member    `cbor:"2,keyasint" json:"members"`
	Partitions []Partition `cbor:"3,keyasint" json:"partitions"`
}

// sum grows with every change of a partition that a table has: of two tables at
// one revision, the one with the higher sum lacks fewer changes.
func (t *Table) sum() int64 {
	sum := int64(0)
	for _, p := range t.Partitions {
		sum += p.ModRevision
	}
	return sum
}

// merge returns what both tables know together, each partition as the one knows it
// that has seen its later change. It returns t itself when u tells nothing new.
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

// Source gives the latest table and settings that the process knows. Both are
// immutable snapshots; their revisions never go down.
type Source interface {
	Table() *Table
	Settings() *settings.Tree
}
