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

// FenceRequest asks a voter to make no more promises to a member's session.
type FenceRequest struct {
	MemberID right.MemberID `cbor:"1,keyasint"`
	Session  uint64         `cbor:"2,keyasint"`
}

// fencing is the fence of one dead member's session. All partitions that this process claims from
// that member share it. The Manager's lock guards it.
type fencing struct {
	voterRecord platform.Revision
	answers     *right.Fencing
	running     bool
}

// fence starts or continues to fence a dead holder. The lock is held.
func (k *Manager) fence(ctx context.Context, s right.MemberID) {
	voterRecord := k.cache.voterRecords[s]
	f := k.fencings[s]
	if f == nil || f.voterRecord != voterRecord.Revision {
		var voterSet right.VoterSet
		if voterRecord.VoterRecord != nil {
			voterSet = voterRecord.VoterRecord.VoterSet
		}
		f = &fencing{voterRecord: voterRecord.Revision, answers: right.NewFencing(k.config.times(), voterSet, uptime.Now())}
		k.fencings[s] = f
		k.log.WithField("member", s.Name).WithField("incarnation", s.Incarnation).Info("asking the voter set of a dead holder to fence it")
	}
	if f.running {
		return
	}
	f.running = true
	k.steps.Add(1)
	go func() {
		defer k.steps.Done()
		k.requestFence(ctx, s, f)
		k.mu.Lock()
		f.running = false
		k.mu.Unlock()
		k.wakeDecide()
	}()
}

// requestFence asks every pending voter once. If the fence is still incomplete it then waits, so
// that the next round does not follow immediately.
func (k *Manager) requestFence(ctx context.Context, s right.MemberID, f *fencing) {
	k.mu.Lock()
	pending := f.answers.Pending()
	request := FenceRequest{MemberID: s, Session: f.answers.VoterSet().Session}
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, k.config.Suspect)
	defer cancel()
	var calls sync.WaitGroup
	for _, v := range pending {
		calls.Add(1)
		go func() {
			defer calls.Done()
			answer, err := k.callVoter(ctx, v, request)
			if err != nil {
				return
			}
			k.mu.Lock()
			f.answers.RecordAnswer(v, answer)
			if f.answers.Done(uptime.Now()) {
				cancel()
			}
			k.mu.Unlock()
		}()
	}
	calls.Wait()
	k.mu.Lock()
	done := f.answers.Done(uptime.Now())
	k.mu.Unlock()
	if !done {
		wait.For(ctx, k.config.Heartbeat/4+rand.N(k.config.Heartbeat/4+1))
	}
}

func (k *Manager) callVoter(ctx context.Context, v right.Voter, request FenceRequest) (right.FenceAnswer, error) {
	if v.Incarnation == k.memberID().Incarnation {
		return k.onFence(ctx, request)
	}
	var answer right.FenceAnswer
	err := k.peers.Call(ctx, v.Addr, peer.KindFence, request, &answer)
	return answer, err
}

// onFence fences a member's session at the request of a claimant.
func (k *Manager) onFence(_ context.Context, request FenceRequest) (right.FenceAnswer, error) {
	now := uptime.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	self := k.memberID()
	answer := right.FenceAnswer{Incarnation: self.Incarnation, Age: now.Sub(k.started)}
	answer.Remaining = k.promises.Fence(now, request.MemberID, request.Session)
	if request.MemberID == self {
		k.session.WithAuthority(func(h *right.Authority) {
			if request.Session >= h.Session() {
				h.MarkFenced()
			}
			answer.Remaining = max(answer.Remaining, h.LatestEnd().Sub(now))
		})
	}
	return answer, nil
}
