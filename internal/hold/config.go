package hold

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/partition"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
	"pulleyquay/internal/right"
	"pulleyquay/internal/view"
)

// Config holds the timing and size settings of partition ownership. All placers of a cell must
// agree on Term, ClockMargin, OutageLimit and Partitions.
type Config struct {
	// Term is the time to live of the member's store lease, in whole seconds, and the length of a
	// promise while the store is unavailable.
	Term time.Duration
	// ClockMargin is the largest difference in rate between two clocks, in per mille.
	ClockMargin int64
	// OutageLimit bounds how long authority can be extended without the store.
	OutageLimit time.Duration
	// Heartbeat is the interval of heartbeats between placers.
	Heartbeat time.Duration
	// Renew is the interval of lease renewals, at most a third of Term.
	Renew time.Duration
	// Suspect is the time without a heartbeat after which a member counts as unreachable.
	Suspect time.Duration
	// BackoffMax bounds the wait between attempts while the store fails.
	BackoffMax time.Duration
	// Spread is the time over which the claims of a dead member's partitions are spread.
	Spread time.Duration
	// Partitions is the number of partitions of the cell.
	Partitions int
	// Seeds are addresses of placers from which the members are read if the store is unavailable at
	// the start.
	Seeds []string
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Term: 3 * time.Second, ClockMargin: 10, OutageLimit: time.Hour,
		Heartbeat: 500 * time.Millisecond, Renew: 750 * time.Millisecond,
		Suspect: 1500 * time.Millisecond, BackoffMax: time.Second,
		Spread: 50 * time.Millisecond, Partitions: partition.DefaultCount,
	}
}

// maxClockMargin, in per mille, exceeds the error of any correct clock.
const maxClockMargin = 100

// Check returns BadInput with the name of the first invalid field.
func (c Config) Check() error {
	switch {
	case c.Term < time.Second || c.Term%time.Second != 0:
		return invalid("Term", "must be whole seconds, at least one")
	case c.ClockMargin <= 0 || c.ClockMargin > maxClockMargin:
		return invalid("ClockMargin", "must be from 1 to %d parts of a thousand", maxClockMargin)
	case c.OutageLimit < c.Term:
		return invalid("OutageLimit", "must be at least the term")
	case c.Renew <= 0 || c.Renew > c.Term/3:
		return invalid("Renew", "must be positive and at most a third of the term")
	case c.Heartbeat <= 0 || c.Heartbeat > c.Term/3:
		return invalid("Heartbeat", "must be positive and at most a third of the term")
	case c.Suspect <= c.Heartbeat:
		return invalid("Suspect", "must be longer than the heartbeat interval")
	case c.BackoffMax <= 0:
		return invalid("BackoffMax", "must be positive")
	case c.Spread < 0:
		return invalid("Spread", "must not be negative")
	case c.Partitions <= 0:
		return invalid("Partitions", "must be positive")
	}
	return nil
}

func invalid(field, format string, args ...any) error {
	return result.New(result.BadInput, result.RanNo, format, args...).AtField(field)
}

// checkSelf rejects names that would not be a single segment of a store key.
func checkSelf(m view.Member) error {
	if m.Name == "" || strings.Contains(m.Name, "/") {
		return invalid("Name", "must not be empty nor contain a slash: %q", m.Name)
	}
	if m.Addr == "" {
		return invalid("Addr", "must not be empty")
	}
	return nil
}

func (c Config) times() right.Times {
	return right.Times{Term: c.Term, Margin: c.ClockMargin, OutageLimit: c.OutageLimit}
}

// maxRenewalAge is the age up to which the last renewal proves a connection to the store.
func (c Config) maxRenewalAge() time.Duration { return c.Term / 2 }

// Deps are the dependencies of a Manager.
type Deps struct {
	Store platform.Store
	Peers peer.Caller
	Mux   *peer.Mux
	// Self needs Name, Addr and Zone; an empty Incarnation is filled in.
	Self     view.Member
	Config   Config
	Registry prometheus.Registerer
	Log      *logrus.Entry
	// SettingsRevision returns the settings revision in force; it may be nil.
	SettingsRevision func() int64
}

// Delegate is the part of the placer that renews the task leases of a dead member while its
// partitions can not be taken over yet.
type Delegate interface {
	// SetRenewals names the partitions, with the records of their dead holder, whose workers' task
	// leases are to be renewed from now on. It replaces the previous list; an empty list ends the
	// renewal. Each order must be preceded by Manager.CheckRenewal and may only renew. SetRenewals
	// must not block.
	SetRenewals(partitions []view.Partition)
}
