package main

import (
	"time"

	"pulleyquay/internal/config"
	"pulleyquay/internal/engine"
	"pulleyquay/internal/httplimit"
	"pulleyquay/internal/result"
)

// Settings is the content of the process's settings file.
type Settings struct {
	// Name is the member's name, the same after a restart on the same host.
	Name string `json:"name" validate:"required"`
	// Zone is the host's availability zone.
	Zone     string `json:"zone" validate:"required"`
	LogLevel string `json:"log_level" validate:"oneof=debug info warn error"`
	// Profiling is true if the administration listener serves profiles of the process.
	Profiling bool   `json:"profiling"`
	Listen    Listen `json:"listen"`
	Store     Server `json:"store"`
	// Policy is the service that decides which hosts may run a step; an empty
	// address means that there is no such service.
	Policy OptionalServer `json:"policy"`
	// Machines is the service that takes machines down for maintenance; an empty
	// address means that there is no such service.
	Machines OptionalServer `json:"machines"`
	// Processors is the processor time available to the process, in cores.
	Processors float64 `json:"processors" validate:"gt=0"`
	// LinkMbps is the capacity of the host's network link in megabits a second; zero
	// means that the link is no bottleneck.
	LinkMbps float64 `json:"link_mbps" validate:"min=0"`
	// MemoryMiB is the memory that the process may use; zero means no limit.
	MemoryMiB int64 `json:"memory_mib" validate:"min=0"`
	// Descriptors is how many files and connections the process may have open; zero
	// means no limit.
	Descriptors int `json:"descriptors" validate:"min=0"`
	// Clients overrides the limits for clients that follow from MemoryMiB and Descriptors.
	Clients httplimit.Settings `json:"clients"`
	Bounds  Bounds             `json:"bounds"`
}

// Listen holds the addresses to listen on, host:port.
type Listen struct {
	Callers string `json:"callers" validate:"required,hostname_port"`
	// Ready is where the load balancer checks the readiness of the process.
	Ready string `json:"ready" validate:"required,hostname_port"`
	Peer  string `json:"peer" validate:"required,hostname_port"`
	// Advertise is the address at which peers reach the peer listener, if it differs
	// from Peer.
	Advertise string `json:"advertise" validate:"omitempty,hostname_port"`
	Admin     string `json:"admin" validate:"required,hostname_port"`
}

// Server is the address of a platform service.
type Server struct {
	Address string `json:"address" validate:"required,hostname_port"`
}

// OptionalServer is the address of a platform service that not every deployment has.
type OptionalServer struct {
	Address string `json:"address" validate:"omitempty,hostname_port"`
}

// Bounds are the platform's time limits and factors; see engine.Bounds.
type Bounds struct {
	LeaseLimit      config.Duration `json:"lease_limit" validate:"min=1000000000"`
	StopTakes       config.Duration `json:"stop_takes" validate:"min=0"`
	GangWait        config.Duration `json:"gang_wait" validate:"min=100000000"`
	RememberEnded   config.Duration `json:"remember_ended" validate:"min=0"`
	FarFactor       float64         `json:"far_factor" validate:"min=1"`
	RestoreTakes    config.Duration `json:"restore_takes" validate:"min=0"`
	CheckpointEvery config.Duration `json:"checkpoint_every" validate:"min=0"`
	// Contact is how long a process counts as out of contact after a disturbance, and Heartbeat
	// is the time between two writes of a host's entry. When the capacity of a host is reduced,
	// starts may still be based on its previous capacity for the sum of the two durations. If
	// the sum is zero, the reported sizes of hosts never expire.
	Contact   config.Duration `json:"contact" validate:"min=0"`
	Heartbeat config.Duration `json:"heartbeat" validate:"min=0"`
	// DutyLease is how long after one process's order to a machine no other process may
	// send one.
	DutyLease config.Duration `json:"duty_lease" validate:"min=0"`
	// StopLimit is the time limit of a planned stop.
	StopLimit config.Duration `json:"stop_limit" validate:"min=1000000000"`
}

func (b Bounds) engine() engine.Bounds {
	return engine.Bounds{
		MaxLease: b.LeaseLimit.Std(), MaxStopTime: b.StopTakes.Std(), GangTimeout: b.GangWait.Std(),
		EndedJobTTL: b.RememberEnded.Std() + rememberMargin, RemoteDataFactor: b.FarFactor,
		RestoreTime: b.RestoreTakes.Std(), CheckpointInterval: b.CheckpointEvery.Std(), CapacityLag: b.Contact.Std() + b.Heartbeat.Std(),
	}
}

// rememberMargin is added to the retention time of ended jobs, for callers that retry
// their first submission.
const rememberMargin = 30 * time.Second

// Check returns an error for settings that contradict each other.
func (s *Settings) Check() error {
	seen := map[string]bool{}
	for _, addr := range []string{s.Listen.Callers, s.Listen.Ready, s.Listen.Peer, s.Listen.Admin} {
		if seen[addr] {
			return result.New(result.ConfigContradiction, result.RanNo, "two listeners at %s", addr).AtField("listen")
		}
		seen[addr] = true
	}
	if tuning := engine.DefaultTuning(); s.Bounds.LeaseLimit.Std() < 3*tuning.PollWait {
		return result.New(result.ConfigContradiction, result.RanNo, "%v is under three times the time between looks, %v", s.Bounds.LeaseLimit.Std(), tuning.PollWait).AtField("bounds.lease_limit")
	}
	return nil
}

// peerAddr returns the address at which peers reach this process.
func (l Listen) peerAddr() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Peer
}

func defaults() Settings { return Settings{LogLevel: "info"} }
