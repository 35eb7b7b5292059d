package capacity

import (
	"context"
	"fmt"
	"maps"
	"math"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"pulleyquay/internal/fleet"
	"pulleyquay/internal/hold"
	"pulleyquay/internal/partition"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
	"pulleyquay/internal/worker"
)

const (
	homePartition = 17
	homeAddr      = "home:1"
	holderAddr    = "holder:1"
)

// fullAuthority grants the authority for every partition.
type fullAuthority struct{}

func (fullAuthority) Check(p int) (hold.Grant, error) {
	return hold.Grant{Partition: p, Epoch: 1, Until: time.Now().Add(time.Minute)}, nil
}

func (fullAuthority) Held() []int {
	var out []int
	for p := range partition.DefaultCount {
		out = append(out, p)
	}
	return out
}

// singleHolderView is the view of a cell in which one process holds all partitions.
type singleHolderView struct{ table view.Table }

func (o *singleHolderView) Table() *view.Table       { return &o.table }
func (o *singleHolderView) Settings() *settings.Tree { return nil }

// instantWorkers are workers in memory. Each start succeeds, and the task has
// finished by the worker's next reply unless endless is set.
type instantWorkers struct {
	endless bool
	began   time.Time

	mu      sync.Mutex
	workers map[string]*instantWorker
	orders  int
}

func newInstantWorkers(endless bool) *instantWorkers {
	return &instantWorkers{endless: endless, began: time.Now(), workers: map[string]*instantWorker{}}
}

type instantWorker struct {
	info    worker.Info
	ended   map[worker.Attempt]worker.Run
	running int
}

func (w *instantWorkers) Claim(_ context.Context, addr string, _ worker.ClaimRequest) (worker.ClaimReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return worker.ClaimReply{Info: w.workers[addr].info, Now: w.now()}, nil
}

func (w *instantWorkers) Order(_ context.Context, addr string, o worker.Order) (worker.OrderReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders++
	to := w.workers[addr]
	for _, ack := range o.Acks {
		delete(to.ended, ack)
	}
	reply := worker.OrderReply{Now: w.now(), Ended: slices.Collect(maps.Values(to.ended))}
	for _, s := range o.Starts {
		reply.Results = append(reply.Results, worker.StartResult{Started: true})
		if w.endless {
			to.running++
			continue
		}
		to.ended[worker.Attempt{Task: s.Task, Attempt: s.Attempt}] = worker.Run{
			Task: s.Task, Attempt: s.Attempt, Home: s.Home, Kind: s.Kind, Size: s.Size, State: worker.StateFinished, Started: w.now(),
		}
	}
	reply.Running = to.running
	return reply, nil
}

func (w *instantWorkers) now() worker.Millis {
	return worker.Millis(time.Since(w.began).Milliseconds())
}

// holder is one fleet with n instant workers. It is called through the codec of
// peer messages but without a socket.
type holder struct {
	workers *instantWorkers
	peers   peer.Local
	cancel  context.CancelFunc
	done    chan struct{}
	next    int
}

