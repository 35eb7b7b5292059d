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

// Path is where a process serves its peer links.
const Path = "/peer"

// dialTimeout bounds the making of a link, handshake and hello included.
const dialTimeout = 2 * time.Second

// pongSlack is how much longer than a new link a ping on an old one may take.
const pongSlack = 100 * time.Millisecond

// Node is this process's end of all peer links: a Caller to others and an
// http.Handler for links from others. One link serves both directions of a pair.
type Node struct {
	self Hello
	mux  *Mux
	log  *logrus.Entry

	// Silent is told when a link had fallen silent and a new one to the same address
	// works. It may be nil.
	Silent func()
	// Count is told the bytes of each message, by its kind; answers count for the kind of
	// their request. It may be nil.
	Count func(kind Kind, in, out int)

	mu     sync.Mutex
	links  map[string]*link // by the peer's address
	extra  map[*link]bool   // links from peers without an address, or doubled
	dials  map[string]*dialing
	closed bool
	// draining is true from the start of Drain.
	draining bool
}

// dialing is one attempt that several callers wait for.
type dialing struct {
	done chan struct{}
	link *link
	err  error
}

// NewNode returns a Node that names itself by self. An empty self.Addr means
// that the process serves no peers.
func NewNode(self Hello, mux *Mux, log *logrus.Entry) *Node {
	return &Node{
		self: self, mux: mux, log: log,
		links: map[string]*link{}, extra: map[*link]bool{}, dials: map[string]*dialing{},
	}
}

// Call implements Caller. A call to the Node's own address stays in the process.
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
	answer, err := l.call(ctx, kind, payload)
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(answer, resp); err != nil {
		return result.New(result.PeerLost, result.RanUnknown, "decode answer %d: %v", kind, err)
	}
	return nil
}

// link returns the live link to addr, or makes one.
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
		d = &dialing{done: make(chan struct{})}
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

func (n *Node) dial(addr string, d *dialing) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	d.link, d.err = n.connect(ctx, addr)
	n.mu.Lock()
	delete(n.dials, addr)
	n.mu.Unlock()
	if d.err == nil {
		n.add(addr, d.link)
	}
	close(d.done)
}

// replace makes another link to addr beside l, and takes it into use in place of l
// if a ping on l stays unanswered while that one works.
func (n *Node) replace(addr string, l *link) {
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	ping := make(chan error, 1)
	go func() { ping <- l.conn.Ping(ctx) }()
	other, err := n.connect(ctx, addr)
	if err != nil {
		return // the peer itself is not reached: the link says no less
	}
	select {
	case err := <-ping:
		if err == nil {
			other.close(errLinkClosed)
			return
		}
	case <-time.After(pongSlack): // the ping was sent before the dial and takes less
	}
	l.close(errLinkSilent)
	n.add(addr, other)
	n.log.WithField("peer", addr).Warn("peer link had fallen silent; replaced")
	if n.Silent != nil {
		n.Silent()
	}
}

// Try finds out which links have fallen silent, and replaces those.
func (n *Node) Try() {
	for _, l := range n.all() {
		go l.trySilent()
	}
}

// connect makes a link that is not in use yet.
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
	l.count = n.Count
	l.onGoodbye = func() { n.retire(l) }
	go n.keep(l)
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

// keep runs a link to its end and forgets it.
func (n *Node) keep(l *link) {
	err := l.run()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.extra, l)
	for a, have := range n.links {
		if have == l {
			delete(n.links, a)
			n.log.WithField("peer", a).WithError(err).Info("peer link closed")
		}
	}
}

// add makes l the link used for calls to addr, unless there is one already.
func (n *Node) add(addr string, l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.draining || l.ctx.Err() != nil {
		l.close(errLinkClosed)
		return
	}
	if addr != "" {
		l.setReplace(func() { n.replace(addr, l) })
	}
	if have := n.links[addr]; addr == "" || have != nil && have.ctx.Err() == nil {
		n.extra[l] = true
		return
	}
	n.links[addr] = l
	n.log.WithField("peer", addr).Info("peer link open")
}

// greet takes a link into use once its other side has named itself.
func (n *Node) greet(h Hello, l *link) error {
	if h.Cell != n.self.Cell {
		n.log.WithFields(logrus.Fields{"peer": h.Name, "cell": h.Cell}).Warn("a process of another cell was refused")
		return result.New(result.PeerOtherCell, result.RanNo, "this is cell %q, not %q", n.self.Cell, h.Cell)
	}
	n.add(h.Addr, l)
	return nil
}

// retire takes a link out of use for new calls; those under way end on it.
func (n *Node) retire(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for addr, have := range n.links {
		if have == l {
			delete(n.links, addr)
			n.extra[l] = true
		}
	}
}

// ServeHTTP accepts a link from another process and serves it to its end. While
// the node drains it accepts none.
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
		return // Accept has answered
	}
	if conn.Subprotocol() != Subprotocol {
		_ = conn.Close(websocket.StatusPolicyViolation, "unknown protocol version")
		return
	}
	var l *link
	l = newLink(conn, n.mux, func(h Hello) error { return n.greet(h, l) })
	l.count = n.Count
	l.onGoodbye = func() { n.retire(l) }
	n.keep(l)
}

// Drain accepts no more links, asks every peer to send no more requests, and
// waits until those that came are answered or ctx ends. A request sent by a peer
// is then either answered or was certainly not sent.
func (n *Node) Drain(ctx context.Context) {
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	var wg sync.WaitGroup
	for _, l := range n.all() {
		wg.Go(func() { l.drain(ctx) })
	}
	wg.Wait()
}

// Close ends all links.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	for _, l := range n.all() {
		l.close(errLinkClosed)
	}
}

// all returns every live link.
func (n *Node) all() []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []*link
	for _, l := range n.links {
		all = append(all, l)
	}
	for l := range n.extra {
		all = append(all, l)
	}
	return all
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
	}{n.self, addrs, len(n.extra)}
}
