package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"pulleyquay/internal/result"
)

// Limits of a link.
const (
	maxFrameBytes = 16 << 20
	maxInbound    = 8192 // concurrent requests from one peer
	writeTimeout  = 5 * time.Second
	pingInterval  = time.Second
	pingTimeout   = 3 * time.Second

	// silenceTimeout is how long a link may receive nothing while a call waits before
	// another link is tried. Heartbeats are more frequent.
	silenceTimeout = 250 * time.Millisecond
)

var errLinkClosed = errors.New("link closed")

// errLinkSilent is the cause of closing a link that no longer receives anything.
var errLinkSilent = errors.New("nothing comes in on the link")

// link is one WebSocket connection to one peer. Both sides may send requests over it.
type link struct {
	conn *websocket.Conn
	mux  *Mux

	ctx    context.Context // ends with the link
	cancel context.CancelCauseFunc

	writeLock    chan struct{} // capacity 1: a lock for writes to conn that can be awaited with a ctx
	requestSlots chan struct{} // capacity maxInbound

	mu              sync.Mutex
	nextID          uint64
	pending         map[uint64]pendingCall
	cancelByRequest map[uint64]context.CancelFunc

	// onTraffic receives the kind and the size in bytes of each message. It may be nil.
	onTraffic func(kind Kind, in, out int)

	onHello func(Hello) error
	// onGoAway is called when the other side has asked for no further requests. It may be nil.
	onGoAway func()
	// goAwayAckSent is set under writeLock when the peer's go-away frame is acknowledged.
	// No request is written after the acknowledgement.
	goAwayAckSent bool
	// goAwayAcked is closed when the other side has acknowledged this side's go-away frame.
	goAwayAcked chan struct{}

	// lastReceived is when the last frame was received, in nanoseconds since the Unix epoch.
	lastReceived atomic.Int64
	// replace dials another link to the same peer and closes this one if the new link works
	// while this one stays silent; nil if the peer's address is unknown. replacing is true
	// meanwhile.
	replace   func()
	replacing atomic.Bool
	// awaitingGoAwayAck is true from this side's go-away frame until its acknowledgement.
	awaitingGoAwayAck atomic.Bool
}

// pendingCall is a request that waits for its response.
type pendingCall struct {
	kind  Kind
	reply chan frame
}

func newLink(conn *websocket.Conn, mux *Mux, onHello func(Hello) error) *link {
	conn.SetReadLimit(maxFrameBytes)
	ctx, cancel := context.WithCancelCause(context.Background())
	return &link{
		conn: conn, mux: mux, ctx: ctx, cancel: cancel,
		writeLock:       make(chan struct{}, 1),
		requestSlots:    make(chan struct{}, maxInbound),
		pending:         map[uint64]pendingCall{},
		cancelByRequest: map[uint64]context.CancelFunc{},
		onHello:         onHello,
		goAwayAcked:     make(chan struct{}),
	}
}

// run reads frames until the link breaks and returns the cause.
func (l *link) run() error {
	go l.pingLoop()
	err := l.readLoop()
	l.close(err)
	return err
}

func (l *link) readLoop() error {
	for {
		_, data, err := l.conn.Read(l.ctx)
		if err != nil {
			return err
		}
		l.lastReceived.Store(time.Now().UnixNano())
		f, err := decodeFrame(data)
		if err != nil {
			return err
		}
		l.receive(f, len(data))
	}
}

// receive dispatches one frame. A response without a pending call is dropped: the
// call was cancelled, or the response is a duplicate.
func (l *link) receive(f frame, size int) {
	switch f.Type {
	case frameResponse, frameError:
		if w, ok := l.takePending(f.ID); ok {
			l.recordTraffic(w.kind, size, 0)
			w.reply <- f
		}
	case frameCancel:
		l.mu.Lock()
		cancel := l.cancelByRequest[f.ID]
		l.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	case frameRequest:
		l.recordTraffic(f.Kind, size, 0)
		l.acceptRequest(f)
	case frameGoAway:
		go l.handleGoAway()
	case frameGoAwayAck:
		if l.awaitingGoAwayAck.CompareAndSwap(true, false) {
			close(l.goAwayAcked)
		}
	}
}

func (l *link) takePending(id uint64) (pendingCall, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.pending[id]
	delete(l.pending, id)
	return w, ok
}

func (l *link) recordTraffic(kind Kind, in, out int) {
	if l.onTraffic != nil {
		l.onTraffic(kind, in, out)
	}
}

