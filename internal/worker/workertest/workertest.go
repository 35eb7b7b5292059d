// Package workertest has the contract tests of worker.Client and of the worker that it
// calls.
package workertest

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker"
)

// Target is a worker that has just started and has at least 4000 milli-CPUs, and the
// client under test.
type Target struct {
	Client worker.Client
	Addr   string
	// Restart restarts the worker.
	Restart func()
	// LoseReply drops the next reply after its call has taken effect.
	LoseReply func()
	// UnreachableAddr is an address without a listener.
	UnreachableAddr string
}

const (
	longLease  = 60_000 // milliseconds
	shortLease = 30
	waitLimit  = 5 * time.Second
	pollEvery  = 5 * time.Millisecond
)

// Run checks the contract. newTarget is called once for each case.
func Run(t *testing.T, newTarget func(t *testing.T) Target) {
	cases := []struct {
		name string
		run  func(*is.I, Target)
	}{
		{"a claim returns the inventory", claimGivesInventory},
		{"lower epochs are fenced", lowerEpochsAreFenced},
		{"an expired order is refused whole", expiredOrderIsRefused},
		{"an order needs a claim", orderNeedsClaim},
		{"an order for another incarnation is refused whole", orderForOtherIncarnation},
		{"an ended run is kept until acknowledged", endedRunIsKept},
		{"an expired lease stops the run", expiredLeaseStops},
		{"stops by mode", stopsByMode},
		{"a call with a lost reply keeps its effect", lostReplyKeepsEffect},
		{"unreachable address", unreachableAddress},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(is.New(t), newTarget(t)) })
	}
}

func (x Target) claim(epoch uint64) (worker.ClaimReply, error) {
	return x.Client.Claim(context.Background(), x.Addr, worker.ClaimRequest{Partition: 3, Epoch: epoch, Holder: "h"})
}

func (x Target) order(o worker.Order) (worker.OrderReply, error) {
	o.Partition = 3
	return x.Client.Order(context.Background(), x.Addr, o)
}

func start(index int, runMillis int64) worker.Start {
	return worker.Start{
		Task: spec.TaskID{Job: "job", Index: index}, Attempt: 1, Home: 7, Kind: spec.KindBatch,
		Size: spec.Resources{MilliCPU: 1000, MemoryMiB: 100}, RunMillis: runMillis,
	}
}

func attempt(index int) worker.Attempt {
	return worker.Attempt{Task: spec.TaskID{Job: "job", Index: index}, Attempt: 1}
}

// waitEnded waits until the number of ended runs is n and returns them.
func (x Target) waitEnded(is *is.I, epoch uint64, n int) []worker.Run {
	for deadline := time.Now().Add(waitLimit); ; time.Sleep(pollEvery) {
		c, err := x.claim(epoch)
		is.NoErr(err)
		var ended []worker.Run
		for _, r := range c.Runs {
			if r.State != worker.StateRunning {
				ended = append(ended, r)
			}
		}
		if len(ended) == n {
			return ended
		}
		if time.Now().After(deadline) {
			is.Fail() // runs did not end in time
			return nil
		}
	}
}

func claimGivesInventory(is *is.I, x Target) {
	c, err := x.claim(1)
	is.NoErr(err)
	is.True(c.Info.Name != "")
	is.Equal(len(c.Runs), 0)
	r, err := x.order(worker.Order{Epoch: 1, Expires: c.Now + longLease, RenewMillis: longLease,
		Starts: []worker.Start{start(0, 0), start(1, 0)}})
	is.NoErr(err)
	is.Equal(r.Results, []worker.StartResult{{Started: true}, {Started: true}})
	is.Equal(r.Running, 2)
	is.Equal(r.Usage.MilliCPU, int64(2000))
	c, err = x.claim(2)
	is.NoErr(err)
	is.Equal(len(c.Runs), 2)
	is.Equal(c.Runs[1].Task.Index, 1)
	is.Equal(c.Runs[1].Home, 7)
	is.Equal(c.Runs[1].State, worker.StateRunning)
	is.True(c.Runs[1].LeaseUntil > c.Now)
}

func lowerEpochsAreFenced(is *is.I, x Target) {
	c, err := x.claim(5)
	is.NoErr(err)
	_, err = x.claim(4)
	is.True(errors.Is(err, worker.ErrFenced))
	_, err = x.order(worker.Order{Epoch: 4, Expires: c.Now + longLease, Starts: []worker.Start{start(0, 0)}})
	is.True(errors.Is(err, worker.ErrFenced))
	c, err = x.claim(5)
	is.NoErr(err)
	is.Equal(len(c.Runs), 0)
}

func expiredOrderIsRefused(is *is.I, x Target) {
	c, err := x.claim(1)
	is.NoErr(err)
	_, err = x.order(worker.Order{Epoch: 1, Expires: c.Now - 1, Starts: []worker.Start{start(0, 0)}})
	is.True(errors.Is(err, worker.ErrExpired))
	c, err = x.claim(1)
	is.NoErr(err)
	is.Equal(len(c.Runs), 0)
}

