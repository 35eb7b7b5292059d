package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/result"
)

// Path is the HTTP path at which a process accepts peer links.
const Path = "/peer"

// dialTimeout bounds the time to establish a link, including the handshake and the hello.
const dialTimeout = 2 * time.Second

// pingMargin is how long after a new link has been established the ping on the existing
// link may still be unanswered.
const pingMargin = 100 * time.Millisecond

// Node manages all peer links of a process: it is the Caller for requests to other
// processes and the http.Handler for links that they open. A pair of processes uses one
// link for requests in both directions.
type Node struct {
	self Hello
	mux  *Mux
	log  *logrus.Entry

	// OnSilentLink is called after a silent link has been replaced by a new link to the same
	// address. It may be nil.
	OnSilentLink func()
	// OnTraffic receives the kind and the size in bytes of each message; a response counts
	// under the kind of its request. It may be nil.
	OnTraffic func(kind Kind, in, out int)

	mu        sync.Mutex
	links     map[string]*link // by the peer's address
	unindexed map[*link]bool   // links of peers without an address, duplicates and retired links
	dials     map[string]*dialAttempt
	closed    bool
	// draining is true from the start of Drain.
	draining bool
}

// dialAttempt is one attempt to establish a link; several callers may wait for it.
type dialAttempt struct {
	done chan struct{}
	link *link
	err  error
}

// NewNode returns a Node that sends self as its hello. An empty self.Addr means that the
// process serves no peers.
func NewNode(self Hello, mux *Mux, log *logrus.Entry) *Node {
	return &Node{
		self: self, mux: mux, log: log,
		links: map[string]*link{}, unindexed: map[*link]bool{}, dials: map[string]*dialAttempt{},
	}
}

// Call implements Caller. A call to the Node's own address is handled in the process.
func (n *Node) Call(ctx context.Context, addr string, kind Kind, req, resp any) error {
	if addr == n.self.Addr && addr != "" {
		return Local{addr: n.mux}.Call(ctx, addr, kind, req, resp)
	}
	payload, err := cbor.Marshal(req)
	if err != nil {
		return result.New(result.Internal, result.RanNo, "encode message %d: %v", kind, err)
	}
	l, err := n.link(ctx, addr)
	if err != nil {
		return result.New(result.PeerNotReached, result.RanNo, "%s: %v", addr, err)
	}
	response, err := l.call(ctx, kind, payload)
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(response, resp); err != nil {
		return result.New(result.PeerLost, result.RanUnknown, "decode answer %d: %v", kind, err)
	}
	return nil
}

// link returns the live link to addr, or establishes one.
func (n *Node) link(ctx context.Context, addr string) (*link, error) {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil, errLinkClosed
	}
	if l := n.links[addr]; l != nil && l.ctx.Err() == nil {
		n.mu.Unlock()
		return l, nil
	}
	d := n.dials[addr]
	if d == nil {
		d = &dialAttempt{done: make(chan struct{})}
		n.dials[addr] = d
		go n.dial(addr, d)
	}
	n.mu.Unlock()
	select {
	case <-d.done:
		return d.link, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *Node) dial(addr string, d *dialAttempt) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	d.link, d.err = n.connect(ctx, addr)
	n.mu.Lock()
	delete(n.dials, addr)
	n.mu.Unlock()
	if d.err == nil {
		n.addLink(addr, d.link)
	}
	close(d.done)
}

// replace establishes a second link to addr. If a ping on l is still unanswered when the
// new link works, the new link replaces l.
func (n *Node) replace(addr string, l *link) {
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	ping := make(chan error, 1)
	go func() { ping <- l.conn.Ping(ctx) }()
	replacement, err := n.connect(ctx, addr)
	if err != nil {
		return // the peer is unreachable, so a new link would not help
	}
	select {
	case err := <-ping:
		if err == nil {
			replacement.close(errLinkClosed)
			return
		}
	case <-time.After(pingMargin): // the ping was sent before the dial and should take less time
	}
	l.close(errLinkSilent)
	n.addLink(addr, replacement)
	n.log.WithField("peer", addr).Warn("peer link had fallen silent; replaced")
	if n.OnSilentLink != nil {
		n.OnSilentLink()
	}
}

// ReplaceSilentLinks checks all links for silence in the background and replaces those that are silent.
func (n *Node) ReplaceSilentLinks() {
	for _, l := range n.liveLinks() {
		go l.replaceIfSilent()
	}
}

