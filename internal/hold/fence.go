package hold

import (
	"context"
	"math/rand/v2"
	"sync"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/right"
	"pulleyquay/internal/uptime"
	"pulleyquay/internal/wait"
)

// FenceRequest asks a voter to promise a member's session no more time.
type FenceRequest struct {
	Subject right.Subject `cbor:"1,keyasint"`
	Session uint64        `cbor:"2,keyasint"`
}

// fencing is the fence of one dead member's session, shared by all partitions
// that this process wants of it. The Keeper's lock guards it.
type fencing struct {
	charter platform.Revision
	tally   *right.Fencing
	running bool
}

// fence starts or goes on asking the electorate of a dead holder. The lock is
// held.
func (k *Keeper) fence(ctx context.Context, s right.Subject) {
	charter := k.mirror.charters[s]
	f := k.fencings[s]
	if f == nil || f.charter != charter.Revision {
		var electorate right.Electorate
		if charter.Charter != nil {
			electorate = charter.Charter.Electorate
		}
		f = &fencing{charter: charter.Revision, tally: right.NewFencing(k.config.times(), electorate, uptime.Now())}
		k.fencings[s] = f
		k.log.WithField("member", s.Name).WithField("incarnation", s.Incarnation).Info("asking its electorate to fence a dead holder")
	}
	if f.running {
		return
	}
	f.running = true
	k.steps.Add(1)
	go func() {
		defer k.steps.Done()
		k.askFence(ctx, s, f)
		k.mu.Lock()
		f.running = false
		k.mu.Unlock()
		k.wake()
	}()
}

// askFence asks every open voter once, and waits a little when that was not
// enough, so that the next round does not follow at once.
func (k *Keeper) askFence(ctx context.Context, s right.Subject, f *fencing) {
	k.mu.Lock()
	open := f.tally.Open()
	request := FenceRequest{Subject: s, Session: f.tally.Electorate().Session}
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, k.config.Suspect)
	defer cancel()
	var asked sync.WaitGroup
	for _, v := range open {
		asked.Add(1)
		go func() {
			defer asked.Done()
			answer, err := k.askVoter(ctx, v, request)
			if err != nil {
				return
			}
			k.mu.Lock()
			f.tally.Answered(v, answer)
			if f.tally.Done(uptime.Now()) {
				cancel()
			}
			k.mu.Unlock()
		}()
	}
	asked.Wait()
	k.mu.Lock()
	done := f.tally.Done(uptime.Now())
	k.mu.Unlock()
	if !done {
		wait.For(ctx, k.config.Heartbeat/4+rand.N(k.config.Heartbeat/4+1))
	}
}

func (k *Keeper) askVoter(ctx context.Context, v right.Voter, request FenceRequest) (right.FenceAnswer, error) {
	if v.Incarnation == k.subject().Incarnation {
		return k.onFence(ctx, request)
	}
	var answer right.FenceAnswer
	err := k.peers.Call(ctx, v.Addr, peer.KindFence, request, &answer)
	return answer, err
}

// onFence gives this process's vote to a claimant.
func (k *Keeper) onFence(_ context.Context, request FenceRequest) (right.FenceAnswer, error) {
	now := uptime.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	self := k.subject()
	answer := right.FenceAnswer{Incarnation: self.Incarnation, Age: now.Sub(k.started)}
	answer.Remaining = k.promises.Fence(now, request.Subject, request.Session)
	if request.Subject == self {
		k.session.Right(func(h *right.Holder) {
			if request.Session >= h.Session() {
				h.Fenced()
			}
			answer.Remaining = max(answer.Remaining, h.Outstanding().Sub(now))
		})
	}
	return answer, nil
}
