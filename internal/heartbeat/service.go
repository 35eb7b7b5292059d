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

// Placer is the process on whose behalf a Service sends and answers heartbeats.
type Placer interface {
	// Status returns the current status of this process.
	Status() Status
	// PromiseRequests returns the promises to request with the next heartbeats.
	PromiseRequests() []PromiseRequest
	// Urgent is true while a requested promise is missing or about to expire; heartbeats are
	// then sent at shorter intervals.
	Urgent() bool
	// GrantPromise decides whether to grant a promise.
	GrantPromise(promise PromiseRequest) bool
	// HandleReply processes the reply to a heartbeat that was sent at sentAt.
	HandleReply(sentAt time.Time, reply Reply)
	// Targets returns the addresses to send heartbeats to.
	Targets() []string
	// Table returns the table for a process that has none, or nil.
	Table() *view.Table
	// WantTable is true while this process has no table.
	WantTable() bool
}

// urgentRate is the factor by which the heartbeat interval is shortened while promises are
// missing.
const urgentRate = 5

// Service sends and answers heartbeats.
type Service struct {
	peers    peer.Caller
	placer   Placer
	interval time.Duration

	mu        sync.Mutex
	providers map[string]func() any
	contacts  map[string]*Contact // by member name
	inFlight  map[string]bool     // addresses with an unanswered heartbeat

	sent   prometheus.Counter
	failed prometheus.Counter
	bytes  prometheus.Counter
}

// Contact is the last status received from a member.
type Contact struct {
	Status     Status    `json:"status"`
	ReceivedAt time.Time `json:"at"`
	// extraValues are the last extra values received from the member, encoded, by name.
	extraValues map[string]cbor.RawMessage
	// extraValuesAt is when extraValues were received. Only heartbeats contain extra values, replies don't.
	extraValuesAt time.Time
}

// New returns a service, and registers its handler for heartbeats in the mux and its metrics
// in reg.
func New(peers peer.Caller, mux *peer.Mux, placer Placer, interval time.Duration, reg prometheus.Registerer) *Service {
	s := &Service{
		peers: peers, placer: placer, interval: interval,
		providers: map[string]func() any{}, contacts: map[string]*Contact{}, inFlight: map[string]bool{},
		sent:   prometheus.NewCounter(prometheus.CounterOpts{Name: "pulleyquay_heartbeats_sent_total", Help: "Heartbeats sent to other placers."}),
		failed: prometheus.NewCounter(prometheus.CounterOpts{Name: "pulleyquay_heartbeats_failed_total", Help: "Heartbeats without an answer."}),
		bytes:  prometheus.NewCounter(prometheus.CounterOpts{Name: "pulleyquay_heartbeat_extra_bytes_total", Help: "Bytes of extra values in the heartbeats built."}),
	}
	reg.MustRegister(s.sent, s.failed, s.bytes)
	peer.Handle(mux, peer.KindHeartbeat, s.handle)
	return s
}

// Provide adds a value to every heartbeat. The function fn is called once in each round.
func (s *Service) Provide(name string, fn func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.providers[name] = fn
}

// Extra decodes the last value received from a member under the name and returns its age.
func (s *Service) Extra(member, name string, into any) (age time.Duration, ok bool) {
	s.mu.Lock()
	contact := s.contacts[member]
	if contact == nil || contact.extraValues[name] == nil {
		s.mu.Unlock()
		return 0, false
	}
	encoded, at := contact.extraValues[name], contact.extraValuesAt
	s.mu.Unlock()
	if err := cbor.Unmarshal(encoded, into); err != nil {
		return 0, false
	}
	return uptime.Since(at), true
}

// Contact returns the last status received from a member, and whether there is one.
func (s *Service) Contact(member string) (Contact, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	contact := s.contacts[member]
	if contact == nil {
		return Contact{}, false
	}
	return *contact, true
}

// Contacts returns the last status received from each member, by member name.
func (s *Service) Contacts() map[string]Contact {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Contact, len(s.contacts))
	for name, contact := range s.contacts {
		out[name] = *contact
	}
	return out
}

// Forget removes the members for which ended returns true.
func (s *Service) Forget(ended func(Contact) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, contact := range s.contacts {
		if ended(*contact) {
			delete(s.contacts, name)
		}
	}
}

// Run sends heartbeats until ctx ends. The interval is jittered, so that the members do not
// synchronize.
func (s *Service) Run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		s.sendRound(ctx, &calls)
		delay := s.interval - s.interval/10 + rand.N(s.interval/5+1)
		if s.placer.Urgent() {
			delay /= urgentRate
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
	}
}

// sendRound sends one heartbeat to every target, except to targets whose previous heartbeat is still pending.
func (s *Service) sendRound(ctx context.Context, calls *sync.WaitGroup) {
	heartbeat := Request{Status: s.placer.Status(), Extras: s.extras(), PromiseRequests: s.placer.PromiseRequests(), WantTable: s.placer.WantTable()}
	for _, addr := range s.placer.Targets() {
		if !s.startCall(addr) {
			continue
		}
		calls.Add(1)
		go func() {
			defer calls.Done()
			defer s.endCall(addr)
			s.send(ctx, addr, heartbeat)
		}()
	}
}

func (s *Service) send(ctx context.Context, addr string, heartbeat Request) {
	ctx, cancel := context.WithTimeout(ctx, 2*s.interval)
	defer cancel()
	s.sent.Inc()
	sentAt := uptime.Now()
	var reply Reply
	if err := s.peers.Call(ctx, addr, peer.KindHeartbeat, heartbeat, &reply); err != nil {
		s.failed.Inc()
		return
	}
	s.record(reply.Status, nil)
	s.placer.HandleReply(sentAt, reply)
}

func (s *Service) handle(_ context.Context, heartbeat Request) (Reply, error) {
	s.record(heartbeat.Status, heartbeat.Extras)
	reply := Reply{}
	for _, promise := range heartbeat.PromiseRequests {
		if s.placer.GrantPromise(promise) {
			reply.Promised = append(reply.Promised, promise)
		}
	}
	if heartbeat.WantTable {
		reply.Table = s.placer.Table()
	}
	reply.Status = s.placer.Status()
	return reply, nil
}

// record stores a received status. The status of an earlier incarnation does not replace the
// status of a later incarnation of the same name.
func (s *Service) record(status Status, extras map[string]cbor.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	contact := s.contacts[status.Member.Name]
	if contact == nil || contact.Status.Member.Incarnation != status.Member.Incarnation {
		if contact != nil && contact.Status.Member.Incarnation > status.Member.Incarnation {
			return
		}
		contact = &Contact{}
		s.contacts[status.Member.Name] = contact
	}
	contact.Status, contact.ReceivedAt = status, uptime.Now()
	if extras != nil {
		contact.extraValues, contact.extraValuesAt = extras, contact.ReceivedAt
	}
}

// extras encodes the provided values.
func (s *Service) extras() map[string]cbor.RawMessage {
	s.mu.Lock()
	providers := make(map[string]func() any, len(s.providers))
	for name, fn := range s.providers {
		providers[name] = fn
	}
	s.mu.Unlock()
	out := make(map[string]cbor.RawMessage, len(providers))
	for name, fn := range providers {
		encoded, err := cbor.Marshal(fn())
		if err != nil {
			continue
		}
		s.bytes.Add(float64(len(encoded)))
		out[name] = encoded
	}
	return out
}

// startCall marks a heartbeat to addr as sent. It returns false if one is unanswered.
func (s *Service) startCall(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[addr] {
		return false
	}
	s.inFlight[addr] = true
	return true
}

func (s *Service) endCall(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, addr)
}
