package catalog

import (
	"context"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/evacuation"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/result"
)

func TestRoutes(t *testing.T) {
	c := &Catalog{Queues: []Queue{
		{Name: "all", Host: "h", Prefix: "/"}, {Name: "a", Host: "h", Prefix: "/a/"}, {Name: "ab", Host: "h", Prefix: "/a/b/"},
		{Name: "other", Host: "g", Prefix: "/a/"},
	}}
	c.Index()
	tests := map[string]struct{ host, path, queue, rest string }{
		"longest prefix":    {"h", "/a/b/1", "ab", "1"},
		"shorter one":       {"h", "/a/1", "a", "1"},
		"whole host":        {"h", "/x", "all", "x"},
		"another host":      {"g", "/a/1", "other", "1"},
		"no prefix matches": {"g", "/x", "", ""},
		"unknown host":      {"x", "/a/1", "", ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q, rest := c.Route(tc.host, tc.path)
			if tc.queue == "" {
				is.True(q == nil)
				return
			}
			is.Equal(q.Name, tc.queue)
			is.Equal(rest, tc.rest)
		})
	}
	var none *Catalog
	q, _ := none.Route("h", "/a/1")
	is.New(t).True(q == nil) // no catalog is active yet
}

// peers is a peer.Caller that answers with the catalog of another member.
type peers struct {
	newest      atomic.Pointer[Catalog]
	evacuations atomic.Pointer[evacuation.Set]
}

func (p *peers) Call(_ context.Context, _ string, _ peer.Kind, req, resp any) error {
	if set := p.evacuations.Load(); set != nil && set.Revision > req.(Request).NewerEvacuations {
		resp.(*Reply).Evacuations = set
		return nil
	}
	newest := p.newest.Load()
	if newest == nil {
		return result.New(result.PeerNotReached, result.RanNo, "away")
	}
	if newest.Version > req.(Request).Newer {
		resp.(*Reply).Catalog = newest
	}
	return nil
}

const key = "op/test"

func decodeVersion(rec platform.Record) (*Catalog, error) {
	v, err := strconv.ParseInt(strings.TrimSpace(string(rec.Value)), 10, 64)
	if err != nil {
		return nil, err
	}
	c := &Catalog{Version: v}
	c.Index()
	return c, nil
}

func start(t *testing.T, store *memstore.Engine, p *peers) *Watcher {
	t.Helper()
	return startDecoding(t, store, p, decodeVersion)
}

func startDecoding(t *testing.T, store *memstore.Engine, p *peers, decode func(platform.Record) (*Catalog, error)) *Watcher {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := &Watcher{
		Store: store.Client("a"), Health: follow.NewHealth(nil), Peers: p, Log: log.WithField("test", t.Name()),
		Key: key, Decode: decode,
	}
	w.Start(t.Context(), peer.NewMux())
	return w
}

func put(store *memstore.Engine, value string) {
	store.Put(platform.Write{Key: key, Value: []byte(value)})
}

// TestVersionsOnlyRise checks that the active version never decreases, despite outages, compacted history, invalid
// versions, and peers that are ahead or behind.
func TestVersionsOnlyRise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memstore.New()
		defer store.Close()
		p := &peers{}
		w := start(t, store, p)
		is.Equal(len(w.NotReadyReasons()), 1)
		put(store, "3")
		time.Sleep(time.Second)
		is.Equal(w.Version(), int64(3))
		is.Equal(len(w.NotReadyReasons()), 0)

		put(store, "nonsense") // it can not be decoded: the previous version stays active
		time.Sleep(time.Second)
		is.Equal(w.Version(), int64(3))

		store.Client("a").SetFaults(memstore.Faults{Refuse: true})
		put(store, "7")
		time.Sleep(time.Second)
		is.Equal(w.Version(), int64(3))
		p.newest.Store(&Catalog{Version: 7, FormatVersion: CurrentFormatVersion})
		w.FetchFrom("b:1") // a heartbeat has reported a newer version
		time.Sleep(time.Second)
		is.Equal(w.Version(), int64(7))

		p.newest.Store(&Catalog{Version: 5, FormatVersion: CurrentFormatVersion})
		w.FetchFrom("b:1")
		time.Sleep(time.Second)
		is.Equal(w.Version(), int64(7))

		store.Compact()
		store.Client("a").SetFaults(memstore.Faults{})
		put(store, "9")
		time.Sleep(5 * time.Second)
		is.Equal(w.Version(), int64(9))
	})
}

