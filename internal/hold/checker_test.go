package hold

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"pulleyquay/internal/wait"
)

// checker records every use of authority, and reports each time at which two processes could act
// for one partition.
type checker struct {
	mu     sync.Mutex
	last   map[int]map[string]use // by partition and process
	epochs map[int]uint64
	found  []string
}

// use is the last authority that a process had for a partition.
type use struct {
	epoch uint64
	until time.Time
}

// granted records that a process has obtained authority at now.
func (r *checker) granted(node string, g Grant, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, u := range r.last[g.Partition] {
		if other != node && now.Before(u.until) {
			r.found = append(r.found, fmt.Sprintf("partition %d: %s acts at epoch %d while %s may act at epoch %d for %v",
				g.Partition, node, g.Epoch, other, u.epoch, u.until.Sub(now)))
		}
	}
	if g.Epoch < r.epochs[g.Partition] {
		r.found = append(r.found, fmt.Sprintf("partition %d: epoch %d after %d", g.Partition, g.Epoch, r.epochs[g.Partition]))
	}
	r.epochs[g.Partition] = max(r.epochs[g.Partition], g.Epoch)
	if r.last[g.Partition] == nil {
		r.last[g.Partition] = map[string]use{}
	}
	until := r.last[g.Partition][node].until
	if g.Until.After(until) {
		until = g.Until
	}
	r.last[g.Partition][node] = use{g.Epoch, until}
}

// released records that a process has gracefully ended its work for a partition.
func (r *checker) released(node string, partition int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u, ok := r.last[partition][node]; ok && u.until.After(now) {
		u.until = now
		r.last[partition][node] = u
	}
}

func (r *checker) violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.found
}

// useInterval is the default interval at which a process of a testCell uses its authority.
const useInterval = 20 * time.Millisecond

// startUsing uses all authority of the process repeatedly until stopUsing is called.
func (n *node) startUsing(every time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	n.stopUsing = cancel
	n.useLoop.Add(1)
	go func() {
		defer n.useLoop.Done()
		for ctx.Err() == nil {
			for _, id := range n.Held() {
				n.gate.wait(ctx)
				n.component.use(n.Manager, id)
			}
			select {
			case <-ctx.Done():
			case <-time.After(every):
			}
		}
	}()
}

// recorder is a Component whose state is a string that is handed over with the partition.
type recorder struct {
	checker *checker
	node    string
	// ignoreExpiry injects a fault: the process acts for what it holds although Check refuses.
	ignoreExpiry atomic.Bool
	// failRelease makes every Release fail with its work unfinished.
	failRelease atomic.Bool
	// releaseTime is the duration of the work in progress, in nanoseconds.
	releaseTime atomic.Int64

	mu            sync.Mutex
	states        map[int]string
	acquired      map[int]Acquisition
	counts        struct{ acquire, release, drop int }
	releasedTimes map[int]time.Time // when each partition was last released
}

func (r *recorder) Name() string { return "recorder" }

// use obtains authority and records it, unless the partition is being released.
func (r *recorder) use(m *Manager, id int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, has := r.states[id]; !has {
		return
	}
	g, err := m.Check(id)
	if r.ignoreExpiry.Load() && err != nil {
		g, err = Grant{Partition: id, Epoch: r.acquired[id].Epoch, Until: time.Now().Add(useInterval)}, nil
	}
	if err == nil {
		r.checker.granted(r.node, g, time.Now())
	}
}

func (r *recorder) Acquire(_ context.Context, t Acquisition) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.acquire++
	r.acquired[t.Partition] = t
	r.states[t.Partition] = string(t.State) + "/" + r.node
	return nil
}

func (r *recorder) Release(ctx context.Context, id int) ([]byte, error) {
	if !wait.For(ctx, time.Duration(r.releaseTime.Load())) || r.failRelease.Load() {
		return nil, errors.New("work not finished")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.release++
	state := r.states[id]
	delete(r.states, id)
	r.releasedTimes[id] = time.Now()
	r.checker.released(r.node, id, time.Now())
	return []byte(state), nil
}

func (r *recorder) Drop(id int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.drop++
	delete(r.states, id)
}

func (r *recorder) acquisition(id int) Acquisition {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acquired[id]
}

func (r *recorder) releasedAt(id int) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.releasedTimes[id]
}
