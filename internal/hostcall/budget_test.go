package hostcall

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/host"
)

// TestBudgetFollowsFromProcessors: guards against small processes that repeat calls for many hosts. In
// a trial, copies of orders for 350 hosts in a process of 0.4 cores ended the work of its cell.
func TestBudgetFollowsFromProcessors(t *testing.T) {
	tests := map[string]struct {
		cores          float64
		hosts          int
		repeats        bool // for that many hosts
		callsPerSecond int  // repeated calls, sustained
	}{
		"350 hosts in one process":            {0.8, 350, true, 800},
		"a full link shard of a large cell":   {0.8, 320, true, 800},
		"hosts of two failed shards added":    {0.8, 401, false, 800},
		"a small process":                     {0.192, 96, true, 192},
		"a small process, more hosts":         {0.192, 97, false, 192},
		"the process that destroyed its cell": {0.4, 350, false, 400},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newRepeatBudget(tc.cores)
			now := time.Unix(1_800_000_000, 0)
			for i := range tc.hosts {
				b.active.begin(host.ID(strconv.Itoa(i)))
			}
			is.Equal(b.fewHosts(now), tc.repeats)
			withdrawn := 0
			const seconds = 10
			for ms := range seconds * 1000 {
				at := now.Add(time.Duration(ms) * time.Millisecond)
				for b.tryWithdraw(at, forUnanswered) {
					withdrawn++
				}
			}
			burst := tc.callsPerSecond / 2
			is.True(withdrawn <= tc.callsPerSecond*seconds+burst)
			is.True(withdrawn >= tc.callsPerSecond*(seconds-1))
		})
	}
}

// TestHostsOfOtherShardsDoNotCount: guards against a process that stops repeating calls because of hosts
// that it calls no more. A host that loses a call is given to another link shard; with each counted for
// 10 s more, shards with 117 of 350 hosts counted up to 175.
func TestHostsOfOtherShardsDoNotCount(t *testing.T) {
	is := is.New(t)
	var a activeHosts
	now := time.Unix(1_800_000_000, 0)
	a.begin("kept")
	for i := range 100 {
		id := host.ID(strconv.Itoa(i))
		a.begin(id)
		a.end(id, now)
	}
	is.Equal(a.count(now.Add(activePeriod-1)), 101)
	is.Equal(a.count(now.Add(2*activePeriod)), 1) // a call is in flight
	a.end("kept", now.Add(2*activePeriod))
	is.Equal(a.count(now.Add(2*activePeriod)), 1)
	is.Equal(a.count(now.Add(3*activePeriod)), 0)
}
