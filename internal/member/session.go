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
	StateOutside = "outside" // never joined, or a later process has the name
	StateJoined  = "joined"
	StateLost    = "lost" // the store lease ended; the right may live on promises
	StateLeaving = "leaving"
	StateLeft    = "left"
)

const (
	eventJoin  = "join"
	eventLose  = "lose"
	eventLeave = "leave"
	eventGo    = "go"
)

// Session is this process's membership. One goroutine calls Join, Renew,
// SetVoters and Leave; the other methods may be called by any.
type Session struct {
	store platform.Store
	times right.Times

	mu         sync.Mutex
	self       view.Member
	holder     *right.Holder
	machine    *fsm.FSM
	lease      platform.LeaseID
	granted    map[platform.LeaseID]time.Time // when each grant was sent
	memberMod  platform.Revision
	charterMod platform.Revision
	session    uint64
	renewed    time.Time // when the last successful renewal was sent
	failing    bool      // the last call to the store got no answer
}

// NewSession returns a membership that has not joined.
func NewSession(store platform.Store, self view.Member, times right.Times) *Session {
	return &Session{
		store: store, times: times, self: self, holder: right.NewHolder(times),
		granted: map[platform.LeaseID]time.Time{},
		machine: fsm.NewFSM(StateOutside, fsm.Events{
			{Name: eventJoin, Src: []string{StateOutside, StateLost, StateJoined}, Dst: StateJoined},
			{Name: eventLose, Src: []string{StateJoined, StateLeaving}, Dst: StateLost},
			{Name: eventLeave, Src: []string{StateJoined, StateLost, StateOutside}, Dst: StateLeaving},
			{Name: eventGo, Src: []string{StateLeaving, StateLost, StateOutside, StateJoined}, Dst: StateLeft},
		}, fsm.Callbacks{}),
	}
}

// Join creates the member key under a new lease and a new session. It returns
// NameTaken while another process has the name. After an unknown outcome it
// may be called again: it first reads what became of the earlier attempt.
func (s *Session) Join(ctx context.Context, voters []right.Voter) error {
	done, err := s.settle(ctx)
	if done || err != nil {
		return err
	}
	sent := uptime.Now()
	lease, err := s.store.Grant(ctx, int64(s.times.Term/time.Second))
	s.note(err)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.granted[lease] = sent
	charter := Charter{Electorate: right.Electorate{Session: s.session + 1, Voters: voters}, Lease: lease}
	if old := s.holder.Electorate(); old.Session > 0 {
		// The electorate changes only under a living session.
		charter.Voters = old.Voters
	}
	txn := s.joinTxn(charter)
	s.mu.Unlock()
	reply, err := s.store.Commit(ctx, txn)
	s.note(err)
	if err != nil {
		return err
	}
	if !reply.Applied {
		_, err := s.settle(ctx)
		return err
	}
	s.joined(charter, reply.Revision, reply.Revision)
	return nil
}

func (s *Session) joinTxn(charter Charter) platform.Txn {
	key, charterKey := Key(s.self.Name), CharterKey(s.self.Name, s.self.Incarnation)
	return platform.Txn{
		If: []platform.Condition{{Key: key}, {Key: charterKey, ModRevision: s.charterMod}},
		Then: []platform.Write{
			{Key: key, Value: mustJSON(s.self), Lease: charter.Lease},
			{Key: charterKey, Value: mustJSON(charter)},
		},
	}
}

// settle reads the own keys. It reports done when they show a living session of
// this incarnation, and NameTaken when another process has the name.
func (s *Session) settle(ctx context.Context) (done bool, err error) {
	records, _, err := s.store.List(ctx, Key(s.self.Name))
	s.note(err)
	if err != nil {
		return false, err
	}
	var member, charter Entry
	for _, rec := range records {
		entry, err := Decode(rec)
		if err != nil {
			return false, result.New(result.Internal, result.RanNo, "%v", err)
		}
		switch {
		case entry.Name != s.self.Name:
		case !entry.IsCharter():
			member = entry
		case entry.Incarnation == s.self.Incarnation:
			charter = entry
		}
	}
	s.mu.Lock()
	s.charterMod = charter.Revision
	if charter.Charter != nil {
		s.session = charter.Charter.Session
	}
	s.mu.Unlock()
	if member.Member == nil {
		return false, nil
	}
	if member.Member.Incarnation != s.self.Incarnation || charter.Charter == nil {
		return false, result.New(result.NameTaken, result.RanNo, "member %s lives as %s at %s",
			s.self.Name, member.Member.Incarnation, member.Member.Addr)
	}
	s.joined(*charter.Charter, member.Revision, charter.Revision)
	return true, nil
}

