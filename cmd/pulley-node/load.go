package main

import (
	"context"
	"fmt"
	"math"
	"runtime/metrics"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/holder"
	"pulleyquay/internal/lateness"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/traffic"
	"pulleyquay/internal/wait"
)

const (
	// loadEvery is how often the load of a process that holds a partition is told,
	// restLoads in how many of these times that of another one is.
	loadEvery = 2 * time.Second
	restLoads = 5
)

// purposes names what messages between members are for; others count as "other messages".
var purposes = map[peer.Kind]string{
	peer.KindBeat: "beats", peer.KindOpinion: "beats", peer.KindSucceed: "beats",
	peer.KindAccepted: "jobs", peer.KindStoreJob: "jobs",
	peer.KindState: "questions", peer.KindCancelJob: "questions", peer.KindPending: "questions",
	peer.KindAdvise: "advice", peer.KindCatalog: "settings",
	peer.KindHostCalls: "host calls", peer.KindHostReport: "host reports",
}

// countMessages counts messages between members by what they are for.
func countMessages(m *traffic.Meter) func(kind peer.Kind, in, out int) {
	counters := map[peer.Kind]*traffic.Counter{}
	for kind, purpose := range purposes {
		counters[kind] = m.Of(purpose)
	}
	other := m.Of("other messages")
	return func(kind peer.Kind, in, out int) {
		c := counters[kind]
		if c == nil {
			c = other
		}
		c.Message(in, out)
	}
}

// loadTeller tells now and then in one line what this process is busy with.
type loadTeller struct {
	meter   *traffic.Meter
	metrics *holder.Metrics
	late    *lateness.Timers
	table   *holder.Table
	log     *logrus.Entry

	at     time.Time
	cpu    time.Duration
	counts map[string]traffic.Reading
}

func (l *loadTeller) run(ctx context.Context) {
	l.tell(time.Now(), false)
	for rest := 1; wait.For(ctx, loadEvery); rest++ {
		_, holds := l.table.UnderWay()
		if holds || rest%restLoads == 0 {
			l.tell(time.Now(), true)
		}
	}
}

// tell logs what was done since the last call.
func (l *loadTeller) tell(now time.Time, log bool) {
	span, cpu := now.Sub(l.at).Seconds(), processorTime()
	load := l.metrics.TakeLoad()
	in, out, counts := map[string]float64{}, map[string]float64{}, map[string]traffic.Reading{}
	conns := int64(0)
	for _, r := range l.meter.Read() {
		before := l.counts[r.Purpose]
		counts[r.Purpose] = r
		conns += r.OpenConns
		if n := kilobytes(r.In-before.In, span); n > 0 {
			in[r.Purpose] = n
		}
		if n := kilobytes(r.Out-before.Out, span); n > 0 {
			out[r.Purpose] = n
		}
	}
	if log {
		calls, holds := l.table.UnderWay()
		l.log.WithFields(logrus.Fields{
			"cores": math.Round(1000*(cpu-l.cpu).Seconds()/span) / 1000, "late_ms": l.late.Latest().Milliseconds(), "heap_mb": heap() >> 20,
			"connections": conns, "holds": holds, "host_calls_under_way": calls, "deciding_ms_a_second": math.Round(float64(load.Deciding.Milliseconds()) / span),
			"longest_wait_ms": load.LongestWait.Milliseconds(), "oldest_job_ms": load.OldestJob.Milliseconds(),
			"in_kb_a_second": in, "out_kb_a_second": out,
		}).Info("process load")
	}
	l.at, l.cpu, l.counts = now, cpu, counts
}

// kilobytes is a rate in thousands of bytes a second, to a tenth.
func kilobytes(n int64, span float64) float64 {
	return math.Round(float64(n)/span/100) / 10
}

// processorTime is what this process has used; zero where it can not be told.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap is the memory of live and not yet collected objects, in bytes.
func heap() uint64 {
	s := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(s)
	if s[0].Value.Kind() != metrics.KindUint64 {
		panic(fmt.Sprintf("runtime metric %s is of kind %d", s[0].Name, s[0].Value.Kind()))
	}
	return s[0].Value.Uint64()
}
