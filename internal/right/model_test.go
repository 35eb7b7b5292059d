package right

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// The model is a cell of processes, a store and messages that may be lost or arbitrarily delayed,
// driven one random step at a time. It applies the rule of this package as hold.Manager does and
// records every use of authority in true time.

// injectedFault leaves out a part of the rule of this package, by which a member has authority;
// the zero value applies the whole rule.
type injectedFault struct {
	ignoreExpiry     bool // act without checking the end of the authority
	countFromReply   bool // count the lease from the reply, not from the request
	skipFence        bool // claim as soon as the member key is missing
	singleVoter      bool // a fence by one voter suffices
	skipConfirmation bool // treat records as current without a read in the session
	noClockMargin    bool // ignore differences of clock rates
}

const (
	modelProcs      = 4
	modelPartitions = 2
	modelTerm       = 3 * time.Second
	modelMargin     = 10 // per mille
)

// chooser draws a number in [0, n).
type chooser func(label string, n int) int

type modelRecord struct {
	holder MemberID
	epoch  uint64
	mod    int
}

type modelMember struct {
	incarnation string
	mod         int
	lease       int
	expires     time.Duration // true time
}

type modelVoterRecord struct {
	VoterSet
	lease int
	mod   int
}

// modelStore is the state of the store; a read returns a copy of it.
type modelStore struct {
	revision     int
	members      map[string]modelMember
	voterRecords map[MemberID]modelVoterRecord
	partitions   [modelPartitions]modelRecord
}

func (s *modelStore) copy() modelStore {
	c := *s
	c.members, c.voterRecords = maps.Clone(s.members), maps.Clone(s.voterRecords)
	return c
}

func (s *modelStore) next() int {
	s.revision++
	return s.revision
}

// authorityUse is an interval of true time in which a process may act.
type authorityUse struct {
	by    MemberID
	epoch uint64
	until time.Duration
}

type model struct {
	choose        chooser
	injectedFault injectedFault
	times         Times
	now           time.Duration // true time
	up            bool
	lastLease     int
	store         modelStore
	procs         []*modelProc
	started       int
	inFlight      []func()
	uses          [modelPartitions]map[MemberID]authorityUse
	epochs        [modelPartitions]uint64
	violations    []string
	trace         []string
	granted       int // recorded uses; shows that the model was not idle
	promised      int // uses of authority granted by promises
	takenOver     int // claims of a dead holder's partition
}

func newModel(choose chooser, v injectedFault) *model {
	m := &model{
		choose: choose, injectedFault: v, up: true,
		times: Times{Term: modelTerm, Margin: modelMargin, OutageLimit: time.Minute},
		store: modelStore{members: map[string]modelMember{}, voterRecords: map[MemberID]modelVoterRecord{}},
	}
	if v.noClockMargin {
		m.times.Margin = 0
	}
	for i := range m.uses {
		m.uses[i] = map[MemberID]authorityUse{}
	}
	for i := range modelProcs {
		m.procs = append(m.procs, m.newProc(fmt.Sprintf("p%d", i)))
	}
	return m
}

// modelRates are clock rates in per mille, at most half the margin away from true time.
var modelRates = []int64{995, 1000, 1005}

func (m *model) newProc(name string) *modelProc {
	m.started++
	return &modelProc{
		m: m, id: MemberID{Name: name, Incarnation: fmt.Sprintf("%04d", m.started)},
		rate: modelRates[m.choose("rate", len(modelRates))], started: m.now,
		authority: NewAuthority(m.times), promises: NewVoterState(), sent: map[int]time.Time{},
		owned: map[int]modelOwned{}, fencings: map[MemberID]*modelFencing{},
		view: modelStore{members: map[string]modelMember{}, voterRecords: map[MemberID]modelVoterRecord{}},
	}
}

// step draws and executes one step. Steps that do not apply do nothing.
func (m *model) step() {
	p := m.procs[m.choose("process", len(m.procs))]
	switch a := m.choose("step", 100); {
	case a < 10:
		m.advance()
	case a < 12:
		m.advanceToExpiry(p)
	case a < 30:
		m.deliver()
	case a < 32:
		m.dropMessage()
	case a < 33:
		m.up = m.choose("up", 4) > 0
	case a < 34:
		if m.choose("replace", 4) == 0 {
			m.replace(p)
		}
	case a < 37:
		m.expire()
	case a < 43:
		p.tryJoin()
	case a < 52:
		p.renew()
	case a < 54:
		p.setVoters()
	case a < 62:
		p.read()
	case a < 72:
		p.requestPromise(m.procs[m.choose("voter", len(m.procs))])
	case a < 79:
		p.fence(m.choose("partition", modelPartitions))
	case a < 82:
		p.claim(m.choose("partition", modelPartitions))
	case a < 84:
		p.failOver(m.choose("partition", modelPartitions))
	case a < 86:
		p.requestPromises()
	case a < 87:
		p.requestUseAndChange()
	default:
		p.use(m.choose("partition", modelPartitions))
	}
}

