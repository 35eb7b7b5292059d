package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
)

// TestHostsOfUnknownServices: a host of a service that the configuration does not define is
// not polled. It is used once the configuration defines its service, and gets no new work
// once the service is removed.
func TestHostsOfUnknownServices(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	named := func(version int64, services ...string) *catalog.Catalog {
		c := &catalog.Catalog{Version: version}
		for _, s := range services {
			c.Services = append(c.Services, catalog.Service{Name: s})
		}
		c.Index()
		return c
	}
	e := New(Config{Epoch: 1, Bounds: testBounds, Tuning: DefaultTuning()})
	e.SetAuthority(now.Add(time.Minute))
	e.SetCatalog(named(1, "s"), now)
	info := func(id, service string) host.Info {
		return host.Info{ID: host.ID(id), Addr: "10.1.1.1:80", Service: service, Size: size(64, 64)}
	}
	e.SetHosts([]host.Info{info("own", "s"), info("foreign", "x")}, now)
	polled := func() map[host.ID]bool {
		out := map[host.ID]bool{}
		orders, _ := e.Next(now)
		for _, l := range orders.Polls {
			out[l.To.ID] = true
			e.Polled(l, now, host.View{Clock: 5}, nil, now)
		}
		return out
	}
	is.Equal(polled(), map[host.ID]bool{"own": true})
	e.SetCatalog(named(2, "s", "x"), now)
	is.Equal(polled(), map[host.ID]bool{"foreign": true})
	e.Stored(e.TakeBatch(now), now)
	is.True(e.placeable(e.hosts["foreign"], now))
	e.SetCatalog(named(3, "s"), now)
	is.True(e.hosts["foreign"] == nil) // nothing runs there
	is.True(e.placeable(e.hosts["own"], now))
	e.DropHost("foreign", now)
	e.SetCatalog(named(4, "s", "x"), now)
	is.True(e.hosts["foreign"] == nil)
}
