package storehttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/etcdhttp"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/standin/storehttp"
)

// The benchmarks run the stand-in's store in a separate process, so that the reported CPU
// time is that of the client alone. Bytes are counted at the server's sockets in both
// directions, including headers.

// serverEnv is the environment variable that makes the test binary serve the store instead
// of running tests.
const serverEnv = "PULLEYQUAY_STORE_SERVER"

func TestMain(m *testing.M) {
	if os.Getenv(serverEnv) != "" {
		runServer()
		return
	}
	os.Exit(m.Run())
}

// countingListener counts the bytes of all connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	wire *countingListener
}

func (w *countingListener) Accept() (net.Conn, error) {
	c, err := w.Listener.Accept()
	return countingConn{c, w}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wire.bytes.Add(int64(n))
	return n, err
}

// runServer serves until its standard input is closed. It prints two addresses: that of
// the store and that of the control endpoints of the benchmarks.
func runServer() {
	engine := memstore.New()
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		return l
	}
	store, control := &countingListener{Listener: listen()}, listen()
	go func() { _ = http.Serve(store, storehttp.Handler(engine)) }()
	mux := http.NewServeMux()
	mux.HandleFunc("/bytes", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, store.bytes.Load()) })
	mux.HandleFunc("/write/{count}", func(_ http.ResponseWriter, r *http.Request) {
		count, _ := strconv.Atoi(r.PathValue("count"))
		for i := range count {
			_, _ = engine.Client("writer").Commit(r.Context(), record(i%64))
			runtime.Gosched() // lets the watch deliver each change separately
		}
	})
	go func() { _ = http.Serve(control, mux) }()
	fmt.Println(store.Addr(), control.Addr())
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// record returns a transaction that writes one record of a typical size.
func record(i int) platform.Txn {
	value := []byte(strings.Repeat("x", 200))
	return platform.Txn{Then: []platform.Write{{Key: fmt.Sprintf("partitions/%02d", i), Value: value}}}
}

// bench is a server process and a client of its store.
type bench struct {
	*etcdhttp.Client
	b       *testing.B
	control string
}

func newBench(b *testing.B) *bench {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), serverEnv+"=1")
	in, err := cmd.StdinPipe()
	requireNoError(b, err)
	out, err := cmd.StdoutPipe()
	requireNoError(b, err)
	requireNoError(b, cmd.Start())
	b.Cleanup(func() { _ = in.Close(); _ = cmd.Wait() })
	line, err := bufio.NewReader(out).ReadString('\n')
	requireNoError(b, err)
	addrs := strings.Fields(line)
	client, err := etcdhttp.New(etcdhttp.Options{Endpoints: addrs[:1], Name: "bench"})
	requireNoError(b, err)
	b.Cleanup(client.Close)
	return &bench{Client: client, b: b, control: "http://" + addrs[1]}
}

func requireNoError(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

func (s *bench) get(path string) int64 {
	response, err := http.Get(s.control + path)
	requireNoError(s.b, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	requireNoError(s.b, err)
	n, _ := strconv.ParseInt(string(body), 10, 64)
	return n
}

// cpuTime returns the CPU time of this process in nanoseconds.
func cpuTime() int64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return u.Utime.Nano() + u.Stime.Nano()
}

// measure runs fn, which does b.N operations, and reports bytes and CPU time per operation.
func (s *bench) measure(fn func()) {
	bytes, used := s.get("/bytes"), cpuTime()
	s.b.ResetTimer()
	fn()
	s.b.StopTimer()
	s.b.ReportMetric(float64(cpuTime()-used)/float64(s.b.N), "cpu-ns/op")
	s.b.ReportMetric(float64(s.get("/bytes")-bytes)/float64(s.b.N), "wire-B/op")
}

func BenchmarkCommit(b *testing.B) {
	s := newBench(b)
	s.measure(func() {
		for i := range b.N {
			_, err := s.Commit(context.Background(), record(i%64))
			requireNoError(b, err)
		}
	})
}

func BenchmarkCommitOf64Records(b *testing.B) {
	s := newBench(b)
	var txn platform.Txn
	for i := range 64 {
		txn.Then = append(txn.Then, record(i).Then...)
	}
	s.measure(func() {
		for range b.N {
			_, err := s.Commit(context.Background(), txn)
			requireNoError(b, err)
		}
	})
}

func BenchmarkKeepAlive(b *testing.B) {
	s := newBench(b)
	id, err := s.Grant(context.Background(), 3600)
	requireNoError(b, err)
	s.measure(func() {
		for range b.N {
			requireNoError(b, s.KeepAlive(context.Background(), id))
		}
	})
}

func BenchmarkListOf64Records(b *testing.B) {
	s := newBench(b)
	s.get("/write/64")
	s.measure(func() {
		for range b.N {
			_, _, err := s.List(context.Background(), "partitions/")
			requireNoError(b, err)
		}
	})
}

func BenchmarkWatchEvent(b *testing.B) {
	s := newBench(b)
	ctx, cancel := context.WithCancel(context.Background())
	events := make(chan int, 1024)
	go func() {
		_ = s.Watch(ctx, "partitions/", 1, func(batch platform.Batch) { events <- len(batch.Changes) })
	}()
	s.get("/write/1")
	<-events // the watch is open
	s.measure(func() {
		go s.get(fmt.Sprintf("/write/%d", b.N))
		for received := 0; received < b.N; {
			received += <-events
		}
	})
	cancel()
}

// heapInUse returns the memory in use after a garbage collection, in bytes, stacks included.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func BenchmarkMemoryOfAWaitingWatch(b *testing.B) {
	const watches = 200
	s := newBench(b)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.get("/write/1")
	before := heapInUse()
	open := make(chan struct{}, watches)
	for range watches {
		go func() { _ = s.Watch(ctx, "partitions/", 1, func(platform.Batch) { open <- struct{}{} }) }()
	}
	for range watches {
		<-open
	}
	b.ReportMetric(float64(heapInUse()-before)/watches, "B/watch")
}

func BenchmarkMemoryOfAKey(b *testing.B) {
	const keys = 20000
	before := heapInUse()
	engine := memstore.New()
	engine.SetHistory(0)
	defer engine.Close()
	for i := range keys {
		txn := record(0)
		txn.Then[0].Key = fmt.Sprintf("jobs/%02d/%08d", i%64, i)
		_, err := engine.Client("a").Commit(context.Background(), txn)
		requireNoError(b, err)
	}
	stored := heapInUse()
	b.ReportMetric(float64(stored-before)/keys, "store-B/key")
	runtime.KeepAlive(engine)
}
