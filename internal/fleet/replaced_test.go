package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pulleyquay/internal/judge"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
	"pulleyquay/internal/worker/workersim"
)

// switchableClient sends calls to another set of workers once switched: a new machine
// answers at the address while the old one keeps running, disconnected.
type switchableClient struct {
	worker.Client
	to       worker.Client
	switched func(addr string) bool
}

func (s *switchableClient) Claim(ctx context.Context, addr string, req worker.ClaimRequest) (worker.ClaimReply, error) {
	if s.switched(addr) {
		return s.to.Claim(ctx, addr, req)
	}
	return s.Client.Claim(ctx, addr, req)
}

func (s *switchableClient) Order(ctx context.Context, addr string, o worker.Order) (worker.OrderReply, error) {
	if s.switched(addr) {
		return s.to.Order(ctx, addr, o)
	}
	return s.Client.Order(ctx, addr, o)
}

// TestReplacedMachine starts a machine with the name of a worker while the old one still
// runs its tasks. No run may be declared lost before it has ended, whether the new
// machine answers at the same address or at another one.
func TestReplacedMachine(t *testing.T) {
	cases := map[string]string{"at the same address": "w0", "at another address": "w0-new"}
	for name, addr := range cases {
		t.Run(name, func(t *testing.T) {
			runTestbed(t, 1, func(b *testbed) {
				var replaced atomic.Bool
				fresh := workersim.NewFleet(judge.New())
				m := b.member("a", func(c *Config) {
					c.Client = &switchableClient{Client: c.Client, to: fresh, switched: func(to string) bool { return replaced.Load() && to == addr }}
				})
				defer m.stop()
				m.accept(1, nil)
				synctest.Wait()
				m.placeTasks(shapeOf("job", 1000, 0), 3)
				time.Sleep(time.Minute)
				synctest.Wait()
				fresh.Add(addr, worker.Info{Name: "w0", Rack: "r0", Zone: "z0", Size: testSize})
				b.sim.Cut("a", "w0", workersim.DropRequest)
				b.mu.Lock()
				replaced.Store(true)
				b.hosts = []platform.Host{{Name: "w0", Role: platform.RoleWorker, Addr: addr, Rack: "r0", Zone: "z0"}}
				b.mu.Unlock()
				for b.home.state(attempt("job", 0)) != taskmsg.RunLost {
					time.Sleep(100 * time.Millisecond)
				}
				for _, r := range b.sim.Worker("w0").Runs() {
					b.is.True(r.State != worker.StateRunning) // on the old machine
				}
				time.Sleep(5 * time.Second)
				b.is.Equal(count(m.placeTasks(shapeOf("job2", 1000, 0), 8), taskmsg.OutcomeStarted), 8)
				b.is.Equal(len(fresh.Worker(addr).Runs()), 8)
			})
		})
	}
}
