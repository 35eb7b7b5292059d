// Package httplimit bounds what the clients of a process's HTTP listeners can make it hold: the memory of requests
// that arrive, the connections, and the time that each stays in one phase. Clients that stop in the middle of a
// request, send without end or read nothing then cost a bounded part of the process's memory and descriptors, and
// don't keep ordinary clients out.
package httplimit

import (
	"math"
	"runtime/debug"
	"syscall"
	"time"

	"pulleyquay/internal/config"
)

// Limits are the limits for the clients of one process.
type Limits struct {
	// RequestBytes bounds the bytes of all requests that are being read or handled, apart from the first FreeBytes
	// of each head and each body.
	RequestBytes int64
	// Connections bounds the open connections of all listeners together; see Share.
	Connections int
	// HeadBytes bounds the head of a request.
	HeadBytes int
	// HeadTimeout bounds the time for the head of a request, BodyTimeout that for its body, and IdleTimeout the time
	// between two requests on a connection. WriteTimeout bounds the time for which a client reads nothing of a reply.
	HeadTimeout, BodyTimeout, IdleTimeout, WriteTimeout time.Duration
}

// FreeBytes is the size up to which a head, and a body, isn't counted against Limits.RequestBytes. Ordinary requests
// are smaller, so that they are read also while other requests use up the limit.
const FreeBytes = 8 << 10

// Settings override single limits. A zero value stands for the default, which follows from the machine.
type Settings struct {
	RequestBytes int64           `json:"request_bytes" validate:"min=0"`
	Connections  int             `json:"connections" validate:"min=0"`
	HeadBytes    int             `json:"head_bytes" validate:"min=0,max=1048576"`
	HeadTimeout  config.Duration `json:"head_timeout" validate:"min=0"`
	BodyTimeout  config.Duration `json:"body_timeout" validate:"min=0"`
	IdleTimeout  config.Duration `json:"idle_timeout" validate:"min=0"`
	WriteTimeout config.Duration `json:"write_timeout" validate:"min=0"`
}

// Machine is what a process may use. A zero value means that no limit is known.
type Machine struct {
	Memory      int64 // bytes
	Descriptors int
}

const (
	// requestShare and connectionShare are the divisors that give the parts of the memory for requests and for
	// connections. A request takes up to three times its size while its buffer grows.
	requestShare    = 16
	connectionShare = 5
	// connectionBytes is the memory of a connection with its goroutine, its buffers, and a head and a body of
	// FreeBytes.
	connectionBytes = 32 << 10
	// descriptorShare is the divisor that gives the part of the descriptors for clients; the others are for hosts,
	// the store and links with peers.
	descriptorShare = 2
	// fileDescriptors of a process are for files, not for connections.
	fileDescriptors = 200
	// minConnections is the number of connections that a process accepts in any case.
	minConnections = 64
	// unknownMemory and unknownDescriptors stand for what is not known of a machine.
	unknownMemory      = 1 << 30
	unknownDescriptors = 4096
)

// The limits that don't depend on the machine.
const (
	defaultHeadBytes    = 64 << 10
	defaultHeadTimeout  = 5 * time.Second
	defaultBodyTimeout  = 10 * time.Second
	defaultIdleTimeout  = 2 * time.Minute
	defaultWriteTimeout = 10 * time.Second
)

// For returns the limits on a machine, with the overrides of the settings.
func For(m Machine, s Settings) Limits {
	m = m.orSystem()
	return Limits{
		RequestBytes: or(s.RequestBytes, m.Memory/requestShare),
		Connections:  or(s.Connections, m.connections()),
		HeadBytes:    or(s.HeadBytes, defaultHeadBytes),
		HeadTimeout:  or(s.HeadTimeout.Std(), defaultHeadTimeout),
		BodyTimeout:  or(s.BodyTimeout.Std(), defaultBodyTimeout),
		IdleTimeout:  or(s.IdleTimeout.Std(), defaultIdleTimeout),
		WriteTimeout: or(s.WriteTimeout.Std(), defaultWriteTimeout),
	}
}

func or[T int | int64 | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// connections returns how many connections of clients the machine bears.
func (m Machine) connections() int {
	byMemory := int(m.Memory / connectionShare / connectionBytes)
	byDescriptors := (m.Descriptors - fileDescriptors) / descriptorShare
	return max(min(byMemory, byDescriptors), minConnections)
}

// orSystem replaces what is not known by the limits that the process was started with.
func (m Machine) orSystem() Machine {
	if m.Memory <= 0 {
		m.Memory = memoryLimit()
	}
	if m.Descriptors <= 0 {
		m.Descriptors = descriptorLimit()
	}
	return m
}

// memoryLimit returns the memory limit of the runtime (GOMEMLIMIT).
func memoryLimit() int64 {
	const read = -1
	if limit := debug.SetMemoryLimit(read); limit < math.MaxInt64 {
		return limit
	}
	return unknownMemory
}

// descriptorLimit returns the limit of the process on open descriptors.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return unknownDescriptors
	}
	return int(limit.Cur)
}

// Share is the part of the connections that one listener may have open.
type Share struct{ numerator, denominator int }

// The shares of the listeners of a process.
var (
	CallerShare = Share{3, 8}
	// PeerShare is for peers that connect at the same time. Once its handshake is done, a link isn't counted.
	PeerShare = Share{1, 2}
	// SmallShare is that of a listener for operators or for the checks of a load balancer.
	SmallShare = Share{1, 16}
)

// Of returns the share of a number of connections, at least one.
func (s Share) Of(connections int) int { return max(connections*s.numerator/s.denominator, 1) }
