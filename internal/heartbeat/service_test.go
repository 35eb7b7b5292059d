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

// fakeHost beats to fixed targets and grants every ask.
type fakeHost struct {
	status  Status
	targets []string
	asks    []Ask
	mu      sync.Mutex
	got     []Reply
}

func (f *fakeHost) OnReply(_ time.Time, r Reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.got = append(f.got, r)
}

func (f *fakeHost) replies() []Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.got)
}

func (f *fakeHost) Status() Status     { return f.status }
func (f *fakeHost) Asks() []Ask        { return f.asks }
func (f *fakeHost) Urgent() bool       { return false }
func (f *fakeHost) OnAsk(Ask) bool     { return true }
func (f *fakeHost) Targets() []string  { return f.targets }
func (f *fakeHost) Table() *view.Table { return &view.Table{Revision: 7} }
func (f *fakeHost) WantTable() bool    { return len(f.replies()) == 0 }

func hostNamed(name, incarnation string, targets ...string) *fakeHost {
	return &fakeHost{status: Status{Member: view.Member{Name: name, Incarnation: incarnation}}, targets: targets}
}

func TestBeatsCarryStatusValuesAsksAndTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := peer.Local{"a": peer.NewMux(), "b": peer.NewMux()}
		a, b := hostNamed("a", "1", "b"), hostNamed("b", "1")
		a.asks = []Ask{{Session: 3, For: time.Second}}
		from := New(net, net["a"], a, time.Second, prometheus.NewRegistry())
		to := New(net, net["b"], b, time.Second, prometheus.NewRegistry())
		from.Provide("room", func() any { return 42 })
		go from.Run(t.Context())
		time.Sleep(100 * time.Millisecond)

		var room int
		age, ok := to.Extra("a", "room", &room)
		is.True(ok)
		is.Equal(room, 42)
		is.Equal(age, 100*time.Millisecond)
		_, ok = to.Extra("a", "other", &room)
		is.True(!ok)
		is.Equal(a.replies()[0].Promised, a.asks)
		is.Equal(a.replies()[0].Table.Revision, int64(7)) // wanted by the first beat only
		heard, ok := from.Heard("b")
		is.True(ok)
		is.Equal(heard.Status.Member.Name, "b")

		time.Sleep(2 * time.Second)
		is.True(len(a.replies()) >= 2)
		is.Equal(a.replies()[1].Table, nil)
	})
}

func TestEarlierIncarnationDoesNotReplaceALater(t *testing.T) {
	is := is.New(t)
	s := New(peer.Local{}, peer.NewMux(), hostNamed("a", "1"), time.Second, prometheus.NewRegistry())
	for _, incarnation := range []string{"2", "1"} {
		s.note(Status{Member: view.Member{Name: "b", Incarnation: incarnation}}, nil)
	}
	heard, _ := s.Heard("b")
	is.Equal(heard.Status.Member.Incarnation, "2")
	s.note(Status{Member: view.Member{Name: "b", Incarnation: "3"}}, nil)
	heard, _ = s.Heard("b")
	is.Equal(heard.Status.Member.Incarnation, "3")
	s.Forget(func(h Heard) bool { return h.Status.Member.Name == "b" })
	is.Equal(len(s.All()), 0)
}
