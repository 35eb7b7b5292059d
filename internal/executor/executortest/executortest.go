// Package executortest contains the contract test of executor.Client.
package executortest

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/executor"
	"pulleyquay/internal/executor/execsim"
	"pulleyquay/internal/judge"
)

// Target is one simulated executor and the client under test.
type Target struct {
	Client   executor.Client
	Addr     string
	Executor *execsim.Executor
	Checker  *judge.Checker
	// UnreachableAddr is an address without a listener.
	UnreachableAddr string
}

const (
	maxAnswer   = 64
	callTimeout = 50 * time.Millisecond
)

// Run checks the contract; make returns a new target for each case.
func Run(t *testing.T, make func(t *testing.T) Target) {
	post := executor.Request{Method: http.MethodPost, Path: "/tickets?net=4%2F1&x", Body: []byte("anchor 7"),
		Header: http.Header{execsim.KeyHeader: {"k"}}}
	large := post
	large.Body = []byte("0123456789012345678901234567890123456789012345678901234567890123456789")
	cases := []struct {
		name   string
		faults execsim.Faults
		req    executor.Request
		status int  // of the answer; 0: a failure
		sent   bool // for a failure
		runs   int  // executions of the key
	}{
		{"complete answer", execsim.Faults{}, post, 200, true, 1},
		{"no body", execsim.Faults{}, executor.Request{Method: http.MethodGet, Path: "/", Header: post.Header}, 200, true, 1},
		{"failing", execsim.Faults{Fail: true}, post, 500, true, 1},
		{"leaving", execsim.Faults{Leaving: true}, post, 200, true, 1},
		{"slower than the time-out", execsim.Faults{Slow: time.Minute}, post, 0, true, 1},
		{"hanging", execsim.Faults{Hang: true}, post, 0, true, 1},
		{"truncated", execsim.Faults{Truncate: true}, post, 0, true, 1},
		{"answer too large", execsim.Faults{}, large, 0, true, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			x := make(t)
			x.Executor.SetFaults(c.faults)
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			a, err := x.Client.Do(ctx, x.Addr, c.req, maxAnswer)
			is.Equal(len(x.Checker.Executions("k")), c.runs)
			if c.status == 0 {
				is.Equal(sentOf(is, err), c.sent)
				return
			}
			is.NoErr(err)
			is.Equal(a.Status, c.status)
			is.Equal(a.Leaving, c.faults.Leaving)
			is.Equal(a.Header.Get(execsim.PathHeader), c.req.Path) // byte for byte
			if c.status == http.StatusOK {
				is.Equal(string(a.Body), string(c.req.Body))
			}
		})
	}
	t.Run("no listener", func(t *testing.T) {
		is := is.New(t)
		x := make(t)
		_, err := x.Client.Do(context.Background(), x.UnreachableAddr, post, maxAnswer)
		is.True(!sentOf(is, err))
	})
	t.Run("cancelled before sending", func(t *testing.T) {
		is := is.New(t)
		x := make(t)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := x.Client.Do(ctx, x.Addr, post, maxAnswer)
		is.True(!sentOf(is, err))
		is.Equal(len(x.Checker.Executions("k")), 0)
	})
}

func sentOf(is *is.I, err error) bool {
	var f *executor.Failure
	is.True(errors.As(err, &f)) // every error is a *executor.Failure
	return f.Sent
}
