package execsim_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/executor"
	"pulleyquay/internal/executor/execsim"
	"pulleyquay/internal/executor/executortest"
	"pulleyquay/internal/judge"
)

func TestContract(t *testing.T) {
	executortest.Run(t, func(*testing.T) executortest.Target {
		f := execsim.NewFleet(judge.New())
		e := f.Add("a", "e", 8, 64)
		return executortest.Target{Client: f, Addr: "a", Executor: e, Checker: f.Checker, UnreachableAddr: "nowhere"}
	})
}

func TestJudgeSeesBreaches(t *testing.T) {
	send := func(f *execsim.Fleet, method, key string) {
		_, _ = f.Do(context.Background(), "a", executor.Request{Method: method, Path: "/",
			Header: http.Header{execsim.KeyHeader: {key}, execsim.WorkHeader: {"100"}}}, 100)
	}
	sendConcurrently := func(f *execsim.Fleet, n int) {
		var wg sync.WaitGroup
		for range n {
			wg.Go(func() { send(f, "GET", "") })
		}
		wg.Wait()
	}
	leave := func(f *execsim.Fleet, after time.Duration) {
		f.Executor("a").SetFaults(execsim.Faults{Leaving: true})
		send(f, "GET", "") // its answer has the leaving signal
		time.Sleep(after)
		send(f, "GET", "")
	}
	cases := []struct {
		name string
		run  func(f *execsim.Fleet)
		want judge.Rule
	}{
		{"as many as slots", func(f *execsim.Fleet) { sendConcurrently(f, 2) }, ""},
		{"one more than slots", func(f *execsim.Fleet) { sendConcurrently(f, 3) }, judge.RuleSlots},
		{"one key once", func(f *execsim.Fleet) { send(f, "POST", "a"); send(f, "POST", "b") }, ""},
		{"one key twice", func(f *execsim.Fleet) { send(f, "POST", "a"); send(f, "POST", "a") }, judge.RuleRepeatedExecution},
		{"idempotent twice", func(f *execsim.Fleet) { send(f, "PUT", "a"); send(f, "PUT", "a") }, ""},
		{"leaving, within the grace period", func(f *execsim.Fleet) { leave(f, 3*time.Second) }, ""},
		{"leaving, signal not sent", func(f *execsim.Fleet) {
			f.Executor("a").SetFaults(execsim.Faults{Leaving: true})
			time.Sleep(time.Minute)
			send(f, "GET", "")
		}, ""},
		{"leaving, after the grace period", func(f *execsim.Fleet) { leave(f, 3*time.Second+1) }, judge.RuleLeaving},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := execsim.NewFleet(judge.New())
				f.Add("a", "e", 2, 3)
				c.run(f)
				var got judge.Rule
				for _, v := range f.Checker.Violations(time.Now()) {
					got = v.Rule
				}
				is.New(t).Equal(got, c.want)
			})
		})
	}
}
