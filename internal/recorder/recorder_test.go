package recorder

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
)

const fenceKey = "partitions/1"

// bench is a recorder on a store, whose partition record a test can change.
type bench struct {
	is      *is.I
	engine  *memstore.Engine
	other   *memstore.Client
	store   *memstore.Client
	fence   platform.Condition
	metrics *Metrics
	*Recorder
}

func newBench(t *testing.T) *bench {
	engine := memstore.New()
	b := &bench{
		is: is.New(t), engine: engine, other: engine.Client("other"), store: engine.Client("own"),
		metrics: NewMetrics(prometheus.NewRegistry()),
	}
	b.fence = platform.Condition{Key: fenceKey, ModRevision: b.write(fenceKey, "a")}
	b.Recorder = New(b.store, func() (platform.Condition, error) { return b.fence, nil }, b.metrics)
	ctx, cancel := context.WithCancel(t.Context())
	go b.Run(ctx)
	t.Cleanup(func() {
		cancel()
		engine.Close()
	})
	return b
}

// write writes as another client does.
func (b *bench) write(key, value string) platform.Revision {
	reply, err := b.other.Commit(context.Background(), platform.Txn{Then: []platform.Write{{Key: key, Value: []byte(value)}}})
	b.is.NoErr(err)
	return reply.Revision
}

func (b *bench) read(key string) string {
	records, _, err := b.other.List(context.Background(), key)
	b.is.NoErr(err)
	if len(records) == 0 {
		return ""
	}
	return string(records[0].Value)
}

// TestPut lists what a writer is told, and what the store holds afterwards.
func TestPut(t *testing.T) {
	isConflict := func(err error) bool {
		var c *Conflict
		return errors.As(err, &c)
	}
	cases := []struct {
		name   string
		before func(*bench)
		base   platform.Revision
		ok     func(error) bool
		stored string
	}{
		{"new", func(*bench) {}, 0, noError, "v"},
		{"there already", func(b *bench) { b.write("k", "x") }, 0, isConflict, "x"},
		{"there already with the same value", func(b *bench) { b.write("k", "v") }, 0, noError, "v"},
		{"another holder", func(b *bench) { b.write(fenceKey, "b") }, 0, is1(ErrFenced), ""},
		{"store down", func(b *bench) { b.store.SetFaults(memstore.Faults{Refuse: true}) }, 0, is1(platform.ErrUnavailable), ""},
		{"answer lost", func(b *bench) { b.store.SetFaults(memstore.Faults{LoseAnswers: 1}) }, 0, noError, "v"},
		{"request lost", func(b *bench) { b.store.SetFaults(memstore.Faults{LoseRequests: 1}) }, 0, noError, "v"},
		{"all answers lost", func(b *bench) { b.store.SetFaults(memstore.Faults{LoseAnswers: memstore.All}) }, 0, is1(platform.ErrUnknownOutcome), "v"},
		{"no answer at all", func(b *bench) { b.store.SetFaults(memstore.Faults{Hang: true}) }, 0, is1(platform.ErrUnknownOutcome), ""},
		{"gone", func(*bench) {}, 99, isConflict, ""},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				tt.before(b)
				_, err := b.Put(t.Context(), "k", tt.base, []byte("v"))
				if !tt.ok(err) {
					t.Errorf("told %v", err)
				}
				b.is.Equal(b.read("k"), tt.stored)
			})
		})
	}
}

func noError(err error) bool { return err == nil }

func is1(target error) func(error) bool {
	return func(err error) bool { return errors.Is(err, target) }
}

// TestGroups lets many writers write at once, some of them in conflict: the
// others succeed, and all of them take few transactions.
func TestGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.store.SetFaults(memstore.Faults{RequestDelayMS: 5})
		const writers = 200
		for i := range writers / 10 {
			b.write("k"+strconv.Itoa(i*10), "x")
		}
		errs := make(chan error, writers)
		for i := range writers {
			go func() {
				_, err := b.Put(t.Context(), "k"+strconv.Itoa(i), 0, []byte("v"))
				errs <- err
			}()
		}
		conflicts := 0
		for range writers {
			if err := <-errs; err != nil {
				conflicts++
			}
		}
		b.is.Equal(conflicts, writers/10)
		b.is.True(testutil.ToFloat64(b.metrics.commits) <= 10)
		b.is.Equal(b.read("k11"), "v")
	})
}

// TestLateWrite lets the first try of a write arrive after the second one and a
// later write have succeeded: it changes nothing.
func TestLateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.store.SetFaults(memstore.Faults{RequestDelayMS: 20000})
		_, err := b.Put(t.Context(), "k", 0, []byte("v"))
		b.is.True(errors.Is(err, platform.ErrUnknownOutcome))
		b.store.SetFaults(memstore.Faults{})
		revision, err := b.Put(t.Context(), "k", 0, []byte("v"))
		b.is.NoErr(err)
		_, err = b.Put(t.Context(), "k", revision, []byte("w"))
		b.is.NoErr(err)
		time.Sleep(time.Minute)
		b.is.Equal(b.read("k"), "w")
	})
}

// TestDelete deletes a record, twice.
func TestDelete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		revision, err := b.Put(t.Context(), "k", 0, []byte("v"))
		b.is.NoErr(err)
		for range 2 {
			_, err = b.Put(t.Context(), "k", revision, nil)
			b.is.NoErr(err)
		}
		b.is.Equal(b.read("k"), "")
	})
}
