package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/platform"
	"pulleyquay/platform/fake"
	"pulleyquay/test/e2e/harness"
)

// settleLimit is the longest wait for a process to close what a crowd has left, or to answer one request.
const settleLimit = 20 * time.Second

// place is an address of a process that a client can reach.
type place struct {
	name    string
	process *harness.Process
	target  target
	// ordinary makes one ordinary request on a new connection.
	ordinary func() error
}

// idleDescriptors is how many descriptors a process without clients has open at the most.
const idleDescriptors = 100

// play connects a crowd to the place and checks the process while the crowd is connected.
func (p place) play(t *testing.T, shapes ...shape) {
	t.Helper()
	p.awaitQuiet(t)
	stop := watch(p.process, p.target.addr)
	c := gather(p.target, shapes...)
	defer c.close()
	harness.Eventually(t, settleLimit, "an ordinary request is answered", func() error {
		if !p.process.Alive() {
			t.Fatalf("%s has ended", p.process.Name)
		}
		return p.ordinary()
	})
	stop().check(t, p.process)
	c.check(t)
}

// awaitQuiet waits until the connections of an earlier crowd are closed, and begins the peak of memory anew.
func (p place) awaitQuiet(t *testing.T) {
	t.Helper()
	harness.Eventually(t, settleLimit, "connections are closed", func() error {
		if n := openDescriptors(p.process.PID()); n > idleDescriptors {
			return fmt.Errorf("%d descriptors", n)
		}
		return nil
	})
	resetPeak(t, p.process.PID())
}

var httpClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// get returns a request of an address whose reply is to have the given status.
func get(addr, path string, status int) func() error {
	return func() error { return call(http.MethodGet, target{addr: addr, path: path}, nil, status) }
}

