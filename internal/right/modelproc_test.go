package right

import (
	"time"
)

// modelProc is one process of the model. It does what member.Session and
// hold.Keeper do with the rule, without their I/O.
type modelProc struct {
	m    *model
	id   Subject
	rate int64 // of its clock, in parts of a thousand
	born time.Duration
	dead bool

	holder     *Holder
	promises   *Promises
	joined     bool
	lease      int
	session    uint64
	memberMod  int
	charterMod int
	confirmed  uint64
	sent       map[int]time.Time // when each lease was asked for
	owned      map[int]modelOwned
	fencings   map[Subject]*modelFencing
	view       modelStore // what it last read
}

type modelOwned struct {
	record  modelRecord
	session uint64
}

type modelFencing struct {
	charter int
	tally   *Fencing
}

// clock is the process's own monotonic clock.
func (p *modelProc) clock() time.Time {
	return time.Unix(0, 0).Add(p.m.now * time.Duration(p.rate) / 1000)
}

// reply puts an answer to this process under way; a dead process gets none.
func (p *modelProc) reply(arrive func()) {
	p.m.send(func() {
		if !p.dead {
			arrive()
		}
	})
}

// voters draws an electorate among the present processes, always with p.
func (p *modelProc) voters() []Voter {
	var out []Voter
	for _, q := range p.m.procs {
		if q == p || p.m.choose("in electorate", 4) > 0 {
			out = append(out, Voter{Name: q.id.Name, Incarnation: q.id.Incarnation})
		}
	}
	return out
}

func (p *modelProc) tryJoin() {
	if p.joined {
		return
	}
	asked, voters := p.clock(), p.voters()
	if old := p.holder.Electorate(); old.Session > 0 {
		voters = old.Voters
	}
	charterMod := p.charterMod
	m := p.m
	m.lastLease++
	lease := m.lastLease
	p.sent[lease] = asked
	m.toStore(func() {
		charter, known := m.store.charters[p.id]
		member, taken := m.store.members[p.id.Name]
		if taken || charter.mod != charterMod {
			// What settle reads: an earlier attempt may have taken effect.
			p.reply(func() {
				p.charterMod, p.session = charter.mod, charter.Session
				if taken && known && member.incarnation == p.id.Incarnation {
					p.onJoined(charter, member.mod, charter.mod, asked)
				}
			})
			return
		}
		mod := m.store.next()
		charter = modelCharter{Electorate{Session: charter.Session + 1, Voters: voters}, lease, mod}
		m.store.charters[p.id] = charter
		m.store.members[p.id.Name] = modelMember{p.id.Incarnation, mod, lease, m.lease()}
		m.logf("%v joined session %d voters %v", p.id, charter.Session, voters)
		p.reply(func() { p.onJoined(charter, mod, mod, asked) })
	})
}

func (p *modelProc) onJoined(charter modelCharter, memberMod, charterMod int, _ time.Time) {
	if charter.Session < p.holder.Session() {
		return // the answer of an older session, after a newer one
	}
	p.memberMod, p.charterMod, p.joined = memberMod, charterMod, true
	p.lease, p.session = charter.lease, charter.Session
	if p.holder.Session() != charter.Session {
		sent := p.sent[charter.lease]
		if p.m.variant.countFromAnswer {
			sent = p.clock()
		}
		p.holder.Created(sent, charter.Electorate)
	}
}

func (p *modelProc) renew() {
	if !p.joined {
		return
	}
	sent, lease, m := p.clock(), p.lease, p.m
	m.toStore(func() {
		member, ok := m.store.members[p.id.Name]
		if !ok || member.lease != lease {
			p.reply(func() { p.joined = p.joined && p.lease != lease })
			return
		}
		member.expires = m.lease()
		m.store.members[p.id.Name] = member
		p.reply(func() {
			if m.variant.countFromAnswer {
				sent = p.clock()
			}
			p.holder.Renewed(sent)
		})
	})
}

// setVoters changes the electorate, or settles a change whose answer was lost.
func (p *modelProc) setVoters() {
	m := p.m
	if !p.joined {
		return
	}
	next := p.holder.Electorate()
	if !p.holder.Open() {
		if !p.holder.MayChange(p.clock()) {
			return
		}
		next.Voters = p.voters()
		p.holder.Changing(next)
	}
	memberMod, charterMod, lease := p.memberMod, p.charterMod, p.lease
	m.toStore(func() {
		member, charter := m.store.members[p.id.Name], m.store.charters[p.id]
		if member.mod == memberMod && charter.mod == charterMod {
			charter = modelCharter{next, lease, m.store.next()}
			m.store.charters[p.id] = charter
			m.logf("%v has voters %v", p.id, next.Voters)
		}
		p.reply(func() {
			if charter.Session == p.holder.Session() && charter.mod > p.charterMod {
				p.charterMod = charter.mod
				p.holder.Settled(charter.Electorate)
			}
		})
	})
}

// read takes a copy of the store and confirms the session with it.
func (p *modelProc) read() {
	m, session, begun := p.m, p.holder.Session(), p.memberMod
	m.toStore(func() {
		state := m.store.copy()
		p.reply(func() { p.onRead(state, session, begun) })
	})
}

