// Package soak runs the real programs as separate processes and injects faults
// from outside, in series that overlap, while callers submit jobs and simulated
// hosts check the invariants. See docs/SOAK.md.
//
//	go test ./test/soak                                    a short run, as CI does
//	go test ./test/soak -soak.seeds 50 -timeout 2h         seeds 1 to 50
//	go test ./test/soak -soak.seed 1234 -soak.seeds 1      seed 1234 alone
package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"pulleyquay/platform/fake"
	"pulleyquay/test/e2e/harness"
)

var (
	seeds     = flag.Int("soak.seeds", 1, "number of seeds to run")
	firstSeed = flag.Uint64("soak.seed", 1, "first seed; 0 draws one from the time")
	lasts     = flag.Duration("soak.for", 12*time.Second, "how long faults are injected")
	nodes     = flag.Int("soak.nodes", 5, "processes of the system")
	hosts     = flag.Int("soak.hosts", 12, "simulated hosts")
	perSecond = flag.Int("soak.jobs", 20, "jobs submitted a second")
	series    = flag.Int("soak.series", 2, "series of faults that overlap")
	bin       = flag.String("soak.bin", "", "directory of the system's programs; empty builds them")
	reports   = flag.String("soak.reports", "", "directory for a report on each seed, with all logs")
)

var binaries harness.Binaries

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak")
	binaries = harness.Binaries(*bin)
	if err == nil && *bin == "" {
		binaries, err = harness.Build(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir) // in the system's directory for temporary files
	os.Exit(code)
}

// failedSeeds are the seeds that have failed once and run each time; docs/SOAK.md has
// a line on each.
var failedSeeds = []uint64{}

func TestSoak(t *testing.T) {
	if *firstSeed == 0 {
		*firstSeed = uint64(time.Now().UnixNano())
	}
	run := append([]uint64(nil), failedSeeds...)
	for i := range *seeds {
		run = append(run, *firstSeed+uint64(i))
	}
	for _, seed := range run {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soak(t, seed) })
	}
}

// soak runs one seed.
func soak(t *testing.T, seed uint64) {
	conds := conditionsOf(seed)
	t.Log(conds)
	c := startCell(t, binaries, *nodes, *hosts, conds)
	l := newLoad(c, seed)
	harness.Eventually(t, recoveryLimit, "the first job is accepted", func() error {
		w := l.draw(1 << 20)
		if !l.submit(w) {
			return fmt.Errorf("job %s not accepted", w.id)
		}
		l.jobs = append(l.jobs, w)
		return nil
	})
	begun := time.Now()
	deadline := begun.Add(*lasts)
	ctx, cancel := context.WithDeadline(t.Context(), deadline)
	defer cancel()
	var allSeries []*faultSeries
	var injecting sync.WaitGroup
	startSeries := func(injectFaults func(s *faultSeries, begun, deadline time.Time)) {
		s := &faultSeries{c: c, l: l}
		allSeries = append(allSeries, s)
		injecting.Go(func() { injectFaults(s, begun, deadline) })
	}
	for range *series {
		startSeries((*faultSeries).injectFaults)
	}
	if conds.hostsTogether {
		startSeries((*faultSeries).failTogether)
	}
	l.run(ctx, *perSecond)
	injecting.Wait()
	c.platform.SetCallFaults(fake.CallFaults{})
	l.callers.Wait()
	l.finish(recoveryLimit + 30*time.Second)
	l.checkRefused()
	report(t, l, seed, allSeries)
}
