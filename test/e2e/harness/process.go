// Package harness runs the real binaries on loopback for the failure tests. It
// ends only processes that it started, by their ids.
package harness

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Binaries is the directory of the built binaries.
type Binaries string

// Build builds all binaries into a new directory under dir.
func Build(dir string) (Binaries, error) {
	out := filepath.Join(dir, "bin") + string(filepath.Separator)
	cmd := exec.Command("go", "build", "-o", out, "pulleyquay/cmd/...")
	if text, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build: %w: %s", err, text)
	}
	return Binaries(out), nil
}

// Process is one running binary.
type Process struct {
	Name string
	t    *testing.T
	cmd  *exec.Cmd
	log  *syncBuffer
	done chan struct{}
	err  error
}

// logTail is how many bytes of a process's log a failed test shows.
const logTail = 4000

// Run starts a binary with the settings as its --config file. It ends with the
// test at the latest; its log is shown when the test failed.
func (b Binaries) Run(t *testing.T, binary, name string, settings any) *Process {
	t.Helper()
	path := filepath.Join(t.TempDir(), name+".json")
	data, err := json.MarshalIndent(settings, "", "  ")
	if err == nil {
		err = os.WriteFile(path, data, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	p := &Process{Name: name, t: t, log: &syncBuffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(string(b), binary), "--config", path)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(p.cleanup)
	return p
}

func (p *Process) cleanup() {
	p.Kill()
	if p.t.Failed() {
		text := p.log.Bytes()
		p.t.Logf("log of %s, its end:\n%s", p.Name, text[max(0, len(text)-logTail):])
	}
}

// Alive reports whether the process has not ended.
func (p *Process) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill ends the process without warning and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Pause stops the process in its tracks until Resume.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate asks for a planned stop and does not wait.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Wait waits for the end of the process and returns its exit status.
func (p *Process) Wait(limit time.Duration) int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(limit):
		p.t.Fatalf("%s has not ended within %s", p.Name, limit)
	}
	var exit *exec.ExitError
	if errors.As(p.err, &exit) {
		return exit.ExitCode()
	}
	return 0
}

// Log returns what the process has logged so far.
func (p *Process) Log() string { return string(p.log.Bytes()) }

func (p *Process) signal(s os.Signal) {
	if p.Alive() {
		_ = p.cmd.Process.Signal(s) // it may have ended meanwhile
	}
}

// syncBuffer is a buffer that a process writes while a test reads.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write is io.Writer's.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Bytes returns a copy of what was written.
func (b *syncBuffer) Bytes() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Clone(b.buf.Bytes())
}
