package taskmsg

import "pulleyquay/internal/spec"

// WorkersRequest requests the state of a holder's workers.
type WorkersRequest struct{}

// WorkersReply lists a holder's workers, sorted by name.
type WorkersReply struct {
	Workers []WorkerState `cbor:"1,keyasint,omitempty" json:"workers"`
}

// WorkerState is the state of one worker as recorded by its holder.
type WorkerState struct {
	Name      string `cbor:"1,keyasint" json:"name"`
	Addr      string `cbor:"2,keyasint" json:"addr"`
	Rack      string `cbor:"3,keyasint" json:"rack"`
	Zone      string `cbor:"4,keyasint" json:"zone"`
	Partition int    `cbor:"5,keyasint" json:"partition"`
	Epoch     uint64 `cbor:"6,keyasint" json:"epoch"`
	// Claim is the state of the claim: unclaimed, claimed, doubtful or fenced.
	Claim string `cbor:"7,keyasint" json:"claim"`
	// Status says whether the worker accepts new tasks.
	Status string         `cbor:"8,keyasint" json:"status"`
	Size   spec.Resources `cbor:"9,keyasint" json:"size"`
	// Free is the capacity without the allocations that the holder has recorded, Usage is
	// what the worker last reported.
	Free  spec.Resources `cbor:"10,keyasint" json:"free"`
	Usage spec.Resources `cbor:"11,keyasint" json:"usage"`
	Runs  int            `cbor:"12,keyasint" json:"runs"`
}
