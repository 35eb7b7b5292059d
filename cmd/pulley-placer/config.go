package main

import (
	"time"

	"pulleyquay/internal/config"
	"pulleyquay/internal/hold"
	"pulleyquay/internal/httplimit"
	"pulleyquay/internal/partition"
	"pulleyquay/internal/platform/budget"
	"pulleyquay/internal/result"
)

// Settings is the content of the placer's settings file.
type Settings struct {
	// Name is the member's name, the same after a restart on the same host.
	Name string `json:"name" validate:"required"`
	// Cell is the same in all processes of a cell; peers of another cell are refused.
	Cell string `json:"cell" validate:"required"`
	// Zone is the host's availability zone.
	Zone     string `json:"zone" validate:"required"`
	LogLevel string `json:"log_level" validate:"oneof=debug info warn error"`
	// Profiling is true if the administration listener serves profiles of the process.
	Profiling bool   `json:"profiling"`
	Listen    Listen `json:"listen"`
	Store     Store  `json:"store"`
	HostList  Hosts  `json:"host_list"`
	Holding   Hold   `json:"holding"`
	Stop      Stop   `json:"stop"`
	// MemoryMiB and Descriptors are what the process may use; zero means the limits that it was started with.
	MemoryMiB   int64 `json:"memory_mib" validate:"min=0"`
	Descriptors int   `json:"descriptors" validate:"min=0"`
	// Clients overrides the limits for clients that follow from them.
	Clients httplimit.Settings `json:"clients"`
}

// Listen holds the addresses to listen on, host:port.
type Listen struct {
	Peer  string `json:"peer" validate:"required,hostname_port"`
	Admin string `json:"admin" validate:"required,hostname_port"`
}

// Store holds the endpoints of the platform's store and the limits on the calls of all
// placers together; each placer has an equal share of them.
type Store struct {
	Endpoints       []string `json:"endpoints" validate:"min=1,dive,hostname_port"`
	ReadsPerSecond  float64  `json:"reads_per_second" validate:"gt=0"`
	WritesPerSecond float64  `json:"writes_per_second" validate:"gt=0"`
}

// Hosts holds the address of the platform's host list and the interval at which it is read.
type Hosts struct {
	Address  string          `json:"address" validate:"required,hostname_port"`
	Interval config.Duration `json:"interval" validate:"min=100000000"`
}

// Hold holds the durations for members and partitions; they must be the same in every
// placer of a cell.
type Hold struct {
	Partitions int             `json:"partitions" validate:"min=1,max=4096"`
	Term       config.Duration `json:"term" validate:"min=1000000000"`
	Heartbeat  config.Duration `json:"heartbeat" validate:"min=10000000"`
	// OutageLimit is the longest outage of the store during which a holder keeps its
	// authority.
	OutageLimit config.Duration `json:"outage_limit" validate:"min=0"`
	// TaskLease is the term of the leases of running tasks.
	TaskLease config.Duration `json:"task_lease" validate:"min=1000000000"`
	// Seeds are the peer addresses of placers to get members and settings from when the
	// store is down.
	Seeds []string `json:"seeds" validate:"dive,hostname_port"`
}

// Stop holds the time limits of a planned stop.
type Stop struct {
	// Announce is how long the process continues as before after the readiness check starts to fail.
	Announce config.Duration `json:"announce" validate:"min=0"`
	Limit    config.Duration `json:"limit" validate:"min=1000000000"`
}

// wholeSecond is the unit in which the store takes lease terms.
const wholeSecond = time.Second

// Check returns an error for settings that contradict each other.
func (s *Settings) Check() error {
	refuse := func(field, format string, args ...any) error {
		return result.New(result.ConfigContradiction, result.RanNo, format, args...).AtField(field)
	}
	term, heartbeat := s.Holding.Term.Std(), s.Holding.Heartbeat.Std()
	switch {
	case term%wholeSecond != 0:
		return refuse("holding.term", "%v is not a whole number of seconds", term)
	case heartbeat*3 > term:
		return refuse("holding.heartbeat", "%v is over a third of the term %v", heartbeat, term)
	case s.Listen.Peer == s.Listen.Admin:
		return refuse("listen.admin", "the same address as listen.peer")
	}
	return nil
}

// defaultCell is the cell name if the settings file has none.
const defaultCell = "default"

func defaults() Settings {
	h := hold.DefaultConfig()
	limits := budget.DefaultLimits()
	return Settings{
		Cell: defaultCell, LogLevel: "info",
		Store:    Store{ReadsPerSecond: limits.ReadsPerSecond, WritesPerSecond: limits.WritesPerSecond},
		HostList: Hosts{Interval: config.Duration(time.Second)},
		Holding: Hold{
			Partitions: partition.DefaultCount,
			Term:       config.Duration(h.Term), Heartbeat: config.Duration(h.Heartbeat),
			OutageLimit: config.Duration(h.OutageLimit), TaskLease: config.Duration(15 * time.Second),
		},
		Stop: Stop{Announce: config.Duration(500 * time.Millisecond), Limit: config.Duration(20 * time.Second)},
	}
}

// holdConfig returns the hold manager's configuration with the durations of the settings file.
func (s Settings) holdConfig() hold.Config {
	c := hold.DefaultConfig()
	c.Term = s.Holding.Term.Std()
	c.Renew = c.Term / 4
	c.Suspect = c.Term / 2
	c.Heartbeat = s.Holding.Heartbeat.Std()
	c.OutageLimit = s.Holding.OutageLimit.Std()
	c.Partitions = s.Holding.Partitions
	c.Seeds = s.Holding.Seeds
	return c
}
