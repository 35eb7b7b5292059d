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
	"pulleyquay/internal/httponce"
	"pulleyquay/internal/lateness"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/traffic"
	"pulleyquay/internal/wait"
)

const (
	// loadInterval is how often a process that holds a partition logs its load. Other
	// processes log theirs once in standbyLoadFactor intervals.
	loadInterval      = 2 * time.Second
	standbyLoadFactor = 5
)

// messagePurposes maps the kinds of messages between members to the purpose under which
// their traffic is counted; all other kinds count as "other messages".
var messagePurposes = map[peer.Kind]string{
	peer.KindMemberHeartbeat: "beats", peer.KindHolderStatus: "beats", peer.KindHandover: "beats",
	peer.KindJobAccepted: "jobs", peer.KindStoreJob: "jobs",
	peer.KindJobState: "questions", peer.KindCancelJob: "questions", peer.KindPendingJobs: "questions",
	peer.KindPolicyQuery: "advice", peer.KindCatalog: "settings",
	peer.KindHostCalls: "host calls", peer.KindHostReport: "host reports",
}

// countMessages returns a function that counts messages between members by purpose.
func countMessages(m *traffic.Meter) func(kind peer.Kind, in, out int) {
	counters := map[peer.Kind]*traffic.Counter{}
	for kind, purpose := range messagePurposes {
		counters[kind] = m.ForPurpose(purpose)
	}
	other := m.ForPurpose("other messages")
	return func(kind peer.Kind, in, out int) {
		c := counters[kind]
		if c == nil {
			c = other
		}
		c.CountMessage(in, out)
	}
}

// loadReporter periodically logs the load of this process in one line.
type loadReporter struct {
	meter   *traffic.Meter
	metrics *holder.Metrics
	timers  *lateness.Timers
	table   *holder.Table
	log     *logrus.Entry
	// hostConns returns the connections to hosts.
	hostConns func() httponce.Stats

	// Time and counters at the previous report.
	at     time.Time
	cpu    time.Duration
	counts map[string]traffic.CounterState
}

func (l *loadReporter) run(ctx context.Context) {
	l.report(time.Now(), false)
	for interval := 1; wait.For(ctx, loadInterval); interval++ {
		_, holds := l.table.PendingCalls()
		if holds || interval%standbyLoadFactor == 0 {
			l.report(time.Now(), true)
		}
	}
}

// report reads the counters and, if log is set, logs the load since the last call.
func (l *loadReporter) report(now time.Time, log bool) {
	span, cpu := now.Sub(l.at).Seconds(), processorTime()
	load := l.metrics.TakeLoad()
	in, out, counts := map[string]float64{}, map[string]float64{}, map[string]traffic.CounterState{}
	conns := int64(0)
	for _, r := range l.meter.Snapshot() {
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
		calls, holds := l.table.PendingCalls()
		hosts := l.hostConns()
		l.log.WithFields(logrus.Fields{
			"cores": math.Round(1000*(cpu-l.cpu).Seconds()/span) / 1000, "late_ms": l.timers.MaxLateness().Milliseconds(), "heap_mb": heap() >> 20,
			"connections": conns, "host_connections": hosts.Open, "most_to_one_host": hosts.MostToOne, "turned_away_by_hosts": hosts.TurnedAway,
			"holds": holds, "host_calls_under_way": calls, "deciding_ms_a_second": math.Round(float64(load.DecisionTime.Milliseconds()) / span),
			"longest_wait_ms": load.LongestWait.Milliseconds(), "oldest_job_ms": load.OldestJobAge.Milliseconds(),
			"in_kb_a_second": in, "out_kb_a_second": out,
		}).Info("process load")
	}
	l.at, l.cpu, l.counts = now, cpu, counts
}

// kilobytes returns the rate of n bytes in span seconds, in thousands of bytes a second
// rounded to a tenth.
func kilobytes(n int64, span float64) float64 {
	return math.Round(float64(n)/span/100) / 10
}

// processorTime returns the processor time that this process has used, zero if the
// system doesn't report it.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the memory of live and not yet collected objects, in bytes.
func heap() uint64 {
	s := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(s)
	if s[0].Value.Kind() != metrics.KindUint64 {
		panic(fmt.Sprintf("runtime metric %s is of kind %d", s[0].Name, s[0].Value.Kind()))
	}
	return s[0].Value.Uint64()
}
