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

// Table is the members and partitions at one store revision.
type Table struct {
	Revision   int64       `cbor:"1,keyasint" json:"revision"`
	Members    []Member    `cbor:"2,keyasint" json:"members"`
	Partitions []Partition `cbor:"3,keyasint" json:"partitions"`
}

// Source gives the latest table and settings that the process knows. Both are
// immutable snapshots; their revisions never go down.
type Source interface {
	Table() *Table
	Settings() *settings.Tree
}
