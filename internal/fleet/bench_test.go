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

// meteredClient counts the messages to workers and, if measureBytes is set, their
// bytes as JSON, which is what the HTTP client sends.
type meteredClient struct {
	worker.Client
	measureBytes bool
	messages     atomic.Int64
	bytes        atomic.Int64
}

func (m *meteredClient) count(values ...any) {
	m.messages.Add(1)
	if !m.measureBytes {
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

func (m *meteredClient) Claim(ctx context.Context, addr string, req worker.ClaimRequest) (worker.ClaimReply, error) {
	reply, err := m.Client.Claim(ctx, addr, req)
	m.count(req, reply)
	return reply, err
}

func (m *meteredClient) Order(ctx context.Context, addr string, o worker.Order) (worker.OrderReply, error) {
	reply, err := m.Client.Order(ctx, addr, o)
	m.count(o, reply)
	return reply, err
}

// loadTest is a holder of many simulated workers, in real time.
type loadTest struct {
	*member
	meteredClient *meteredClient
	next          int
	// runTime is both the declared and the actual run time of the tasks.
	runTime time.Duration
}

// newLoadTest claims n workers, each large enough for any number of small tasks.
func newLoadTest(b *testing.B, n int, measureBytes bool) *loadTest {
	j := judge.New()
	tb := &testbed{
		is: is.New(b), checker: j, sim: workersim.NewFleet(j), peers: peer.Local{}, all: map[string]platform.Host{},
		home: &fakeHome{states: map[worker.Attempt]taskmsg.RunState{}},
	}
	mux := peer.NewMux()
	peer.Handle(mux, peer.KindTaskUpdates, tb.home.accept)
	tb.peers[homeAddr] = mux
	tb.table.Partitions = []view.Partition{{ID: homePartition, Holder: "home", Addr: homeAddr, Epoch: 1}}
	for i := range n {
		name := fmt.Sprintf("w%05d", i)
		h := platform.Host{Name: name, Role: platform.RoleWorker, Addr: name, Rack: "r0", Zone: fmt.Sprintf("z%d", i%3)}
		tb.sim.Add(name, worker.Info{Name: name, Rack: h.Rack, Zone: h.Zone, Size: spec.Resources{MilliCPU: 1 << 40, MemoryMiB: 1 << 40}})
		tb.hosts = append(tb.hosts, h)
	}
	m := &meteredClient{Client: tb.sim.Caller("a"), measureBytes: measureBytes}
	l := &loadTest{meteredClient: m, runTime: time.Hour, member: tb.member("a", func(c *Config) { c.Client = m; c.Log = discardLog() })}
	b.Cleanup(l.stop)
	l.accept(1, nil)
	waitFor(b, func() bool { return l.claimed() == n })
	return l
}

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(log)
}

func (l *loadTest) claimed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, w := range l.workers {
		if w.claimState == claimHeld {
			n++
		}
	}
	return n
}

func waitFor(b *testing.B, ok func() bool) {
	b.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); runtime.Gosched() {
		if time.Now().After(end) {
			b.Fatal("condition not met within 30 s")
		}
	}
}

// request returns a request to place n tasks of a new job.
func (l *loadTest) request(n int) taskmsg.PlaceRequest {
	l.next++
	req := taskmsg.PlaceRequest{
		Home: taskmsg.Home{Partition: homePartition, Epoch: 1}, Shape: shapeOf(fmt.Sprintf("0190f3c2-7a9b-7cde-8f01-%012d", l.next), 10, l.runTime),
	}
	for i := range n {
		req.Slots = append(req.Slots, taskmsg.Slot{Index: i, Attempt: 1})
	}
	return req
}

