// Command rig runs the scripted cases of the review. Each case starts pulley-node processes with the
// command of the deploy file, against a simulated platform in this process, and checks one rule.
//
//	rig CASE DIR    runs a case and writes DIR/record.txt
//
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment the case does the same without the disruption.
package main

import (
	"fmt"
	"os"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripted cases by name.
var cases = map[string]func(*run) error{
	"cancel": cancelInDoubt,
	"ends":   manyEnds,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE DIR")
		os.Exit(exitNotRun)
	}
	os.Exit(execute(cases[os.Args[1]], os.Args[2]))
}

// execute runs one case and returns the exit status.
func execute(do func(*run) error, dir string) int {
	r, err := newRun(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "can not run:", err)
		return exitNotRun
	}
	defer r.close()
	if err := do(r); err != nil {
		r.record("the case could not run: %v", err)
		return exitNotRun
	}
	if broken := r.breaches(); len(broken) > 0 {
		r.record("RULE BROKEN, %d times", len(broken))
		return exitBroken
	}
	r.record("the rule held")
	return exitHeld
}
