package dispatch

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pulleyquay/internal/hold"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
)

// heldPartition is a partition whose executors this process dispatches to.
type heldPartition struct {
	acquiredAt time.Time
	// unclean: the previous holder may still have requests in flight, as it did not hand over or
	// its state cannot be read.
	unclean bool
	// busyUntil gives, by executor, until when slots that the previous holder could not free at the
	// handover may be busy.
	busyUntil map[string]time.Time
	// leaving gives the addresses of executors that signalled to the previous holder that they are
	// leaving.
	leaving   map[string]string
	releasing bool
}

// usableAt is the time from which an executor of the partition may receive requests.
func (h *heldPartition) usableAt(name string, values settings.Values) time.Time {
	if h.unclean {
		return h.acquiredAt.Add(maxDeadline(values))
	}
	return h.busyUntil[name]
}

// handoverState is the state passed to the next holder.
type handoverState struct {
	// Busy gives, by executor, how long a slot may still be busy.
	Busy map[string]time.Duration `cbor:"1,keyasint"`
	// Leaving gives the address of each executor that signalled that it is leaving.
	Leaving map[string]string `cbor:"2,keyasint,omitempty"`
}

// Name implements hold.Component.
func (d *Dispatcher) Name() string { return "executors" }

// Acquire implements hold.Component. It returns at once; after a failover, executors get no
// requests until the previous holder's longest dispatch is certainly over.
func (d *Dispatcher) Acquire(_ context.Context, t hold.Acquisition) error {
	now := time.Now()
	part := &heldPartition{acquiredAt: now, unclean: !t.NeverHeld && !t.HandedOver}
	if t.HandedOver {
		var state handoverState
		if err := cbor.Unmarshal(t.State, &state); err != nil {
			part.unclean = true
		}
		part.leaving = state.Leaving
		part.busyUntil = make(map[string]time.Time, len(state.Busy))
		for name, remaining := range state.Busy {
			part.busyUntil[name] = now.Add(remaining)
		}
	}
	d.mu.Lock()
	d.parts[t.Partition] = part
	d.mu.Unlock()
	d.Refresh()
	return nil
}

// releasePollInterval is how often a release checks whether its executors are idle.
const releasePollInterval = 5 * time.Millisecond

// Release implements hold.Component. It waits until the partition's executors are idle; when ctx
// ends first, the state tells the next holder how long they may be busy.
func (d *Dispatcher) Release(ctx context.Context, partition int) ([]byte, error) {
	d.mu.Lock()
	part := d.parts[partition]
	if part == nil {
		d.mu.Unlock()
		return nil, result.New(result.HomeMoved, result.RanNo, "partition %d is not held here", partition)
	}
	part.releasing = true
	d.setUnlisted(partition)
	d.mu.Unlock()
	tick := time.NewTicker(releasePollInterval)
	defer tick.Stop()
	for d.inFlight(partition) > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return d.finishRelease(partition)
		}
	}
	return d.finishRelease(partition)
}

// Drop implements hold.Component.
func (d *Dispatcher) Drop(partition int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setUnlisted(partition)
	delete(d.parts, partition)
	d.removeIdle(partition)
}

// setUnlisted stops new requests to a partition's executors. The caller holds the lock.
func (d *Dispatcher) setUnlisted(partition int) {
	for _, p := range d.pools {
		for _, e := range p.endpoints {
			if e.partition == partition {
				e.listed = false
			}
		}
		p.updateHealthyCount()
	}
}

// inFlight counts the busy slots of a partition.
func (d *Dispatcher) inFlight(partition int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, p := range d.pools {
		for _, e := range p.endpoints {
			if e.partition == partition {
				n += e.busy
			}
		}
	}
	return n
}

// finishRelease returns the state for the next holder and drops the partition.
func (d *Dispatcher) finishRelease(partition int) ([]byte, error) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	state := handoverState{Busy: map[string]time.Duration{}, Leaving: map[string]string{}}
	for service, p := range d.pools {
		values, _ := d.cfg.Settings(service)
		for name, e := range p.endpoints {
			if e.partition != partition {
				continue
			}
			if e.leavingSignalled {
				state.Leaving[name] = e.host.Addr
			}
			remaining := e.usableAt.Sub(now)
			if e.busy > 0 {
				remaining = max(remaining, maxDeadline(values))
			}
			if remaining > 0 {
				state.Busy[name] = remaining
			}
		}
	}
	delete(d.parts, partition)
	d.removeIdle(partition)
	return cbor.Marshal(state)
}

// removeIdle removes a partition's idle endpoints; a refresh removes the busy ones once they are
// idle.
func (d *Dispatcher) removeIdle(partition int) {
	for _, p := range d.pools {
		for name, e := range p.endpoints {
			if e.partition == partition && e.busy == 0 {
				delete(p.endpoints, name)
			}
		}
	}
}
