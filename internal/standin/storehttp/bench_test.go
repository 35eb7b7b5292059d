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

// The benchmarks run the stand-in's store in a process of its own, so that the
// CPU time that they report is the client's alone. Bytes are counted at the
// server's sockets, both ways, headers included.

// serverEnv makes the test binary serve the store instead of running tests.
const serverEnv = "PULLEYQUAY_STORE_SERVER"

func TestMain(m *testing.M) {
	if os.Getenv(serverEnv) != "" {
		runServer()
		return
	}
	os.Exit(m.Run())
}

// wire counts the bytes of all connections.
type wire struct {
	net.Listener
	bytes atomic.Int64
}

type wireConn struct {
	net.Conn
	wire *wire
}

func (w *wire) Accept() (net.Conn, error) {
	c, err := w.Listener.Accept()
	return wireConn{c, w}, err
}

func (c wireConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.bytes.Add(int64(n))
	return n, err
}

func (c wireConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wire.bytes.Add(int64(n))
	return n, err
}

// runServer serves until its standard input ends. It prints its two addresses:
// of the store, and of the bench's own endpoints.
func runServer() {
	engine := memstore.New()
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		return l
	}
	store, own := &wire{Listener: listen()}, listen()
	go func() { _ = http.Serve(store, storehttp.Handler(engine)) }()
	mux := http.NewServeMux()
	mux.HandleFunc("/bytes", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, store.bytes.Load()) })
	mux.HandleFunc("/write/{count}", func(_ http.ResponseWriter, r *http.Request) {
		count, _ := strconv.Atoi(r.PathValue("count"))
		for i := range count {
			_, _ = engine.Client("writer").Commit(r.Context(), record(i%64))
			runtime.Gosched() // lets the watch take each change by itself
		}
	})
	go func() { _ = http.Serve(own, mux) }()
	fmt.Println(store.Addr(), own.Addr())
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// record writes one of the records that there are many of, of a usual size.
func record(i int) platform.Txn {
	value := []byte(strings.Repeat("x", 200))
	return platform.Txn{Then: []platform.Write{{Key: fmt.Sprintf("partitions/%02d", i), Value: value}}}
}

// bench is a server process and a client.
type bench struct {
	*etcdhttp.Client
	b   *testing.B
	own string
}

func newBench(b *testing.B) *bench {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), serverEnv+"=1")
	in, err := cmd.StdinPipe()
	fatal(b, err)
	out, err := cmd.StdoutPipe()
	fatal(b, err)
	fatal(b, cmd.Start())
	b.Cleanup(func() { _ = in.Close(); _ = cmd.Wait() })
	line, err := bufio.NewReader(out).ReadString('\n')
	fatal(b, err)
	addrs := strings.Fields(line)
	client, err := etcdhttp.New(etcdhttp.Options{Endpoints: addrs[:1], Name: "bench"})
	fatal(b, err)
	b.Cleanup(client.Close)
	return &bench{Client: client, b: b, own: "http://" + addrs[1]}
}

func fatal(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

func (s *bench) get(path string) int64 {
	response, err := http.Get(s.own + path)
	fatal(s.b, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	fatal(s.b, err)
	n, _ := strconv.ParseInt(string(body), 10, 64)
	return n
}

// cpu is the CPU time of this process in nanoseconds.
func cpu() int64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return u.Utime.Nano() + u.Stime.Nano()
}

// measure runs fn, which does b.N operations, and reports bytes and CPU of one.
func (s *bench) measure(fn func()) {
	bytes, used := s.get("/bytes"), cpu()
	s.b.ResetTimer()
	fn()
	s.b.StopTimer()
	s.b.ReportMetric(float64(cpu()-used)/float64(s.b.N), "cpu-ns/op")
	s.b.ReportMetric(float64(s.get("/bytes")-bytes)/float64(s.b.N), "wire-B/op")
}

func BenchmarkCommit(b *testing.B) {
	s := newBench(b)
	s.measure(func() {
		for i := range b.N {
			_, err := s.Commit(context.Background(), record(i%64))
			fatal(b, err)
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
			fatal(b, err)
		}
	})
}

func BenchmarkKeepAlive(b *testing.B) {
	s := newBench(b)
	id, err := s.Grant(context.Background(), 3600)
	fatal(b, err)
	s.measure(func() {
		for range b.N {
			fatal(b, s.KeepAlive(context.Background(), id))
		}
	})
}

func BenchmarkListOf64Records(b *testing.B) {
	s := newBench(b)
	s.get("/write/64")
	s.measure(func() {
		for range b.N {
			_, _, err := s.List(context.Background(), "partitions/")
			fatal(b, err)
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
		for seen := 0; seen < b.N; {
			seen += <-events
		}
	})
	cancel()
}

// heap is what is in use after a collection, in bytes.
func heap() int64 {
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
	before := heap()
	open := make(chan struct{}, watches)
	for range watches {
		go func() { _ = s.Watch(ctx, "partitions/", 1, func(platform.Batch) { open <- struct{}{} }) }()
	}
	for range watches {
		<-open
	}
	b.ReportMetric(float64(heap()-before)/watches, "B/watch")
}

func BenchmarkMemoryOfAKey(b *testing.B) {
	const keys = 20000
	before := heap()
	engine := memstore.New()
	engine.SetHistory(0)
	defer engine.Close()
	for i := range keys {
		txn := record(0)
		txn.Then[0].Key = fmt.Sprintf("jobs/%02d/%08d", i%64, i)
		_, err := engine.Client("a").Commit(context.Background(), txn)
		fatal(b, err)
	}
	stored := heap()
	b.ReportMetric(float64(stored-before)/keys, "store-B/key")
	runtime.KeepAlive(engine)
}
