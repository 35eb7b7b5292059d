// Package crowd starts the built programs on loopback and connects many clients that don't behave: they stop
// short of the end of a request, send without end, or don't read. No process may end, exceed the memory or the
// descriptors of its machine, or stop answering ordinary callers.
package crowd

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"pulleyquay/test/e2e/harness"
)

// binaries are wrappers of the programs that limit their descriptors.
var binaries harness.Binaries

// The machine of each process: the smallest one that the programs are run on, with fewer descriptors, so that a
// small crowd exceeds them.
const (
	memoryMiB   = 144
	descriptors = 800
	// fileDescriptors of these are not available for connections.
	fileDescriptors = 200
)

// wrapper is a script that runs a program, with the same process id, under a limit on descriptors.
const wrapper = "#!/bin/sh\nulimit -n %d && exec %s \"$@\"\n"

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "pulleyquay-crowd-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	built, err := harness.Build(dir)
	if err == nil {
		err = wrap(string(built), filepath.Join(dir, "limited"))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	binaries = harness.Binaries(filepath.Join(dir, "limited"))
	// The programs without a setting for their memory have the runtime's.
	if err := os.Setenv("GOMEMLIMIT", fmt.Sprintf("%dMiB", memoryMiB)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// wrap writes a wrapper for each program.
func wrap(from, to string) error {
	if _, err := exec.LookPath("sh"); err != nil {
		return err
	}
	if err := os.Mkdir(to, 0o700); err != nil {
		return err
	}
	programs, err := os.ReadDir(from)
	if err != nil {
		return err
	}
	for _, p := range programs {
		script := fmt.Sprintf(wrapper, descriptors, filepath.Join(from, p.Name()))
		if err := os.WriteFile(filepath.Join(to, p.Name()), []byte(script), 0o700); err != nil {
			return err
		}
	}
	return nil
}