// connect dials addr and completes the hello. The link is not yet used for calls.
func (n *Node) connect(ctx context.Context, addr string) (*link, error) {
	conn, _, err := websocket.Dial(ctx, "ws://"+addr+Path, &websocket.DialOptions{Subprotocols: []string{Subprotocol}})
	if err != nil {
		return nil, err
	}
	if conn.Subprotocol() != Subprotocol {
		_ = conn.CloseNow()
		return nil, result.New(result.PeerVersion, result.RanNo, "%s does not speak %s", addr, Subprotocol)
	}
	l := newLink(conn, n.mux, nil)
	l.onTraffic = n.OnTraffic
	l.onGoAway = func() { n.retire(l) }
	go n.runLink(l)
	hello, err := cbor.Marshal(n.self)
	if err != nil {
		l.close(err)
		return nil, err
	}
	if _, err := l.call(ctx, KindHello, hello); err != nil {
		l.close(err)
		return nil, err
	}
	return l, nil
}

// runLink runs a link until it ends, then removes it from the Node.
func (n *Node) runLink(l *link) {
	err := l.run()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.unindexed, l)
	for a, current := range n.links {
		if current == l {
			delete(n.links, a)
			n.log.WithField("peer", a).WithError(err).Info("peer link closed")
		}
	}
}

// addLink makes l the link for calls to addr unless another live link has that role.
func (n *Node) addLink(addr string, l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.draining || l.ctx.Err() != nil {
		l.close(errLinkClosed)
		return
	}
	if addr != "" {
		l.setReplace(func() { n.replace(addr, l) })
	}
	if current := n.links[addr]; addr == "" || current != nil && current.ctx.Err() == nil {
		n.unindexed[l] = true
		return
	}
	n.links[addr] = l
	n.log.WithField("peer", addr).Info("peer link open")
}

// acceptHello checks the cell of a link's other side and then adds the link.
func (n *Node) acceptHello(h Hello, l *link) error {
	if h.Cell != n.self.Cell {
		n.log.WithFields(logrus.Fields{"peer": h.Name, "cell": h.Cell}).Warn("refused a peer link from another cell")
		return result.New(result.PeerOtherCell, result.RanNo, "this is cell %q, not %q", n.self.Cell, h.Cell)
	}
	n.addLink(h.Addr, l)
	return nil
}

// retire removes a link from use by new calls; pending calls complete on it.
func (n *Node) retire(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for addr, current := range n.links {
		if current == l {
			delete(n.links, addr)
			n.unindexed[l] = true
		}
	}
}

// ServeHTTP accepts a link from another process and serves it until it ends. A node
// that drains or is closed accepts no links.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	refuse := n.draining || n.closed
	n.mu.Unlock()
	if refuse {
		http.Error(w, "planned stop", http.StatusServiceUnavailable)
		return
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{Subprotocol}})
	if err != nil {
		return // Accept has sent the error response
	}
	if conn.Subprotocol() != Subprotocol {
		_ = conn.Close(websocket.StatusPolicyViolation, "unknown protocol version")
		return
	}
	var l *link
	l = newLink(conn, n.mux, func(h Hello) error { return n.acceptHello(h, l) })
	l.onTraffic = n.OnTraffic
	l.onGoAway = func() { n.retire(l) }
	n.runLink(l)
}

// Drain accepts no further links, asks every peer to send no further requests, and waits
// until all received requests have responses or ctx ends. Each request of a peer then
// either has a response or was certainly not sent.
func (n *Node) Drain(ctx context.Context) {
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	var wg sync.WaitGroup
	for _, l := range n.liveLinks() {
		wg.Go(func() { l.drain(ctx) })
	}
	wg.Wait()
}

// Close ends all links.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	for _, l := range n.liveLinks() {
		l.close(errLinkClosed)
	}
}

func (n *Node) liveLinks() []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	var liveLinks []*link
	for _, l := range n.links {
		liveLinks = append(liveLinks, l)
	}
	for l := range n.unindexed {
		liveLinks = append(liveLinks, l)
	}
	return liveLinks
}

// Dump lists the addresses with a live link.
func (n *Node) Dump() any {
	n.mu.Lock()
	defer n.mu.Unlock()
	addrs := make([]string, 0, len(n.links))
	for a := range n.links {
		addrs = append(addrs, a)
	}
	return struct {
		Self  Hello    `json:"self"`
		Links []string `json:"links"`
		Other int      `json:"links_without_address"`
	}{n.self, addrs, len(n.unindexed)}
}
