// Package hostcache keeps the last list of hosts that the platform gave. The
// list lags and the platform has outages, so the last one stays in use until a
// newer one comes.
package hostcache

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/platform"
)

// jitter is the part of the interval by which each wait varies, so that the
// processes of a cell do not ask at the same moment.
const jitter = 0.2

// Cache polls a host list.
type Cache struct {
	list     platform.HostList
	interval time.Duration
	log      *logrus.Entry
	hosts    atomic.Pointer[[]platform.Host]
	failing  bool
	polls    *prometheus.CounterVec
}

// New returns a cache that asks list every interval once Run is called.
func New(list platform.HostList, interval time.Duration, reg prometheus.Registerer, log *logrus.Entry) *Cache {
	return &Cache{
		list: list, interval: interval, log: log,
		polls: promauto.With(reg).NewCounterVec(prometheus.CounterOpts{
			Name: "pulleyquay_host_list_polls_total", Help: "Calls to the platform's host list by result.",
		}, []string{"result"}),
	}
}

// Hosts returns the last list, nil before the first. Callers must not change it.
func (c *Cache) Hosts() []platform.Host {
	if h := c.hosts.Load(); h != nil {
		return *h
	}
	return nil
}

// Lacks says that no list has come yet.
func (c *Cache) Lacks() []string {
	if c.hosts.Load() == nil {
		return []string{"host list: the platform has not answered"}
	}
	return nil
}

// Run polls until ctx ends.
func (c *Cache) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.poll(ctx)
		wait := time.Duration(float64(c.interval) * (1 - jitter + 2*jitter*rand.Float64()))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

func (c *Cache) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.interval+time.Second)
	defer cancel()
	hosts, err := c.list.Hosts(ctx)
	if err != nil {
		c.polls.WithLabelValues("failed").Inc()
		c.note(true, err)
		return
	}
	c.polls.WithLabelValues("ok").Inc()
	c.hosts.Store(&hosts)
	c.note(false, nil)
}

// note logs only when polling turns from good to bad or back.
func (c *Cache) note(failing bool, err error) {
	if failing == c.failing {
		return
	}
	c.failing = failing
	if failing {
		c.log.WithError(err).Warn("host list not reached, keeping the last one")
		return
	}
	c.log.Info("host list reached again")
}
