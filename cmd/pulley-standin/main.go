// Command pulley-standin takes the place of the platform in development: the
// store, the host list, workers and executors, with faults by HTTP.
package main

import (
	"pulleyquay/internal/daemon"
	"pulleyquay/internal/standin"
)

func main() {
	daemon.Main("pulley-standin", "The platform's stand-in, for development only", standin.DefaultConfig(), run)
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
	return d.Wait(daemon.Stopper{})
}