func (p *modelProc) onRead(state modelStore, session uint64, begun int) {
	if state.revision > p.view.revision {
		p.view = state
	}
	fresh := state.revision >= begun && session > 0
	if p.m.variant.skipConfirm {
		fresh, session = true, p.holder.Session()
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

// ask asks a voter for a promise to this process, and votes for itself.
func (p *modelProc) ask(v *modelProc) {
	session, sent, m := p.holder.Session(), p.clock(), p.m
	if session == 0 {
		return
	}
	if v == p {
		if p.promises.Ask(sent, p.id, session, m.times.Term) {
			p.holder.Promised(p.id.Incarnation, session, sent, m.times.Term)
		}
		return
	}
	m.send(func() {
		if v.dead || !v.promises.Ask(v.clock(), p.id, session, m.times.Term) {
			return
		}
		p.reply(func() { p.holder.Promised(v.id.Incarnation, session, sent, m.times.Term) })
	})
}

// fence asks one voter of a dead holder's electorate.
func (p *modelProc) fence(id int) {
	m := p.m
	s := p.view.partitions[id].holder
	if s == (Subject{}) || s == p.id || p.view.members[s.Name].incarnation == s.Incarnation {
		return
	}
	charter := p.view.charters[s]
	f := p.fencings[s]
	if f == nil || f.charter != charter.mod {
		f = &modelFencing{charter.mod, NewFencing(m.times, charter.Electorate, p.clock())}
		p.fencings[s] = f
	}
	open := f.tally.Open()
	if len(open) == 0 {
		return
	}
	voter := open[m.choose("fenced voter", len(open))]
	m.send(func() {
		for _, v := range m.procs {
			if v.id.Name == voter.Name {
				answer := v.onFence(s, charter.Session)
				p.reply(func() { f.tally.Answered(voter, answer) })
			}
		}
	})
}

// takeOver goes through all that a takeover needs, as the Keeper would.
func (p *modelProc) takeOver(id int) {
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

// askAll asks every process, as a round of heartbeats does.
func (p *modelProc) askAll() {
	for _, v := range p.m.procs {
		p.ask(v)
	}
}

// askUseAndChange acts by promises and tries to change the electorate at once.
func (p *modelProc) askUseAndChange() {
	p.askAll()
	for id := range modelPartitions {
		p.use(id)
	}
	p.setVoters()
}

func (p *modelProc) onFence(s Subject, session uint64) FenceAnswer {
	now := p.clock()
	answer := FenceAnswer{Incarnation: p.id.Incarnation, Remaining: p.promises.Fence(now, s, session)}
	answer.Age = (p.m.now - p.born) * time.Duration(p.rate) / 1000
	if s == p.id {
		if session >= p.holder.Session() {
			p.holder.Fenced()
		}
		answer.Remaining = max(answer.Remaining, p.holder.Outstanding().Sub(now))
	}
	return answer
}

func (p *modelProc) claim(id int) {
	old, m := p.view.partitions[id], p.m
	if !p.joined || old.holder == p.id {
		return
	}
	holderMod := 0
	if old.holder != (Subject{}) {
		if member, ok := p.view.members[old.holder.Name]; ok {
			if member.incarnation == old.holder.Incarnation {
				return
			}
			holderMod = member.mod
		}
		if !p.mayClaim(old.holder) {
			return
		}
	}
	charterMod, memberMod := p.view.charters[old.holder].mod, p.memberMod
	m.toStore(func() {
		s := &m.store
		me := s.members[p.id.Name]
		if me.mod != memberMod || me.incarnation != p.id.Incarnation || s.partitions[id].mod != old.mod {
			return
		}
		if old.holder != (Subject{}) && (s.members[old.holder.Name].mod != holderMod || s.charters[old.holder].mod != charterMod) {
			return
		}
		rec := modelRecord{p.id, old.epoch + 1, s.next()}
		s.partitions[id] = rec
		if old.holder != (Subject{}) {
			m.succeeded++
		}
		m.logf("%v claimed %d at epoch %d from %v", p.id, id, rec.epoch, old.holder)
		p.reply(func() { p.onClaimed(id, rec) })
	})
}

func (p *modelProc) mayClaim(s Subject) bool {
	f := p.fencings[s]
	switch {
	case p.m.variant.skipFence:
		return true
	case f == nil || f.charter != p.view.charters[s].mod:
		return false
	case p.m.variant.oneVote:
		return len(f.tally.fenced) > 0
	}
	return f.tally.Done(p.clock())
}

// onClaimed takes up a claimed partition unless something newer is known.
func (p *modelProc) onClaimed(id int, rec modelRecord) {
	if rec.mod <= p.view.partitions[id].mod {
		return
	}
	p.view.partitions[id] = rec
	p.owned[id] = modelOwned{rec, p.confirmed}
}

// use checks the right and acts by it.
func (p *modelProc) use(id int) {
	own, has := p.owned[id]
	if !has {
		return
	}
	now := p.clock()
	session := own.session
	if p.m.variant.skipConfirm {
		session = p.holder.Session()
	}
	until := p.holder.Until(now, session)
	if !until.After(now) {
		if p.m.variant.skipExpiry {
			p.m.used(p, id, own.record.epoch, now.Add(1))
		}
		return
	}
	if until != p.holder.Lease() {
		p.m.promised++
	}
	p.m.used(p, id, own.record.epoch, until)
}
