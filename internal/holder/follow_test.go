package holder

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/advice"
	"pulleyquay/internal/catalog"
	"pulleyquay/internal/engine"
	"pulleyquay/internal/host"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/linkshard"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/platform/resend"
)

// idleHosts are hosts without runs that answer every poll.
type idleHosts struct{ host.Client }

func (idleHosts) Poll(_ context.Context, _ host.Info, _ uint64, poll host.Poll) (host.View, error) {
	time.Sleep(poll.Wait)
	return host.View{Clock: 1}, nil
}

const prefix = "hosts/"

// decodeHost decodes entries that hold an address; it returns an error for "garbage".
func decodeHost(rec platform.Record) (host.Info, error) {
	if string(rec.Value) == "garbage" {
		return host.Info{}, errors.New("garbage")
	}
	return host.Info{ID: host.ID(strings.TrimPrefix(rec.Key, prefix)), Addr: string(rec.Value)}, nil
}

// newHolder returns a holder that has claimed a partition in store, and its log output.
func newHolder(t *testing.T, store *memstore.Engine, hosts host.Client) (*Holder, *bytes.Buffer) {
	t.Helper()
	return newHolderWithTTL(t, store, hosts, 0)
}

// newHolderWithTTL is newHolder with a time for which ended jobs are kept.
func newHolderWithTTL(t *testing.T, store *memstore.Engine, hosts host.Client, endedJobTTL time.Duration) (*Holder, *bytes.Buffer) {
	t.Helper()
	health := follow.NewHealth(nil)
	l, _, err := ledger.Claim(t.Context(), resend.New(store.Client("a"), health), ledger.Holder{}, ledger.Holder{Name: "a"})
	is.New(t).NoErr(err)
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	h := New(Config{
		Store: store.Client("a"), Health: health, Hosts: hosts, Log: logrus.NewEntry(log), Tuning: engine.DefaultTuning(),
		Bounds: engine.Bounds{MaxLease: 6 * time.Second, EndedJobTTL: endedJobTTL}, HostPrefix: prefix, DecodeHost: decodeHost,
		HostOf:  func(key string) host.ID { return host.ID(strings.TrimPrefix(key, prefix)) },
		Catalog: func() *catalog.Catalog { return &catalog.Catalog{} }, PolicyMembers: func() *advice.Members { return &advice.Members{} },
		Shards: func() []linkshard.Member { return nil }, Self: "a", Busy: func() bool { return false },
		Metrics: NewMetrics(prometheus.NewRegistry()),
	}, l)
	return h, &out
}

// TestEntriesThatNameNoHost checks that an entry that cannot be decoded removes only its own
// host, until the next valid entry, and is logged once although it is rewritten repeatedly.
func TestEntriesThatNameNoHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memstore.New()
		put := func(id, value string) {
			store.Put(platform.Write{Key: prefix + id, Value: []byte(value)})
			time.Sleep(2 * time.Second)
		}
		put("bad", "garbage")
		put("good", "10.1.1.1:80")
		put("turns", "10.1.1.2:80")
		h, out := newHolder(t, store, idleHosts{})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			_ = h.Run(ctx, ledger.Predecessor{}, func() {}, func() {}) // returns the error of the cancelled ctx
			close(ended)
		}()
		time.Sleep(2 * time.Second)
		count := func() int {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.engine.Hosts()
		}
		is.Equal(count(), 2)
		for range 5 {
			put("turns", "garbage")
		}
		is.Equal(count(), 1)
		put("turns", "10.1.1.2:80")
		is.Equal(count(), 2)
		cancel()
		<-ended
		store.Close()
		is.Equal(strings.Count(out.String(), "an entry names no host"), 2) // one for bad, one for turns
	})
}

// badIfMarked is decodeHost for values in which garbage may have a heartbeat number.
func badIfMarked(rec platform.Record) (host.Info, error) {
	if bytes.Contains(rec.Value, []byte("garbage")) {
		return host.Info{}, errors.New("garbage")
	}
	return decodeHost(rec)
}

// runHolder runs a holder until the test ends and returns after it has read the store.
func runHolder(t *testing.T, h *Holder, store *memstore.Engine, previous ledger.Predecessor) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		_ = h.Run(ctx, previous, func() {}, func() {}) // returns the error of the cancelled ctx
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		store.Close()
	})
	time.Sleep(time.Second)
}
