package workersim_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/judge"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker"
	"pulleyquay/internal/worker/workersim"
	"pulleyquay/internal/worker/workertest"
)

var size = spec.Resources{MilliCPU: 4000, MemoryMiB: 4000}

func TestContract(t *testing.T) {
	workertest.Run(t, func(*testing.T) workertest.Target {
		f := workersim.NewFleet(judge.New())
		w := f.Add("a", worker.Info{Name: "w", Size: size})
		return workertest.Target{
			Client: f, Addr: "a", UnreachableAddr: "nowhere", Restart: w.Restart,
			LoseReply: func() { w.SetFaults(workersim.Faults{LoseAnswers: 1}) },
		}
	})
}

// fleet returns two claimed workers "a" and "b", and a function that starts a task of the
// given size with a lease of one second.
func fleet(is *is.I) (*workersim.Fleet, func(addr string, index, attempt int, size spec.Resources)) {
	f := workersim.NewFleet(judge.New())
	for _, addr := range []string{"a", "b"} {
		f.Add(addr, worker.Info{Name: addr, Size: size})
		_, err := f.Claim(context.Background(), addr, worker.ClaimRequest{Epoch: 1})
		is.NoErr(err)
	}
	return f, func(addr string, index, attempt int, size spec.Resources) {
		_, err := f.Order(context.Background(), addr, worker.Order{Epoch: 1, Expires: 1 << 50, RenewMillis: 1000,
			Starts: []worker.Start{{Task: spec.TaskID{Job: "j", Index: index}, Attempt: attempt, Kind: spec.KindGang, Size: size}}})
		is.NoErr(err)
	}
}

func TestViolationsAreRecorded(t *testing.T) {
	small := spec.Resources{MilliCPU: 1000}
	cases := []struct {
		name string
		run  func(f *workersim.Fleet, start func(string, int, int, spec.Resources))
		want judge.Rule // empty for none
	}{
		{"full is no violation", func(_ *workersim.Fleet, start func(string, int, int, spec.Resources)) {
			start("a", 0, 1, size)
		}, ""},
		{"memory over size", func(_ *workersim.Fleet, start func(string, int, int, spec.Resources)) {
			start("a", 0, 1, spec.Resources{MemoryMiB: 4001})
		}, judge.RuleOvercommit},
		{"two tasks over size", func(_ *workersim.Fleet, start func(string, int, int, spec.Resources)) {
			start("a", 0, 1, size)
			start("a", 1, 1, small)
		}, judge.RuleOvercommit},
		{"free capacity after an expired lease", func(_ *workersim.Fleet, start func(string, int, int, spec.Resources)) {
			start("a", 0, 1, size)
			time.Sleep(time.Second)
			start("a", 1, 1, size)
		}, ""},
		{"two runs at once", func(_ *workersim.Fleet, start func(string, int, int, spec.Resources)) {
			start("a", 0, 1, small)
			time.Sleep(999 * time.Millisecond)
			start("b", 0, 2, small)
		}, judge.RuleConcurrentRuns},
		{"second run after the lease expired", func(_ *workersim.Fleet, start func(string, int, int, spec.Resources)) {
			start("a", 0, 1, small)
			time.Sleep(time.Second)
			start("b", 0, 2, small)
		}, ""},
		{"gang started partially", func(f *workersim.Fleet, start func(string, int, int, spec.Resources)) {
			f.Checker.ExpectGang("j", 2)
			start("a", 0, 1, small)
			time.Sleep(3 * time.Second)
		}, judge.RulePartialGang},
		{"gang started completely", func(f *workersim.Fleet, start func(string, int, int, spec.Resources)) {
			f.Checker.ExpectGang("j", 2)
			start("a", 0, 1, small)
			start("b", 1, 1, small)
			time.Sleep(3 * time.Second)
		}, ""},
		{"one epoch for two holders", func(f *workersim.Fleet, _ func(string, int, int, spec.Resources)) {
			_, _ = f.Claim(context.Background(), "a", worker.ClaimRequest{Epoch: 1, Holder: "other"})
		}, judge.RuleSharedEpoch},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, start := fleet(is)
				c.run(f, start)
				var got judge.Rule
				for _, v := range f.Checker.Violations(time.Now()) {
					got = v.Rule
				}
				is.Equal(got, c.want)
			})
		})
	}
}