func (l *link) acceptRequest(f frame) {
	select {
	case l.requestSlots <- struct{}{}:
	default:
		refusal := result.New(result.NotReady, result.RanNo, "%d requests of this peer are being handled", maxInbound)
		go l.reply(f, frameError, encodeError(refusal.WithRetryAfter(time.Second)))
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	l.mu.Lock()
	l.cancelByRequest[f.ID] = cancel
	l.mu.Unlock()
	go l.serve(ctx, cancel, f)
}

func (l *link) serve(ctx context.Context, cancel context.CancelFunc, f frame) {
	defer func() {
		cancel()
		l.mu.Lock()
		delete(l.cancelByRequest, f.ID)
		l.mu.Unlock()
		<-l.requestSlots
	}()
	payload, err := l.handle(ctx, f)
	if err != nil {
		l.reply(f, frameError, encodeError(err))
		return
	}
	l.reply(f, frameResponse, payload)
}

func (l *link) handle(ctx context.Context, f frame) ([]byte, error) {
	if f.Kind != KindHello {
		return l.mux.dispatch(ctx, f.Kind, f.Payload)
	}
	var hello Hello
	if err := cbor.Unmarshal(f.Payload, &hello); err != nil {
		return nil, result.New(result.PeerVersion, result.RanNo, "hello: %v", err)
	}
	if l.onHello != nil {
		if err := l.onHello(hello); err != nil {
			return nil, err
		}
	}
	return cbor.Marshal(struct{}{})
}

// reply sends the response to a request. If that fails the link is closed, so the error is dropped.
func (l *link) reply(to frame, t frameType, payload []byte) {
	_ = l.write(l.ctx, to.Kind, frame{ID: to.ID, Type: t, Payload: payload})
}

// write sends one frame and records its size under kind. If nothing was sent it returns
// errLinkClosed or ctx's error. After any other error the frame may have been sent in
// part or in full, and the link is closed.
func (l *link) write(ctx context.Context, kind Kind, f frame) error {
	data, err := encodeFrame(f)
	if err != nil {
		return errLinkClosed
	}
	select {
	case l.writeLock <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	case <-l.ctx.Done():
		return errLinkClosed
	}
	defer func() { <-l.writeLock }()
	if l.ctx.Err() != nil {
		return errLinkClosed
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	switch {
	case f.Type == frameRequest && l.goAwayAckSent:
		return errLinkClosed
	case f.Type == frameGoAwayAck:
		l.goAwayAckSent = true
	}
	// The deadline is the link's, not the caller's: a write that is aborted halfway
	// would break the link for all its callers.
	wctx, cancel := context.WithTimeout(l.ctx, writeTimeout)
	defer cancel()
	if err := l.conn.Write(wctx, websocket.MessageBinary, data); err != nil {
		l.close(err)
		return &uncertainWriteError{err}
	}
	l.recordTraffic(kind, 0, len(data))
	return nil
}

// uncertainWriteError is a failed write of which a part or all may have reached the peer.
type uncertainWriteError struct{ err error }

func (b *uncertainWriteError) Error() string { return "write: " + b.err.Error() }

// call sends a request and waits for its response.
func (l *link) call(ctx context.Context, kind Kind, payload []byte) ([]byte, error) {
	w := pendingCall{kind, make(chan frame, 1)}
	l.mu.Lock()
	l.nextID++
	id := l.nextID
	l.pending[id] = w
	l.mu.Unlock()
	defer l.takePending(id)

	if err := l.write(ctx, kind, frame{ID: id, Type: frameRequest, Kind: kind, Payload: payload}); err != nil {
		var uncertain *uncertainWriteError
		if errors.As(err, &uncertain) {
			return nil, result.New(result.PeerLost, result.RanUnknown, "%v", err)
		}
		return nil, result.New(result.PeerNotReached, result.RanNo, "%v", err)
	}
	silenceTimer := time.AfterFunc(silenceTimeout, l.replaceIfSilent)
	defer silenceTimer.Stop()
	select {
	case f := <-w.reply:
		return f.result()
	case <-ctx.Done():
		go l.reply(frame{ID: id, Kind: kind}, frameCancel, nil)
		return nil, result.New(result.PeerLost, result.RanUnknown, "gave up waiting for the peer: %v", ctx.Err())
	case <-l.ctx.Done():
		select {
		case f := <-w.reply: // received just before the link ended
			return f.result()
		default:
		}
		return nil, result.New(result.PeerLost, result.RanUnknown, "link broke: %v", context.Cause(l.ctx))
	}
}

// result returns the payload of a response, or the error that it carries.
func (f frame) result() ([]byte, error) {
	if f.Type == frameError {
		return nil, decodeError(f.Payload)
	}
	return f.Payload, nil
}

// pingLoop detects a peer that disappeared without closing the connection. It sends no
// pings while the link receives frames.
func (l *link) pingLoop() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.C:
			if l.receivedWithin(pingInterval) {
				continue
			}
			ctx, cancel := context.WithTimeout(l.ctx, pingTimeout)
			err := l.conn.Ping(ctx)
			cancel()
			if err != nil {
				l.close(err)
				return
			}
		}
	}
}

// replaceIfSilent replaces the link if it has received nothing for silenceTimeout: an open
// connection can stop carrying data permanently without an error.
func (l *link) replaceIfSilent() {
	l.mu.Lock()
	replace := l.replace
	l.mu.Unlock()
	if l.receivedWithin(silenceTimeout) || replace == nil || !l.replacing.CompareAndSwap(false, true) {
		return
	}
	defer l.replacing.Store(false)
	replace()
}

func (l *link) setReplace(replace func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replace = replace
}

func (l *link) receivedWithin(d time.Duration) bool {
	return time.Since(time.Unix(0, l.lastReceived.Load())) < d
}

// close ends the link immediately; pending calls fail with PeerLost.
func (l *link) close(cause error) {
	l.cancel(cause)
	_ = l.conn.CloseNow()
}
