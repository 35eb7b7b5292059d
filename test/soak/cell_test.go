package soak

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/proxytest"
	"pulleyquay/internal/spec"
	"pulleyquay/platform/fake"
	"pulleyquay/test/e2e/harness"
)

// node is one pulley-node with the proxies around it.
type node struct {
	name     string
	settings map[string]any
	callers  string
	ready    string
	store    *proxytest.Proxy // between the node and the store
	peer     *proxytest.Proxy // in front of the node's peer listener

	mu        sync.Mutex
	process   *harness.Process   // the current one
	processes []*harness.Process // all processes of the node, the current one included
}

// cell is a simulated platform with hosts, and the nodes that use it.
type cell struct {
	t        *testing.T
	platform *fake.Platform
	nodes    []*node
	bin      harness.Binaries
	conds    conditions
}

// bounds are the platform's time limits and factors. Some are shorter than in
// production, to shorten the soak test.
var bounds = map[string]any{
	"lease_limit": "6s", "stop_takes": "200ms", "gang_wait": "3s", "remember_ended": "120s",
	"far_factor": 2, "restore_takes": "100ms", "checkpoint_every": "1s", "stop_limit": "6s",
	"contact": "3s", "heartbeat": "1500ms",
}

// startCell starts the simulated platform, the hosts and the nodes.
func startCell(t *testing.T, bin harness.Binaries, nodes, hosts int, conds conditions) *cell {
	t.Helper()
	c := &cell{t: t, platform: fake.New(), bin: bin, conds: conds}
	t.Cleanup(c.platform.Close)
	c.platform.Seed(conds.seed)
	c.platform.Fleet.KeepID, c.platform.Fleet.RestartDelay = conds.keepsID, 700*time.Millisecond
	c.platform.SetCallFaults(conds.callFaults)
	c.addHosts(hosts)
	for i, h := range c.platform.Hosts() {
		if i%2 == 1 {
			h.Host().SetRate(slowClock)
		}
	}
	c.platform.SetCatalog(testCatalog(1))
	for i := range nodes {
		c.nodes = append(c.nodes, c.newNode(fmt.Sprint("node", i)))
	}
	for _, n := range c.nodes {
		c.start(n)
	}
	return c
}

// slowClock is the rate of every other host's monotonic clock; no host has a slower one.
const slowClock = 0.98

func (c *cell) addHosts(n int) {
	if err := c.platform.AddHosts(n, "s", spec.Resources{MilliCPU: 64000, MemoryMiB: 131072}); err != nil {
		panic(err) // no free port
	}
}

func (c *cell) newNode(name string) *node {
	n := &node{name: name, callers: harness.FreeAddr(c.t), ready: harness.FreeAddr(c.t)}
	storeAddr, err := c.platform.ServeStore(name)
	if err != nil {
		c.t.Fatal(err)
	}
	policy, err := c.platform.ServePolicy()
	if err != nil {
		c.t.Fatal(err)
	}
	peer := harness.FreeAddr(c.t)
	n.store = proxytest.New(c.t, "", storeAddr)
	n.peer = proxytest.New(c.t, "", peer)
	n.settings = map[string]any{
		"name": name, "zone": "z", "processors": 1, "log_level": "info",
		"listen": map[string]any{"callers": n.callers, "ready": n.ready, "peer": peer, "admin": harness.FreeAddr(c.t), "advertise": n.peer.Addr},
		"store":  map[string]any{"address": n.store.Addr}, "policy": map[string]any{"address": policy}, "bounds": bounds,
	}
	return n
}

// start starts a node's process unless it is running: another fault may have restarted it.
func (c *cell) start(n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || !n.process.Alive() {
		n.process = c.bin.Run(c.t, "pulley-node", n.name, n.settings)
		n.processes = append(n.processes, n.process)
	}
}

// current returns the node's current process.
func (n *node) current() *harness.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// log returns the logs of all processes of the node.
func (n *node) log() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out strings.Builder
	for _, p := range n.processes {
		out.WriteString(p.Log())
	}
	return out.String()
}

// testCatalog returns a catalog with queues of the kinds in the users' specification.
func testCatalog(version int64) *catalog.Catalog {
	advice := func(decide, each float64) *catalog.PolicyQuery {
		return &catalog.PolicyQuery{DecideMillis: decide, PerHostMillis: each, ValidMillis: 1500}
	}
	queue := func(name string, priority, attempts int, stretch float64, target int64, a *catalog.PolicyQuery) catalog.Queue {
		return catalog.Queue{
			Name: name, Host: "cell.example", Prefix: "/" + name + "/", Service: "s", TimeoutMillis: 3000,
			Rules: catalog.Rules{Priority: priority, MaxAttempts: attempts, CriticalPathFactor: stretch, TargetMillis: target, PolicyQuery: a},
		}
	}
	return &catalog.Catalog{
		Version: version,
		Queues: []catalog.Queue{
			queue("ticket", 0, 3, 1.5, 250, advice(6, 0.1)), queue("review", 1, 3, 2.2, 1000, advice(100, 2)),
			queue("survey", 2, 3, 4, 3000, nil), queue("wide", 2, 2, 4, 3000, nil),
		},
		Services: []catalog.Service{{Name: "s", HealthPath: "/healthz"}},
		Limits:   catalog.Limits{HeaderBytes: 16384, BodyBytes: 262144, HeaderTimeoutMillis: 3000, IdleTimeoutMillis: 15000},
	}
}

// recoveryLimit is how long a cell without faults may take until it serves again.
const recoveryLimit = 15 * time.Second
