// Command pulley-node is the only process on an entry host of the users' platform.
// It answers callers and is a candidate for holding partitions.
package main

import (
	"context"
	"os"

	"pulleyquay/internal/daemon"
	"pulleyquay/platform"
)

func main() {
	daemon.MainWithPath("pulley-node", "Answers callers and holds partitions of the cell.", platform.SettingsPath(), defaults(), run)
}

func run(path string, s Settings) error {
	d, err := daemon.New("pulley-node", s.LogLevel)
	if err != nil {
		return err
	}
	if s.Profiling {
		d.EnableProfiles()
	}
	d.SetPriorityFunc(linePriority)
	d.LogInBackground(os.Stdout)
	n := newNode(s, d)
	if err := n.start(context.Background()); err != nil {
		return err
	}
	go (&reloader{path: path, log: n.log, current: s}).run(context.Background())
	return d.Wait(daemon.StopPhases{Limit: s.Bounds.StopLimit.Std(), Drain: n.stop})
}
