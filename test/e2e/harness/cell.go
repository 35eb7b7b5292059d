package harness

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"pulleyquay/internal/config"
	"pulleyquay/internal/partition"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/standin"
	"pulleyquay/internal/view"
)

// The cell's durations are short, so that many terms pass within a test.
const (
	Term      = 2 * time.Second
	heartbeat = 200 * time.Millisecond
	TaskLease = 6 * time.Second
	// ReadyLimit is the longest wait for a process to become ready.
	ReadyLimit = 20 * time.Second
	stopLimit  = 15 * time.Second
)

// Service is the service of the cell's executors.
const Service = "lakeshore.ledger"

// Cell is a simulated platform and entry hosts, each with an entry and a placer.
type Cell struct {
	Platform *Platform
	Hosts    []*Host

	t    *testing.T
	http *http.Client
}

// Host is one entry host.
type Host struct {
	Name   string
	Zone   string
	Placer *Process
	Entry  *Process

	t            *testing.T
	binaries     Binaries
	placerConfig placerConfig
	entryConfig  entryConfig
}

// placerConfig and entryConfig hold the settings of the daemons that differ from
// their defaults.
type placerConfig struct {
	Name     string      `json:"name"`
	Zone     string      `json:"zone"`
	Listen   peerListen  `json:"listen"`
	Store    storeConfig `json:"store"`
	HostList hostConfig  `json:"host_list"`
	Holding  holdConfig  `json:"holding"`
	Stop     stopConfig  `json:"stop"`
	// Profiling is set for the stacks that logDumps reads.
	Profiling bool `json:"profiling"`
}

type peerListen struct {
	Peer  string `json:"peer"`
	Admin string `json:"admin"`
}

type storeConfig struct {
	Endpoints       []string `json:"endpoints"`
	ReadsPerSecond  float64  `json:"reads_per_second"`
	WritesPerSecond float64  `json:"writes_per_second"`
}

type hostConfig struct {
	Address  string          `json:"address"`
	Interval config.Duration `json:"interval"`
}

type holdConfig struct {
	Term      config.Duration `json:"term"`
	Heartbeat config.Duration `json:"heartbeat"`
	TaskLease config.Duration `json:"task_lease"`
	Seeds     []string        `json:"seeds"`
}

type stopConfig struct {
	Announce config.Duration `json:"announce"`
	Limit    config.Duration `json:"limit"`
}

type entryConfig struct {
	Name    string     `json:"name"`
	Zone    string     `json:"zone"`
	Listen  httpListen `json:"listen"`
	Placers []string   `json:"placers"`
	Stop    stopConfig `json:"stop"`
}

type httpListen struct {
	HTTP  string `json:"http"`
	Admin string `json:"admin"`
}

// Groups returns the groups of workers and executors in three zones; a rack has two
// workers or one executor.
func Groups(workers, executors int) []standin.Group {
	zones := []string{"a", "b", "c"}
	return []standin.Group{
		{Name: "worker", Role: platform.RoleWorker, Count: workers, Zones: zones, PerRack: 2,
			Size: spec.Resources{MilliCPU: 64_000, MemoryMiB: 131_072}},
		{Name: "executor", Role: platform.RoleExecutor, Count: executors, Zones: zones, PerRack: 1,
			Service: Service, Slots: 8, Connections: 64},
	}
}

// StartCell starts a stand-in with the given groups of workers and executors, and n entry hosts. It
// waits until all entry hosts are ready, and creates the settings branches of the service and of batch jobs.
func (b Binaries) StartCell(t *testing.T, n int, groups []standin.Group) *Cell {
	t.Helper()
	c := &Cell{Platform: b.StartPlatform(t, groups), t: t, http: &http.Client{Timeout: clientTimeout}}
	var peers []string
	for range n {
		peers = append(peers, FreeAddr(t))
	}
	for i, peer := range peers {
		c.Hosts = append(c.Hosts, b.newHost(t, i, peer, peers, c.Platform.Addr))
	}
	for _, h := range c.Hosts {
		h.StartPlacer()
		h.StartEntry()
	}
	t.Cleanup(func() {
		if t.Failed() {
			c.logDumps()
		}
	})
	for _, h := range c.Hosts {
		h.WaitReady()
	}
	c.SetBranches(map[string]any{
		"/lakeshore": map[string]any{}, "/lakeshore/ledger": map[string]any{}, "/batch": map[string]any{},
	})
	return c
}

// maxDump is how many bytes of a dump a failed test logs.
const maxDump = 6000

