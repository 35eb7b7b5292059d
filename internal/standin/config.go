// Package standin simulates the platform for development and tests: the store, the host
// list, workers and executors. Each host has a port of its own. Faults are set over HTTP,
// and the record of what ran is served over HTTP (see package judge).
package standin

import (
	"net"

	"pulleyquay/internal/config"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

// Config is the content of the stand-in's settings file.
type Config struct {
	// Listen is the address, host:port, of the store, the host list, the faults and the
	// record. The hosts get free ports on the same IP address.
	Listen   string `json:"listen" validate:"required"`
	LogLevel string `json:"log_level"`
	// HostListLag is the delay until a change appears in the host list.
	HostListLag config.Duration `json:"host_list_lag"`
	Groups      []Group         `json:"groups" validate:"required,dive"`
}

// Group is a number of identical hosts.
type Group struct {
	Name  string        `json:"name" validate:"required"`
	Role  platform.Role `json:"role" validate:"oneof=worker executor"`
	Count int           `json:"count" validate:"min=1"`
	// Zones are the availability zones, assigned to the racks in rotation.
	Zones   []string `json:"zones" validate:"required,min=1"`
	PerRack int      `json:"per_rack" validate:"min=1"`

	// The following fields apply to workers only.
	Size            spec.Resources    `json:"size"`
	AcceleratorKind string            `json:"accelerator_kind"`
	Generation      int               `json:"generation"`
	Labels          map[string]string `json:"labels"`

	// The following fields apply to executors only.
	Service     string `json:"service"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// DefaultConfig returns the defaults for settings that the file omits.
func DefaultConfig() Config { return Config{LogLevel: "info"} }

// Check returns an error with the path of the field if settings are contradictory.
func (c Config) Check() error {
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return result.New(result.ConfigValue, result.RanNo, "%v", err).AtField("listen")
	}
	names := map[string]bool{}
	for _, g := range c.Groups {
		if names[g.Name] {
			return result.New(result.ConfigContradiction, result.RanNo, "two groups are named %q", g.Name).AtField("groups.name")
		}
		names[g.Name] = true
		if err := g.check(); err != nil {
			return err
		}
	}
	return nil
}

func (g Group) check() error {
	switch {
	case g.Role == platform.RoleWorker && (g.Service != "" || g.Slots != 0 || g.Connections != 0):
		return result.New(result.ConfigContradiction, result.RanNo, "group %q: workers have no service, slots or connections", g.Name).AtField("groups.service")
	case g.Role == platform.RoleWorker && (g.Size.MilliCPU <= 0 || g.Size.MemoryMiB <= 0):
		return result.New(result.ConfigContradiction, result.RanNo, "group %q: workers need processors and memory", g.Name).AtField("groups.size")
	case g.Role == platform.RoleExecutor && (g.Service == "" || g.Slots < 1 || g.Connections < 1):
		return result.New(result.ConfigContradiction, result.RanNo, "group %q: executors need a service, slots and connections", g.Name).AtField("groups.service")
	case g.Role == platform.RoleExecutor && !g.Size.IsZero():
		return result.New(result.ConfigContradiction, result.RanNo, "group %q: executors have no size", g.Name).AtField("groups.size")
	}
	return nil
}
