package main

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/resend"
)

// suspectEvery is the least time between two renewals of all connections: answers
// that get lost look like connections that have fallen silent, and each renewal
// costs a question to every host in use.
const suspectEvery = 2 * time.Second

// connections renews the connections to the store, the hosts and the services when
// some have fallen silent: on such a one nothing arrives any more, and nothing tells.
type connections struct {
	parts  []resend.Reconnecter
	peers  *peer.Node
	health *follow.Health
	log    *logrus.Entry

	mu   sync.Mutex
	last time.Time
}

// suspect is told that a connection seems to have fallen silent while a new one to
// the same address works.
func (c *connections) suspect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.last) < suspectEvery {
		return
	}
	c.last = now
	c.log.Warn("a connection has fallen silent; all are opened anew")
	for _, p := range c.parts {
		p.Reconnect()
	}
	c.health.Renew()
	c.peers.Try()
}
