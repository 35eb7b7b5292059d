package member

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/looplab/fsm"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
	"pulleyquay/internal/right"
	"pulleyquay/internal/uptime"
	"pulleyquay/internal/view"
)

// States of this process's membership.
const (
	StateNotJoined = "outside" // has not joined, or another process has the name
	StateJoined    = "joined"
	StateLeaseLost = "lost" // the store lease has ended; promises may still extend the authority
	StateLeaving   = "leaving"
	StateLeft      = "left"
)

const (
	eventJoin      = "join"
	eventLeaseLost = "lose"
	eventLeave     = "leave"
	eventLeft      = "go"
)

// Session is this process's membership. One goroutine calls Join, Renew,
// SetVoters and Leave; the other methods are safe for concurrent use.
type Session struct {
	store platform.Store
	times right.Times

	mu                  sync.Mutex
	self                view.Member
	authority           *right.Authority
	states              *fsm.FSM
	lease               platform.LeaseID
	grantSent           map[platform.LeaseID]time.Time // when the request for each lease was sent
	memberRevision      platform.Revision
	voterRecordRevision platform.Revision
	sessionNumber       uint64
	lastRenewal         time.Time // when the last successful renewal was sent
	storeFailing        bool      // the last call to the store was not answered
}

// NewSession returns a session of a process that has not joined.
func NewSession(store platform.Store, self view.Member, times right.Times) *Session {
	return &Session{
		store: store, times: times, self: self, authority: right.NewAuthority(times),
		grantSent: map[platform.LeaseID]time.Time{},
		states: fsm.NewFSM(StateNotJoined, fsm.Events{
			{Name: eventJoin, Src: []string{StateNotJoined, StateLeaseLost, StateJoined}, Dst: StateJoined},
			{Name: eventLeaseLost, Src: []string{StateJoined, StateLeaving}, Dst: StateLeaseLost},
			{Name: eventLeave, Src: []string{StateJoined, StateLeaseLost, StateNotJoined}, Dst: StateLeaving},
			{Name: eventLeft, Src: []string{StateLeaving, StateLeaseLost, StateNotJoined, StateJoined}, Dst: StateLeft},
		}, fsm.Callbacks{}),
	}
}

// Join creates the member key under a new lease and a new session. It returns NameTaken while
// another process has the name. After an unknown outcome it may be called again: it first
// reads the outcome of the previous attempt from the store.
func (s *Session) Join(ctx context.Context, voters []right.Voter) error {
	joined, err := s.resolveJoin(ctx)
	if joined || err != nil {
		return err
	}
	sent := uptime.Now()
	lease, err := s.store.Grant(ctx, int64(s.times.Term/time.Second))
	s.recordStoreResult(err)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.grantSent[lease] = sent
	voterRecord := VoterRecord{VoterSet: right.VoterSet{Session: s.sessionNumber + 1, Voters: voters}, Lease: lease}
	if current := s.authority.VoterSet(); current.Session > 0 {
		// The voter set changes only under an active session.
		voterRecord.Voters = current.Voters
	}
	txn := s.joinTxn(voterRecord)
	s.mu.Unlock()
	reply, err := s.store.Commit(ctx, txn)
	s.recordStoreResult(err)
	if err != nil {
		return err
	}
	if !reply.Applied {
		_, err := s.resolveJoin(ctx)
		return err
	}
	s.recordJoin(voterRecord, reply.Revision, reply.Revision)
	return nil
}

func (s *Session) joinTxn(voterRecord VoterRecord) platform.Txn {
	key, voterRecordKey := Key(s.self.Name), VoterRecordKey(s.self.Name, s.self.Incarnation)
	return platform.Txn{
		If: []platform.Condition{{Key: key}, {Key: voterRecordKey, ModRevision: s.voterRecordRevision}},
		Then: []platform.Write{
			{Key: key, Value: mustJSON(s.self), Lease: voterRecord.Lease},
			{Key: voterRecordKey, Value: mustJSON(voterRecord)},
		},
	}
}

// resolveJoin determines the outcome of a previous attempt to join from this process's keys.
// It returns true if they show an active session of this incarnation, and NameTaken if
// another process has the name.
func (s *Session) resolveJoin(ctx context.Context) (joined bool, err error) {
	records, _, err := s.store.List(ctx, Key(s.self.Name))
	s.recordStoreResult(err)
	if err != nil {
		return false, err
	}
	var member, voterRecord Entry
	for _, rec := range records {
		entry, err := Decode(rec)
		if err != nil {
			return false, result.New(result.Internal, result.RanNo, "%v", err)
		}
		switch {
		case entry.Name != s.self.Name:
		case !entry.IsVoterRecord():
			member = entry
		case entry.Incarnation == s.self.Incarnation:
			voterRecord = entry
		}
	}
	s.mu.Lock()
	s.voterRecordRevision = voterRecord.Revision
	if voterRecord.VoterRecord != nil {
		s.sessionNumber = voterRecord.VoterRecord.Session
	}
	s.mu.Unlock()
	if member.Member == nil {
		return false, nil
	}
	if member.Member.Incarnation != s.self.Incarnation || voterRecord.VoterRecord == nil {
		return false, result.New(result.NameTaken, result.RanNo, "member %s lives as %s at %s",
			s.self.Name, member.Member.Incarnation, member.Member.Addr)
	}
	s.recordJoin(*voterRecord.VoterRecord, member.Revision, voterRecord.Revision)
	return true, nil
}

