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
	voterRecordRevision platform.Revision
	answers             *right.Fencing
	running             bool
}

// fence starts or continues to fence a dead holder. The lock is held.
func (m *Manager) fence(ctx context.Context, memberID right.MemberID) {
	voterRecord := m.cache.voterRecords[memberID]
	f := m.fencings[memberID]
	if f == nil || f.voterRecordRevision != voterRecord.Revision {
		var voterSet right.VoterSet
		if voterRecord.VoterRecord != nil {
			voterSet = voterRecord.VoterRecord.VoterSet
		}
		f = &fencing{voterRecordRevision: voterRecord.Revision, answers: right.NewFencing(m.config.times(), voterSet, uptime.Now())}
		m.fencings[memberID] = f
		m.log.WithField("member", memberID.Name).WithField("incarnation", memberID.Incarnation).Info("asking the voter set of a dead holder to fence it")
	}
	if f.running {
		return
	}
	f.running = true
	m.steps.Add(1)
	go func() {
		defer m.steps.Done()
		m.requestFence(ctx, memberID, f)
		m.mu.Lock()
		f.running = false
		m.mu.Unlock()
		m.wakeDecide()
	}()
}

// requestFence asks every pending voter once. If the fence is still incomplete it then waits, so
// that the next round does not follow immediately.
func (m *Manager) requestFence(ctx context.Context, memberID right.MemberID, f *fencing) {
	m.mu.Lock()
	pending := f.answers.Pending()
	request := FenceRequest{MemberID: memberID, Session: f.answers.VoterSet().Session}
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, m.config.Suspect)
	defer cancel()
	var calls sync.WaitGroup
	for _, v := range pending {
		calls.Add(1)
		go func() {
			defer calls.Done()
			answer, err := m.callVoter(ctx, v, request)
			if err != nil {
				return
			}
			m.mu.Lock()
			f.answers.RecordAnswer(v, answer)
			if f.answers.Done(uptime.Now()) {
				cancel()
			}
			m.mu.Unlock()
		}()
	}
	calls.Wait()
	m.mu.Lock()
	done := f.answers.Done(uptime.Now())
	m.mu.Unlock()
	if !done {
		wait.For(ctx, m.config.Heartbeat/4+rand.N(m.config.Heartbeat/4+1))
	}
}

func (m *Manager) callVoter(ctx context.Context, v right.Voter, request FenceRequest) (right.FenceAnswer, error) {
	if v.Incarnation == m.memberID().Incarnation {
		return m.onFence(ctx, request)
	}
	var answer right.FenceAnswer
	err := m.peers.Call(ctx, v.Addr, peer.KindFence, request, &answer)
	return answer, err
}

// onFence fences a member's session at the request of a claimant.
func (m *Manager) onFence(_ context.Context, request FenceRequest) (right.FenceAnswer, error) {
	now := uptime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.memberID()
	answer := right.FenceAnswer{Incarnation: self.Incarnation, Age: now.Sub(m.started)}
	answer.Remaining = m.promises.Fence(now, request.MemberID, request.Session)
	if request.MemberID == self {
		m.session.WithAuthority(func(a *right.Authority) {
			if request.Session >= a.Session() {
				a.MarkFenced()
			}
			answer.Remaining = max(answer.Remaining, a.LatestEnd().Sub(now))
		})
	}
	return answer, nil
}
