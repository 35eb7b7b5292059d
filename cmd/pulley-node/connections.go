package main

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/resend"
)

// minReconnectInterval is the shortest time between two calls of reconnectAll that reopen the
// connections. The limit is needed because lost replies can't be distinguished from a silent
// connection, and reopening costs a request to every host in use.
const minReconnectInterval = 2 * time.Second

// connections reopens the connections to the store, the hosts and the services when
// some are silent: a silent connection delivers no data and reports no error.
type connections struct {
	clients []resend.Reconnecter
	peers   *peer.Node
	health  *follow.Health
	log     *logrus.Entry

	mu            sync.Mutex
	lastReconnect time.Time
}

// reconnectAll opens all connections anew, at most once in minReconnectInterval. It is
// called when a connection seems silent while a new one to the same address works.
func (c *connections) reconnectAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.lastReconnect) < minReconnectInterval {
		return
	}
	c.lastReconnect = now
	c.log.Warn("a connection has fallen silent; all are opened anew")
	for _, client := range c.clients {
		client.Reconnect()
	}
	c.health.RepeatPolls()
	c.peers.ReplaceSilentLinks()
}
