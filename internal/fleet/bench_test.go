package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/judge"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
	"pulleyquay/internal/worker"
	"pulleyquay/internal/worker/workersim"
)

// meter counts the messages to workers and, when weighing, their bytes as JSON,
// which is what the HTTP client sends.
type meter struct {
	worker.Client
	weigh    bool
	messages atomic.Int64
	bytes    atomic.Int64
}

func (m *meter) count(values ...any) {
	m.messages.Add(1)
	if !m.weigh {
		return
	}
	for _, v := range values {
		body, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		m.bytes.Add(int64(len(body)))
	}
}

func (m *meter) Claim(ctx context.Context, addr string, req worker.ClaimRequest) (worker.ClaimReply, error) {
	reply, err := m.Client.Claim(ctx, addr, req)
	m.count(req, reply)
	return reply, err
}

func (m *meter) Order(ctx context.Context, addr string, o worker.Order) (worker.OrderReply, error) {
	reply, err := m.Client.Order(ctx, addr, o)
	m.count(o, reply)
	return reply, err
}

// load is a holder of many workers, in real time.
type load struct {
	*member
	meter *meter
	next  int
	// runTime is the declared and real run time of the tasks.
	runTime time.Duration
}

// newLoad claims n workers, each large enough for any number of small tasks.
func newLoad(b *testing.B, n int, weigh bool) *load {
	j := judge.New()
	bn := &bench{
		is: is.New(b), judge: j, sim: workersim.NewFleet(j), peers: peer.Local{}, all: map[string]platform.Host{},
		home: &homeStub{news: map[worker.Attempt]taskmsg.RunState{}},
	}
	mux := peer.NewMux()
	peer.Handle(mux, peer.KindTaskNews, bn.home.take)
	bn.peers[homeAddr] = mux
	bn.table.Partitions = []view.Partition{{ID: homePartition, Holder: "home", Addr: homeAddr, Epoch: 1}}
	for i := range n {
		name := fmt.Sprintf("w%05d", i)
		h := platform.Host{Name: name, Role: platform.RoleWorker, Addr: name, Rack: "r0", Zone: fmt.Sprintf("z%d", i%3)}
		bn.sim.Add(name, worker.Info{Name: name, Rack: h.Rack, Zone: h.Zone, Size: spec.Resources{MilliCPU: 1 << 40, MemoryMiB: 1 << 40}})
		bn.hosts = append(bn.hosts, h)
	}
	m := &meter{Client: bn.sim.Caller("a"), weigh: weigh}
	l := &load{meter: m, runTime: time.Hour, member: bn.member("a", func(c *Config) { c.Client = m; c.Log = quiet() })}
	b.Cleanup(l.stop)
	l.take(1, nil)
	waitFor(b, func() bool { return l.claimed() == n })
	return l
}

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(log)
}

func (l *load) claimed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, a := range l.agents {
		if a.claim == claimHeld {
			n++
		}
	}
	return n
}

func waitFor(b *testing.B, ok func() bool) {
	b.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); runtime.Gosched() {
		if time.Now().After(end) {
			b.Fatal("waited in vain")
		}
	}
}

// request asks for n tasks of a new job.
func (l *load) request(n int) taskmsg.PlaceRequest {
	l.next++
	req := taskmsg.PlaceRequest{
		Home: taskmsg.Home{Partition: homePartition, Epoch: 1}, Shape: shapeOf(fmt.Sprintf("0190f3c2-7a9b-7cde-8f01-%012d", l.next), 10, l.runTime),
	}
	for i := range n {
		req.Slots = append(req.Slots, taskmsg.Slot{Index: i, Attempt: 1})
	}
	return req
}

// start places n tasks in requests of a size, all requests at once.
func (l *load) start(b *testing.B, n, size int) (jobs []taskmsg.PlaceRequest, peerBytes int) {
	b.Helper()
	done := make(chan taskmsg.PlaceReply)
	for left := n; left > 0; left -= size {
		req := l.request(min(size, left))
		jobs = append(jobs, req)
		go func() {
			reply, err := l.place(context.Background(), req)
			if err != nil || count(reply.Results, taskmsg.OutcomeStarted) != len(req.Slots) {
				b.Error("not all started", err)
			}
			done <- reply
		}()
	}
	for _, req := range jobs {
		reply := <-done
		if l.meter.weigh {
			peerBytes += cborSize(b, req) + cborSize(b, reply)
		}
	}
	return jobs, peerBytes
}

func cborSize(b *testing.B, v any) int {
	body, err := cbor.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return len(body)
}

// finishAll waits until the tasks, which end by themselves, are acknowledged.
func (l *load) finishAll(b *testing.B) {
	b.Helper()
	waitFor(b, func() bool {
		l.mu.Lock()
		for _, a := range l.agents {
			if len(a.runs) > len(a.acks) {
				a.renewAt = time.Time{}
				l.kick(a, time.Now())
			}
		}
		l.mu.Unlock()
		time.Sleep(time.Millisecond)
		return l.live() == 0
	})
}

// stopAll ends the tasks and waits until the home knows.
func (l *load) stopAll(b *testing.B, jobs []taskmsg.PlaceRequest) {
	b.Helper()
	for _, req := range jobs {
		stop := taskmsg.StopRequest{Home: req.Home, Mode: worker.Kill}
		for _, s := range req.Slots {
			stop.Runs = append(stop.Runs, attemptOf(&req.Shape, s))
		}
		if _, err := l.stopTasks(context.Background(), stop); err != nil {
			b.Fatal(err)
		}
	}
	waitFor(b, func() bool { return l.live() == 0 })
}

