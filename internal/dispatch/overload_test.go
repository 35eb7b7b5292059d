package dispatch_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/dispatch"
	"pulleyquay/internal/dispatch/queue"
	"pulleyquay/internal/executor"
	"pulleyquay/internal/hold"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/requesttest"
	"pulleyquay/internal/settings"
)

// compare adds the rows of every discipline and chooser to the log:
// go test ./internal/dispatch -run Overload -v -compare
var compare = flag.Bool("compare", false, "compare all queue disciplines and choosers")

const (
	loadSeed         = 5
	loadLength       = 4 * time.Second
	meanService      = 10 * time.Millisecond
	executorCount    = 7 // executors of one holder: 48 over 7 entry hosts
	slotsPerExecutor = 8
	zoneRoundTrip    = time.Millisecond
	// promptRefusal is the longest wait of a refusal that counts as immediate.
	promptRefusal = 10 * time.Millisecond
)

// arrival is one request of the seeded load.
type arrival struct {
	at      time.Duration
	caller  string
	timeout time.Duration
	service time.Duration
}

// arrivals generates a load of the given multiple of capacity: exponential gaps and service times,
// callers of unequal weight, three classes of deadline.
func arrivals(load float64) []arrival {
	rng := rand.New(rand.NewPCG(loadSeed, math.Float64bits(load)))
	gap := float64(meanService) / (executorCount * slotsPerExecutor * load)
	timeouts := []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond, time.Second}
	var out []arrival
	for at := time.Duration(0); at < loadLength; at += time.Duration(rng.ExpFloat64() * gap) {
		out = append(out, arrival{
			at: at, caller: "caller-" + strconv.Itoa(int(math.Sqrt(float64(rng.IntN(400))))),
			timeout: timeouts[rng.IntN(len(timeouts))],
			service: time.Duration(rng.ExpFloat64() * float64(meanService)),
		})
	}
	return out
}

// heterogeneousExecutors simulates executors of different speed and distance: a request takes its
// service time, times the executor's slowdown, plus a round trip to another zone.
type heterogeneousExecutors struct{ slowdown, roundTrips map[string]float64 }

const serviceHeader = "Service-Ns"

// Do implements executor.Client.
func (u heterogeneousExecutors) Do(_ context.Context, addr string, req executor.Request, _ int64) (executor.Answer, error) {
	ns, _ := strconv.ParseFloat(req.Header.Get(serviceHeader), 64)
	time.Sleep(time.Duration(ns*u.slowdown[addr] + u.roundTrips[addr]*float64(zoneRoundTrip)))
	return executor.Answer{Status: http.StatusOK}, nil
}

// loadResult holds the measurements of one run.
type loadResult struct {
	offered, good    int
	waitP50, waitP99 time.Duration
	wasted           float64 // share of the executors' time
	// refusedLate counts the requests that waited more than promptRefusal for their refusal.
	refusedLate int
}

func (f loadResult) goodput() float64 { return float64(f.good) / loadLength.Seconds() }

// runOverload runs a load through one dispatcher.
func runOverload(t *testing.T, load float64, order queue.Discipline, choose dispatch.Chooser) (f loadResult) {
	synctest.Test(t, func(t *testing.T) {
		d, stop := newHeterogeneousDispatcher(t, order, choose)
		defer stop()
		f = replay(d, arrivals(load))
	})
	return f
}