// startTasks places n tasks in concurrent requests of up to size tasks each.
func (l *loadTest) startTasks(b *testing.B, n, size int) (jobs []taskmsg.PlaceRequest, peerBytes int) {
	b.Helper()
	done := make(chan taskmsg.PlaceReply)
	for left := n; left > 0; left -= size {
		req := l.request(min(size, left))
		jobs = append(jobs, req)
		go func() {
			reply, err := l.place(context.Background(), req)
			if err != nil || count(reply.Results, taskmsg.OutcomeStarted) != len(req.Slots) {
				b.Error("not all tasks started:", err)
			}
			done <- reply
		}()
	}
	for _, req := range jobs {
		reply := <-done
		if l.meteredClient.measureBytes {
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

// finishAll waits until the tasks have finished and their ends are acknowledged.
func (l *loadTest) finishAll(b *testing.B) {
	b.Helper()
	waitFor(b, func() bool {
		l.mu.Lock()
		for _, w := range l.workers {
			if len(w.runs) > len(w.acks) {
				w.renewAt = time.Time{}
				l.startDriver(w, time.Now())
			}
		}
		l.mu.Unlock()
		time.Sleep(time.Millisecond)
		return l.liveRuns() == 0
	})
}

// stopAll stops the tasks and waits until the job owner has acknowledged all ends.
func (l *loadTest) stopAll(b *testing.B, jobs []taskmsg.PlaceRequest) {
	b.Helper()
	for _, req := range jobs {
		stop := taskmsg.StopRequest{Home: req.Home, Mode: worker.ModeStop}
		for _, s := range req.Slots {
			stop.Runs = append(stop.Runs, attemptOf(&req.Shape, s))
		}
		if _, err := l.stopTasks(context.Background(), stop); err != nil {
			b.Fatal(err)
		}
	}
	waitFor(b, func() bool { return l.liveRuns() == 0 })
}

// liveRuns counts the runs whose end the job owner has not acknowledged.
func (l *loadTest) liveRuns() int {
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

// BenchmarkStart measures one start from a job owner's request to the worker's reply, in
// rounds of 1,024 starts, for several numbers of workers and tasks per request.
func BenchmarkStart(b *testing.B) {
	for _, workers := range []int{48, 500} {
		for _, size := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("workers=%d/request=%d", workers, size), func(b *testing.B) {
				l := newLoadTest(b, workers, false)
				b.ReportAllocs()
				b.ResetTimer()
				before := l.meteredClient.messages.Load()
				for left := b.N; left > 0; left -= startsPerRound {
					jobs, _ := l.startTasks(b, min(left, startsPerRound), size)
					b.StopTimer()
					l.stopAll(b, jobs)
					b.StartTimer()
				}
				b.ReportMetric(float64(l.meteredClient.messages.Load()-before)/float64(b.N), "messages/op")
			})
		}
	}
}

// BenchmarkStartBytes measures the bytes per run that finishes: start, end and
// acknowledgement to and from the worker as JSON bodies, and the job owner's request
// and the reply to it as CBOR.
func BenchmarkStartBytes(b *testing.B) {
	for _, size := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("request=%d", size), func(b *testing.B) {
			l := newLoadTest(b, 48, true)
			l.runTime = 20 * time.Millisecond
			before, messages, toHome, n := l.meteredClient.bytes.Load(), l.meteredClient.messages.Load(), 0, 0
			for b.Loop() {
				_, bytes := l.startTasks(b, startsPerRound, size)
				toHome, n = toHome+bytes, n+startsPerRound
				l.finishAll(b)
			}
			b.ReportMetric(float64(l.meteredClient.bytes.Load()-before)/float64(n), "worker-B/start")
			b.ReportMetric(float64(l.meteredClient.messages.Load()-messages)/float64(n), "messages/start")
			b.ReportMetric(float64(toHome)/float64(n), "home-B/start")
		})
	}
}

// BenchmarkRenewal measures one lease renewal at a worker for several numbers of runs.
func BenchmarkRenewal(b *testing.B) {
	for _, runs := range []int{0, 16, 64} {
		b.Run(fmt.Sprintf("runs=%d", runs), func(b *testing.B) {
			l := newLoadTest(b, 1, true)
			if runs > 0 {
				l.startTasks(b, runs, runs)
			}
			l.stop()
			w := l.workers["w00000"]
			l.ctx = context.Background()
			before, n := l.meteredClient.bytes.Load(), 0
			b.ReportAllocs()
			for b.Loop() {
				l.order(w)
				n++
			}
			b.ReportMetric(float64(l.meteredClient.bytes.Load()-before)/float64(n), "wire-B/op")
		})
	}
}

// BenchmarkTick measures the periodic work when nothing is due, for several numbers of workers.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{48, 500, 3000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			l := newLoadTest(b, workers, false)
			l.stop()
			now := time.Now()
			for b.Loop() {
				l.tick(now)
			}
		})
	}
}

// BenchmarkTakeover measures a failover from Acquire to the last claim reply, per
// worker, with sixteen runs on each.
func BenchmarkTakeover(b *testing.B) {
	for _, workers := range []int{48, 500} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			l := newLoadTest(b, workers, false)
			l.startTasks(b, 16*workers, 256)
			epoch := uint64(1)
			for b.Loop() {
				epoch++
				l.accept(epoch, nil)
				waitFor(b, func() bool { return l.claimed() == workers })
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(workers), "ns/worker")
		})
	}
}

// BenchmarkCancellationWave measures the concurrent cancellation of 256 jobs with 4,096
// running tasks, until the job owner has acknowledged every end.
func BenchmarkCancellationWave(b *testing.B) {
	l := newLoadTest(b, 48, false)
	for b.Loop() {
		b.StopTimer()
		jobs, _ := l.startTasks(b, 4096, 16)
		before := l.meteredClient.messages.Load()
		b.StartTimer()
		l.stopAll(b, jobs)
		b.ReportMetric(float64(l.meteredClient.messages.Load()-before), "messages/wave")
	}
}

// BenchmarkMemory measures the heap of a holder per worker and per running task,
// without the memory of the simulated workers.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		l := newLoadTest(b, 1, false)
		l.stop()
		p := l.partitions[l.b.rackPartition()]
		const numWorkers, runsEach = 2000, 16
		empty := heapBytes()
		for i := range numWorkers {
			name := fmt.Sprintf("x%05d", i)
			w := l.addWorker(platform.Host{Name: name, Addr: name + ".example:8000"}, p, time.Now())
			info := worker.Info{Name: name, Rack: "r0", Zone: "z0", Size: testSize}
			l.applyClaim(w, worker.ClaimReply{Info: info}, time.Now(), time.Now())
		}
		claimed := heapBytes()
		b.ReportMetric(float64(claimed-empty)/numWorkers, "B/worker")
		now := time.Now()
		for i := range numWorkers {
			w := l.workers[fmt.Sprintf("x%05d", i)]
			for n := range runsEach {
				id := attempt("0190f3c2-7a9b-7cde-8f01-23456789abcd", i*runsEach+n)
				r := l.adopt(w, id, &worker.Run{State: worker.StateRunning, Home: homePartition}, now)
				l.dropUpdate(r)
			}
		}
		b.ReportMetric(float64(heapBytes()-claimed)/numWorkers/runsEach, "B/run")
		runtime.KeepAlive(l)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