// live counts the runs that the home has not acknowledged the end of.
func (l *load) live() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.runs {
		if r.state < runAcked {
			n++
		}
	}
	return n
}

const startsPerRound = 1024

// BenchmarkStart: one start from a home's request to the worker's answer, in
// rounds of 1,024 by requests of a size, at a number of workers.
func BenchmarkStart(b *testing.B) {
	for _, workers := range []int{48, 500} {
		for _, size := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("workers=%d/request=%d", workers, size), func(b *testing.B) {
				l := newLoad(b, workers, false)
				b.ReportAllocs()
				b.ResetTimer()
				before := l.meter.messages.Load()
				for left := b.N; left > 0; left -= startsPerRound {
					jobs, _ := l.start(b, min(left, startsPerRound), size)
					b.StopTimer()
					l.stopAll(b, jobs)
					b.StartTimer()
				}
				b.ReportMetric(float64(l.meter.messages.Load()-before)/float64(b.N), "messages/op")
			})
		}
	}
}

// BenchmarkStartBytes: the bytes of a run that ends by itself: start, end and
// acknowledgement to and from the worker as JSON bodies, and the home's request
// and its answer as CBOR.
func BenchmarkStartBytes(b *testing.B) {
	for _, size := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("request=%d", size), func(b *testing.B) {
			l := newLoad(b, 48, true)
			l.runTime = 20 * time.Millisecond
			before, messages, toHome, n := l.meter.bytes.Load(), l.meter.messages.Load(), 0, 0
			for b.Loop() {
				_, bytes := l.start(b, startsPerRound, size)
				toHome, n = toHome+bytes, n+startsPerRound
				l.finishAll(b)
			}
			b.ReportMetric(float64(l.meter.bytes.Load()-before)/float64(n), "worker-B/start")
			b.ReportMetric(float64(l.meter.messages.Load()-messages)/float64(n), "messages/start")
			b.ReportMetric(float64(toHome)/float64(n), "home-B/start")
		})
	}
}

// BenchmarkRenewal: one renewal of a worker with a number of runs.
func BenchmarkRenewal(b *testing.B) {
	for _, runs := range []int{0, 16, 64} {
		b.Run(fmt.Sprintf("runs=%d", runs), func(b *testing.B) {
			l := newLoad(b, 1, true)
			if runs > 0 {
				l.start(b, runs, runs)
			}
			l.stop()
			a := l.agents["w00000"]
			l.ctx = context.Background()
			before, n := l.meter.bytes.Load(), 0
			b.ReportAllocs()
			for b.Loop() {
				l.order(a)
				n++
			}
			b.ReportMetric(float64(l.meter.bytes.Load()-before)/float64(n), "wire-B/op")
		})
	}
}

// BenchmarkTick: the regular work at a number of workers when nothing is due.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{48, 500, 3000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			l := newLoad(b, workers, false)
			l.stop()
			now := time.Now()
			for b.Loop() {
				l.tick(now)
			}
		})
	}
}

// BenchmarkTakeover: from Acquire to the last claim answered, per worker with
// sixteen runs each.
func BenchmarkTakeover(b *testing.B) {
	for _, workers := range []int{48, 500} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			l := newLoad(b, workers, false)
			l.start(b, 16*workers, 256)
			epoch := uint64(1)
			for b.Loop() {
				epoch++
				l.take(epoch, nil)
				waitFor(b, func() bool { return l.claimed() == workers })
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(workers), "ns/worker")
		})
	}
}

// BenchmarkCancellationWave: 4,096 running tasks of 256 jobs are cancelled at
// once; until every end is acknowledged by the home.
func BenchmarkCancellationWave(b *testing.B) {
	l := newLoad(b, 48, false)
	for b.Loop() {
		b.StopTimer()
		jobs, _ := l.start(b, 4096, 16)
		before := l.meter.messages.Load()
		b.StartTimer()
		l.stopAll(b, jobs)
		b.ReportMetric(float64(l.meter.messages.Load()-before), "messages/wave")
	}
}

// BenchmarkMemory: the heap of a holder per worker and per running task. The
// stand-in workers' own memory is in neither.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		l := newLoad(b, 1, false)
		l.stop()
		p := l.parts[l.b.rackPartition()]
		const workers, runsEach = 2000, 16
		empty := heap()
		for i := range workers {
			name := fmt.Sprintf("x%05d", i)
			a := l.newAgent(platform.Host{Name: name, Addr: name + ".example:8000"}, p, time.Now())
			info := worker.Info{Name: name, Rack: "r0", Zone: "z0", Size: testSize}
			l.applyClaim(a, worker.ClaimReply{Info: info}, time.Now(), time.Now())
		}
		claimed := heap()
		b.ReportMetric(float64(claimed-empty)/workers, "B/worker")
		now := time.Now()
		for i := range workers {
			a := l.agents[fmt.Sprintf("x%05d", i)]
			for n := range runsEach {
				id := attempt("0190f3c2-7a9b-7cde-8f01-23456789abcd", i*runsEach+n)
				r := l.adopt(a, id, &worker.Run{State: worker.StateRunning, Home: homePartition}, now)
				l.untell(r)
			}
		}
		b.ReportMetric(float64(heap()-claimed)/workers/runsEach, "B/run")
		runtime.KeepAlive(l)
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
