package right

import (
	"time"
)

// modelProc is one process of the model. It applies the rule as member.Session and hold.Manager do,
// without their I/O.
type modelProc struct {
	m       *model
	id      MemberID
	rate    int64 // rate of its clock, in per mille
	started time.Duration
	dead    bool

	authority      *Authority
	promises       *VoterState
	joined         bool
	lease          int
	session        uint64
	memberMod      int
	voterRecordMod int
	confirmed      uint64
	sent           map[int]time.Time // when each lease was requested
	owned          map[int]modelOwned
	fencings       map[MemberID]*modelFencing
	view           modelStore // the state that it read last
}

type modelOwned struct {
	record  modelRecord
	session uint64
}

type modelFencing struct {
	voterRecord int
	fencing     *Fencing
}

// clock is the process's own monotonic clock.
func (p *modelProc) clock() time.Time {
	return time.Unix(0, 0).Add(p.m.now * time.Duration(p.rate) / 1000)
}

// reply starts delivery of a reply to this process; a dead process receives none.
func (p *modelProc) reply(arrive func()) {
	p.m.send(func() {
		if !p.dead {
			arrive()
		}
	})
}

// voters draws a voter set from the running processes; it always contains p.
func (p *modelProc) voters() []Voter {
	var out []Voter
	for _, q := range p.m.procs {
		if q == p || p.m.choose("in voter set", 4) > 0 {
			out = append(out, Voter{Name: q.id.Name, Incarnation: q.id.Incarnation})
		}
	}
	return out
}

func (p *modelProc) tryJoin() {
	if p.joined {
		return
	}
	requested, voters := p.clock(), p.voters()
	if old := p.authority.VoterSet(); old.Session > 0 {
		voters = old.Voters
	}
	voterRecordMod := p.voterRecordMod
	m := p.m
	m.lastLease++
	lease := m.lastLease
	p.sent[lease] = requested
	m.sendToStore(func() {
		voterRecord, known := m.store.voterRecords[p.id]
		member, taken := m.store.members[p.id.Name]
		if taken || voterRecord.mod != voterRecordMod {
			// The store shows whether an earlier attempt took effect.
			p.reply(func() {
				p.voterRecordMod, p.session = voterRecord.mod, voterRecord.Session
				if taken && known && member.incarnation == p.id.Incarnation {
					p.onJoined(voterRecord, member.mod, voterRecord.mod, requested)
				}
			})
			return
		}
		mod := m.store.next()
		voterRecord = modelVoterRecord{VoterSet{Session: voterRecord.Session + 1, Voters: voters}, lease, mod}
		m.store.voterRecords[p.id] = voterRecord
		m.store.members[p.id.Name] = modelMember{p.id.Incarnation, mod, lease, m.lease()}
		m.logf("%v joined session %d voters %v", p.id, voterRecord.Session, voters)
		p.reply(func() { p.onJoined(voterRecord, mod, mod, requested) })
	})
}

func (p *modelProc) onJoined(voterRecord modelVoterRecord, memberMod, voterRecordMod int, _ time.Time) {
	if voterRecord.Session < p.authority.Session() {
		return // reply of an older session, received after a newer one
	}
	p.memberMod, p.voterRecordMod, p.joined = memberMod, voterRecordMod, true
	p.lease, p.session = voterRecord.lease, voterRecord.Session
	if p.authority.Session() != voterRecord.Session {
		sent := p.sent[voterRecord.lease]
		if p.m.injectedFault.countFromReply {
			sent = p.clock()
		}
		p.authority.BeginSession(sent, voterRecord.VoterSet)
	}
}

func (p *modelProc) renew() {
	if !p.joined {
		return
	}
	sent, lease, m := p.clock(), p.lease, p.m
	m.sendToStore(func() {
		member, ok := m.store.members[p.id.Name]
		if !ok || member.lease != lease {
			p.reply(func() { p.joined = p.joined && p.lease != lease })
			return
		}
		member.expires = m.lease()
		m.store.members[p.id.Name] = member
		p.reply(func() {
			if m.injectedFault.countFromReply {
				sent = p.clock()
			}
			p.authority.RecordRenewal(sent)
		})
	})
}

