package requesttest_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"pulleyquay/internal/dispatch"
	"pulleyquay/internal/entry"
	"pulleyquay/internal/executor"
	"pulleyquay/internal/executor/exechttp"
	"pulleyquay/internal/hold"
	"pulleyquay/internal/httponce"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/request"
	"pulleyquay/internal/requestmsg"
	"pulleyquay/internal/requesttest"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/view"
)

const benchExecutors = 16 // 128 slots: no request waits

// loopback is one entry, one placer and executors connected by real sockets.
type loopback struct {
	entryURL  string
	executors []string
}

func newLoopback(b *testing.B) *loopback {
	l := &loopback{}
	var hosts []platform.Host
	for i := range benchExecutors {
		server := httptest.NewServer(http.HandlerFunc(echoBody))
		b.Cleanup(server.Close)
		l.executors = append(l.executors, server.URL)
		hosts = append(hosts, platform.Host{
			Name: fmt.Sprintf("executor-%d", i), Role: platform.RoleExecutor, Service: "ledger",
			Addr: strings.TrimPrefix(server.URL, "http://"),
		})
	}
	placer := newLoopbackPlacer(b, hosts)
	node := peer.NewNode(peer.Hello{Name: "entry"}, peer.NewMux(), quiet())
	b.Cleanup(node.Close)
	h := entry.NewHandler(entry.Config{
		View: fixedView{placer}, Peers: node, Settings: defaultValues, Placer: placer,
		Log: quiet(), Metrics: prometheus.NewRegistry(),
	})
	server := httptest.NewServer(h)
	b.Cleanup(server.Close)
	l.entryURL = server.URL + entry.Prefix + "ledger"
	return l
}

// newLoopbackPlacer starts a placer that holds all partitions, and returns its address.
func newLoopbackPlacer(b *testing.B, hosts []platform.Host) string {
	client := exechttp.New(httponce.Options{})
	b.Cleanup(client.Close)
	d := dispatch.New(dispatch.Config{
		Hosts: func() []platform.Host { return hosts }, Settings: defaultValues,
		Remotes:    func() []dispatch.Remote { return nil },
		Authorizer: &requesttest.Authorizer{}, Client: client, Partitions: partitions, Log: quiet(), Metrics: prometheus.NewRegistry(),
	})
	home := request.New(request.Config{
		Authorizer: &requesttest.Authorizer{}, Dispatcher: d, Settings: defaultValues, Log: quiet(), Metrics: prometheus.NewRegistry(),
	})
	for id := range partitions {
		for _, r := range []hold.Component{home, d} {
			if err := r.Acquire(context.Background(), hold.Acquisition{Grant: hold.Grant{Partition: id}, NeverHeld: true, AcquiredAt: time.Now()}); err != nil {
				b.Fatal(err)
			}
		}
	}
	mux := peer.NewMux()
	peer.Handle(mux, peer.KindServe, home.Serve)
	peer.Handle(mux, peer.KindDispatch, d.ServeDispatch)
	server := httptest.NewUnstartedServer(nil)
	addr := server.Listener.Addr().String()
	node := peer.NewNode(peer.Hello{Name: "placer", Addr: addr}, mux, quiet())
	server.Config.Handler = node
	server.Start()
	b.Cleanup(func() { node.Close(); server.Close() })
	return addr
}

// fixedView is the view of a cell with one placer.
type fixedView struct{ addr string }

// Table implements view.Source.
func (f fixedView) Table() *view.Table {
	t := &view.Table{Members: []view.Member{{Name: "placer", Addr: f.addr}}}
	for id := range partitions {
		t.Partitions = append(t.Partitions, view.Partition{ID: id, Holder: "placer", Addr: f.addr})
	}
	return t
}

// Settings implements view.Source.
func (fixedView) Settings() *settings.Tree { return nil }

func defaultValues(string) (settings.Values, bool) {
	v := settings.Defaults()
	v.Request.KeyLimit = 1 << 30
	return v, true
}

func echoBody(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(body)
}

