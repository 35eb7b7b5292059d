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

// AdviseRequest asks a member to ask the policy service.
type AdviseRequest struct {
	Step  spec.StepID `cbor:"1,keyasint"`
	Hosts []host.ID   `cbor:"2,keyasint"`
}

// ServeAdvice answers the questions of holders through this process's lane.
func ServeAdvice(mux *peer.Mux, service advice.Service) {
	peer.Handle(mux, peer.KindAdvise, func(ctx context.Context, q AdviseRequest) (advice.Answer, error) {
		answer, err := service.Advise(ctx, q.Step, q.Hosts)
		switch {
		case errors.Is(err, advice.ErrBusy):
			return advice.Answer{}, result.New(result.AdviceBusy, result.RanNo, "%v", err)
		case err != nil:
			return advice.Answer{}, result.New(result.AdviceFailed, result.RanUnknown, "%v", err)
		}
		return answer, nil
	})
}

// Accepted tells the holder of a job that is stored.
type Accepted struct {
	Partition int        `cbor:"1,keyasint"`
	Job       record.Job `cbor:"2,keyasint"`
	// Age is how long ago the job was accepted.
	Age time.Duration `cbor:"3,keyasint"`
	// Fresh is true when no other holder was told of the job.
	Fresh bool `cbor:"4,keyasint"`
}

// JobRequest names a job.
type JobRequest struct {
	Partition int    `cbor:"1,keyasint"`
	Job       string `cbor:"2,keyasint"`
	// Account is the caller's; a job of another one is not known to it. Versions that knew no
	// accounts leave it out.
	Account string `cbor:"3,keyasint,omitempty"`
}

// JobReply tells the state of a job; Known is false when the holder has no such
// job.
type JobReply struct {
	Known bool         `cbor:"1,keyasint"`
	State record.State `cbor:"2,keyasint"`
	// Checked is true when the holder has seen to it that the job is open to the account.
	Checked bool `cbor:"3,keyasint,omitempty"`
}

// PendingRequest asks how many jobs of a queue have not begun.
type PendingRequest struct {
	Partition int    `cbor:"1,keyasint"`
	Queue     string `cbor:"2,keyasint"`
}

// PendingReply is the answer.
type PendingReply struct {
	Pending int `cbor:"1,keyasint"`
}

// Empty is an answer that says nothing but that it came.
type Empty struct{}
