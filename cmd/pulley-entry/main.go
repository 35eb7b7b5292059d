// Command pulley-entry serves callers and operators over HTTP. Its only state is
// the requests in flight.
package main

import (
	"context"

	"pulleyquay/internal/daemon"
	"pulleyquay/internal/httplimit"
)

func main() {
	daemon.Main("pulley-entry", "Serves callers and operators over HTTP.", defaults(), run)
}

func run(s Settings) error {
	d, err := daemon.New("pulley-entry", s.LogLevel)
	if err != nil {
		return err
	}
	d.LimitClients(httplimit.For(httplimit.Machine{Memory: s.MemoryMiB << 20, Descriptors: s.Descriptors}, s.Clients))
	if s.Profiling {
		d.EnableProfiles()
	}
	e := newProcess(s, d)
	if err := e.start(context.Background()); err != nil {
		return err
	}
	return d.Wait(daemon.StopPhases{
		Announce: s.Stop.Announce.Std(), Callers: e.server, AnnounceLimit: s.Stop.AnnounceLimit.Std(),
		Limit: s.Stop.Limit.Std(), Drain: e.stop,
	})
}
