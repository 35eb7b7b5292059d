// Package hostlist simulates the platform's list of hosts. The list can be edited, and its
// readers see each edit after a configurable lag. It is for development and tests only.
package hostlist

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"pulleyquay/internal/platform"
)

// List is a list of hosts whose edits become visible after a lag. It implements
// platform.HostList.
type List struct {
	mu       sync.Mutex
	lag      time.Duration
	down     bool
	versions []version // oldest first; the last one is current
}

// version is the content of the list from the time of one edit until the next edit.
type version struct {
	from  time.Time
	hosts []platform.Host
}

// New returns an empty list whose edits become visible after the lag.
func New(lag time.Duration) *List { return &List{lag: lag} }

// Hosts returns the hosts that readers see now, sorted by name: edits more recent than the lag, which is the
// delay that New and SetLag set, are not visible yet.
func (l *List) Hosts(context.Context) ([]platform.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, platform.ErrUnavailable
	}
	until := time.Now().Add(-l.lag)
	visible := 0
	for i, v := range l.versions {
		if !v.from.After(until) {
			visible = i + 1
		}
	}
	if visible == 0 {
		return []platform.Host{}, nil
	}
	l.versions = l.versions[visible-1:]
	return slices.Clone(l.versions[0].hosts), nil
}

// SetLag sets the delay until an edit becomes visible.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetDown sets whether reads of the list fail.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Replace replaces the whole list.
func (l *List) Replace(hosts []platform.Host) {
	l.edit(func([]platform.Host) []platform.Host { return slices.Clone(hosts) })
}

// Put adds a host or replaces the one of the same name.
func (l *List) Put(h platform.Host) {
	l.edit(func(hosts []platform.Host) []platform.Host { return append(withoutHost(hosts, h.Name), h) })
}

// Remove removes the host of that name, if there is one.
func (l *List) Remove(name string) {
	l.edit(func(hosts []platform.Host) []platform.Host { return withoutHost(hosts, name) })
}

// withoutHost returns a copy of hosts without the host of that name.
func withoutHost(hosts []platform.Host, name string) []platform.Host {
	out := make([]platform.Host, 0, len(hosts)+1)
	for _, h := range hosts {
		if h.Name != name {
			out = append(out, h)
		}
	}
	return out
}

// edit adds the version of the list that change returns.
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