// newHeterogeneousDispatcher returns a dispatcher that holds seven executors of different speed in
// three zones.
func newHeterogeneousDispatcher(t *testing.T, order queue.Discipline, choose dispatch.Chooser) (*dispatch.Dispatcher, func()) {
	client := heterogeneousExecutors{slowdown: map[string]float64{}, roundTrips: map[string]float64{}}
	var hosts []platform.Host
	for i := range executorCount {
		name := fmt.Sprintf("executor-%d", i)
		client.slowdown[name] = 0.7 + 0.1*float64(i) // 0.7 to 1.3, mean 1
		client.roundTrips[name] = float64(min(i%3, 1))
		hosts = append(hosts, platform.Host{
			Name: name, Role: platform.RoleExecutor, Addr: name, Zone: fmt.Sprintf("zone-%d", i%3), Service: "ledger",
		})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := dispatch.New(dispatch.Config{
		Hosts:      func() []platform.Host { return hosts },
		Settings:   func(string) (settings.Values, bool) { return settings.Defaults(), true },
		Remotes:    func() []dispatch.Remote { return nil },
		Authorizer: &requesttest.Authorizer{}, Client: client, Zone: "zone-0", Partitions: 1,
		Discipline: order, Chooser: choose,
		Log: logrus.NewEntry(log), Metrics: prometheus.NewRegistry(),
	})
	if err := d.Acquire(t.Context(), hold.Acquisition{NeverHeld: true}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	go d.Run(ctx)
	return d, cancel
}

// replay sends the requests at their arrival times and waits for all to end.
func replay(d *dispatch.Dispatcher, load []arrival) loadResult {
	var mu sync.Mutex
	var waits []time.Duration
	f := loadResult{offered: len(load)}
	var used, wasted time.Duration
	var wg sync.WaitGroup
	start := time.Now()
	for _, a := range load {
		time.Sleep(time.Until(start.Add(a.at)))
		wg.Go(func() {
			arrived, deadline := time.Now(), time.Now().Add(a.timeout)
			var dispatched time.Time
			_, err := d.Do(context.Background(), dispatch.Work{
				Service: "ledger", Caller: a.caller, Deadline: deadline,
				Request:    executor.Request{Header: http.Header{serviceHeader: {strconv.Itoa(int(a.service))}}},
				BeforeSend: func() bool { dispatched = time.Now(); return true },
			})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				if time.Since(arrived) > promptRefusal {
					f.refusedLate++
				}
				return
			}
			waits = append(waits, dispatched.Sub(arrived))
			used += time.Since(dispatched)
			if time.Now().After(deadline) {
				wasted += time.Since(dispatched)
				return
			}
			f.good++
		})
	}
	wg.Wait()
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	f.waitP50, f.waitP99 = waits[len(waits)/2], waits[len(waits)*99/100]
	f.wasted = float64(wasted) / float64(used)
	return f
}

var loads = []float64{0.8, 1.0, 1.5, 3.0}

func TestGoodputHoldsUnderOverload(t *testing.T) {
	is := is.New(t)
	at := map[float64]loadResult{}
	for _, load := range loads {
		at[load] = runOverload(t, load, 0, 0)
		logResult(t, "default", load, at[load])
	}
	is.True(at[3.0].goodput() >= 0.95*at[1.0].goodput())
	is.True(at[3.0].wasted < 0.05)
	is.True(at[3.0].refusedLate < at[3.0].offered/50) // refusals are immediate
	if *compare {
		logComparison(t)
	}
}

func logComparison(t *testing.T) {
	orders := map[string]queue.Discipline{"FIFO": queue.FIFO, "EDF": queue.EDF, "adaptive LIFO": queue.AdaptiveLIFO}
	choosers := map[string]dispatch.Chooser{
		"zone, least loaded": dispatch.ZoneLeastLoaded, "least loaded": dispatch.LeastLoaded, "two choices": dispatch.TwoChoices,
	}
	for order, o := range orders {
		for choose, c := range choosers {
			for _, load := range loads {
				logResult(t, order+", "+choose, load, runOverload(t, load, o, c))
			}
		}
	}
}

func logResult(t *testing.T, name string, load float64, f loadResult) {
	t.Logf("%-36s load %.1f offered %6d goodput %6.0f/s wait median %9s 99%% %9s wasted %.2f%% refused late %.2f%%",
		name, load, f.offered, f.goodput(), f.waitP50.Round(10*time.Microsecond), f.waitP99.Round(10*time.Microsecond), 100*f.wasted,
		100*float64(f.refusedLate)/float64(f.offered))
}
