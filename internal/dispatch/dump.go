package dispatch

import (
	"maps"
	"sort"
	"time"
)

// Dump is the dispatcher's state for /debug/state.
type Dump struct {
	Services map[string]PoolDump `json:"services"`
	Remotes  []Remote            `json:"remotes"`
}

// PoolDump is one service's state.
type PoolDump struct {
	Queued     int            `json:"queued"`
	Callers    int            `json:"callers_queued"`
	MeanTimeMS float64        `json:"mean_time_ms"`
	Executors  []EndpointDump `json:"executors"`
}

// EndpointDump is one executor's state.
type EndpointDump struct {
	Name      string  `json:"name"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Partition int     `json:"partition"`
	Busy      int     `json:"busy"`
	Limit     int     `json:"limit"`
	Slots     int     `json:"slots"`
	Listed    bool    `json:"listed"`
	Leaving   bool    `json:"leaving"`
	Health    string  `json:"health"`
	Failing   float64 `json:"failing"`
	MeanMS    float64 `json:"mean_time_ms"`
	// UsableInMS is how long the endpoint stays unused because a previous holder's requests may
	// still be running there.
	UsableInMS int64 `json:"usable_in_ms,omitempty"`
}

// Dump returns the dispatcher's state.
func (d *Dispatcher) Dump() any {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	out := Dump{Services: make(map[string]PoolDump, len(d.pools))}
	for name, p := range d.pools {
		out.Services[name] = p.dump(now)
	}
	for _, r := range d.remotes {
		snapshot := r.reported
		snapshot.Free = maps.Clone(r.free)
		out.Remotes = append(out.Remotes, snapshot)
	}
	sort.Slice(out.Remotes, func(i, j int) bool { return out.Remotes[i].Name < out.Remotes[j].Name })
	return out
}

func (p *pool) dump(now time.Time) PoolDump {
	out := PoolDump{
		Queued: p.queue.Len(), Callers: p.queue.Callers(), MeanTimeMS: millis(p.meanServiceTime),
	}
	for _, e := range p.endpoints {
		out.Executors = append(out.Executors, EndpointDump{
			Name: e.host.Name, Addr: e.host.Addr, Zone: e.host.Zone, Partition: e.partition,
			Busy: e.busy, Limit: p.limit(e, now), Slots: e.slots,
			Listed: e.listed, Leaving: e.host.Leaving || e.leavingSignalled,
			Health: e.health.machine.Current(), Failing: e.health.failureRate, MeanMS: millis(e.health.mean),
			UsableInMS: max(e.usableAt.Sub(now).Milliseconds(), 0),
		})
	}
	sort.Slice(out.Executors, func(i, j int) bool { return out.Executors[i].Name < out.Executors[j].Name })
	return out
}

// Queued returns the number of requests that wait for a slot of the service.
func (d *Dispatcher) Queued(service string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[service]; p != nil {
		return p.queue.Len()
	}
	return 0
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
