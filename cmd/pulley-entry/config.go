package main

import (
	"time"

	"pulleyquay/internal/config"
	"pulleyquay/internal/httplimit"
	"pulleyquay/internal/partition"
	"pulleyquay/internal/result"
)

// Settings is the content of the entry's settings file.
type Settings struct {
	Name string `json:"name" validate:"required"`
	// Cell is the same in all processes of a cell; peers of another cell are refused.
	Cell string `json:"cell" validate:"required"`
	// Zone is the host's availability zone.
	Zone     string `json:"zone" validate:"required"`
	LogLevel string `json:"log_level" validate:"oneof=debug info warn error"`
	// Profiling is true if the administration listener serves profiles of the process.
	Profiling bool   `json:"profiling"`
	Listen    Listen `json:"listen"`
	// Placers are the peer addresses of placers, starting with the placer on the same host.
	Placers []string `json:"placers" validate:"min=1,dive,hostname_port"`
	// Partitions must equal the placers' setting.
	Partitions int  `json:"partitions" validate:"min=1,max=4096"`
	Stop       Stop `json:"stop"`
	// MemoryMiB and Descriptors are what the process may use; zero means the limits that it was started with.
	MemoryMiB   int64 `json:"memory_mib" validate:"min=0"`
	Descriptors int   `json:"descriptors" validate:"min=0"`
	// Clients overrides the limits for clients that follow from them.
	Clients httplimit.Settings `json:"clients"`
}

// Listen holds the addresses to listen on, host:port.
type Listen struct {
	HTTP  string `json:"http" validate:"required,hostname_port"`
	Admin string `json:"admin" validate:"required,hostname_port"`
}

// Stop holds the time limits of a planned stop.
type Stop struct {
	// Announce is how long the listener stays open at the least after the readiness check
	// starts to fail, so that the load balancer can notice.
	Announce config.Duration `json:"announce" validate:"min=0"`
	// AnnounceLimit is how long it stays open at the most while callers still come; no
	// longer than Announce if it is shorter.
	AnnounceLimit config.Duration `json:"announce_limit" validate:"min=0"`
	// Limit is the longest wait for requests in flight.
	Limit config.Duration `json:"limit" validate:"min=1000000000"`
}

// Check returns an error for settings that contradict each other.
func (s *Settings) Check() error {
	if s.Listen.HTTP == s.Listen.Admin {
		return result.New(result.ConfigContradiction, result.RanNo, "the same address as listen.http").AtField("listen.admin")
	}
	return nil
}

// defaultCell is the cell name if the settings file has none.
const defaultCell = "default"

func defaults() Settings {
	return Settings{
		Cell: defaultCell, LogLevel: "info", Partitions: partition.DefaultCount,
		Stop: Stop{
			Announce: config.Duration(time.Second), AnnounceLimit: config.Duration(10 * time.Second),
			Limit: config.Duration(35 * time.Second),
		},
	}
}
