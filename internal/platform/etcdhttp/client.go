// Package etcdhttp is a client of the platform's key-value service over the
// published etcd v3 JSON gateway: plain JSON over HTTP/1.1.
//
// A write is sent at most once. It fails with platform.ErrUnavailable only when
// certainly no byte of it was sent; the next endpoint is then tried.
package etcdhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"pulleyquay/internal/httponce"
	"pulleyquay/internal/platform"
)

// Defaults of Options.
const (
	DefaultTimeout     = 5 * time.Second
	DefaultDialTimeout = time.Second
	DefaultIdleTimeout = 30 * time.Second
)

// maxReply bounds the body of a reply that is read whole, in bytes.
const maxReply = 64 << 20

// Options tell how to reach the service. Zero durations take the defaults.
type Options struct {
	// Endpoints are the service's addresses, host:port or http://host:port.
	Endpoints []string
	// Name is sent as the user agent, so that operators of the service can
	// tell the callers apart.
	Name string
	// Timeout bounds each call other than a watch.
	Timeout time.Duration
	// DialTimeout bounds the setting up of a connection.
	DialTimeout time.Duration
	// IdleTimeout closes connections that were not used for so long.
	IdleTimeout time.Duration
}

// withDefaults fills in what is zero.
func (o Options) withDefaults() Options {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	return o
}

// Client implements platform.Store.
type Client struct {
	options   Options
	endpoints []string      // host:port
	current   atomic.Int64  // index of the endpoint to try first
	cluster   atomic.Uint64 // of the first reply; zero before
	calls     *httponce.Client
	streams   *http.Client // of watches, which change nothing
}

var _ platform.Store = (*Client)(nil)

// New returns a client; it makes no call yet. It fails without endpoints, and
// for endpoints that are not of the form in Options.
func New(o Options) (*Client, error) {
	if len(o.Endpoints) == 0 {
		return nil, errors.New("etcdhttp: no endpoints")
	}
	o = o.withDefaults()
	c := &Client{options: o}
	for _, e := range o.Endpoints {
		addr := strings.TrimSuffix(strings.TrimPrefix(e, "http://"), "/")
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("etcdhttp: endpoint %q: %w", e, err)
		}
		c.endpoints = append(c.endpoints, addr)
	}
	c.calls = httponce.New(httponce.Options{IdleTimeout: o.IdleTimeout, DialTimeout: o.DialTimeout})
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	c.streams = &http.Client{Transport: &http.Transport{
		DialContext:           dialer.DialContext,
		IdleConnTimeout:       o.IdleTimeout,
		ResponseHeaderTimeout: o.Timeout,
		DisableCompression:    true,
	}}
	return c, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.calls.Close()
	c.streams.CloseIdleConnections()
}

// request returns the request of a call at an endpoint, without its body.
func (c *Client) request(addr, path string) *http.Request {
	return &http.Request{
		Method: http.MethodPost,
		URL:    &url.URL{Scheme: "http", Host: addr, Path: path},
		Header: http.Header{"Content-Type": {"application/json"}, "User-Agent": {c.options.Name}},
	}
}

// call makes one call within the timeout and decodes the reply.
func (c *Client) call(ctx context.Context, path string, request any, reply headed) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return c.tryEach(func(addr string) error {
		answer, err := c.calls.Do(ctx, addr, c.request(addr, path), body, maxReply)
		if err != nil {
			return c.failed(err)
		}
		return c.decode(answer, reply)
	})
}

// tryEach calls fn with one endpoint after the other while no byte was sent. It
// begins with the endpoint that served last.
func (c *Client) tryEach(fn func(addr string) error) error {
	first := c.current.Load()
	var err error
	for i := range len(c.endpoints) {
		at := (int(first) + i) % len(c.endpoints)
		err = fn(c.endpoints[at])
		if errors.Is(err, errNotSent) {
			continue
		}
		if errors.Is(err, errSent) {
			at = (at + 1) % len(c.endpoints) // the next call tries another one
		}
		c.current.CompareAndSwap(first, int64(at))
		return err
	}
	return err
}

// The two ways in which a call gets no reply.
var (
	errNotSent = fmt.Errorf("%w: nothing sent", platform.ErrUnavailable)
	errSent    = fmt.Errorf("%w: sent and not answered", platform.ErrUnknownOutcome)
)

// failed turns a failure of the connection into an error of the store. Idle
// connections may be as dead as the one that failed, so they are closed.
func (c *Client) failed(err error) error {
	var failure *httponce.Failure
	if errors.As(err, &failure) && !failure.Sent {
		return fmt.Errorf("%w: %w", errNotSent, err)
	}
	c.calls.Close()
	return fmt.Errorf("%w: %w", errSent, err)
}

// decode reads a whole reply. One without a header is none of the service's,
// even when it is JSON with status 200.
func (c *Client) decode(answer httponce.Answer, reply headed) error {
	if answer.Status != http.StatusOK {
		return refusal(answer.Status, answer.Body)
	}
	if err := json.Unmarshal(answer.Body, reply); err != nil {
		return fmt.Errorf("%w: malformed reply: %w", errSent, err)
	}
	if m, ok := reply.(*KeepAliveMessage); ok && m.Error != nil {
		return m.Error.failure()
	}
	return c.checkHeader(reply.header())
}

// checkHeader refuses the reply of another store than the one that answered
// first: revisions of the two can not be compared, and what was accepted by the
// first may be unknown to the other.
func (c *Client) checkHeader(h Header) error {
	if h.Revision <= 0 {
		return fmt.Errorf("%w: reply without a revision", errSent)
	}
	c.cluster.CompareAndSwap(0, h.ClusterID)
	if known := c.cluster.Load(); known != h.ClusterID {
		return fmt.Errorf("%w: reply of cluster %x, it was %x before", errSent, h.ClusterID, known)
	}
	return nil
}

// refusal is the error that a response with another status than 200 stands for.
func refusal(status int, body []byte) error {
	var reply ErrorReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return fmt.Errorf("%w: status %d: %w", errSent, status, err)
	}
	return reply.failure()
}

// leaseNotFound is how the service names a lease that has ended.
const leaseNotFound = "requested lease not found"

// failure is the error that a refusal stands for. Only a refusal that names its
// reason is certain: a service in trouble may refuse what it then applies.
func (r ErrorReply) failure() error {
	switch {
	case r.Code == CodeNotFound && strings.Contains(r.Message, leaseNotFound):
		return fmt.Errorf("%w: %s", platform.ErrLeaseGone, r.Message)
	case r.Code == CodeInvalidArgument:
		return fmt.Errorf("%w: %s", platform.ErrRefused, r.Message)
	default:
		return fmt.Errorf("%w: code %d: %s", errSent, r.Code, r.Message)
	}
}
