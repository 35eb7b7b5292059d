package holder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/ledger"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
)

// TestDump checks that a state dump contains exactly the partitions that the process holds.
func TestDump(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memstore.New()
		store.Put(platform.Write{Key: prefix + "h", Value: []byte("10.1.1.1:80")})
		h, _ := newHolder(t, store, idleHosts{})
		table := NewTable(h.cfg, peer.NewMux())
		is.Equal(table.Dump(), []Dump{})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			_ = table.Hold(ctx, h.ledger, ledger.Predecessor{}) // returns the error of the cancelled ctx
			close(ended)
		}()
		time.Sleep(2 * time.Second)
		d := table.Dump()
		is.Equal(len(d), 1)
		is.Equal(d[0].Epoch, uint64(1))
		is.Equal(d[0].Hosts, int64(1))
		is.True(d[0].AuthorityMillis > 0 && d[0].AuthorityMillis <= authorityDuration.Milliseconds())
		is.Equal(len(d[0].Engine.Silent), 0)
		cancel()
		<-ended
		store.Close()
		is.Equal(table.Dump(), []Dump{})
	})
}
