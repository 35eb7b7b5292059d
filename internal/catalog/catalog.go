// Package catalog holds the operators' configuration of queues, services and accounts: an immutable, versioned Catalog,
// and a Watcher that follows the newest version.
package catalog

import (
	"sort"
	"strings"
	"time"
)

// Catalog is one version of the configuration. The active version never decreases.
type Catalog struct {
	Version  int64     `cbor:"1,keyasint"`
	Queues   []Queue   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	Limits   Limits    `cbor:"4,keyasint"`
	// KeysRequired is true if calls need a key of one of the Accounts.
	KeysRequired bool      `cbor:"5,keyasint,omitempty"`
	Accounts     []Account `cbor:"6,keyasint,omitempty"`
	// FormatVersion is the CurrentFormatVersion of the process that decoded the configuration.
	FormatVersion int `cbor:"7,keyasint,omitempty"`

	byHost   map[string][]*Queue // longest prefix first
	services map[string]*Service
	accounts map[string]*Account
	keys     map[KeyDigest]*Account
}

// CurrentFormatVersion is the format version of catalogs. It is increased whenever fields are added. A peer that runs an older
// program version omits the fields that it doesn't know, so catalogs of a lower format version aren't accepted from
// peers.
const CurrentFormatVersion = 1

// Queue is an address to which callers submit jobs, with the rules for these jobs.
type Queue struct {
	Name string `cbor:"1,keyasint"`
	// Host and Prefix select the queue: the longest matching prefix of the path takes precedence.
	Host   string `cbor:"2,keyasint"`
	Prefix string `cbor:"3,keyasint"`
	// Service names the pool of hosts that run the queue's tasks.
	Service string `cbor:"4,keyasint"`
	Rules   Rules  `cbor:"5,keyasint"`
	// TimeoutMillis bounds the response time of one call.
	TimeoutMillis int64 `cbor:"6,keyasint"`
	// Public queues don't require a key.
	Public bool `cbor:"7,keyasint,omitempty"`
}

// Rules govern the jobs of a queue. A job keeps the rules under which it was accepted.
type Rules struct {
	// Priority 0 is the highest and may preempt other priorities.
	Priority int `cbor:"1,keyasint,omitempty"`
	// MaxAttempts is how often a task may fail before its job fails.
	MaxAttempts int `cbor:"2,keyasint"`
	// CriticalPathFactor and TargetMillis define a job's target completion time: CriticalPathFactor times its critical path,
	// plus TargetMillis.
	CriticalPathFactor float64 `cbor:"3,keyasint,omitempty"`
	TargetMillis       int64   `cbor:"4,keyasint,omitempty"`
	// PolicyQuery is set if a policy service decides which hosts may run a step.
	PolicyQuery *PolicyQuery `cbor:"5,keyasint,omitempty"`
}

// PolicyQuery describes the duration of a policy query and the validity of the ticket that the policy service returns.
type PolicyQuery struct {
	// DecideMillis is the fixed part of a query's duration, PerHostMillis the part for each host.
	DecideMillis  float64 `cbor:"1,keyasint"`
	PerHostMillis float64 `cbor:"2,keyasint"`
	// ValidMillis is how long a ticket can be used.
	ValidMillis int64 `cbor:"3,keyasint"`
}

// QueryDuration returns how long the policy service takes for a query about n hosts.
func (a *PolicyQuery) QueryDuration(n int) time.Duration {
	ms := a.DecideMillis + float64(n)*a.PerHostMillis
	return time.Duration(ms * float64(time.Millisecond))
}

// TicketTTL returns how long a ticket can be used.
func (a *PolicyQuery) TicketTTL() time.Duration {
	return time.Duration(a.ValidMillis) * time.Millisecond
}

// Service is a pool of hosts.
type Service struct {
	Name       string `cbor:"1,keyasint"`
	HealthPath string `cbor:"2,keyasint,omitempty"`
	// EnforcesCapacity is true if the hosts refuse tasks that don't fit; other hosts start every task they are ordered
	// to start.
	EnforcesCapacity bool `cbor:"3,keyasint,omitempty"`
	// Standby is true if the pool's hosts are switched off.
	Standby bool `cbor:"4,keyasint,omitempty"`
}

// Limits bound callers' requests.
type Limits struct {
	HeaderBytes         int64 `cbor:"1,keyasint"`
	BodyBytes           int64 `cbor:"2,keyasint"`
	HeaderTimeoutMillis int64 `cbor:"3,keyasint"`
	IdleTimeoutMillis   int64 `cbor:"4,keyasint"`
}

// Index builds the lookup indexes, and limits numbers to their ranges. Call it once, before the catalog is shared.
func (c *Catalog) Index() {
	c.limitNumbers()
	c.byHost = map[string][]*Queue{}
	c.services = map[string]*Service{}
	for i := range c.Queues {
		q := &c.Queues[i]
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
	}
	for _, queues := range c.byHost {
		sort.SliceStable(queues, func(a, b int) bool { return len(queues[a].Prefix) > len(queues[b].Prefix) })
	}
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
	c.indexAccounts()
}

// Route returns the queue for a call and the remainder of the path after the queue's prefix, or nil when no queue
// matches.
func (c *Catalog) Route(host, path string) (q *Queue, rest string) {
	if c == nil {
		return nil, ""
	}
	for _, q := range c.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) {
			return q, path[len(q.Prefix):]
		}
	}
	return nil, ""
}

// Service returns the service of that name, or nil.
func (c *Catalog) Service(name string) *Service {
	if c == nil {
		return nil
	}
	return c.services[name]
}

// Serves reports whether any queue runs its tasks on the service.
func (c *Catalog) Serves(service string) bool {
	if c == nil {
		return false
	}
	for i := range c.Queues {
		if c.Queues[i].Service == service {
			return true
		}
	}
	return false
}
