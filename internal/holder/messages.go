package holder

import (
	"context"
	"errors"
	"time"

	"pulleyquay/internal/advice"
	"pulleyquay/internal/host"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/record"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

// PolicyQuery asks a member to query the policy service about hosts for a step.
type PolicyQuery struct {
	Step  spec.StepID `cbor:"1,keyasint"`
	Hosts []host.ID   `cbor:"2,keyasint"`
}

// ServePolicyQueries registers the handler that forwards policy queries of holders to service.
func ServePolicyQueries(mux *peer.Mux, service advice.Service) {
	peer.Handle(mux, peer.KindPolicyQuery, func(ctx context.Context, query PolicyQuery) (advice.Reply, error) {
		reply, err := service.Query(ctx, query.Step, query.Hosts)
		switch {
		case errors.Is(err, advice.ErrBusy):
			return advice.Reply{}, result.New(result.PolicyBusy, result.RanNo, "%v", err)
		case err != nil:
			return advice.Reply{}, result.New(result.PolicyQueryFailed, result.RanUnknown, "%v", err)
		}
		return reply, nil
	})
}

// JobAccepted notifies the holder that a job of its partition was accepted and stored.
type JobAccepted struct {
	Partition int        `cbor:"1,keyasint"`
	Job       record.Job `cbor:"2,keyasint"`
	// Age is the time since the job was accepted.
	Age time.Duration `cbor:"3,keyasint"`
	// Fresh is true if no other holder was notified of the job.
	Fresh bool `cbor:"4,keyasint"`
}

// JobRequest asks for the state of a job or for its cancellation.
type JobRequest struct {
	Partition int    `cbor:"1,keyasint"`
	Job       string `cbor:"2,keyasint"`
	// Account is the caller's client account. Jobs of other accounts are reported as unknown.
	// Versions without client accounts omit the field.
	Account string `cbor:"3,keyasint,omitempty"`
}

// JobReply reports the state of a job. Found is false if the holder has no such job or the
// account has no access to it.
type JobReply struct {
	Found bool         `cbor:"1,keyasint"`
	State record.State `cbor:"2,keyasint"`
	// AccessChecked is true if the holder verified that the account has access to the job.
	AccessChecked bool `cbor:"3,keyasint,omitempty"`
}

// PendingRequest asks for the number of jobs of a queue that have not started.
type PendingRequest struct {
	Partition int    `cbor:"1,keyasint"`
	Queue     string `cbor:"2,keyasint"`
}

// PendingReply is the reply to a PendingRequest.
type PendingReply struct {
	Pending int `cbor:"1,keyasint"`
}

// Empty is a reply without content: it only acknowledges the request.
type Empty struct{}
