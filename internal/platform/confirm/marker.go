package confirm

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"pulleyquay/internal/platform"
)

// errMarkerLost means that a marker is not as this process left it.
var errMarkerLost = errors.New("confirm: marker lost")

// marker is a key that one commit at a time uses.
type marker struct {
	key      string
	revision platform.Revision // of its last write; zero before the first
	lease    platform.LeaseID
}

// mark adds the marker's condition and write to a transaction.
func (m *marker) mark(txn platform.Txn, token string) platform.Txn {
	return platform.Txn{
		If:   append(slices.Clone(txn.If), platform.Condition{Key: m.key, ModRevision: m.revision}),
		Then: append(slices.Clone(txn.Then), platform.Write{Key: m.key, Value: []byte(token), Lease: m.lease}),
	}
}

// markers hands out markers; there are as many as there were commits at once.
type markers struct {
	store  platform.Store
	prefix string
	ttl    time.Duration

	mu      sync.Mutex
	free    []*marker
	made    int
	lease   platform.LeaseID
	renewed time.Time // before the last renewal was sent
}

// newMarkers returns an empty pool with a prefix that no other process has.
func newMarkers(store platform.Store, ttlSeconds int64) *markers {
	return &markers{
		store:  store,
		prefix: Prefix + uuid.NewString() + "/",
		ttl:    time.Duration(ttlSeconds) * time.Second,
	}
}

// take returns a marker for the use of one commit.
func (p *markers) take(ctx context.Context) (*marker, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseTime)
	defer cancel()
	lease, err := p.fresh(ctx)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.free); n > 0 {
		m := p.free[n-1]
		p.free = p.free[:n-1]
		return m, nil
	}
	p.made++
	return &marker{key: fmt.Sprintf("%s%d", p.prefix, p.made), lease: lease}, nil
}

// put takes a marker back whose revision is known.
func (p *markers) put(m *marker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.lease == p.lease {
		p.free = append(p.free, m)
	}
}

// forget drops a lease that is gone with all its markers.
func (p *markers) forget(lease platform.LeaseID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lease == lease {
		p.lease, p.free = 0, nil
	}
}

// leaseTime bounds the calls that keep the markers' lease before a commit.
const leaseTime = 5 * time.Second

// fresh returns a lease with most of its term left. It renews after a third of
// the term, and goes on without success until two thirds have passed.
func (p *markers) fresh(ctx context.Context) (platform.LeaseID, error) {
	p.mu.Lock()
	lease, age := p.lease, time.Since(p.renewed)
	p.mu.Unlock()
	if lease != 0 && age < p.ttl/3 {
		return lease, nil
	}
	if lease != 0 {
		began := time.Now()
		err := p.store.KeepAlive(ctx, lease)
		switch {
		case err == nil:
			p.renewedAt(lease, began)
			return lease, nil
		case !errors.Is(err, platform.ErrLeaseGone) && age < 2*p.ttl/3:
			return lease, nil
		}
		p.forget(lease)
	}
	return p.grant(ctx)
}

// renewedAt notes a renewal.
func (p *markers) renewedAt(lease platform.LeaseID, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lease == lease {
		p.renewed = at
	}
}

// grant gets the lease for the markers. Of two at the same moment the later one
// stays unused and ends by itself.
func (p *markers) grant(ctx context.Context) (platform.LeaseID, error) {
	began := time.Now()
	lease, err := p.store.Grant(ctx, int64(p.ttl/time.Second))
	if err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lease == 0 {
		p.lease, p.renewed, p.free = lease, began, nil
	}
	return p.lease, nil
}