func TestFaults(t *testing.T) {
	ctx := context.Background()
	o := worker.Order{Epoch: 1, Expires: 1 << 50, RenewMillis: 60_000, Starts: []worker.Start{
		{Task: spec.TaskID{Job: "j"}, Attempt: 1, Size: spec.Resources{MilliCPU: 1000}, RunMillis: 10_000}}}
	cases := []struct {
		name   string
		faults workersim.Faults
		fault  workersim.Cut
		check  func(is *is.I, f *workersim.Fleet, reply worker.OrderReply, err error)
	}{
		{"every task fails", workersim.Faults{FailTasks: true}, 0, func(is *is.I, f *workersim.Fleet, _ worker.OrderReply, err error) {
			is.NoErr(err)
			is.Equal(f.Worker("a").Runs()[0].State, worker.StateFinished)
			is.Equal(f.Worker("a").Runs()[0].ExitCode, 1)
		}},
		{"unreachable", workersim.Faults{Unreachable: true}, 0, func(is *is.I, f *workersim.Fleet, _ worker.OrderReply, err error) {
			is.True(errors.Is(err, worker.ErrUnreachable))
			is.Equal(len(f.Worker("a").Runs()), 0)
		}},
		{"one caller disconnected", workersim.Faults{}, workersim.DropRequest, func(is *is.I, f *workersim.Fleet, _ worker.OrderReply, err error) {
			is.True(errors.Is(err, worker.ErrUnreachable))
			_, err = f.Caller("q").Order(ctx, "a", o)
			is.NoErr(err)
		}},
		{"replies dropped", workersim.Faults{}, workersim.DropReply, func(is *is.I, f *workersim.Fleet, _ worker.OrderReply, err error) {
			is.True(errors.Is(err, worker.ErrNoReply))
			is.Equal(len(f.Worker("a").Runs()), 1)
		}},
		{"slower than the caller's timeout", workersim.Faults{Delay: 5 * time.Second}, 0, func(is *is.I, f *workersim.Fleet, _ worker.OrderReply, err error) {
			is.True(errors.Is(err, worker.ErrNoReply))
			is.Equal(len(f.Worker("a").Runs()), 0)
			time.Sleep(6 * time.Second)
			is.Equal(len(f.Worker("a").Runs()), 1) // the call took effect later
		}},
		{"lagging usage above the declared", workersim.Faults{UsageLag: 2 * time.Second, RealSizePercent: 300}, 0, func(is *is.I, f *workersim.Fleet, reply worker.OrderReply, err error) {
			is.NoErr(err)
			is.Equal(reply.Usage, spec.Resources{})
			time.Sleep(2 * time.Second)
			reply, err = f.Order(ctx, "a", worker.Order{Epoch: 1, Expires: 1 << 50})
			is.NoErr(err)
			is.Equal(reply.Usage.MilliCPU, int64(3000))
		}},
		{"run time longer than declared", workersim.Faults{RealTimePercent: 200}, 0, func(is *is.I, f *workersim.Fleet, _ worker.OrderReply, _ error) {
			time.Sleep(19 * time.Second)
			is.Equal(f.Worker("a").Runs()[0].State, worker.StateRunning)
			time.Sleep(time.Second)
			is.Equal(f.Worker("a").Runs()[0].State, worker.StateFinished)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, _ := fleet(is)
				f.Worker("a").SetFaults(c.faults)
				f.Cut("p", "a", c.fault)
				ctx, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				reply, err := f.Caller("p").Order(ctx, "a", o)
				c.check(is, f, reply, err)
			})
		})
	}
}
