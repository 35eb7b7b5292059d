// Package etcdhttp is a client of the platform's key-value service over the
// published etcd v3 JSON gateway: plain JSON over HTTP/1.1.
//
// A write is sent at most once. It fails with platform.ErrUnavailable only when
// certainly no byte of it was sent; the next endpoint is then tried.
package etcdhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"pulleyquay/internal/platform"
)

// Defaults of Options.
const (
	DefaultTimeout      = 5 * time.Second
	DefaultDialTimeout  = time.Second
	DefaultIdleTimeout  = 30 * time.Second
	DefaultMaxIdleConns = 16
)

// maxReply bounds the body of a reply that is read whole, in bytes.
const maxReply = 64 << 20

// Options tell how to reach the service. Zero durations and counts take the
// defaults above.
type Options struct {
	// Endpoints are the service's addresses, host:port or with http://.
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
	// MaxIdleConns is how many idle connections are kept an endpoint.
	MaxIdleConns int
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
	if o.MaxIdleConns == 0 {
		o.MaxIdleConns = DefaultMaxIdleConns
	}
	return o
}

// Client implements platform.Store.
type Client struct {
	options   Options
	endpoints []string
	current   atomic.Int64 // the endpoint to try first
	http      *http.Client
}

var _ platform.Store = (*Client)(nil)

// New returns a client; it makes no call yet. It fails without endpoints.
func New(o Options) (*Client, error) {
	if len(o.Endpoints) == 0 {
		return nil, errors.New("etcdhttp: no endpoints")
	}
	o = o.withDefaults()
	c := &Client{options: o}
	for _, e := range o.Endpoints {
		if !strings.Contains(e, "://") {
			e = "http://" + e
		}
		c.endpoints = append(c.endpoints, strings.TrimSuffix(e, "/"))
	}
	c.http = &http.Client{
		Transport: newTransport(o),
		// A redirect would send a write again.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// dialCounted dials connections that count their writes.
func dialCounted(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
}

// call makes one call within the timeout and decodes the reply.
func (c *Client) call(ctx context.Context, path string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	response, err := c.open(ctx, path, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		c.moveOn(response.Request)
		return unknown(err)
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return unknown(fmt.Errorf("malformed reply: %w", err))
	}
	return nil
}

// open sends the request to the first endpoint that can be reached and returns
// its response of status 200. Only an endpoint that certainly got no byte is
// followed by the next one.
func (c *Client) open(ctx context.Context, path string, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	first := c.current.Load()
	for i := range len(c.endpoints) {
		at := (int(first) + i) % len(c.endpoints)
		var response *http.Response
		if response, err = c.post(ctx, c.endpoints[at]+path, body); err == nil {
			c.current.CompareAndSwap(first, int64(at))
			return accepted(response)
		}
		if !errors.Is(err, platform.ErrUnavailable) {
			c.current.CompareAndSwap(first, int64((at+1)%len(c.endpoints)))
			return nil, err
		}
	}
	return nil, err
}

// post sends the body exactly once.
func (c *Client) post(ctx context.Context, url string, body []byte) (*http.Response, error) {
	a := &attempt{}
	ctx = httptrace.WithClientTrace(ctx, a.trace())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	// Without GetBody the transport can not send the body a second time.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("User-Agent", c.options.Name)
	response, err := c.http.Do(request)
	switch {
	case err == nil:
		return response, nil
	case a.nothingSent():
		return nil, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	default:
		return nil, unknown(err)
	}
}

// moveOn makes the next call start at another endpoint than this request's.
func (c *Client) moveOn(request *http.Request) {
	current := c.current.Load()
	at := int(current) % len(c.endpoints)
	if strings.HasPrefix(request.URL.String(), c.endpoints[at]) {
		c.current.CompareAndSwap(current, int64((at+1)%len(c.endpoints)))
	}
}

// accepted passes a response of status 200 and turns any other into an error.
func accepted(response *http.Response) (*http.Response, error) {
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	var reply ErrorReply
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err == nil {
		err = json.Unmarshal(body, &reply)
	}
	if err != nil {
		return nil, unknown(fmt.Errorf("status %d: %w", response.StatusCode, err))
	}
	return nil, reply.failure()
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
		return unknown(fmt.Errorf("code %d: %s", r.Code, r.Message))
	}
}

// unknown is the error of a call that was sent and not answered properly.
func unknown(cause error) error {
	return fmt.Errorf("%w: %w", platform.ErrUnknownOutcome, cause)
}
