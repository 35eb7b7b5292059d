package holder

import (
	"context"
	"errors"
	"sync"
	"time"

	"pulleyquay/internal/advice"
	"pulleyquay/internal/engine"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/retrybudget"
)

const (
	// hedgeDelay is how long after the expected time of its answer a policy query is sent through a second member.
	// When many members have failed at once, a step would otherwise wait for the time-out of one after the other.
	hedgeDelay = 60 * time.Millisecond
	// hedgePercent is the number of queries sent a second time for a hundred queries, besides a burst.
	hedgePercent = 20
)

// queryRunner sends the queries to the policy service through members.
type queryRunner struct {
	holder *Holder
	budget *retrybudget.Budget

	mu sync.Mutex
	// responder is the member that answered last, former the one before it.
	responder, former string
}

func newQueryRunner(h *Holder) *queryRunner {
	return &queryRunner{holder: h, budget: retrybudget.New()}
}

// queryReply is the outcome of a query through a member.
type queryReply struct {
	member string
	reply  advice.Reply
	err    error
}

// errMemberUnknown is the outcome of a query through a member that is no longer known.
var errMemberUnknown = errors.New("the member is not known any more")

// run sends a query through the member that the engine selected, and through another one if that member does not answer
// in time. It passes the first answer to the engine.
func (r *queryRunner) run(ctx context.Context, o engine.QueryOrder) {
	timeout := o.Timeout
	if r.holder.cfg.Busy() {
		timeout += busyTimeoutExtension
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.budget.Deposit(hedgePercent)
	replies := make(chan queryReply, 2)
	open := 1
	go r.send(ctx, o, o.Member, replies)
	hedge := time.NewTimer(o.Expected + hedgeDelay)
	defer hedge.Stop()
	var last queryReply
	for open > 0 {
		select {
		case last = <-replies:
			open--
		case <-hedge.C:
			if other := r.otherResponder(o.Member); other != "" && !r.holder.cfg.Busy() && r.budget.TryWithdraw() {
				open++
				go r.send(ctx, o, other, replies)
			}
			continue
		}
		if last.err == nil {
			break
		}
	}
	if last.err == nil {
		r.recordResponder(last.member)
		o.MemberSilent = last.member != o.Member
	}
	r.holder.updateEngine(func(e *engine.Engine, now time.Time) { e.PolicyAnswered(o, last.reply, last.err, now) })
}

// send sends a query through a member.
func (r *queryRunner) send(ctx context.Context, o engine.QueryOrder, member string, replies chan<- queryReply) {
	addr, known := r.holder.cfg.PolicyMembers().Addrs[member]
	if !known {
		replies <- queryReply{member: member, err: errMemberUnknown}
		return
	}
	out := queryReply{member: member}
	out.err = r.holder.cfg.Peers.Call(ctx, addr, peer.KindPolicyQuery, PolicyQuery{Step: o.Step, Hosts: o.Hosts}, &out.reply)
	replies <- out
}

func (r *queryRunner) recordResponder(member string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if member != r.responder {
		r.responder, r.former = member, r.responder
	}
}

// otherResponder returns a member other than the given one that has answered lately; empty if none is known.
func (r *queryRunner) otherResponder(member string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.responder != member {
		return r.responder
	}
	return r.former
}
