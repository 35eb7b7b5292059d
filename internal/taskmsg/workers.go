package taskmsg

import "pulleyquay/internal/spec"

// WorkersRequest asks a holder for the state of its workers.
type WorkersRequest struct{}

// WorkersReply lists a holder's workers by name.
type WorkersReply struct {
	Workers []WorkerState `cbor:"1,keyasint,omitempty" json:"workers"`
}

// WorkerState is one worker as its holder sees it.
type WorkerState struct {
	Name      string `cbor:"1,keyasint" json:"name"`
	Addr      string `cbor:"2,keyasint" json:"addr"`
	Rack      string `cbor:"3,keyasint" json:"rack"`
	Zone      string `cbor:"4,keyasint" json:"zone"`
	Partition int    `cbor:"5,keyasint" json:"partition"`
	Epoch     uint64 `cbor:"6,keyasint" json:"epoch"`
	// Claim is where the claim stands: unclaimed, claimed, doubtful or fenced.
	Claim string `cbor:"7,keyasint" json:"claim"`
	// Status tells whether the worker takes new work.
	Status string         `cbor:"8,keyasint" json:"status"`
	Size   spec.Resources `cbor:"9,keyasint" json:"size"`
	// Free is what is left by the books, Usage what the worker last reported.
	Free  spec.Resources `cbor:"10,keyasint" json:"free"`
	Usage spec.Resources `cbor:"11,keyasint" json:"usage"`
	Runs  int            `cbor:"12,keyasint" json:"runs"`
}