var modelTimeSteps = []time.Duration{
	time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond,
	3 * time.Second, 61 * time.Second,
}

func (m *model) advance() {
	n := len(modelTimeSteps)
	// Steps of a whole term are rare, steps beyond the outage limit rarer.
	switch long := m.choose("long", 50); {
	case long > 4:
		n -= 2
	case long > 0:
		n--
	}
	m.now += modelTimeSteps[m.choose("advance", n)]
}

// advanceToExpiry advances to the end of a lease or a promise, where authority that is counted too
// long becomes visible.
func (m *model) advanceToExpiry(p *modelProc) {
	var ends []time.Duration
	for _, name := range slices.Sorted(maps.Keys(m.store.members)) {
		ends = append(ends, m.store.members[name].expires)
	}
	for _, q := range m.procs {
		entry := p.promises.byMember[q.id]
		ends = append(ends, m.now+entry.until.Sub(p.clock())*1000/time.Duration(p.rate)+1)
	}
	if end := ends[m.choose("end", len(ends))]; end > m.now && end < m.now+2*modelTerm {
		m.now = end
	}
}

// send starts delivery of a message. Most messages arrive at once, the rest at any later step or
// never.
func (m *model) send(arrive func()) {
	if m.choose("at once", 4) > 0 {
		arrive()
		return
	}
	m.inFlight = append(m.inFlight, arrive)
}

// sendToStore starts a call to the store; it is lost if the store is unavailable on arrival.
func (m *model) sendToStore(arrive func()) {
	m.send(func() {
		if m.up {
			arrive()
		}
	})
}

func (m *model) deliver() {
	if len(m.inFlight) == 0 {
		return
	}
	i := m.choose("message", len(m.inFlight))
	arrive := m.inFlight[i]
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
	arrive()
}

func (m *model) dropMessage() {
	if len(m.inFlight) > 0 {
		i := m.choose("lost", len(m.inFlight))
		m.inFlight = slices.Delete(m.inFlight, i, i+1)
	}
}

// replace kills a process and starts another with the same name and address.
func (m *model) replace(p *modelProc) {
	p.dead = true
	for i := range m.procs {
		if m.procs[i] == p {
			m.procs[i] = m.newProc(p.id.Name)
		}
	}
	m.logf("replaced %v", p.id)
}

// expire removes the members whose lease has run out. The store may do so late, and also while no
// process reaches it.
func (m *model) expire() {
	for name, member := range m.store.members {
		if m.now >= member.expires {
			delete(m.store.members, name)
			m.store.next()
			m.logf("expired %s %s", name, member.incarnation)
		}
	}
}

// lease returns the end, by the store's own clock, of a lease that starts now.
func (m *model) lease() time.Duration {
	rate := modelRates[m.choose("store rate", len(modelRates))]
	return m.now + modelTerm*1000/time.Duration(rate)
}

// recordUse records that a process may act until the given time, and detects overlaps.
func (m *model) recordUse(p *modelProc, id int, epoch uint64, until time.Time) {
	m.granted++
	end := m.now + time.Duration(int64(until.Sub(p.clock()))*1000/p.rate)
	for other, u := range m.uses[id] {
		if other != p.id && m.now < u.until {
			m.violations = append(m.violations, fmt.Sprintf("partition %d: %v acts at epoch %d while %v may act at %d for %v",
				id, p.id, epoch, other, u.epoch, u.until-m.now))
		}
	}
	if epoch < m.epochs[id] {
		m.violations = append(m.violations, fmt.Sprintf("partition %d: epoch %d after %d", id, epoch, m.epochs[id]))
	}
	m.epochs[id] = epoch
	m.uses[id][p.id] = authorityUse{by: p.id, epoch: epoch, until: max(end, m.uses[id][p.id].until)}
	m.logf("%v uses %d at epoch %d until %v", p.id, id, epoch, end)
}

func (m *model) logf(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%v ", m.now)+fmt.Sprintf(format, args...))
}
