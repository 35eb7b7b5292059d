package heartbeat

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/view"
)

// fakePlacer sends heartbeats to fixed targets and grants every promise.
type fakePlacer struct {
	status    Status
	targets   []string
	requested []PromiseRequest
	mu        sync.Mutex
	received  []Reply
}

func (f *fakePlacer) HandleReply(_ time.Time, r Reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = append(f.received, r)
}

func (f *fakePlacer) replies() []Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.received)
}

func (f *fakePlacer) Status() Status                    { return f.status }
func (f *fakePlacer) PromiseRequests() []PromiseRequest { return f.requested }
func (f *fakePlacer) Urgent() bool                      { return false }
func (f *fakePlacer) GrantPromise(PromiseRequest) bool  { return true }
func (f *fakePlacer) Targets() []string                 { return f.targets }
func (f *fakePlacer) Table() *view.Table                { return &view.Table{Revision: 7} }
func (f *fakePlacer) WantTable() bool                   { return len(f.replies()) == 0 }

func newFakePlacer(name, incarnation string, targets ...string) *fakePlacer {
	return &fakePlacer{status: Status{Member: view.Member{Name: name, Incarnation: incarnation}}, targets: targets}
}

func TestHeartbeatsCarryStatusExtrasPromisesAndTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := peer.Local{"a": peer.NewMux(), "b": peer.NewMux()}
		a, b := newFakePlacer("a", "1", "b"), newFakePlacer("b", "1")
		a.requested = []PromiseRequest{{Session: 3, Period: time.Second}}
		sender := New(net, net["a"], a, time.Second, prometheus.NewRegistry())
		receiver := New(net, net["b"], b, time.Second, prometheus.NewRegistry())
		sender.Provide("room", func() any { return 42 })
		go sender.Run(t.Context())
		time.Sleep(100 * time.Millisecond)

		var capacity int
		age, ok := receiver.Extra("a", "room", &capacity)
		is.True(ok)
		is.Equal(capacity, 42)
		is.Equal(age, 100*time.Millisecond)
		_, ok = receiver.Extra("a", "other", &capacity)
		is.True(!ok)
		is.Equal(a.replies()[0].Promised, a.requested)
		is.Equal(a.replies()[0].Table.Revision, int64(7)) // requested by the first heartbeat only
		contact, ok := sender.Contact("b")
		is.True(ok)
		is.Equal(contact.Status.Member.Name, "b")

		time.Sleep(2 * time.Second)
		is.True(len(a.replies()) >= 2)
		is.Equal(a.replies()[1].Table, nil)
	})
}

func TestEarlierIncarnationDoesNotReplaceALater(t *testing.T) {
	is := is.New(t)
	s := New(peer.Local{}, peer.NewMux(), newFakePlacer("a", "1"), time.Second, prometheus.NewRegistry())
	for _, incarnation := range []string{"2", "1"} {
		s.record(Status{Member: view.Member{Name: "b", Incarnation: incarnation}}, nil)
	}
	contact, _ := s.Contact("b")
	is.Equal(contact.Status.Member.Incarnation, "2")
	s.record(Status{Member: view.Member{Name: "b", Incarnation: "3"}}, nil)
	contact, _ = s.Contact("b")
	is.Equal(contact.Status.Member.Incarnation, "3")
	s.Forget(func(c Contact) bool { return c.Status.Member.Name == "b" })
	is.Equal(len(s.Contacts()), 0)
}
