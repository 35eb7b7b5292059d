// Command pulley-placer holds partitions: it places tasks on workers, dispatches
// requests to executors and manages the jobs of the teams in its partitions.
package main

import (
	"context"

	"pulleyquay/internal/daemon"
	"pulleyquay/internal/httplimit"
)

func main() {
	daemon.Main("pulley-placer", "Holds partitions of the cell and decides for them.", defaults(), run)
}

func run(s Settings) error {
	d, err := daemon.New("pulley-placer", s.LogLevel)
	if err != nil {
		return err
	}
	d.LimitClients(httplimit.For(httplimit.Machine{Memory: s.MemoryMiB << 20, Descriptors: s.Descriptors}, s.Clients))
	if s.Profiling {
		d.EnableProfiles()
	}
	p, err := newPlacer(s, d)
	if err != nil {
		return err
	}
	if err := p.start(context.Background()); err != nil {
		return err
	}
	return d.Wait(daemon.StopPhases{Announce: s.Stop.Announce.Std(), Limit: s.Stop.Limit.Std(), Drain: p.stop})
}
