// Package workerhttp carries the messages of package worker as JSON over HTTP:
// POST /v1/claim and POST /v1/orders. A refusal is answered with an Error in
// JSON and a status of its own; anything else but 200 leaves the outcome open.
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

// The paths of the protocol.
const (
	PathClaim  = "/v1/claim"
	PathOrders = "/v1/orders"
)

const (
	// maxAnswerBytes bounds an answer: an inventory of some 50,000 runs.
	maxAnswerBytes = 16 << 20
	contentType    = "application/json"
)

// Error is the body of a refusal.
type Error struct {
	// Error is one of the names below.
	Error  string `json:"error"`
	Detail string `json:"detail,omitempty"`
}

// refusal is how one error of package worker goes over HTTP.
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

// Client is a worker.Client over HTTP. It sends each call at most once.
type Client struct {
	http *httponce.Client
}

// NewClient returns a client that keeps connections to the workers it talks to.
func NewClient(opt httponce.Options) *Client {
	return &Client{http: httponce.New(opt)}
}

// Claim sends a claim; its errors are those of package worker.
func (c *Client) Claim(ctx context.Context, addr string, req worker.ClaimRequest) (worker.ClaimReply, error) {
	var reply worker.ClaimReply
	err := c.post(ctx, addr, PathClaim, req, &reply)
	return reply, err
}

// Order sends an order; its errors are those of package worker.
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
		return fmt.Errorf("%w: %w", worker.ErrNotReached, err)
	}
	req := &http.Request{
		Method: http.MethodPost,
		URL:    &url.URL{Scheme: "http", Host: addr, Path: path},
		Header: http.Header{"Content-Type": {contentType}},
	}
	answer, err := c.http.Do(ctx, addr, req, body, maxAnswerBytes)
	if err != nil {
		return notAnswered(err)
	}
	if answer.Status != http.StatusOK {
		return refused(answer)
	}
	if err := json.Unmarshal(answer.Body, out); err != nil {
		return fmt.Errorf("%w: %w", worker.ErrLost, err)
	}
	return nil
}

func notAnswered(err error) error {
	var f *httponce.Failure
	if errors.As(err, &f) && !f.Sent {
		return fmt.Errorf("%w: %w", worker.ErrNotReached, err)
	}
	return fmt.Errorf("%w: %w", worker.ErrLost, err)
}

func refused(answer httponce.Answer) error {
	var e Error
	if json.Unmarshal(answer.Body, &e) == nil {
		for _, r := range refusals {
			if r.name == e.Error && r.status == answer.Status {
				return fmt.Errorf("%w: %s", r.err, e.Detail)
			}
		}
	}
	return fmt.Errorf("%w: status %d", worker.ErrLost, answer.Status)
}
