package soak

import (
	"fmt"
	"time"

	"pulleyquay/platform/fake"
)

// conditions are the faults that last for the whole run of a seed; the series of faults
// come on top of these.
type conditions struct {
	seed          uint64
	name          string // of the call faults
	callFaults    fake.CallFaults
	keepsID       bool // hosts that crash restart under their ids
	hostsTogether bool // several hosts fail at once every few seconds
}

// String describes the conditions for the report.
func (c conditions) String() string {
	return fmt.Sprintf("calls to hosts: %s; hosts keep their ids: %t; several hosts fail at once: %t", c.name, c.keepsID, c.hostsTogether)
}

// The delay of calls to hosts, up to twice the lease limit.
const (
	minCallDelay = 2 * time.Second
	maxCallDelay = 12 * time.Second
)

// callFaultKinds are the faults of calls to hosts that a seed may have.
var callFaultKinds = []struct {
	name       string
	callFaults fake.CallFaults
}{
	{"none", fake.CallFaults{}},
	{"requests and answers lost, calls delayed", fake.CallFaults{
		LoseRequests: 0.06, LoseAnswers: 0.1, DelayRequests: 0.06, MinDelay: minCallDelay, MaxDelay: maxCallDelay,
	}},
	{"requests lost", fake.CallFaults{LoseRequests: 0.2}},
	{"answers lost", fake.CallFaults{LoseAnswers: 0.3}},
	{"orders delayed", fake.CallFaults{DelayRequests: 0.25, MinDelay: minCallDelay, MaxDelay: maxCallDelay, OrdersOnly: true}},
}

// conditionsOf returns the conditions of a seed; successive seeds differ in them.
func conditionsOf(seed uint64) conditions {
	kind := callFaultKinds[seed%uint64(len(callFaultKinds))]
	return conditions{seed: seed, name: kind.name, callFaults: kind.callFaults, keepsID: seed%2 == 1, hostsTogether: seed%3 != 0}
}