func orderNeedsClaim(is *is.I, x Target) {
	o := worker.Order{Epoch: 1, Expires: 1 << 50, Starts: []worker.Start{start(0, 0)}}
	_, err := x.order(o)
	is.True(errors.Is(err, worker.ErrNotClaimed))
	_, err = x.claim(1)
	is.NoErr(err)
	_, err = x.order(o)
	is.NoErr(err)
	x.Restart()
	_, err = x.order(o)
	is.True(errors.Is(err, worker.ErrNotClaimed)) // a restart discards the claim
	c, err := x.claim(1)
	is.NoErr(err)
	is.Equal(len(c.Runs), 0)
}

func orderForOtherIncarnation(is *is.I, x Target) {
	before, err := x.claim(1)
	is.NoErr(err)
	is.True(before.Incarnation != 0)
	o := worker.Order{Epoch: 1, Incarnation: before.Incarnation, Expires: 1 << 50, Starts: []worker.Start{start(0, 0)}}
	x.Restart()
	_, err = x.order(o)
	is.True(errors.Is(err, worker.ErrNotClaimed))
	c, err := x.claim(1)
	is.NoErr(err)
	is.True(c.Incarnation != before.Incarnation)
	_, err = x.order(o)
	is.True(errors.Is(err, worker.ErrNotClaimed)) // even though it is claimed under the same epoch
	c, err = x.claim(1)
	is.NoErr(err)
	is.Equal(len(c.Runs), 0)
	o.Incarnation = c.Incarnation
	r, err := x.order(o)
	is.NoErr(err)
	is.Equal(r.Running, 1)
}

func endedRunIsKept(is *is.I, x Target) {
	c, err := x.claim(1)
	is.NoErr(err)
	o := worker.Order{Epoch: 1, Expires: c.Now + longLease, RenewMillis: longLease, Starts: []worker.Start{start(0, 10)}}
	_, err = x.order(o)
	is.NoErr(err)
	ended := x.waitEnded(is, 1, 1)
	is.Equal(ended[0].State, worker.StateFinished)
	r, err := x.order(worker.Order{Epoch: 1, Expires: c.Now + longLease})
	is.NoErr(err)
	is.Equal(len(r.Ended), 1)
	is.Equal(r.Usage.MilliCPU, int64(0))
	r, err = x.order(worker.Order{Epoch: 1, Expires: c.Now + longLease, Acks: []worker.Attempt{attempt(0)}})
	is.NoErr(err)
	is.Equal(len(r.Ended), 0)
}

func expiredLeaseStops(is *is.I, x Target) {
	c, err := x.claim(1)
	is.NoErr(err)
	_, err = x.order(worker.Order{Epoch: 1, Expires: c.Now + longLease, RenewMillis: shortLease,
		Starts: []worker.Start{start(0, 0)}})
	is.NoErr(err)
	ended := x.waitEnded(is, 1, 1)
	is.Equal(ended[0].State, worker.StateStopped)
}

func stopsByMode(is *is.I, x Target) {
	c, err := x.claim(1)
	is.NoErr(err)
	_, err = x.order(worker.Order{Epoch: 1, Expires: c.Now + longLease, RenewMillis: longLease,
		Starts: []worker.Start{start(0, 0), start(1, 0), start(2, 0)}})
	is.NoErr(err)
	r, err := x.order(worker.Order{Epoch: 1, Expires: c.Now + longLease, Stops: []worker.Stop{
		{Attempt: attempt(0), Mode: worker.ModeThrottle},
		{Attempt: attempt(1), Mode: worker.ModeCheckpoint},
		{Attempt: attempt(2), Mode: worker.ModeStop},
	}})
	is.NoErr(err)
	is.Equal(r.Running, 1) // a throttled run continues
	is.Equal(len(r.Ended), 2)
	is.Equal(r.Ended[0].State, worker.StateStopped)
	is.True(r.Usage.MilliCPU < 1000)
}

func lostReplyKeepsEffect(is *is.I, x Target) {
	c, err := x.claim(1)
	is.NoErr(err)
	x.LoseReply()
	_, err = x.order(worker.Order{Epoch: 1, Expires: c.Now + longLease, RenewMillis: longLease,
		Starts: []worker.Start{start(0, 0)}})
	is.True(errors.Is(err, worker.ErrNoReply))
	c, err = x.claim(1)
	is.NoErr(err)
	is.Equal(len(c.Runs), 1)
}

func unreachableAddress(is *is.I, x Target) {
	x.Addr = x.UnreachableAddr
	_, err := x.claim(1)
	is.True(errors.Is(err, worker.ErrUnreachable))
	_, err = x.order(worker.Order{Epoch: 1})
	is.True(errors.Is(err, worker.ErrUnreachable))
}