// BenchmarkPath compares requests through entry and home with direct calls to the same executors.
func BenchmarkPath(b *testing.B) {
	l := newLoopback(b)
	for _, size := range []int{0, 1 << 10, 64 << 10} {
		for _, concurrency := range []int{1, 16, 64} {
			name := fmt.Sprintf("body=%d/concurrency=%d", size, concurrency)
			body := bytes.Repeat([]byte("x"), size)
			b.Run("direct/"+name, func(b *testing.B) {
				measure(b, concurrency, func(i int) *http.Request {
					return post(l.executors[i%benchExecutors]+"/tickets", body, false)
				})
			})
			b.Run("keyless/"+name, func(b *testing.B) {
				measure(b, concurrency, func(int) *http.Request { return post(l.entryURL+"/tickets", body, false) })
			})
			b.Run("keyed/"+name, func(b *testing.B) {
				measure(b, concurrency, func(int) *http.Request { return post(l.entryURL+"/tickets", body, true) })
			})
		}
	}
}

func post(url string, body []byte, keyed bool) *http.Request {
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	if keyed {
		r.Header.Set(entry.KeyHeader, uuid.Must(uuid.NewV7()).String())
	}
	return r
}

// measure sends b.N requests and reports the latencies.
func measure(b *testing.B, concurrency int, next func(i int) *http.Request) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrency}}
	defer client.CloseIdleConnections()
	latencies := hdrhistogram.New(1, time.Minute.Nanoseconds(), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	used := cpuTime()
	b.ResetTimer()
	for c := range concurrency {
		wg.Go(func() {
			for i := c; i < b.N; i += concurrency {
				took := roundTrip(b, client, next(i))
				mu.Lock()
				_ = latencies.RecordValue(took.Nanoseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	for name, q := range map[string]float64{"p50-us": 50, "p99-us": 99, "p99.9-us": 99.9} {
		b.ReportMetric(float64(latencies.ValueAtPercentile(q))/1000, name)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
	b.ReportMetric(float64((cpuTime()-used).Microseconds())/float64(b.N), "cpu-us/req")
}

// cpuTime returns the CPU time used by this process, which includes the caller and the executors.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func roundTrip(b *testing.B, client *http.Client, r *http.Request) time.Duration {
	start := time.Now()
	resp, err := client.Do(r)
	if err != nil {
		b.Error(err)
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Errorf("status %d", resp.StatusCode)
	}
	return time.Since(start)
}

// instantClient answers at once, without a socket.
type instantClient struct{}

// Do implements executor.Client.
func (instantClient) Do(context.Context, string, executor.Request, int64) (executor.Answer, error) {
	return executor.Answer{Status: http.StatusOK}, nil
}

// newFakeHome returns a home whose executors answer at once.
func newFakeHome(b testing.TB) *request.Home {
	d := dispatch.New(dispatch.Config{
		Hosts: func() []platform.Host {
			return []platform.Host{{Name: "executor-0", Addr: "executor-0", Role: platform.RoleExecutor, Service: "ledger"}}
		},
		Settings: defaultValues, Remotes: func() []dispatch.Remote { return nil },
		Authorizer: &requesttest.Authorizer{}, Client: instantClient{}, Partitions: 1, Log: quiet(), Metrics: prometheus.NewRegistry(),
	})
	home := request.New(request.Config{
		Authorizer: &requesttest.Authorizer{}, Dispatcher: d, Settings: defaultValues, Log: quiet(), Metrics: prometheus.NewRegistry(),
	})
	for _, r := range []hold.Component{home, d} {
		if err := r.Acquire(context.Background(), hold.Acquisition{NeverHeld: true, AcquiredAt: time.Now()}); err != nil {
			b.Fatal(err)
		}
	}
	return home
}

// BenchmarkHome measures one request in home and dispatcher.
func BenchmarkHome(b *testing.B) {
	for _, keyed := range []bool{false, true} {
		b.Run(fmt.Sprintf("keyed=%t", keyed), func(b *testing.B) {
			home := newFakeHome(b)
			b.ReportAllocs()
			for b.Loop() {
				msg := requestmsg.Serve{Service: "ledger", Caller: "crew", Timeout: time.Second, Request: executor.Request{Method: "POST"}}
				if keyed {
					msg.Key = uuid.Must(uuid.NewV7())
				}
				if _, err := home.Serve(context.Background(), msg); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkKeyMemory reports the memory of one stored key with an empty answer.
func BenchmarkKeyMemory(b *testing.B) {
	const keys = 200000
	for b.Loop() {
		home := newFakeHome(b)
		before := heap()
		for range keys {
			msg := requestmsg.Serve{Service: "ledger", Timeout: time.Second, Key: uuid.Must(uuid.NewV7())}
			if _, err := home.Serve(context.Background(), msg); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(heap()-before)/keys, "B/key")
		runtime.KeepAlive(home)
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