func call(method string, to target, body io.Reader, status int) error {
	req, err := http.NewRequest(method, "http://"+to.addr+to.path, body)
	if err != nil {
		return err
	}
	if to.host != "" {
		req.Host = to.host
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != status {
		return fmt.Errorf("status %d: %.300s", resp.StatusCode, text)
	}
	return err
}

// peerCall makes a call on a new link to a peer listener. A reply that the member doesn't know the message is an
// answer as well.
func peerCall(addr, cell string) func() error {
	return func() error {
		log := logrus.New()
		log.SetOutput(io.Discard)
		n := peer.NewNode(peer.Hello{Name: "test", Cell: cell}, peer.NewMux(), logrus.NewEntry(log))
		defer n.Close()
		ctx, cancel := context.WithTimeout(context.Background(), settleLimit)
		defer cancel()
		var reply any
		err := n.Call(ctx, addr, peer.KindMembers, struct{}{}, &reply)
		if code := result.CodeOf(err); code == result.PeerNotReached || code == result.PeerLost {
			return err
		}
		return nil
	}
}

const queueHost = "cell.example"

// node is one pulley-node with a simulated platform, and its settings.
type node struct {
	process                     *harness.Process
	callers, ready, peer, admin string
	jobs                        int
}

func startNode(t *testing.T) *node {
	t.Helper()
	p := fake.New()
	t.Cleanup(p.Close)
	if err := p.AddHosts(1, "s", spec.Resources{MilliCPU: 64000, MemoryMiB: 131072}); err != nil {
		t.Fatal(err)
	}
	p.SetCatalog(&catalog.Catalog{
		Version:  1,
		Queues:   []catalog.Queue{{Name: "q", Host: queueHost, Prefix: "/q/", Service: "s", TimeoutMillis: 3000, Rules: catalog.Rules{MaxAttempts: 2, CriticalPathFactor: 4, TargetMillis: 3000}}},
		Services: []catalog.Service{{Name: "s", HealthPath: "/healthz"}},
		Limits:   catalog.Limits{HeaderBytes: 16 << 10, BodyBytes: bodyBytes, HeaderTimeoutMillis: 3000, IdleTimeoutMillis: 15000},
	})
	store, err := p.ServeStore("node")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{callers: harness.FreeAddr(t), ready: harness.FreeAddr(t), peer: harness.FreeAddr(t), admin: harness.FreeAddr(t)}
	n.process = binaries.Run(t, "pulley-node", "node", map[string]any{
		"name": "node", "zone": "z", "processors": 1, "log_level": "info", "memory_mib": memoryMiB, "descriptors": descriptors,
		"listen": map[string]any{"callers": n.callers, "ready": n.ready, "peer": n.peer, "admin": n.admin},
		"store":  map[string]any{"address": store},
		"bounds": map[string]any{
			"lease_limit": "6s", "stop_takes": "200ms", "gang_wait": "3s", "remember_ended": "120s", "far_factor": 2,
			"restore_takes": "100ms", "checkpoint_every": "1s", "stop_limit": "6s", "contact": "3s", "heartbeat": "1500ms",
		},
	})
	harness.Eventually(t, harness.ReadyLimit, "a job is accepted", n.submit)
	return n
}

// jobPath returns the path of a new job.
func (n *node) jobPath() string {
	n.jobs++
	return fmt.Sprintf("/q/%016x", n.jobs)
}

func (n *node) submit() error {
	to := target{addr: n.callers, host: queueHost, path: n.jobPath()}
	return call(http.MethodPost, to, bytes.NewReader(legalBody(300)), http.StatusOK)
}

func (n *node) callersPlace() place {
	return place{"node callers", n.process, target{n.callers, queueHost, "/q/ffffffffffffffff", true}, n.submit}
}

func (n *node) readyPlace() place {
	return place{"node ready", n.process, target{n.ready, queueHost, platform.ReadyPath, false}, get(n.ready, platform.ReadyPath, http.StatusOK)}
}

func (n *node) otherPlaces() []place {
	return []place{
		{"node peers", n.process, target{n.peer, "x", peer.Path, false}, peerCall(n.peer, "")},
		{"node administration", n.process, target{n.admin, "x", "/healthz", false}, get(n.admin, "/healthz", http.StatusOK)},
	}
}

// startOldCell starts one entry host with the programs that serve callers by requests and teams by jobs.
func startOldCell(t *testing.T) *harness.Cell {
	t.Helper()
	return binaries.StartCell(t, 1, harness.Groups(2, 1))
}

func entryPlace(c *harness.Cell) place {
	h := c.Hosts[0]
	return place{"entry callers", h.Entry, target{h.Addr(), "x", "/v1/jobs", true}, func() error {
		key := harness.NewKey()
		if r := c.Post(h, key, key, 0); !r.OK() {
			return fmt.Errorf("%s", r)
		}
		return nil
	}}
}

// callerPlaces starts the programs that callers reach and returns their addresses.
func callerPlaces(t *testing.T) []place {
	t.Helper()
	n := startNode(t)
	return []place{n.callersPlace(), n.readyPlace(), entryPlace(startOldCell(t))}
}

// playShapes connects a crowd of each of the named shapes to each address of callers.
func playShapes(t *testing.T, names ...string) {
	for _, p := range callerPlaces(t) {
		for _, s := range shapes {
			for _, name := range names {
				if s.name == name {
					t.Run(p.name+"/"+name, func(t *testing.T) { p.play(t, s) })
				}
			}
		}
	}
}

// TestLargeBodiesWithoutEnd guards against bodies of legal size that are read whole, whatever their sum.
func TestLargeBodiesWithoutEnd(t *testing.T) { playShapes(t, "whole body", "body in pieces") }

// TestChunkedBodiesWithoutEnd guards against the same with bodies whose length is not declared.
func TestChunkedBodiesWithoutEnd(t *testing.T) { playShapes(t, "large chunks", "small chunks") }

// TestHeadsWithoutEnd guards against heads that are read far beyond the limit, and against connections in the
// middle of a head that keep others out.
func TestHeadsWithoutEnd(t *testing.T) {
	playShapes(t, "head over the limit", "head without end", "empty lines without end")
}

// TestConnectionsWithoutRequest guards against idle connections that use up the descriptors.
func TestConnectionsWithoutRequest(t *testing.T) { playShapes(t, "nothing") }

// TestUnreadReplies guards against replies that wait for clients that read nothing.
func TestUnreadReplies(t *testing.T) { playShapes(t, "replies unread") }

// TestMixedCrowdAtOtherAddresses guards against limits that hold only where callers are expected: all addresses
// of a process share its memory and descriptors.
func TestMixedCrowdAtOtherAddresses(t *testing.T) {
	places := startNode(t).otherPlaces()
	c := startOldCell(t)
	h := c.Hosts[0]
	places = append(places,
		place{"entry administration", h.Entry, target{h.EntryAdmin(), "x", "/healthz", false}, get(h.EntryAdmin(), "/healthz", http.StatusOK)},
		place{"placer peers", h.Placer, target{h.PlacerPeer(), "x", peer.Path, false}, peerCall(h.PlacerPeer(), "default")},
		place{"placer administration", h.Placer, target{h.PlacerAdmin(), "x", "/healthz", false}, get(h.PlacerAdmin(), "/healthz", http.StatusOK)},
		place{"stand-in", c.Platform.Process, target{c.Platform.Addr, "x", "/record/gangs/x", false}, get(c.Platform.Addr, "/record", http.StatusOK)},
	)
	for _, p := range places {
		t.Run(p.name, func(t *testing.T) { p.play(t, shapes...) })
	}
}

// TestCrowdsAtAllAddressesOfNode guards against limits that hold for each listener, but not for their sum.
func TestCrowdsAtAllAddressesOfNode(t *testing.T) {
	n := startNode(t)
	places := append([]place{n.callersPlace(), n.readyPlace()}, n.otherPlaces()...)
	stop := watch(n.process, n.callers, n.ready, n.peer, n.admin)
	for _, p := range places {
		c := gather(p.target, shapes...)
		defer c.close()
	}
	for _, p := range places {
		harness.Eventually(t, settleLimit, "an ordinary request at "+p.name, func() error {
			if !n.process.Alive() {
				t.Fatal("the process has ended")
			}
			return p.ordinary()
		})
	}
	stop().check(t, n.process)
}

// TestLargestJobInCalm guards against limits that a job within all limits meets.
func TestLargestJobInCalm(t *testing.T) {
	n := startNode(t)
	for name, send := range map[string]func(w io.Writer, to target) error{
		"whole": func(w io.Writer, to target) error {
			return write(w, []byte(to.head(contentLength(bodyBytes))), largestBody)
		},
		"pieces": func(w io.Writer, to target) error {
			if err := write(w, []byte(to.head(contentLength(bodyBytes)))); err != nil {
				return err
			}
			return inPieces(w, largestBody, pieceBytes)
		},
		"large chunks": func(w io.Writer, to target) error { return allChunks(w, to, largeChunk) },
		"small chunks": func(w io.Writer, to target) error { return allChunks(w, to, smallChunk) },
	} {
		t.Run(name, func(t *testing.T) {
			status, _, err := exchange(target{n.callers, queueHost, n.jobPath(), true}, send)
			if err != nil || status != http.StatusOK {
				t.Errorf("status %d, %v", status, err)
			}
		})
	}
}

// writers is the number of clients that submit the largest job while a crowd is connected.
const writers = 20

// TestRefusalReachesSenderThatStillWrites guards against a refusal that is lost, as the connection is reset while
// the client still writes its body: the client would not know whether its job runs.
func TestRefusalReachesSenderThatStillWrites(t *testing.T) {
	n := startNode(t)
	c := gather(n.callersPlace().target, shapes[0])
	defer c.close()
	for i := range writers {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			status, retry, err := exchange(target{n.callers, queueHost, n.jobPath(), true}, slowly)
			if err != nil {
				t.Fatalf("no reply: %v", err)
			}
			refused := (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) && retry != ""
			if status != http.StatusOK && !refused {
				t.Errorf("status %d, Retry-After %q", status, retry)
			}
		})
	}
	harness.Eventually(t, settleLimit, "an ordinary job is accepted", n.submit)
}
