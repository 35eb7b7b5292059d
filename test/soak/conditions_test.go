package soak

import (
	"fmt"
	"time"

	"pulleyquay/platform/fake"
)

// conditions are what a seed's cell lives under all the time; faults come on top.
type conditions struct {
	seed     uint64
	name     string // of what happens to calls to hosts
	calls    fake.CallFaults
	keepsID  bool // hosts that crash start again under their ids
	together bool // several hosts at once go every few seconds
}

// String tells them, for the report.
func (c conditions) String() string {
	return fmt.Sprintf("calls to hosts: %s; hosts keep their ids: %t; several hosts go at once: %t", c.name, c.keepsID, c.together)
}

// How late calls to hosts are carried out: up to twice as late as leases last.
const (
	lateLeast = 2 * time.Second
	lateMost  = 12 * time.Second
)

// callKinds are what may happen to calls to hosts for a whole seed.
var callKinds = []struct {
	name  string
	calls fake.CallFaults
}{
	{"pass", fake.CallFaults{}},
	{"requests and answers lost, late", fake.CallFaults{
		LoseRequests: 0.06, LoseAnswers: 0.1, Late: 0.06, LateLeast: lateLeast, LateMost: lateMost,
	}},
	{"requests lost", fake.CallFaults{LoseRequests: 0.2}},
	{"answers lost", fake.CallFaults{LoseAnswers: 0.3}},
	{"orders late", fake.CallFaults{Late: 0.25, LateLeast: lateLeast, LateMost: lateMost, SpareLooks: true}},
}

// conditionsOf gives the conditions of a seed; those that follow have others each.
func conditionsOf(seed uint64) conditions {
	kind := callKinds[seed%uint64(len(callKinds))]
	return conditions{seed: seed, name: kind.name, calls: kind.calls, keepsID: seed%2 == 1, together: seed%3 != 0}
}
