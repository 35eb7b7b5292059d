// Package standin takes the place of the platform in development and tests: the
// store, the host list, workers and executors, each host on a port of its own,
// with faults that are switched by HTTP and the judge's record of what ran.
package standin

import (
	"net"

	"pulleyquay/internal/config"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

// Config is the settings file of the stand-in.
type Config struct {
	// Listen is the address, host:port, of the store, the host list, the
	// faults and the record. The hosts get free ports on the same IP number.
	Listen   string `json:"listen" validate:"required"`
	LogLevel string `json:"log_level"`
	// HostListLag is by how much the host list lags.
	HostListLag config.Duration `json:"host_list_lag"`
	Groups      []Group         `json:"groups" validate:"required,dive"`
}

// Group is a number of like hosts.
type Group struct {
	Name  string        `json:"name" validate:"required"`
	Role  platform.Role `json:"role" validate:"oneof=worker executor"`
	Count int           `json:"count" validate:"min=1"`
	// Zones are taken in turn, a rack each.
	Zones   []string `json:"zones" validate:"required,min=1"`
	PerRack int      `json:"per_rack" validate:"min=1"`

	// Of workers.
	Size            spec.Resources    `json:"size"`
	AcceleratorKind string            `json:"accelerator_kind"`
	Generation      int               `json:"generation"`
	Labels          map[string]string `json:"labels"`

	// Of executors.
	Service     string `json:"service"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// DefaultConfig returns the settings that a file need not give.
func DefaultConfig() Config { return Config{LogLevel: "info"} }

// Check refuses contradictions, with the field's path.
func (c Config) Check() error {
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return result.New(result.ConfigValue, result.RanNo, "%v", err).At("listen")
	}
	names := map[string]bool{}
	for _, g := range c.Groups {
		if names[g.Name] {
			return result.New(result.ConfigContradiction, result.RanNo, "two groups are named %q", g.Name).At("groups.name")
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
		return result.New(result.ConfigContradiction, result.RanNo, "group %q: workers have no service, slots or connections", g.Name).At("groups.service")
	case g.Role == platform.RoleWorker && (g.Size.MilliCPU <= 0 || g.Size.MemoryMiB <= 0):
		return result.New(result.ConfigContradiction, result.RanNo, "group %q: workers need processors and memory", g.Name).At("groups.size")
	case g.Role == platform.RoleExecutor && (g.Service == "" || g.Slots < 1 || g.Connections < 1):
		return result.New(result.ConfigContradiction, result.RanNo, "group %q: executors need a service, slots and connections", g.Name).At("groups.service")
	case g.Role == platform.RoleExecutor && !g.Size.IsZero():
		return result.New(result.ConfigContradiction, result.RanNo, "group %q: executors have no size", g.Name).At("groups.size")
	}
	return nil
}
