// Package hosthttp reads the platform's list of hosts as JSON over HTTP.
package hosthttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
)

const (
	// Path is where the list is read.
	Path = "/v1/hosts"
	// DefaultTimeout bounds one read.
	DefaultTimeout = 3 * time.Second
	// maxReply bounds the list, in bytes.
	maxReply = 16 << 20
)

// Reply is the body of the list.
type Reply struct {
	Hosts []platform.Host `json:"hosts"`
}

// Client implements platform.HostList. It asks for the list only if it has
// changed, where the platform tells that by an ETag.
type Client struct {
	url  string
	http *http.Client

	mu   sync.Mutex
	last version
}

// version is a list with the ETag that the platform gave it, or without one.
type version struct {
	etag  string
	hosts []platform.Host
}

var _ platform.HostList = (*Client)(nil)

// New returns a client of the list at base, host:port or with http://.
func New(base string) *Client {
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return &Client{
		url:  strings.TrimSuffix(base, "/") + Path,
		http: &http.Client{Timeout: DefaultTimeout},
	}
}

// Hosts implements platform.HostList. A list that is cut short, or in which an
// entry lacks its name or address or has an unknown role, is refused whole with
// result.HostListMalformed.
func (c *Client) Hosts(ctx context.Context) ([]platform.Host, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, unavailable(err)
	}
	known := c.known()
	if known.etag != "" {
		request.Header.Set("If-None-Match", known.etag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, unavailable(err)
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusNotModified && known.etag != "":
		return slices.Clone(known.hosts), nil
	case response.StatusCode != http.StatusOK:
		return nil, result.New(result.HostListUnavailable, result.RanNo, "status %d", response.StatusCode)
	}
	return c.read(response)
}

// read takes in a new list.
func (c *Client) read(response *http.Response) ([]platform.Host, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return nil, unavailable(err)
	}
	hosts, err := decode(body)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = version{etag: response.Header.Get("ETag"), hosts: slices.Clone(hosts)}
	return hosts, nil
}

// known returns the last list that was read.
func (c *Client) known() version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// decode reads and checks the list. Names that are not known here are left to
// the platform to add.
func decode(body []byte) ([]platform.Host, error) {
	var reply Reply
	if err := json.Unmarshal(body, &reply); err != nil {
		return nil, result.New(result.HostListMalformed, result.RanNo, "%v", err)
	}
	if reply.Hosts == nil {
		return nil, result.New(result.HostListMalformed, result.RanNo, "no hosts in the reply").At("hosts")
	}
	for _, h := range reply.Hosts {
		if h.Name == "" || h.Addr == "" || (h.Role != platform.RoleWorker && h.Role != platform.RoleExecutor) {
			return nil, result.New(result.HostListMalformed, result.RanNo, "host %q at %q has role %q", h.Name, h.Addr, h.Role)
		}
	}
	return reply.Hosts, nil
}

// unavailable is the error of a list that was not read.
func unavailable(err error) error {
	return result.New(result.HostListUnavailable, result.RanNo, "%v", err)
}
