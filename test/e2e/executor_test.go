package e2e

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/executor/execsim"
	"pulleyquay/internal/result"
	"pulleyquay/test/e2e/harness"
)

// TestExecutorsFail has all executors fail in the same way. A ticket runs at most
// once, and its caller gets a correct statement of whether it ran.
func TestExecutorsFail(t *testing.T) {
	cases := []struct {
		name   string
		faults execsim.Faults
		ran    result.Ran // of the problem document; empty if the executor's own answer is expected
		status int        // of the answer
		runs   int
	}{
		{"answer an error", execsim.Faults{Fail: true}, "", 500, 1},
		{"truncate their answers", execsim.Faults{Truncate: true}, result.RanUnknown, 0, 1},
		{"never answer", execsim.Faults{Hang: true}, result.RanUnknown, 0, 1},
		{"close connections unread", execsim.Faults{Unreachable: true}, result.RanUnknown, 0, 0},
		{"are slower than the deadline", execsim.Faults{Slow: 4 * time.Second}, result.RanUnknown, 0, 1},
	}
	c := startCell(t)
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			is := is.New(t)
			for i := range executors {
				c.Platform.ExecutorFaults(executorName(i), k.faults)
			}
			key := harness.NewKey()
			first := c.Post(c.Hosts[0], key, key, 0)
			retry := c.Post(c.Hosts[1], key, key, 0) // through another entry
			for _, r := range []harness.Reply{first, retry} {
				if k.ran == "" {
					is.Equal(r.Status, k.status)
					continue
				}
				p := r.Problem()
				is.True(p != nil)
				is.Equal(p.Ran, k.ran)
			}
			is.Equal(len(c.Platform.Record().Keys[key]), k.runs)
			for i := range executors {
				c.Platform.ExecutorFaults(executorName(i), execsim.Faults{})
			}
			harness.Eventually(t, harness.ReadyLimit, "executors without faults serve again", func() error {
				key := harness.NewKey()
				if r := c.Post(c.Hosts[2], key, key, 0); !r.OK() {
					return r.Problem()
				}
				return nil
			})
		})
	}
	for _, v := range c.Platform.Record().Violations {
		t.Errorf("%s violated on %s: %s", v.Rule, v.On, v.Detail)
	}
}

func executorName(i int) string { return "executor-0" + string(rune('0'+i)) }