func newHolder(b *testing.B, n int, endless bool) *holder {
	h := &holder{
		workers: newInstantWorkers(endless),
		peers:   peer.Local{homeAddr: peer.NewMux(), holderAddr: peer.NewMux()}, done: make(chan struct{}),
	}
	peer.Handle(h.peers[homeAddr], peer.KindTaskUpdates, func(_ context.Context, n taskmsg.RunReports) (taskmsg.RunReportsReply, error) {
		var reply taskmsg.RunReportsReply
		for _, r := range n.Runs {
			if r.State != taskmsg.RunRunning {
				reply.Acked = append(reply.Acked, r.Run)
			}
		}
		return reply, nil
	})
	cell := &singleHolderView{}
	for p := range partition.DefaultCount {
		cell.table.Partitions = append(cell.table.Partitions, view.Partition{ID: p, Holder: "home", Addr: homeAddr, Epoch: 1})
	}
	hosts := h.workers.add(n)
	f := fleet.New(fleet.Config{
		Name: "holder", Partitions: partition.DefaultCount, Hosts: func() []platform.Host { return hosts },
		Authorizer: fullAuthority{}, Client: h.workers, Peers: h.peers, View: cell, Registerer: prometheus.NewRegistry(), Log: discardLogger(),
	})
	f.Register(h.peers[holderAddr])
	for p := range partition.DefaultCount {
		if err := f.Acquire(context.Background(), hold.Acquisition{Grant: hold.Grant{Partition: p, Epoch: 1}, NeverHeld: true}); err != nil {
			b.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() { f.Run(ctx); close(h.done) }()
	for f.Digest().Workers < n {
		time.Sleep(time.Millisecond)
	}
	b.Cleanup(func() { h.cancel(); <-h.done })
	return h
}

// add adds n workers and returns their entries in the host list.
func (w *instantWorkers) add(n int) []platform.Host {
	var out []platform.Host
	for i := range n {
		in := info(i)
		w.workers[in.Name] = &instantWorker{info: in, ended: map[worker.Attempt]worker.Run{}}
		out = append(out, platform.Host{Name: in.Name, Role: platform.RoleWorker, Addr: in.Name, Rack: in.Rack, Zone: in.Zone})
	}
	return out
}

// place requests the placement of n tasks and returns how many started.
func (h *holder) place(b *testing.B, n int) int {
	s := shape()
	s.Task.Size = spec.Resources{MilliCPU: 50, MemoryMiB: 50}
	s.Policy.Name = settings.PolicyWaiting
	req := taskmsg.PlaceRequest{Home: taskmsg.Home{Partition: homePartition, Epoch: 1}, Shape: s}
	for range n {
		h.next++
		req.Slots = append(req.Slots, taskmsg.Slot{Index: h.next, Attempt: 1})
	}
	var reply taskmsg.PlaceReply
	if err := h.peers.Call(context.Background(), holderAddr, peer.KindPlace, req, &reply); err != nil {
		b.Fatal(err)
	}
	started := 0
	for _, r := range reply.Results {
		if r.Outcome == taskmsg.OutcomeStarted {
			started++
		}
	}
	return started
}

// BenchmarkHolderStart measures all steps of a task at a holder: request, placement,
// order, reply, end, report to the job owner and acknowledgement. The workers are in
// memory and reply immediately. The codec of peer links is included; sockets and the
// JSON of workers are not (see BenchmarkPeerCall and BenchmarkWorkerOrder).
func BenchmarkHolderStart(b *testing.B) {
	for _, n := range []int{90, 500, 3000} {
		for _, batch := range []int{1, 16, 64} {
			b.Run(fmt.Sprintf("%d-workers/%d-slots", n, batch), func(b *testing.B) {
				h := newHolder(b, n, false)
				started, before := 0, cpu(b)
				for b.Loop() {
					started += h.place(b, batch)
				}
				reportCPU(b, before, started, "start")
				b.ReportMetric(float64(started)/b.Elapsed().Seconds(), "starts/s")
				b.ReportMetric(float64(h.workers.orders)/float64(started), "orders/start")
			})
		}
	}
}

// BenchmarkHolderIdle measures the cost of workers with 11 runs each for a holder that
// starts nothing but renews leases and checks its records. One iteration is a second.
func BenchmarkHolderIdle(b *testing.B) {
	for _, n := range []int{90, 500, 3000} {
		b.Run(fmt.Sprint(n, "-workers"), func(b *testing.B) {
			before := heap()
			h := newHolder(b, n, true)
			claimed := heap()
			for left := 11 * n; left > 0; {
				left -= h.place(b, min(left, 256))
			}
			full := heap()
			time.Sleep(time.Second)
			orders, used := h.orderCount(), cpu(b)
			for b.Loop() {
				time.Sleep(time.Second)
			}
			seconds := b.Elapsed().Seconds()
			b.ReportMetric(float64((cpu(b)-used).Microseconds())/seconds/float64(n), "cpu-us/worker/s")
			b.ReportMetric(float64(h.orderCount()-orders)/seconds/float64(n), "orders/worker/s")
			b.ReportMetric(math.Round(float64(claimed-before)/float64(n)), "B/worker")
			b.ReportMetric(math.Round(float64(full-claimed)/float64(11*n)), "B/run")
		})
	}
}

// orderCount returns the number of orders to workers so far.
func (h *holder) orderCount() int {
	h.workers.mu.Lock()
	defer h.workers.mu.Unlock()
	return h.workers.orders
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
