// Package soak runs the real programs as separate processes and lets faults
// strike them from outside, in series that overlap, while callers hand in jobs
// and simulated hosts judge what runs. See docs/SOAK.md.
//
//	go test ./test/soak                                    a short run, as CI does
//	go test ./test/soak -soak.seeds 50 -timeout 2h         fifty fresh seeds
//	go test ./test/soak -soak.seed 1234 -soak.seeds 1      one seed again
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
	lasts     = flag.Duration("soak.for", 12*time.Second, "how long faults strike")
	nodes     = flag.Int("soak.nodes", 5, "processes of the system")
	hosts     = flag.Int("soak.hosts", 12, "simulated hosts")
	perSecond = flag.Int("soak.jobs", 20, "jobs handed in a second")
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
	_ = os.RemoveAll(dir) // a folder of the system's for things to throw away
	os.Exit(code)
}

// failedSeeds have failed once; docs/SOAK.md has a line on each.
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

// soak plays one seed.
func soak(t *testing.T, seed uint64) {
	world := conditionsOf(seed)
	t.Log(world)
	c := startCell(t, binaries, *nodes, *hosts, world)
	l := newLoad(c, seed)
	harness.Eventually(t, settle, "the first job is accepted", func() error {
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
	var storms []*storm
	var blowing sync.WaitGroup
	strike := func(blow func(s *storm, begun, deadline time.Time)) {
		s := &storm{c: c, l: l}
		storms = append(storms, s)
		blowing.Go(func() { blow(s, begun, deadline) })
	}
	for range *series {
		strike((*storm).blow)
	}
	if world.together {
		strike((*storm).goTogether)
	}
	l.run(ctx, *perSecond)
	blowing.Wait()
	c.platform.SetCallFaults(fake.CallFaults{})
	l.left.Wait()
	l.finish(settle + 30*time.Second)
	l.refused()
	report(t, l, seed, storms)
}