// keyedVersion decodes "version key key" to a catalog with one client account that has these keys.
func keyedVersion(rec platform.Record) (*Catalog, error) {
	words := strings.Fields(string(rec.Value))
	v, err := strconv.ParseInt(words[0], 10, 64)
	if err != nil {
		return nil, err
	}
	a := Account{Name: "crew"}
	for _, key := range words[1:] {
		a.Keys = append(a.Keys, DigestOf(key))
	}
	c := &Catalog{Version: v, FormatVersion: CurrentFormatVersion, KeysRequired: true, Accounts: []Account{a}}
	c.Index()
	return c, nil
}

// TestKeyChangesSurviveOutages checks that a removed key becomes invalid and an added key valid within the propagation
// bound of settings (4 s), while the member is disconnected from the store, from its peers or from both, or
// restarts; and that an older version never becomes active again, be it from the store or from a peer.
func TestKeyChangesSurviveOutages(t *testing.T) {
	const bound = 4 * time.Second
	before, after := "3 old kept", "7 new kept"
	refusing, healthy := memstore.Faults{Refuse: true}, memstore.Faults{}
	newest, _ := keyedVersion(platform.Record{Value: []byte(after)})
	previous, _ := keyedVersion(platform.Record{Value: []byte(before)})
	incomplete := &Catalog{Version: 9, KeysRequired: false} // as a peer of an older program version forwards it
	cases := map[string]struct {
		faults  memstore.Faults
		newest  *Catalog // the peers' catalog
		wantNew bool
		restart bool
	}{
		"connected":                                 {faults: healthy, wantNew: true},
		"disconnected from the store":               {faults: refusing, newest: newest, wantNew: true},
		"disconnected from the store, peers behind": {faults: refusing, newest: previous},
		"disconnected from both":                    {faults: refusing},
		"peer of an older program version":          {faults: refusing, newest: incomplete},
		"connected, peer behind":                    {faults: healthy, newest: previous, wantNew: true},
		"restart":                                   {faults: healthy, wantNew: true, restart: true},
		"restart, disconnected from the store":      {faults: refusing, newest: newest, wantNew: true, restart: true},
		"restart, peers behind":                     {faults: healthy, newest: previous, wantNew: true, restart: true},
		"restart, peer of an older program version": {faults: healthy, newest: incomplete, wantNew: true, restart: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := memstore.New()
				defer store.Close()
				p := &peers{}
				w := startDecoding(t, store, p, keyedVersion)
				put(store, before)
				time.Sleep(time.Second)
				is.True(w.Current().AccountOf("old") != nil)
				is.True(w.Current().AccountOf("new") == nil)
				if tc.restart {
					w = startDecoding(t, store, p, keyedVersion)
				}
				store.Client("a").SetFaults(tc.faults)
				put(store, after)
				p.newest.Store(tc.newest)
				for range 4 {
					w.FetchFrom("b:1")
					time.Sleep(bound / 4)
				}
				c := w.Current()
				is.Equal(c.AccountOf("new") != nil, tc.wantNew)
				is.Equal(c.AccountOf("old") == nil, tc.wantNew || c == nil)
				is.True(c == nil || c.AccountOf("kept") != nil) // an unchanged key stays valid in both versions
				store.Client("a").SetFaults(healthy)
				p.newest.Store(previous)
				time.Sleep(2 * bound)
				w.FetchFrom("b:1")
				time.Sleep(time.Second)
				is.True(w.Current().AccountOf("new") != nil)
				is.True(w.Current().AccountOf("old") == nil)
				is.Equal(w.Version(), int64(7))
			})
		})
	}
}