func (s *Session) joined(charter Charter, memberMod, charterMod platform.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memberMod, s.charterMod = memberMod, charterMod
	s.lease, s.session = charter.Lease, charter.Session
	if s.holder.Session() != charter.Session {
		s.holder.Created(s.granted[charter.Lease], charter.Electorate)
		s.renewed = s.granted[charter.Lease]
	}
	clear(s.granted)
	s.event(eventJoin)
}

// Renew starts the lease's term anew. It returns ErrLeaseGone when the session
// is over; Join then begins the next.
func (s *Session) Renew(ctx context.Context) error {
	s.mu.Lock()
	lease := s.lease
	s.mu.Unlock()
	sent := uptime.Now()
	err := s.store.KeepAlive(ctx, lease)
	s.note(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.holder.Renewed(sent)
		s.renewed = sent
	case errors.Is(err, platform.ErrLeaseGone):
		s.event(eventLose)
	}
	return err
}

// SetVoters changes the electorate to the given voters when it differs and may
// be changed now.
func (s *Session) SetVoters(ctx context.Context, voters []right.Voter) error {
	s.mu.Lock()
	present := s.holder.Electorate()
	if s.machine.Current() != StateJoined || slices.Equal(present.Voters, voters) || !s.holder.MayChange(uptime.Now()) {
		s.mu.Unlock()
		return nil
	}
	next := right.Electorate{Session: present.Session, Voters: voters}
	s.holder.Changing(next)
	txn := platform.Txn{
		If: s.livingConditions(),
		Then: []platform.Write{{
			Key:   CharterKey(s.self.Name, s.self.Incarnation),
			Value: mustJSON(Charter{Electorate: next, Lease: s.lease}),
		}},
	}
	s.mu.Unlock()
	reply, err := s.store.Commit(ctx, txn)
	s.note(err)
	if err != nil || !reply.Applied {
		return s.settleVoters(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.charterMod = reply.Revision
	s.holder.Settled(next)
	return nil
}

// SettleVoters ends the doubt about a change of electorate whose answer was
// lost; without doubt it does nothing.
func (s *Session) SettleVoters(ctx context.Context) error {
	s.mu.Lock()
	open := s.holder.Open()
	s.mu.Unlock()
	if !open {
		return nil
	}
	return s.settleVoters(ctx)
}

func (s *Session) settleVoters(ctx context.Context) error {
	key := CharterKey(s.self.Name, s.self.Incarnation)
	// Writing the charter anew with its old value decides the race with a
	// delayed change: one of the two fails its condition.
	s.mu.Lock()
	present := Charter{Electorate: s.holder.Electorate(), Lease: s.lease}
	txn := platform.Txn{If: s.livingConditions(), Then: []platform.Write{{Key: key, Value: mustJSON(present)}}}
	s.mu.Unlock()
	reply, err := s.store.Commit(ctx, txn)
	s.note(err)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply.Applied {
		s.charterMod = reply.Revision
		s.holder.Settled(present.Electorate)
		return nil
	}
	for _, rec := range reply.Found {
		entry, err := Decode(rec)
		if err != nil || entry.Charter == nil || entry.Incarnation != s.self.Incarnation {
			continue
		}
		s.charterMod = entry.Revision
		s.holder.Settled(entry.Charter.Electorate)
	}
	return nil
}

// livingConditions hold while the session's keys are as this process wrote them.
func (s *Session) livingConditions() []platform.Condition {
	return []platform.Condition{
		{Key: Key(s.self.Name), ModRevision: s.memberMod},
		{Key: CharterKey(s.self.Name, s.self.Incarnation), ModRevision: s.charterMod},
	}
}

// note remembers whether the store answers.
func (s *Session) note(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = err != nil && !errors.Is(err, platform.ErrLeaseGone)
}

// event moves the state machine. An event that does not fit the state leaves it.
func (s *Session) event(name string) {
	if s.machine.Can(name) {
		_ = s.machine.Event(context.Background(), name)
	}
}
