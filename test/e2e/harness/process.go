// Package harness runs the real binaries on loopback for the failure tests. It
// signals only processes that it started, by process id.
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

// maxLogTail is how many bytes of the end of a process's log a failed test shows.
const maxLogTail = 4000

// Run starts a binary with the settings as its --config file. The process is killed
// at the end of the test; its log is shown if the test has failed.
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
		p.t.Logf("end of the log of %s:\n%s", p.Name, text[max(0, len(text)-maxLogTail):])
	}
}

// Alive reports whether the process is still running.
func (p *Process) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Pause suspends the process with SIGSTOP until Resume.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate requests a planned stop with SIGTERM and does not wait.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Wait waits until the process has ended and returns its exit status.
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
		_ = p.cmd.Process.Signal(s) // the process may have ended meanwhile
	}
}

// syncBuffer is a buffer for concurrent writes by a process and reads by a test.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Bytes returns a copy of the data written so far.
func (b *syncBuffer) Bytes() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Clone(b.buf.Bytes())
}
