// Package hostcache caches the platform's host list. The list lags and the platform has outages,
// so the last list remains in use until a newer one is read.
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

// jitter is the fraction of the interval by which each wait varies, so that the processes of a
// cell do not poll at the same moment.
const jitter = 0.2

// Cache polls a host list and keeps its last version.
type Cache struct {
	list     platform.HostList
	interval time.Duration
	log      *logrus.Entry
	hosts    atomic.Pointer[[]platform.Host]
	failing  bool
	polls    *prometheus.CounterVec
}

// New returns a cache that polls list at the given interval once Run is called.
func New(list platform.HostList, interval time.Duration, reg prometheus.Registerer, log *logrus.Entry) *Cache {
	return &Cache{
		list: list, interval: interval, log: log,
		polls: promauto.With(reg).NewCounterVec(prometheus.CounterOpts{
			Name: "pulleyquay_host_list_polls_total", Help: "Calls to the platform's host list by result.",
		}, []string{"result"}),
	}
}

// Hosts returns the last list, or nil before the first one. Callers must not modify it.
func (c *Cache) Hosts() []platform.Host {
	if h := c.hosts.Load(); h != nil {
		return *h
	}
	return nil
}

// NotReadyReasons reports the reason for which the process is not ready: no list has been read yet.
func (c *Cache) NotReadyReasons() []string {
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
		c.recordPoll(true, err)
		return
	}
	c.polls.WithLabelValues("ok").Inc()
	c.hosts.Store(&hosts)
	c.recordPoll(false, nil)
}

// recordPoll logs only when polling starts to fail or succeeds again.
func (c *Cache) recordPoll(failing bool, err error) {
	if failing == c.failing {
		return
	}
	c.failing = failing
	if failing {
		c.log.WithError(err).Warn("host list poll failed; using the last list")
		return
	}
	c.log.Info("host list poll succeeded again")
}