// setVoters changes the voter set, or resolves a change whose reply was lost.
func (p *modelProc) setVoters() {
	m := p.m
	if !p.joined {
		return
	}
	next := p.authority.VoterSet()
	if !p.authority.VoterChangePending() {
		if !p.authority.MayChangeVoters(p.clock()) {
			return
		}
		next.Voters = p.voters()
		p.authority.BeginVoterChange(next)
	}
	memberMod, voterRecordMod, lease := p.memberMod, p.voterRecordMod, p.lease
	m.sendToStore(func() {
		member, voterRecord := m.store.members[p.id.Name], m.store.voterRecords[p.id]
		if member.mod == memberMod && voterRecord.mod == voterRecordMod {
			voterRecord = modelVoterRecord{next, lease, m.store.next()}
			m.store.voterRecords[p.id] = voterRecord
			m.logf("%v has voters %v", p.id, next.Voters)
		}
		p.reply(func() {
			if voterRecord.Session == p.authority.Session() && voterRecord.mod > p.voterRecordMod {
				p.voterRecordMod = voterRecord.mod
				p.authority.EndVoterChange(voterRecord.VoterSet)
			}
		})
	})
}

// read takes a copy of the store and uses it to confirm the session.
func (p *modelProc) read() {
	m, session, sentMod := p.m, p.authority.Session(), p.memberMod
	m.sendToStore(func() {
		state := m.store.copy()
		p.reply(func() { p.onRead(state, session, sentMod) })
	})
}

func (p *modelProc) onRead(state modelStore, session uint64, sentMod int) {
	if state.revision > p.view.revision {
		p.view = state
	}
	fresh := state.revision >= sentMod && session > 0
	if p.m.injectedFault.skipConfirmation {
		fresh, session = true, p.authority.Session()
	}
	if fresh && session > p.confirmed {
		p.confirmed = session
	}
	for id, rec := range p.view.partitions {
		own, has := p.owned[id]
		mine := rec.holder == p.id && p.view.members[p.id.Name].incarnation == p.id.Incarnation
		switch {
		case has && rec.mod > own.record.mod:
			delete(p.owned, id)
		case has && rec == own.record && fresh && session > own.session:
			p.owned[id] = modelOwned{rec, session}
		case !has && mine:
			p.owned[id] = modelOwned{rec, p.confirmed}
		}
	}
}

// requestPromise asks a voter to promise to this process, and votes for itself.
func (p *modelProc) requestPromise(v *modelProc) {
	session, sent, m := p.authority.Session(), p.clock(), p.m
	if session == 0 {
		return
	}
	if v == p {
		if p.promises.Ask(sent, p.id, session, m.times.Term) {
			p.authority.RecordPromise(p.id.Incarnation, session, sent, m.times.Term)
		}
		return
	}
	m.send(func() {
		if v.dead || !v.promises.Ask(v.clock(), p.id, session, m.times.Term) {
			return
		}
		p.reply(func() { p.authority.RecordPromise(v.id.Incarnation, session, sent, m.times.Term) })
	})
}

// fence asks one voter of a dead holder's voter set to fence the holder.
func (p *modelProc) fence(id int) {
	m := p.m
	member := p.view.partitions[id].holder
	if member == (MemberID{}) || member == p.id || p.view.members[member.Name].incarnation == member.Incarnation {
		return
	}
	voterRecord := p.view.voterRecords[member]
	f := p.fencings[member]
	if f == nil || f.voterRecord != voterRecord.mod {
		f = &modelFencing{voterRecord.mod, NewFencing(m.times, voterRecord.VoterSet, p.clock())}
		p.fencings[member] = f
	}
	pending := f.fencing.Pending()
	if len(pending) == 0 {
		return
	}
	voter := pending[m.choose("fenced voter", len(pending))]
	m.send(func() {
		for _, v := range m.procs {
			if v.id.Name == voter.Name {
				answer := v.onFence(member, voterRecord.Session)
				p.reply(func() { f.fencing.RecordAnswer(voter, answer) })
			}
		}
	})
}

