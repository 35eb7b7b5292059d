// Package workerhttp transports the messages of package worker as JSON over HTTP:
// POST /v1/claim and POST /v1/orders. A refusal has an Error as its body and a status of
// its own. After any other status than 200 the outcome is unknown.
package workerhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"pulleyquay/internal/httponce"
	"pulleyquay/internal/worker"
)

// The HTTP paths of the protocol.
const (
	PathClaim  = "/v1/claim"
	PathOrders = "/v1/orders"
)

const (
	// maxReplyBytes bounds a response; an inventory of about 50,000 runs fits.
	maxReplyBytes = 16 << 20
	contentType   = "application/json"
)

// Error is the body of a refusal.
type Error struct {
	// Error is one of the names in refusals, or "bad-input".
	Error  string `json:"error"`
	Detail string `json:"detail,omitempty"`
}

// refusal maps an error of package worker to its name and status in the protocol.
type refusal struct {
	name   string
	status int
	err    error
}

var refusals = []refusal{
	{"fenced", http.StatusConflict, worker.ErrFenced},
	{"expired", http.StatusGone, worker.ErrExpired},
	{"not-claimed", http.StatusPreconditionFailed, worker.ErrNotClaimed},
}

// Client is a worker.Client over HTTP. It sends each request at most once.
type Client struct {
	http *httponce.Client
}

// NewClient returns a client that reuses its connections.
func NewClient(opt httponce.Options) *Client {
	return &Client{http: httponce.New(opt)}
}

// Claim sends a claim. Its errors wrap those of package worker.
func (c *Client) Claim(ctx context.Context, addr string, req worker.ClaimRequest) (worker.ClaimReply, error) {
	var reply worker.ClaimReply
	err := c.post(ctx, addr, PathClaim, req, &reply)
	return reply, err
}

// Order sends an order. Its errors wrap those of package worker.
func (c *Client) Order(ctx context.Context, addr string, order worker.Order) (worker.OrderReply, error) {
	var reply worker.OrderReply
	err := c.post(ctx, addr, PathOrders, order, &reply)
	return reply, err
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }

func (c *Client) post(ctx context.Context, addr, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("%w: %w", worker.ErrUnreachable, err)
	}
	req := &http.Request{
		Method: http.MethodPost,
		URL:    &url.URL{Scheme: "http", Host: addr, Path: path},
		Header: http.Header{"Content-Type": {contentType}},
	}
	response, err := c.http.Do(ctx, addr, req, body, maxReplyBytes)
	if err != nil {
		return transportError(err)
	}
	if response.Status != http.StatusOK {
		return decodeRefusal(response)
	}
	if err := json.Unmarshal(response.Body, out); err != nil {
		return fmt.Errorf("%w: %w", worker.ErrNoReply, err)
	}
	return nil
}

func transportError(err error) error {
	var f *httponce.Failure
	if errors.As(err, &f) && !f.Sent {
		return fmt.Errorf("%w: %w", worker.ErrUnreachable, err)
	}
	return fmt.Errorf("%w: %w", worker.ErrNoReply, err)
}

func decodeRefusal(response httponce.Answer) error {
	var e Error
	if json.Unmarshal(response.Body, &e) == nil {
		for _, r := range refusals {
			if r.name == e.Error && r.status == response.Status {
				return fmt.Errorf("%w: %s", r.err, e.Detail)
			}
		}
	}
	return fmt.Errorf("%w: status %d", worker.ErrNoReply, response.Status)
}
