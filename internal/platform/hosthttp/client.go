// Package hosthttp reads the platform's host list as JSON over HTTP.
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
	// Path is the path of the list.
	Path = "/v1/hosts"
	// DefaultTimeout is the time limit of one read.
	DefaultTimeout = 3 * time.Second
	// maxReplyBytes is the maximum size of the list.
	maxReplyBytes = 16 << 20
)

// Reply is the body of the list.
type Reply struct {
	Hosts []platform.Host `json:"hosts"`
}

// Client implements platform.HostList. Where the platform sends an ETag, the list is transferred
// only if it has changed.
type Client struct {
	url  string
	http *http.Client

	mu   sync.Mutex
	last version
}

// version is a list with its ETag; the ETag may be empty.
type version struct {
	etag  string
	hosts []platform.Host
}

var _ platform.HostList = (*Client)(nil)

// New returns a client of the list at base: host:port, optionally with http://.
func New(base string) *Client {
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return &Client{
		url:  strings.TrimSuffix(base, "/") + Path,
		http: &http.Client{Timeout: DefaultTimeout},
	}
}

// Hosts implements platform.HostList. A truncated list, or one with an entry that lacks its name
// or address or has an unknown role, is refused as a whole with result.HostListMalformed.
func (c *Client) Hosts(ctx context.Context) ([]platform.Host, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, unavailable(err)
	}
	lastVersion := c.lastVersion()
	if lastVersion.etag != "" {
		request.Header.Set("If-None-Match", lastVersion.etag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, unavailable(err)
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusNotModified && lastVersion.etag != "":
		return slices.Clone(lastVersion.hosts), nil
	case response.StatusCode != http.StatusOK:
		return nil, result.New(result.HostListUnavailable, result.RanNo, "status %d", response.StatusCode)
	}
	return c.read(response)
}

// read decodes a new list and stores it with its ETag.
func (c *Client) read(response *http.Response) ([]platform.Host, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
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

// lastVersion returns the last list that was read.
func (c *Client) lastVersion() version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// decode decodes and checks the list. Unknown fields are ignored, as the platform may add some.
func decode(body []byte) ([]platform.Host, error) {
	var reply Reply
	if err := json.Unmarshal(body, &reply); err != nil {
		return nil, result.New(result.HostListMalformed, result.RanNo, "%v", err)
	}
	if reply.Hosts == nil {
		return nil, result.New(result.HostListMalformed, result.RanNo, "no hosts in the reply").AtField("hosts")
	}
	for _, h := range reply.Hosts {
		if h.Name == "" || h.Addr == "" || (h.Role != platform.RoleWorker && h.Role != platform.RoleExecutor) {
			return nil, result.New(result.HostListMalformed, result.RanNo, "host %q at %q has role %q", h.Name, h.Addr, h.Role)
		}
	}
	return reply.Hosts, nil
}

// unavailable returns the error of a list that could not be read.
func unavailable(err error) error {
	return result.New(result.HostListUnavailable, result.RanNo, "%v", err)
}