// TestWeights checks which accounts have a weight of their own, and that weights only count if some account
// has one.
func TestWeights(t *testing.T) {
	is := is.New(t)
	c := &Catalog{Accounts: []Account{{Name: "a", Weight: 2.5}, {Name: "b"}}}
	c.Index()
	is.True(c.Weighted())
	is.Equal(c.WeightOf("a"), 2.5)
	for _, name := range []string{"b", "unknown", ""} {
		is.Equal(c.WeightOf(name), 1.0)
	}
	c.Accounts[0].Weight = 0
	is.True(!c.Weighted())
	var none *Catalog
	is.True(!none.Weighted())
	is.Equal(none.WeightOf("a"), 1.0)
}

// TestEvacuationsSurviveOutages checks that an evacuation and its withdrawal are known within the propagation bound of
// settings, from the store or, while the store doesn't answer, from a peer; and that a peer that is behind changes nothing.
func TestEvacuationsSurviveOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const bound = 4 * time.Second
		store := memstore.New()
		defer store.Close()
		p := &peers{}
		log := logrus.New()
		log.SetOutput(io.Discard)
		w := &Watcher{
			Store: store.Client("a"), Health: follow.NewHealth(nil), Peers: p, Log: log.WithField("test", t.Name()),
			Key: key, Decode: decodeVersion, Prefix: "op/", Evacuations: &evacuation.Tracker{Prefix: "op/evacuate/", Log: logrus.NewEntry(log)},
		}
		w.Start(t.Context(), peer.NewMux())
		put(store, "3")
		store.Put(platform.Write{Key: "op/evacuate/z1", Value: []byte("{}")})
		time.Sleep(bound)
		is.Equal(w.Version(), int64(3))
		is.Equal(w.Evacuations.Current().Zones, []string{"z1"})

		known := w.EvacuationsRevision()
		store.Client("a").SetFaults(memstore.Faults{Refuse: true})
		p.evacuations.Store(&evacuation.Set{Revision: known + 4, Zones: []string{"z1", "z2"}})
		w.FetchFrom("b:1") // a heartbeat has reported a newer revision
		time.Sleep(bound)
		is.Equal(w.Evacuations.Current().Zones, []string{"z1", "z2"})
		p.evacuations.Store(&evacuation.Set{Revision: known + 2})
		w.FetchFrom("b:1")
		time.Sleep(bound)
		is.Equal(w.Evacuations.Current().Zones, []string{"z1", "z2"})

		for range 8 {
			put(store, "4")
		}
		store.Put(platform.Write{Key: "op/evacuate/z1", Delete: true})
		store.Compact()
		store.Client("a").SetFaults(memstore.Faults{})
		time.Sleep(bound)
		is.Equal(len(w.Evacuations.Current().Zones), 0)
	})
}

// TestOneLineForEachUnreadableConfiguration guards against a log line each time that the configuration is read.
func TestOneLineForEachUnreadableConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memstore.New()
		defer store.Close()
		var out strings.Builder
		log := logrus.New()
		log.SetOutput(&out)
		w := &Watcher{Store: store.Client("a"), Health: follow.NewHealth(nil), Peers: &peers{}, Log: log.WithField("test", t.Name()), Key: key, Decode: decodeVersion}
		ctx, cancel := context.WithCancel(t.Context())
		w.Start(ctx, peer.NewMux())
		put(store, "3")
		time.Sleep(time.Second)
		for _, value := range []string{"x", "y"} {
			put(store, value)
			for range 5 {
				time.Sleep(time.Second)
				store.Put(platform.Write{Key: "elsewhere", Value: []byte("x")})
				store.Compact()
				store.Client("a").SetFaults(memstore.Faults{BreakWatches: true})
				time.Sleep(time.Second)
				store.Client("a").SetFaults(memstore.Faults{})
			}
		}
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		is.Equal(w.Version(), int64(3))
		is.Equal(strings.Count(out.String(), "configuration can not be decoded"), 2)
	})
}
