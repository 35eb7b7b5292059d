// Command rig-2 runs the scripts of the second review: a small deployment of pulley-node processes on loopback, with
// stand-ins for the platform's store, its machines and the executors, and one disruption.
//
// It is started from the repository's root: rig-2 CASE FOLDER. It exits with 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxTime ends a case that hangs.
const maxTime = 115 * time.Second

// play is one case: its deployment, and what happens there.
type play struct {
	site func() site
	run  func(*rig) error
}

var cases = map[string]play{
	"stale-order": {lsbmaQuay, staleOrder},
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(p play, folder string) int {
	r, err := newRig(p.site(), filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	done := make(chan error, 1)
	go func() {
		if err := r.start(); err != nil {
			done <- err
			return
		}
		done <- p.run(r)
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case err = <-done:
	case <-time.After(maxTime):
		err = fmt.Errorf("not over after %v", maxTime)
	case s := <-signals:
		err = fmt.Errorf("ended by %v", s)
	}
	broken, failures := r.outcome()
	for _, f := range failures {
		r.note("the stand-in failed: %s", f)
	}
	switch {
	case len(broken) > 0:
		for _, b := range broken {
			r.note("BROKEN %s", b)
		}
		fmt.Println("broken:", broken[0])
		return 1
	case err != nil || len(failures) > 0:
		r.note("could not run: %v %v", err, failures)
		fmt.Println("could not run:", err, failures)
		return 2
	}
	r.note("the rule held")
	fmt.Println("held")
	return 0
}
