package platformtest

import (
	"context"
	"errors"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/platform"
)

// leased returns a transaction of one write attached to a lease.
func leased(key string, id platform.LeaseID) platform.Txn {
	return platform.Txn{Then: []platform.Write{{Key: key, Value: []byte("v"), Lease: id}}}
}

func revokeDeletesKeys(ctx context.Context, is *is.I, c StoreCase) {
	id, err := c.Store.Grant(ctx, 60)
	is.NoErr(err)
	rev := mustCommit(ctx, is, c.Store, leased("m/1", id))
	mustCommit(ctx, is, c.Store, leased("m/2", id))
	mustCommit(ctx, is, c.Store, put("m/2", "no longer leased"))
	w := watch(ctx, c.Store, "m/1", rev)
	defer w.stop()
	is.NoErr(c.Store.Revoke(ctx, id))
	is.Equal(w.next(ctx, is, 1), []string{"m/1 gone"})
	is.Equal(mustList(ctx, is, c.Store, "m/"), []string{"m/2=no longer leased"})
	is.True(errors.Is(c.Store.KeepAlive(ctx, id), platform.ErrLeaseGone))
}

func leaseExpires(ctx context.Context, is *is.I, c StoreCase) {
	id, err := c.Store.Grant(ctx, 1)
	is.NoErr(err)
	rev := mustCommit(ctx, is, c.Store, leased("m/1", id))
	w := watch(ctx, c.Store, "m/", rev)
	defer w.stop()
	is.Equal(w.next(ctx, is, 1), []string{"m/1 gone"})
	is.True(errors.Is(c.Store.KeepAlive(ctx, id), platform.ErrLeaseGone))
}

func leaseRenewed(ctx context.Context, is *is.I, c StoreCase) {
	id, err := c.Store.Grant(ctx, 1)
	is.NoErr(err)
	mustCommit(ctx, is, c.Store, leased("m/1", id))
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	for range 6 { // one and a half terms
		<-tick.C
		is.NoErr(c.Store.KeepAlive(ctx, id))
	}
	is.Equal(mustList(ctx, is, c.Store, "m/"), []string{"m/1=v"})
}

func leaseGone(ctx context.Context, is *is.I, c StoreCase) {
	const unknown = platform.LeaseID(424242)
	is.True(errors.Is(c.Store.KeepAlive(ctx, unknown), platform.ErrLeaseGone))
	is.True(errors.Is(c.Store.Revoke(ctx, unknown), platform.ErrLeaseGone))
	_, err := c.Store.Commit(ctx, leased("m/1", unknown))
	is.True(errors.Is(err, platform.ErrLeaseGone))
	is.Equal(mustList(ctx, is, c.Store, "m/"), []string{})
}
