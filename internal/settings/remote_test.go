package settings

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/result"
)

// scriptedCaller answers each placer's calls with a fixed error; nil accepts the change.
type scriptedCaller struct {
	errs map[string]error
	// first holds the First flag that each placer was sent.
	first map[string]bool
}

func (s *scriptedCaller) Call(_ context.Context, addr string, _ peer.Kind, req, resp any) error {
	s.first[addr] = req.(Change).First
	if err := s.errs[addr]; err != nil {
		return err
	}
	*resp.(*Accepted) = Accepted{Revision: 1}
	return nil
}

// TestRemote lists the combinations of answers of two placers.
func TestRemote(t *testing.T) {
	notReached := result.New(result.PeerNotReached, result.RanNo, "x")
	lost := result.New(result.PeerLost, result.RanUnknown, "x")
	down := result.New(result.SettingsStoreDown, result.RanNo, "x")
	conflict := result.New(result.SettingsConflict, result.RanNo, "x")
	cases := []struct {
		name     string
		a, b     error
		code     result.Code // 0: accepted
		ran      result.Ran
		asksB    bool
		firstAtB bool
	}{
		{"accepted", nil, conflict, 0, "", false, false},
		{"not reached, then accepted", notReached, nil, 0, "", true, true},
		{"lost, then accepted", lost, nil, 0, "", true, false},
		{"store down, then accepted", down, nil, 0, "", true, true},
		{"refused", conflict, nil, result.SettingsConflict, result.RanNo, false, false},
		{"store down at both", down, down, result.SettingsStoreDown, result.RanNo, true, true},
		{"lost, then not reached", lost, notReached, result.SettingsOutcomeUnknown, result.RanUnknown, true, false},
		{"lost, then refused against the head", lost, conflict, result.SettingsConflict, result.RanNo, true, false},
		{"not reached, then lost", notReached, lost, result.PeerLost, result.RanUnknown, true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := &scriptedCaller{errs: map[string]error{"a": tc.a, "b": tc.b}, first: map[string]bool{}}
			r := Remote{Caller: s, Addrs: func() []string { return []string{"a", "b"} }}
			_, err := r.Change(context.Background(), edit(0, `{"/a":{}}`))
			if tc.code == 0 {
				is.NoErr(err)
			} else {
				e := result.From(err)
				is.Equal(e.Code, tc.code)
				is.Equal(e.Ran, tc.ran)
			}
			first, asked := s.first["b"]
			is.Equal(asked, tc.asksB)
			is.Equal(first, tc.firstAtB)
		})
	}
}

func TestRemoteWithoutPlacers(t *testing.T) {
	is := is.New(t)
	_, err := Remote{Addrs: func() []string { return nil }}.Change(context.Background(), edit(0, `{}`))
	is.Equal(result.CodeOf(err), result.NotReady)
	is.Equal(result.From(err).Ran, result.RanNo)
}

// A change and the history are requested through the peer messages while a placer stops.
func TestRemoteThroughTheCell(t *testing.T) {
	inBubble(t, 2, 0, func(is *is.I, c *cell) {
		r := Remote{Caller: c.network, Addrs: func() []string { return c.addrs(-1) }}
		got, err := r.Change(c.ctx, edit(0, `{"/a":{}}`))
		is.NoErr(err)
		is.Equal(got.Revision, int64(1))
		time.Sleep(time.Second)
		c.kill(0)
		_, err = r.Change(c.ctx, edit(1, `{"/b":{}}`))
		is.NoErr(err)
		heads, err := r.History(c.ctx)
		is.NoErr(err)
		is.Equal(len(heads), 2)
		is.Equal(heads[0].Revision, int64(2)) // newest first
		is.Equal(heads[0].Paths, []string{"/b"})

		c.engine.SetFaults(memstore.Faults{Refuse: true})
		heads, err = r.History(c.ctx) // from memory
		is.NoErr(err)
		is.Equal(len(heads), 2)
	})
}