// failOver performs all steps of a failover as hold.Manager would.
func (p *modelProc) failOver(id int) {
	p.m.expire()
	p.read()
	for range modelProcs {
		p.fence(id)
	}
	p.claim(id)
	for _, q := range p.m.procs {
		q.use(id)
	}
}

// requestPromises asks every process for a promise, as a round of heartbeats does.
func (p *modelProc) requestPromises() {
	for _, v := range p.m.procs {
		p.requestPromise(v)
	}
}

// requestUseAndChange acts on promises and immediately tries to change the voter set.
func (p *modelProc) requestUseAndChange() {
	p.requestPromises()
	for id := range modelPartitions {
		p.use(id)
	}
	p.setVoters()
}

func (p *modelProc) onFence(member MemberID, session uint64) FenceAnswer {
	now := p.clock()
	answer := FenceAnswer{Incarnation: p.id.Incarnation, Remaining: p.promises.Fence(now, member, session)}
	answer.Age = (p.m.now - p.started) * time.Duration(p.rate) / 1000
	if member == p.id {
		if session >= p.authority.Session() {
			p.authority.MarkFenced()
		}
		answer.Remaining = max(answer.Remaining, p.authority.LatestEnd().Sub(now))
	}
	return answer
}

func (p *modelProc) claim(id int) {
	old, m := p.view.partitions[id], p.m
	if !p.joined || old.holder == p.id {
		return
	}
	holderMemberMod := 0
	if old.holder != (MemberID{}) {
		if member, ok := p.view.members[old.holder.Name]; ok {
			if member.incarnation == old.holder.Incarnation {
				return
			}
			holderMemberMod = member.mod
		}
		if !p.mayClaim(old.holder) {
			return
		}
	}
	voterRecordMod, memberMod := p.view.voterRecords[old.holder].mod, p.memberMod
	m.sendToStore(func() {
		s := &m.store
		me := s.members[p.id.Name]
		if me.mod != memberMod || me.incarnation != p.id.Incarnation || s.partitions[id].mod != old.mod {
			return
		}
		if old.holder != (MemberID{}) && (s.members[old.holder.Name].mod != holderMemberMod || s.voterRecords[old.holder].mod != voterRecordMod) {
			return
		}
		rec := modelRecord{p.id, old.epoch + 1, s.next()}
		s.partitions[id] = rec
		if old.holder != (MemberID{}) {
			m.takenOver++
		}
		m.logf("%v claimed %d at epoch %d from %v", p.id, id, rec.epoch, old.holder)
		p.reply(func() { p.onClaimed(id, rec) })
	})
}

func (p *modelProc) mayClaim(member MemberID) bool {
	f := p.fencings[member]
	switch {
	case p.m.injectedFault.skipFence:
		return true
	case f == nil || f.voterRecord != p.view.voterRecords[member].mod:
		return false
	case p.m.injectedFault.singleVoter:
		return len(f.fencing.fenced) > 0
	}
	return f.fencing.Done(p.clock())
}

// onClaimed acquires a claimed partition unless a newer record is known.
func (p *modelProc) onClaimed(id int, rec modelRecord) {
	if rec.mod <= p.view.partitions[id].mod {
		return
	}
	p.view.partitions[id] = rec
	p.owned[id] = modelOwned{rec, p.confirmed}
}

// use checks the authority and acts on it.
func (p *modelProc) use(id int) {
	own, has := p.owned[id]
	if !has {
		return
	}
	now := p.clock()
	session := own.session
	if p.m.injectedFault.skipConfirmation {
		session = p.authority.Session()
	}
	until := p.authority.Until(now, session)
	if !until.After(now) {
		if p.m.injectedFault.ignoreExpiry {
			p.m.recordUse(p, id, own.record.epoch, now.Add(1))
		}
		return
	}
	if until != p.authority.Lease() {
		p.m.promised++
	}
	p.m.recordUse(p, id, own.record.epoch, until)
}
