// Command pulley-standin simulates the platform for development: the store, the
// host list, workers and executors. Faults are injected over HTTP.
package main

import (
	"pulleyquay/internal/daemon"
	"pulleyquay/internal/standin"
)

func main() {
	daemon.Main("pulley-standin", "Simulates the platform, for development only.", standin.DefaultConfig(), run)
}

func run(c standin.Config) error {
	d, err := daemon.New("pulley-standin", c.LogLevel)
	if err != nil {
		return err
	}
	s, err := standin.Start(c)
	if err != nil {
		return err
	}
	defer s.Close()
	d.Log.WithField("addr", s.Addr()).Info("started")
	return d.Wait(daemon.StopPhases{})
}
