package heartbeat

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/uptime"
	"pulleyquay/internal/view"
)

// Host is the placer that a Service beats for.
type Host interface {
	// Status is what to say of this process now.
	Status() Status
	// Asks returns the promises to ask for with the next beats.
	Asks() []Ask
	// Urgent is true while a promise that is asked for is about to run out or
	// missing; beats then follow each other faster.
	Urgent() bool
	// OnAsk decides whether to promise.
	OnAsk(ask Ask) bool
	// OnReply takes in an answer to a beat that was sent at sent.
	OnReply(sent time.Time, reply Reply)
	// Targets lists the addresses to beat to.
	Targets() []string
	// Table returns the table for a process that has none, or nil.
	Table() *view.Table
	// WantTable is true while this process has no table of its own.
	WantTable() bool
}

// urgentRate is how many times faster beats follow while promises are missing.
const urgentRate = 5

// Service sends and answers heartbeats.
type Service struct {
	peers    peer.Caller
	host     Host
	interval time.Duration

	mu       sync.Mutex
	provided map[string]func() any
	heard    map[string]*Heard // by member name
	pending  map[string]bool   // addresses with a beat on its way

	sent   prometheus.Counter
	failed prometheus.Counter
	bytes  prometheus.Counter
}

// Heard is what was last heard of a member.
type Heard struct {
	Status Status    `json:"status"`
	At     time.Time `json:"at"`
	extras map[string]cbor.RawMessage
	// beatAt is when the extras came, which only beats carry.
	beatAt time.Time
}

// New registers the heartbeat's handler in the mux.
func New(peers peer.Caller, mux *peer.Mux, host Host, interval time.Duration, reg prometheus.Registerer) *Service {
	s := &Service{
		peers: peers, host: host, interval: interval,
		provided: map[string]func() any{}, heard: map[string]*Heard{}, pending: map[string]bool{},
		sent:   prometheus.NewCounter(prometheus.CounterOpts{Name: "pulleyquay_heartbeats_sent_total", Help: "Heartbeats sent to other placers."}),
		failed: prometheus.NewCounter(prometheus.CounterOpts{Name: "pulleyquay_heartbeats_failed_total", Help: "Heartbeats without an answer."}),
		bytes:  prometheus.NewCounter(prometheus.CounterOpts{Name: "pulleyquay_heartbeat_extra_bytes_total", Help: "Bytes of extra values in the heartbeats built."}),
	}
	reg.MustRegister(s.sent, s.failed, s.bytes)
	peer.Handle(mux, peer.KindHeartbeat, s.answer)
	return s
}

// Provide adds a value to every heartbeat; fn is called for each round.
func (s *Service) Provide(name string, fn func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.provided[name] = fn
}

// Extra decodes what a member last provided under the name and returns its age.
func (s *Service) Extra(member, name string, into any) (age time.Duration, ok bool) {
	s.mu.Lock()
	h := s.heard[member]
	if h == nil || h.extras[name] == nil {
		s.mu.Unlock()
		return 0, false
	}
	raw, at := h.extras[name], h.beatAt
	s.mu.Unlock()
	if err := cbor.Unmarshal(raw, into); err != nil {
		return 0, false
	}
	return uptime.Since(at), true
}

// Heard returns what was last heard of a member.
func (s *Service) Heard(member string) (Heard, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.heard[member]
	if h == nil {
		return Heard{}, false
	}
	return *h, true
}

// All returns what was last heard of every member.
func (s *Service) All() map[string]Heard {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Heard, len(s.heard))
	for name, h := range s.heard {
		out[name] = *h
	}
	return out
}

// Forget drops the members that gone reports.
func (s *Service) Forget(gone func(Heard) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, h := range s.heard {
		if gone(*h) {
			delete(s.heard, name)
		}
	}
}

// Run beats until ctx ends, each round a little off the interval so that
// members do not fall into step.
func (s *Service) Run(ctx context.Context) {
	var beats sync.WaitGroup
	defer beats.Wait()
	for {
		s.round(ctx, &beats)
		pause := s.interval - s.interval/10 + rand.N(s.interval/5+1)
		if s.host.Urgent() {
			pause /= urgentRate
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// round sends one beat to every target that has answered the one before.
func (s *Service) round(ctx context.Context, beats *sync.WaitGroup) {
	beat := Beat{Status: s.host.Status(), Extras: s.extras(), Asks: s.host.Asks(), WantTable: s.host.WantTable()}
	for _, addr := range s.host.Targets() {
		if !s.begin(addr) {
			continue
		}
		beats.Add(1)
		go func() {
			defer beats.Done()
			defer s.end(addr)
			s.send(ctx, addr, beat)
		}()
	}
}

func (s *Service) send(ctx context.Context, addr string, beat Beat) {
	ctx, cancel := context.WithTimeout(ctx, 2*s.interval)
	defer cancel()
	s.sent.Inc()
	sent := uptime.Now()
	var reply Reply
	if err := s.peers.Call(ctx, addr, peer.KindHeartbeat, beat, &reply); err != nil {
		s.failed.Inc()
		return
	}
	s.note(reply.Status, nil)
	s.host.OnReply(sent, reply)
}

func (s *Service) answer(_ context.Context, beat Beat) (Reply, error) {
	s.note(beat.Status, beat.Extras)
	reply := Reply{}
	for _, ask := range beat.Asks {
		if s.host.OnAsk(ask) {
			reply.Promised = append(reply.Promised, ask)
		}
	}
	if beat.WantTable {
		reply.Table = s.host.Table()
	}
	reply.Status = s.host.Status()
	return reply, nil
}

// note remembers what was heard. A process of an earlier incarnation does not
// replace what a later one of the same name has said.
func (s *Service) note(status Status, extras map[string]cbor.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.heard[status.Member.Name]
	if h == nil || h.Status.Member.Incarnation != status.Member.Incarnation {
		if h != nil && h.Status.Member.Incarnation > status.Member.Incarnation {
			return
		}
		h = &Heard{}
		s.heard[status.Member.Name] = h
	}
	h.Status, h.At = status, uptime.Now()
	if extras != nil {
		h.extras, h.beatAt = extras, h.At
	}
}

// extras encodes the provided values.
func (s *Service) extras() map[string]cbor.RawMessage {
	s.mu.Lock()
	provided := make(map[string]func() any, len(s.provided))
	for name, fn := range s.provided {
		provided[name] = fn
	}
	s.mu.Unlock()
	out := make(map[string]cbor.RawMessage, len(provided))
	for name, fn := range provided {
		raw, err := cbor.Marshal(fn())
		if err != nil {
			continue
		}
		s.bytes.Add(float64(len(raw)))
		out[name] = raw
	}
	return out
}

func (s *Service) begin(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending[addr] {
		return false
	}
	s.pending[addr] = true
	return true
}

func (s *Service) end(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, addr)
}
