package job

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/spec"
)

// TestPut checks the result of a write under store faults and conflicts, and the record in the
// store afterwards.
func TestPut(t *testing.T) {
	isConflict := func(err error) bool {
		var c *conflict
		return errors.As(err, &c)
	}
	is := func(target error) func(error) bool {
		return func(err error) bool { return errors.Is(err, target) }
	}
	other := func(recordKey, value string) func(*cell, *placer) {
		return func(c *cell, _ *placer) {
			_, err := c.store.Commit(context.Background(), platform.Txn{Then: []platform.Write{{Key: recordKey, Value: []byte(value)}}})
			c.is.NoErr(err)
		}
	}
	faults := func(f memstore.Faults) func(*cell, *placer) {
		return func(_ *cell, p *placer) { p.store.SetFaults(f) }
	}
	k := recordKey(0, "k")
	cases := []struct {
		name   string
		before func(*cell, *placer)
		base   platform.Revision
		ok     func(error) bool
		stored string
	}{
		{"new", func(*cell, *placer) {}, 0, is(nil), "v"},
		{"exists already", other(k, "x"), 0, isConflict, "x"},
		{"exists already with the same value", other(k, "v"), 0, is(nil), "v"},
		{"another holder", other(partitionKey(0), "b"), 0, is(errFenced), ""},
		{"gone", func(*cell, *placer) {}, 99, isConflict, ""},
		{"store down", faults(memstore.Faults{Refuse: true}), 0, is(platform.ErrUnavailable), ""},
		{"reply lost", faults(memstore.Faults{LoseAnswers: 1}), 0, is(nil), "v"},
		{"request lost", faults(memstore.Faults{LoseRequests: 1}), 0, is(nil), "v"},
		{"all replies lost", faults(memstore.Faults{LoseAnswers: memstore.EveryCall}), 0, is(platform.ErrUnknownOutcome), "v"},
		{"no reply", faults(memstore.Faults{Hang: true}), 0, is(platform.ErrUnknownOutcome), ""},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o, _ := newStaticOwner(t, phaseReady, false, spec.KindBatch, 1)
				c := o.m.cfg.Source.(*cell)
				_, err := o.putRecord(t.Context(), "first", 0, []byte("v"))
				c.is.NoErr(err)
				tt.before(c, c.placer["a"])
				ctx, cancel := context.WithTimeout(t.Context(), submitTimeout)
				defer cancel()
				if _, err = o.putRecord(ctx, "k", tt.base, []byte("v")); !tt.ok(err) {
					t.Errorf("unexpected error: %v", err)
				}
				records, _, err := c.store.List(t.Context(), k)
				c.is.NoErr(err)
				got := ""
				if len(records) > 0 {
					got = string(records[0].Value)
				}
				c.is.Equal(got, tt.stored)
			})
		})
	}
}

// TestLateWrite checks that a delayed first try of a write changes nothing when it arrives after a
// later write has succeeded.
func TestLateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, _ := newStaticOwner(t, phaseReady, false, spec.KindBatch, 1)
		c := o.m.cfg.Source.(*cell)
		_, err := o.putRecord(t.Context(), "first", 0, []byte("v"))
		c.is.NoErr(err)
		c.placer["a"].store.SetFaults(memstore.Faults{RequestDelayMS: 20000})
		ctx, cancel := context.WithTimeout(t.Context(), submitTimeout)
		defer cancel()
		_, err = o.putRecord(ctx, "k", 0, []byte("v"))
		c.is.True(errors.Is(err, platform.ErrUnknownOutcome))
		c.placer["a"].store.SetFaults(memstore.Faults{})
		revision, err := o.putRecord(t.Context(), "k", 0, []byte("v"))
		c.is.NoErr(err)
		_, err = o.putRecord(t.Context(), "k", revision, []byte("w"))
		c.is.NoErr(err)
		time.Sleep(time.Minute)
		records, _, err := c.store.List(t.Context(), recordKey(0, "k"))
		c.is.NoErr(err)
		c.is.Equal(string(records[0].Value), "w")
	})
}
