// Package etcdhttp is a client of the platform's key-value service over the published etcd v3
// JSON gateway: JSON over HTTP/1.1.
//
// A write is sent at most once. It fails with platform.ErrUnavailable only if it is certain that
// no byte of it was sent; in that case the next endpoint is tried.
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

// maxReplyBytes is the maximum size of a reply's body, except for the streams of watches.
const maxReplyBytes = 64 << 20

// Options configure a Client. Zero durations take the defaults.
type Options struct {
	// Endpoints are the service's addresses: host:port or http://host:port.
	Endpoints []string
	// Name is sent as the user agent, so that the operators of the service can identify callers.
	Name string
	// Timeout is the time limit of each call except a watch.
	Timeout time.Duration
	// DialTimeout is the time limit for opening a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection stays open.
	IdleTimeout time.Duration
}

// withDefaults returns the options with zero fields replaced.
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
	cluster   atomic.Uint64 // cluster ID of the first reply; 0 before
	calls     *httponce.Client
	streams   *http.Client // for watches, which are reads and may be repeated
}

var _ platform.Store = (*Client)(nil)

// New returns a client without making a call. It fails without endpoints, and for endpoints that
// do not have the form described in Options.
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

// request returns the HTTP request of a call to an endpoint, without its body.
func (c *Client) request(addr, path string) *http.Request {
	return &http.Request{
		Method: http.MethodPost,
		URL:    &url.URL{Scheme: "http", Host: addr, Path: path},
		Header: http.Header{"Content-Type": {"application/json"}, "User-Agent": {c.options.Name}},
	}
}

// call makes one call within the timeout and decodes the reply.
func (c *Client) call(ctx context.Context, path string, request any, reply replyWithHeader) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return c.tryEndpoints(func(addr string) error {
		response, err := c.calls.Do(ctx, addr, c.request(addr, path), body, maxReplyBytes)
		if err != nil {
			return c.connectionError(err)
		}
		return c.decode(response, reply)
	})
}

// tryEndpoints calls fn with the endpoints in turn for as long as no byte was sent. It starts with
// the endpoint that served the last call.
func (c *Client) tryEndpoints(fn func(addr string) error) error {
	first := c.current.Load()
	var err error
	for i := range len(c.endpoints) {
		at := (int(first) + i) % len(c.endpoints)
		err = fn(c.endpoints[at])
		if errors.Is(err, errNotSent) {
			continue
		}
		if errors.Is(err, errSent) {
			at = (at + 1) % len(c.endpoints) // the next call starts with another endpoint
		}
		c.current.CompareAndSwap(first, int64(at))
		return err
	}
	return err
}

// Errors of a call without a reply.
var (
	errNotSent = fmt.Errorf("%w: nothing sent", platform.ErrUnavailable)
	errSent    = fmt.Errorf("%w: sent and not answered", platform.ErrUnknownOutcome)
)

// connectionError converts a connection failure into an error of the store. It closes the idle
// connections, as they may be as dead as the one that failed.
func (c *Client) connectionError(err error) error {
	var callFailure *httponce.Failure
	if errors.As(err, &callFailure) && !callFailure.Sent {
		return fmt.Errorf("%w: %w", errNotSent, err)
	}
	c.calls.Close()
	return fmt.Errorf("%w: %w", errSent, err)
}

// decode decodes a whole reply. A reply without a header is not the service's, even if it is JSON
// with status 200.
func (c *Client) decode(response httponce.Answer, reply replyWithHeader) error {
	if response.Status != http.StatusOK {
		return refusal(response.Status, response.Body)
	}
	if err := json.Unmarshal(response.Body, reply); err != nil {
		return fmt.Errorf("%w: malformed reply: %w", errSent, err)
	}
	if m, ok := reply.(*KeepAliveMessage); ok && m.Error != nil {
		return m.Error.failure()
	}
	return c.checkHeader(reply.header())
}

// checkHeader rejects a reply from a store other than the one that replied first: their revisions
// can not be compared, and writes accepted by the first may be unknown to the other.
func (c *Client) checkHeader(h Header) error {
	if h.Revision <= 0 {
		return fmt.Errorf("%w: reply without a revision", errSent)
	}
	c.cluster.CompareAndSwap(0, h.ClusterID)
	if first := c.cluster.Load(); first != h.ClusterID {
		return fmt.Errorf("%w: reply of cluster %x, it was %x before", errSent, h.ClusterID, first)
	}
	return nil
}

// refusal returns the error for a response with a status other than 200.
func refusal(status int, body []byte) error {
	var reply ErrorReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return fmt.Errorf("%w: status %d: %w", errSent, status, err)
	}
	return reply.failure()
}

// leaseNotFound is the service's message for a lease that has ended.
const leaseNotFound = "requested lease not found"

// failure returns the error for a refusal. The outcome is certain only if the refusal states its
// reason: a failing service may refuse a call that it then applies.
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