// logDumps logs the state and the goroutine stacks of the placers that still run. A call
// that hangs is visible only in the stacks.
func (c *Cell) logDumps() {
	client := http.Client{Timeout: 2 * time.Second}
	for _, h := range c.Hosts {
		for _, path := range []string{"/debug/state", "/debug/pprof/goroutine?debug=1"} {
			resp, err := client.Get("http://" + h.placerConfig.Listen.Admin + path)
			if err != nil {
				c.t.Logf("%s %s: %v", h.Name, path, err)
				continue
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close() // nothing more is read
			c.t.Logf("%s %s (%v):\n%s", h.Name, path, err, body[:min(len(body), maxDump)])
		}
	}
}

func (b Binaries) newHost(t *testing.T, i int, peer string, peers []string, platformAddr string) *Host {
	name := fmt.Sprintf("host-%d", i)
	zone := string(rune('a' + i%3))
	placers := append([]string{peer}, peers[:i]...)
	placers = append(placers, peers[i+1:]...)
	stop := stopConfig{config.Duration(300 * time.Millisecond), config.Duration(stopLimit)}
	return &Host{
		Name: name, Zone: zone, t: t, binaries: b,
		placerConfig: placerConfig{
			Profiling: true,
			Name:      name, Zone: zone, Listen: peerListen{peer, FreeAddr(t)},
			Store:    storeConfig{[]string{platformAddr}, 1500, 300},
			HostList: hostConfig{platformAddr, config.Duration(200 * time.Millisecond)},
			Holding: holdConfig{
				Term: config.Duration(Term), Heartbeat: config.Duration(heartbeat),
				TaskLease: config.Duration(TaskLease), Seeds: peers,
			},
			Stop: stop,
		},
		entryConfig: entryConfig{
			Name: name, Zone: zone, Listen: httpListen{FreeAddr(t), FreeAddr(t)}, Placers: placers, Stop: stop,
		},
	}
}

// StartPlacer starts the host's placer, also after it has ended.
func (h *Host) StartPlacer() {
	h.Placer = h.binaries.Run(h.t, "pulley-placer", "placer-"+h.Name, h.placerConfig)
}

// StartEntry starts the host's entry, also after it has ended.
func (h *Host) StartEntry() {
	h.Entry = h.binaries.Run(h.t, "pulley-entry", "entry-"+h.Name, h.entryConfig)
}

// WaitReady waits until both processes report that they are ready.
func (h *Host) WaitReady() {
	h.t.Helper()
	for _, addr := range []string{h.placerConfig.Listen.Admin, h.entryConfig.Listen.Admin} {
		Eventually(h.t, ReadyLimit, h.Name+" is ready", func() error { return ready(addr) })
	}
}

// EntryReady reports whether a load balancer would send the entry new requests.
func (h *Host) EntryReady() bool { return ready(h.entryConfig.Listen.Admin) == nil }

// Addr returns the address at which the host's entry serves callers and operators.
func (h *Host) Addr() string { return h.entryConfig.Listen.HTTP }

// EntryAdmin returns the address of the administration of the host's entry.
func (h *Host) EntryAdmin() string { return h.entryConfig.Listen.Admin }

// PlacerAdmin returns the address of the administration of the host's placer.
func (h *Host) PlacerAdmin() string { return h.placerConfig.Listen.Admin }

// PlacerPeer returns the address at which peers reach the host's placer.
func (h *Host) PlacerPeer() string { return h.placerConfig.Listen.Peer }

func ready(admin string) error {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + admin + "/readyz")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("readyz: %d: %s", resp.StatusCode, bodyExcerpt(resp))
	}
	return nil
}

// placerState is the part of a placer's state dump that shows whether the cell is
// settled.
type placerState struct {
	Holding struct {
		Table      view.Table `json:"table"`
		Electorate struct {
			Voters []view.Member `json:"voters"`
		} `json:"electorate"`
	} `json:"holding"`
}

// WaitSettled waits until every partition is held by its designated owner and every
// placer is a voter in all placers' voter sets.
func (c *Cell) WaitSettled() {
	c.t.Helper()
	var names []string
	for _, h := range c.Hosts {
		names = append(names, h.Name)
	}
	for _, h := range c.Hosts {
		Eventually(c.t, ReadyLimit, h.Name+" is settled", func() error { return h.settled(names) })
	}
}

func (h *Host) settled(names []string) error {
	resp, err := http.Get("http://" + h.placerConfig.Listen.Admin + "/debug/state")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var s placerState
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return err
	}
	if n := len(s.Holding.Electorate.Voters); n != len(names) {
		return fmt.Errorf("%d of %d placers are voters", n, len(names))
	}
	if n := len(s.Holding.Table.Partitions); n != partition.DefaultCount {
		return fmt.Errorf("%d partitions", n)
	}
	for _, p := range s.Holding.Table.Partitions {
		if owner := partition.Owner(p.ID, names); p.Holder != owner {
			return fmt.Errorf("partition %d is held by %q, not %s", p.ID, p.Holder, owner)
		}
	}
	return nil
}
