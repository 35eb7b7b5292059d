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

// errMarkerLost means that a marker is not in the state in which this process left it.
var errMarkerLost = errors.New("confirm: marker lost")

// marker is a key that is written by one commit at a time.
type marker struct {
	key      string
	revision platform.Revision // of its last write; 0 before the first write
	lease    platform.LeaseID
}

// mark returns the transaction with the marker's condition and write added.
func (m *marker) mark(txn platform.Txn, token string) platform.Txn {
	return platform.Txn{
		If:   append(slices.Clone(txn.If), platform.Condition{Key: m.key, ModRevision: m.revision}),
		Then: append(slices.Clone(txn.Then), platform.Write{Key: m.key, Value: []byte(token), Lease: m.lease}),
	}
}

// markers is the pool of markers. It grows to the maximum number of concurrent commits.
type markers struct {
	store  platform.Store
	prefix string
	ttl    time.Duration

	mu      sync.Mutex
	free    []*marker
	created int
	lease   platform.LeaseID
	renewed time.Time // time just before the last renewal was sent
}

// newMarkers returns an empty pool with a key prefix that is unique to this process.
func newMarkers(store platform.Store, ttlSeconds int64) *markers {
	return &markers{
		store:  store,
		prefix: Prefix + uuid.NewString() + "/",
		ttl:    time.Duration(ttlSeconds) * time.Second,
	}
}

// take returns a marker for one commit.
func (p *markers) take(ctx context.Context) (*marker, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	lease, err := p.validLease(ctx)
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
	p.created++
	return &marker{key: fmt.Sprintf("%s%d", p.prefix, p.created), lease: lease}, nil
}

// put returns a marker to the pool; the marker's revision must be set.
func (p *markers) put(m *marker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.lease == p.lease {
		p.free = append(p.free, m)
	}
}

// discardLease discards an ended lease and all its markers.
func (p *markers) discardLease(lease platform.LeaseID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lease == lease {
		p.lease, p.free = 0, nil
	}
}

// leaseTimeout is the time limit of the calls that renew or grant the markers' lease before a
// commit.
const leaseTimeout = 5 * time.Second

// validLease returns a lease with most of its term left. It renews the lease after a third of the
// term, and continues to use it without a successful renewal until two thirds have passed.
func (p *markers) validLease(ctx context.Context) (platform.LeaseID, error) {
	p.mu.Lock()
	lease, age := p.lease, time.Since(p.renewed)
	p.mu.Unlock()
	if lease != 0 && age < p.ttl/3 {
		return lease, nil
	}
	if lease != 0 {
		sentAt := time.Now()
		err := p.store.KeepAlive(ctx, lease)
		switch {
		case err == nil:
			p.renewedAt(lease, sentAt)
			return lease, nil
		case !errors.Is(err, platform.ErrLeaseGone) && age < 2*p.ttl/3:
			return lease, nil
		}
		p.discardLease(lease)
	}
	return p.grant(ctx)
}

// renewedAt records a renewal.
func (p *markers) renewedAt(lease platform.LeaseID, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lease == lease {
		p.renewed = at
	}
}

// grant requests the lease for the markers. Of two concurrent grants the later one remains unused
// and expires.
func (p *markers) grant(ctx context.Context) (platform.LeaseID, error) {
	sentAt := time.Now()
	lease, err := p.store.Grant(ctx, int64(p.ttl/time.Second))
	if err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lease == 0 {
		p.lease, p.renewed, p.free = lease, sentAt, nil
	}
	return p.lease, nil
}
