package mirror_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/platform/mirror"
)

// rig is a mirror of "p/" in a bubble.
type rig struct {
	*memstore.Engine
	mirror *mirror.Mirror
	ctx    context.Context
	stop   func()
}

func newRig(t *testing.T, store func(platform.Store) platform.Store) *rig {
	engine := memstore.New()
	ctx, cancel := context.WithCancel(t.Context())
	m := mirror.New(store(engine.Client("a")), "p/", mirror.Options{})
	go m.Run(ctx)
	stop := func() { cancel(); engine.Close(); synctest.Wait() }
	return &rig{Engine: engine, mirror: m, ctx: ctx, stop: stop}
}

// rest lets time pass and everything settle.
func rest(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func plain(s platform.Store) platform.Store { return s }

func (r *rig) write(writes ...platform.Write) {
	if _, err := r.Client("writer").Commit(context.Background(), platform.Txn{Then: writes}); err != nil {
		panic(err)
	}
}

func put(key, value string) platform.Write { return platform.Write{Key: key, Value: []byte(value)} }

// shown is the mirror's copy, and truth the store's records, as "k=v".
func (r *rig) shown() []string {
	records, _, _ := r.mirror.Snapshot()
	return texts(records)
}

func (r *rig) truth() []string {
	records, _, err := r.Client("judge").List(context.Background(), "p/")
	if err != nil {
		panic(err)
	}
	return texts(records)
}

func texts(records []platform.Record) []string {
	out := []string{}
	for _, r := range records {
		out = append(out, fmt.Sprintf("%s=%s@%d", r.Key, r.Value, r.ModRevision))
	}
	return out
}

// TestCatchesUp changes the store during a fault and tells how long after the
// fault's end, at most, the mirror shows it.
func TestCatchesUp(t *testing.T) {
	tests := map[string]struct {
		during func(r *rig)
		within time.Duration
	}{
		"refused":            {func(r *rig) { r.Client("a").SetFaults(memstore.Faults{Refuse: true}) }, 3 * time.Second},
		"hanging":            {func(r *rig) { r.Client("a").SetFaults(memstore.Faults{Hang: true}) }, 0},
		"watches broken":     {func(r *rig) { r.Client("a").SetFaults(memstore.Faults{BreakWatches: true}) }, 3 * time.Second},
		"refused, compacted": {func(r *rig) { r.Client("a").SetFaults(memstore.Faults{Refuse: true}); r.SetHistory(0) }, 6 * time.Second},
		"stale, compacted": {func(r *rig) {
			r.SetHistory(0)
			r.Client("a").SetFaults(memstore.Faults{StaleReads: true, BreakWatches: true})
		}, 6 * time.Second},
		"slow watch": {func(r *rig) { r.Client("a").SetFaults(memstore.Faults{WatchDelayMS: 60_000}) }, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRig(t, plain)
				defer r.stop()
				r.write(put("p/1", "a"), put("p/2", "a"), put("q", "a"))
				synctest.Wait()
				is.Equal(r.shown(), r.truth())
				test.during(r)
				r.write(put("p/1", "b"))
				time.Sleep(20 * time.Second)
				r.write(platform.Write{Key: "p/2", Delete: true}, put("p/3", "b"))
				r.SetHistory(memstore.DefaultHistory)
				r.Client("a").SetFaults(memstore.Faults{})
				time.Sleep(test.within)
				if name == "slow watch" {
					rest(time.Minute)
				}
				synctest.Wait()
				is.Equal(r.shown(), r.truth())
			})
		})
	}
}

// deaf is a store whose first watch stays open and delivers nothing, like a
// connection that died unnoticed.
type deaf struct {
	platform.Store
	watches int
}

func (d *deaf) Watch(ctx context.Context, prefix string, after platform.Revision, fn func(platform.Batch)) error {
	d.watches++
	if d.watches == 1 {
		<-ctx.Done()
		return ctx.Err()
	}
	return d.Store.Watch(ctx, prefix, after, fn)
}

func TestDeadWatchIsFoundOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var d *deaf
		r := newRig(t, func(s platform.Store) platform.Store { d = &deaf{Store: s}; return d })
		defer r.stop()
		synctest.Wait()
		r.write(put("p/1", "a"))
		rest(13 * time.Second) // one check and its jitter
		is.Equal(r.shown(), r.truth())
		rest(14 * time.Second)
		is.Equal(d.watches, 2)
		r.write(put("p/1", "b"))
		synctest.Wait()
		is.Equal(r.shown(), r.truth()) // at once again
		rest(time.Hour)
		is.Equal(d.watches, 2) // a good watch is left alone
	})
}

// disorder is a store whose watch repeats every change, the older one last.
type disorder struct{ platform.Store }

func (d disorder) Watch(ctx context.Context, prefix string, after platform.Revision, fn func(platform.Batch)) error {
	var last platform.Batch
	return d.Store.Watch(ctx, prefix, after, func(b platform.Batch) {
		fn(b)
		fn(last)
		last = b
	})
}

func TestNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(t, func(s platform.Store) platform.Store { return disorder{s} })
		defer r.stop()
		for i := range 10 {
			r.write(put("p/1", fmt.Sprint(i)))
			synctest.Wait()
			is.Equal(r.shown(), r.truth())
		}
	})
}

// TestStaleListIsDropped lets the checks read a state in which a key was not
// there yet, while the watch works.
func TestStaleListIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(t, plain)
		defer r.stop()
		synctest.Wait()
		r.Client("a").SetFaults(memstore.Faults{StaleReads: true})
		r.write(put("p/1", "a"))
		for range 60 {
			rest(time.Second)
			is.Equal(r.shown(), r.truth())
		}
	})
}

func TestSubscribersShareOneWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &deaf{watches: 1} // counts only
		r := newRig(t, func(s platform.Store) platform.Store { d.Store = s; return d })
		defer r.stop()
		got := make([][]platform.Batch, 3)
		for i := range got {
			go func() {
				_ = r.mirror.Subscribe(r.ctx, func(b platform.Batch) {
					got[i] = append(got[i], b)
					time.Sleep(time.Duration(i) * time.Second) // from quick to slow
				})
			}()
		}
		synctest.Wait()
		is.Equal(len(got[0]), 1) // told that there is nothing
		for i := range 100 {
			r.write(put("p/1", fmt.Sprint(i)))
			time.Sleep(100 * time.Millisecond)
		}
		rest(5 * time.Second)
		is.Equal(d.watches, 2)
		is.Equal(len(got[0]), 101)
		is.True(len(got[2]) < 10) // the slow one skipped states
		for _, batches := range got {
			final := batches[len(batches)-1]
			is.Equal(string(final.Changes[0].Value), "99")
		}
	})
}

// TestSubscriberSeesTheTruthInOrder draws writes and faults; a subscriber's
// view, built from what it was told, must be the store's in the end, and no
// revision may ever go back.
func TestSubscriberSeesTheTruthInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type action struct {
			key    int
			delete bool
			pause  int64
			faults *memstore.Faults
		}
		actions := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
			a := action{key: rapid.IntRange(0, 4).Draw(t, "key"), pause: rapid.Int64Range(0, 4000).Draw(t, "pause")}
			a.delete = rapid.IntRange(0, 3).Draw(t, "delete") == 0
			if rapid.IntRange(0, 2).Draw(t, "fault") == 0 {
				a.faults = &memstore.Faults{
					Refuse: rapid.Bool().Draw(t, "refuse"), Hang: rapid.Bool().Draw(t, "hang"),
					StaleReads: rapid.Bool().Draw(t, "stale"), BreakWatches: rapid.Bool().Draw(t, "break"),
					WatchDelayMS: rapid.Int64Range(0, 3000).Draw(t, "watch delay"), AnswerDelayMS: rapid.Int64Range(0, 6000).Draw(t, "answer delay"),
				}
			}
			return a
		}), 1, 40).Draw(rt, "actions")
		history := rapid.IntRange(0, 5).Draw(rt, "history")
		var wrong string
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, plain)
			defer r.stop()
			r.SetHistory(history)
			view := newView()
			go func() { _ = r.mirror.Subscribe(r.ctx, view.take) }()
			for _, a := range actions {
				if a.faults != nil {
					r.Client("a").SetFaults(*a.faults)
				}
				w := put(fmt.Sprintf("p/%d", a.key), fmt.Sprint(a.pause))
				w.Delete = a.delete
				r.write(w)
				time.Sleep(time.Duration(a.pause) * time.Millisecond)
			}
			r.SetHistory(memstore.DefaultHistory)
			r.Client("a").SetFaults(memstore.Faults{})
			rest(time.Minute)
			wrong = view.compare(r.truth())
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// view is built from a subscriber's batches.
type view struct {
	records map[string]platform.Record
	last    platform.Revision
	back    string
}

func newView() *view { return &view{records: map[string]platform.Record{}} }

func (v *view) take(b platform.Batch) {
	for _, c := range b.Changes {
		if c.ModRevision < v.records[c.Key].ModRevision || b.Revision < v.last {
			v.back = fmt.Sprintf("%+v after revision %d", c, v.last)
		}
		v.records[c.Key] = c.Record
		if c.Deleted {
			delete(v.records, c.Key)
		}
	}
	v.last = b.Revision
}

func (v *view) compare(truth []string) string {
	if v.back != "" {
		return v.back
	}
	var records []platform.Record
	for i := range 5 {
		if r, ok := v.records[fmt.Sprintf("p/%d", i)]; ok {
			records = append(records, r)
		}
	}
	if got := texts(records); fmt.Sprint(got) != fmt.Sprint(truth) {
		return fmt.Sprintf("told %v, there is %v", got, truth)
	}
	return ""
}

func TestMetricsRegisteredTwice(t *testing.T) {
	registry := prometheus.NewRegistry()
	_, err := mirror.NewMetrics(registry)
	is.New(t).NoErr(err)
	_, err = mirror.NewMetrics(registry)
	is.New(t).True(err != nil)
}
