// Package hostlist is the stand-in for the platform's list of hosts: it can be
// edited, and what it shows lags behind the edits by a set time. It is for
// development and tests only.
package hostlist

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"pulleyquay/internal/platform"
)

// List is a lagging list of hosts. It implements platform.HostList.
type List struct {
	mu       sync.Mutex
	lag      time.Duration
	down     bool
	versions []version // oldest first; the last one is the truth
}

// version is the list as it was from a point in time on.
type version struct {
	from  time.Time
	hosts []platform.Host
}

// New returns an empty list that shows each edit after the lag.
func New(lag time.Duration) *List { return &List{lag: lag} }

// Hosts returns the list as it was one lag ago, by name.
func (l *List) Hosts(context.Context) ([]platform.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, platform.ErrUnavailable
	}
	until := time.Now().Add(-l.lag)
	shown := 0
	for i, v := range l.versions {
		if !v.from.After(until) {
			shown = i + 1
		}
	}
	if shown == 0 {
		return []platform.Host{}, nil
	}
	l.versions = l.versions[shown-1:]
	return slices.Clone(l.versions[0].hosts), nil
}

// SetLag changes by how much the list lags.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetDown makes the list fail, or answer again.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Replace sets the whole list.
func (l *List) Replace(hosts []platform.Host) {
	l.edit(func([]platform.Host) []platform.Host { return slices.Clone(hosts) })
}

// Put adds a host or replaces the one of the same name.
func (l *List) Put(h platform.Host) {
	l.edit(func(hosts []platform.Host) []platform.Host { return append(without(hosts, h.Name), h) })
}

// Remove takes a host from the list.
func (l *List) Remove(name string) {
	l.edit(func(hosts []platform.Host) []platform.Host { return without(hosts, name) })
}

// without returns a new list that lacks the host of that name.
func without(hosts []platform.Host, name string) []platform.Host {
	out := make([]platform.Host, 0, len(hosts)+1)
	for _, h := range hosts {
		if h.Name != name {
			out = append(out, h)
		}
	}
	return out
}

// edit adds a new version of the list.
func (l *List) edit(change func([]platform.Host) []platform.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var latest []platform.Host
	if n := len(l.versions); n > 0 {
		latest = l.versions[n-1].hosts
	}
	hosts := change(latest)
	slices.SortFunc(hosts, func(a, b platform.Host) int { return strings.Compare(a.Name, b.Name) })
	l.versions = append(l.versions, version{from: time.Now(), hosts: hosts})
}