func (s *Session) recordJoin(voterRecord VoterRecord, memberRevision, voterRecordRevision platform.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memberRevision, s.voterRecordRevision = memberRevision, voterRecordRevision
	s.lease, s.sessionNumber = voterRecord.Lease, voterRecord.Session
	if s.authority.Session() != voterRecord.Session {
		s.authority.BeginSession(s.grantSent[voterRecord.Lease], voterRecord.VoterSet)
		s.lastRenewal = s.grantSent[voterRecord.Lease]
	}
	clear(s.grantSent)
	s.transition(eventJoin)
}

// Renew extends the lease by a full term. It returns ErrLeaseGone if the session has ended;
// Join then begins the next one.
func (s *Session) Renew(ctx context.Context) error {
	s.mu.Lock()
	lease := s.lease
	s.mu.Unlock()
	sent := uptime.Now()
	err := s.store.KeepAlive(ctx, lease)
	s.recordStoreResult(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.authority.RecordRenewal(sent)
		s.lastRenewal = sent
	case errors.Is(err, platform.ErrLeaseGone):
		s.transition(eventLeaseLost)
	}
	return err
}

// SetVoters changes the voter set to the given voters, if it differs and may be changed now.
func (s *Session) SetVoters(ctx context.Context, voters []right.Voter) error {
	s.mu.Lock()
	current := s.authority.VoterSet()
	if s.states.Current() != StateJoined || slices.Equal(current.Voters, voters) || !s.authority.MayChangeVoters(uptime.Now()) {
		s.mu.Unlock()
		return nil
	}
	next := right.VoterSet{Session: current.Session, Voters: voters}
	s.authority.BeginVoterChange(next)
	txn := platform.Txn{
		If: s.sessionConditions(),
		Then: []platform.Write{{
			Key:   VoterRecordKey(s.self.Name, s.self.Incarnation),
			Value: mustJSON(VoterRecord{VoterSet: next, Lease: s.lease}),
		}},
	}
	s.mu.Unlock()
	reply, err := s.store.Commit(ctx, txn)
	s.recordStoreResult(err)
	if err != nil || !reply.Applied {
		return s.rewriteVoterRecord(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.voterRecordRevision = reply.Revision
	s.authority.EndVoterChange(next)
	return nil
}

// ResolveVoterChange determines the outcome of a voter set change whose reply was lost. It does
// nothing if no change is pending.
func (s *Session) ResolveVoterChange(ctx context.Context) error {
	s.mu.Lock()
	pending := s.authority.VoterChangePending()
	s.mu.Unlock()
	if !pending {
		return nil
	}
	return s.rewriteVoterRecord(ctx)
}

// rewriteVoterRecord rewrites the voter record to determine which voter set the store holds.
func (s *Session) rewriteVoterRecord(ctx context.Context) error {
	key := VoterRecordKey(s.self.Name, s.self.Incarnation)
	// The transaction of the pending voter change may still take effect late. Both it and this rewrite
	// require the voter record to be unmodified, so whichever the store applies first makes the other fail.
	s.mu.Lock()
	current := VoterRecord{VoterSet: s.authority.VoterSet(), Lease: s.lease}
	txn := platform.Txn{If: s.sessionConditions(), Then: []platform.Write{{Key: key, Value: mustJSON(current)}}}
	s.mu.Unlock()
	reply, err := s.store.Commit(ctx, txn)
	s.recordStoreResult(err)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply.Applied {
		s.voterRecordRevision = reply.Revision
		s.authority.EndVoterChange(current.VoterSet)
		return nil
	}
	for _, rec := range reply.Found {
		entry, err := Decode(rec)
		if err != nil || entry.VoterRecord == nil || entry.Incarnation != s.self.Incarnation {
			continue
		}
		s.voterRecordRevision = entry.Revision
		s.authority.EndVoterChange(entry.VoterRecord.VoterSet)
	}
	return nil
}

// sessionConditions returns conditions that hold while the session's keys are as this process
// wrote them.
func (s *Session) sessionConditions() []platform.Condition {
	return []platform.Condition{
		{Key: Key(s.self.Name), ModRevision: s.memberRevision},
		{Key: VoterRecordKey(s.self.Name, s.self.Incarnation), ModRevision: s.voterRecordRevision},
	}
}

// recordStoreResult records whether a call to the store was answered.
func (s *Session) recordStoreResult(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeFailing = err != nil && !errors.Is(err, platform.ErrLeaseGone)
}

// transition applies an event to the state machine. An event that is not defined for the
// current state is ignored.
func (s *Session) transition(name string) {
	if s.states.Can(name) {
		_ = s.states.Event(context.Background(), name)
	}
}
