// Package catalog holds what operators say of queues and services: one
// immutable, versioned Catalog, and a Keeper that follows the newest.
package catalog

import (
	"sort"
	"strings"
	"time"
)

// Catalog is one version of the configuration. Versions only rise.
type Catalog struct {
	Version  int64     `cbor:"1,keyasint"`
	Queues   []Queue   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	Limits   Limits    `cbor:"4,keyasint"`
	// Keyed is true where calls need a key of one of the Accounts.
	Keyed    bool      `cbor:"5,keyasint,omitempty"`
	Accounts []Account `cbor:"6,keyasint,omitempty"`
	// Form is that of the process that read the configuration; see CurrentForm.
	Form int `cbor:"7,keyasint,omitempty"`

	byHost   map[string][]*Queue // longest prefix first
	services map[string]*Service
	accounts map[string]*Account
	keys     map[KeyDigest]*Account
}

// CurrentForm rises whenever catalogs hold more than before. A peer of a version before
// leaves out what it does not know, so that its catalogs are not taken over.
const CurrentForm = 1

// Queue is where callers hand jobs in, with the rules for its jobs.
type Queue struct {
	Name string `cbor:"1,keyasint"`
	// Host and Prefix select the queue: the longest prefix of the path wins.
	Host   string `cbor:"2,keyasint"`
	Prefix string `cbor:"3,keyasint"`
	// Service names the hosts that run the queue's tasks.
	Service string `cbor:"4,keyasint"`
	Rules   Rules  `cbor:"5,keyasint"`
	// TimeoutMillis bounds the answer to one call.
	TimeoutMillis int64 `cbor:"6,keyasint"`
	// Public queues need no key.
	Public bool `cbor:"7,keyasint,omitempty"`
}

// Rules govern the jobs of a queue. A job keeps those it was accepted under.
type Rules struct {
	// Priority 0 comes first and may preempt others.
	Priority int `cbor:"1,keyasint,omitempty"`
	// Attempts is how often a task may fail before its job does.
	Attempts int `cbor:"2,keyasint"`
	// Stretch times a job's longest chain of work, plus TargetMillis, is the time
	// in which it is to complete.
	Stretch      float64 `cbor:"3,keyasint,omitempty"`
	TargetMillis int64   `cbor:"4,keyasint,omitempty"`
	// Advice is set where a policy service decides which hosts may run a step.
	Advice *Advice `cbor:"5,keyasint,omitempty"`
}

// Advice is what a question to the policy service costs and yields.
type Advice struct {
	// DecideMillis and PerHostMillis make up the time of an answer.
	DecideMillis  float64 `cbor:"1,keyasint"`
	PerHostMillis float64 `cbor:"2,keyasint"`
	// ValidMillis is how long a ticket can be used.
	ValidMillis int64 `cbor:"3,keyasint"`
}

// Took is how long the policy service works on a question about n hosts.
func (a *Advice) Took(n int) time.Duration {
	ms := a.DecideMillis + float64(n)*a.PerHostMillis
	return time.Duration(ms * float64(time.Millisecond))
}

// Valid is how long a ticket can be used.
func (a *Advice) Valid() time.Duration { return time.Duration(a.ValidMillis) * time.Millisecond }

// Service is a pool of hosts.
type Service struct {
	Name       string `cbor:"1,keyasint"`
	HealthPath string `cbor:"2,keyasint,omitempty"`
	// GuardsCapacity hosts refuse what does not fit; others start whatever they
	// are told to.
	GuardsCapacity bool `cbor:"3,keyasint,omitempty"`
	// Standby pools are switched off.
	Standby bool `cbor:"4,keyasint,omitempty"`
}

// Limits bound callers' requests.
type Limits struct {
	HeaderBytes         int64 `cbor:"1,keyasint"`
	BodyBytes           int64 `cbor:"2,keyasint"`
	HeaderTimeoutMillis int64 `cbor:"3,keyasint"`
	IdleTimeoutMillis   int64 `cbor:"4,keyasint"`
}

// Index prepares the lookups; call it once, before the catalog is shared.
func (c *Catalog) Index() {
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

// Route returns the queue for a call and the rest of the path behind the
// queue's prefix, or nil when no queue matches.
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

// Serves reports whether any queue sends its jobs to the service.
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
