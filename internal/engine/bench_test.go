package engine

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// cellLoad is the load of a cell of a production size.
type cellLoad struct {
	hosts                     int
	reviews, surveys, tickets float64 // per second
	reviewWidth, surveyWidth  int
	ticketWidth               int
	surveyCPU, ticketCPU      int64 // thousandths of a core, per task
	name                      string
}

// named returns the load with different job names.
func (l cellLoad) named(name string) cellLoad {
	l.name = name
	return l
}

var (
	smallCell = cellLoad{hosts: 48, reviews: 1.16, surveys: 6.83, tickets: 48.3, reviewWidth: 8, surveyWidth: 10, ticketWidth: 2, surveyCPU: 3900, ticketCPU: 5600}
	largeCell = cellLoad{hosts: 1100, reviews: 5.42, surveys: 16.8, tickets: 142, reviewWidth: 40, surveyWidth: 50, ticketWidth: 4, surveyCPU: 11000, ticketCPU: 16000}
	grownCell = cellLoad{hosts: 350, reviews: 3.46, surveys: 11.2, tickets: 125, reviewWidth: 20, surveyWidth: 25, ticketWidth: 3, surveyCPU: 3900, ticketCPU: 5600}
)

// wholeFleet is the load of a whole fleet of 6,000 hosts.
var wholeFleet = cellLoad{hosts: 6000, reviews: 2.95, surveys: 6.72, tickets: 85.2, reviewWidth: 48, surveyWidth: 75, ticketWidth: 4, surveyCPU: 9900, ticketCPU: 14000}

// arrive submits the load's jobs at even intervals for a duration.
func (l cellLoad) arrive(w *world, d time.Duration) {
	reviewAdvice := &catalog.PolicyQuery{DecideMillis: 560, PerHostMillis: 8.1, ValidMillis: 1500}
	surveyAdvice := &catalog.PolicyQuery{DecideMillis: 46, PerHostMillis: 0.66, ValidMillis: 1500}
	ticketAdvice := &catalog.PolicyQuery{DecideMillis: 6.5, PerHostMillis: 0.093, ValidMillis: 1500}
	each := func(name string, perSecond float64, rules catalog.Rules, s spec.Step) {
		n := int(d.Seconds() * perSecond)
		for i := range n {
			w.after(time.Duration(float64(i)/perSecond*float64(time.Second)), func() {
				w.submit(fmt.Sprint(name, l.name, i), rules, s)
			})
		}
	}
	review := spec.Step{Count: l.reviewWidth, Size: size(18, 26), EstimateMillis: 6200, Gang: true}
	survey := spec.Step{Count: l.surveyWidth, Size: spec.Resources{MilliCPU: l.surveyCPU, MemoryMiB: 7200}, EstimateMillis: 2200, Checkpointing: true}
	ticket := spec.Step{Count: l.ticketWidth, Size: spec.Resources{MilliCPU: l.ticketCPU, MemoryMiB: 10000}, EstimateMillis: 640}
	each("review", l.reviews, catalog.Rules{Priority: 1, CriticalPathFactor: 2.2, TargetMillis: 1000, PolicyQuery: reviewAdvice}, review)
	each("survey", l.surveys, catalog.Rules{Priority: 2, CriticalPathFactor: 4, TargetMillis: 3000, PolicyQuery: surveyAdvice}, survey)
	each("ticket", l.tickets, catalog.Rules{CriticalPathFactor: 1.5, TargetMillis: 250, PolicyQuery: ticketAdvice}, ticket)
	share := map[byte]uint32{'r': 25, 's': 45, 't': 70}
	w.permitted = func(step spec.StepID, h host.ID) bool {
		f := fnv.New32a()
		fmt.Fprint(f, step, h)
		return f.Sum32()%100 < share[step.Job[0]]
	}
}

// BenchmarkCell runs ten seconds of a cell's load; the time includes the cost of the simulated hosts.
func BenchmarkCell(b *testing.B) {
	for name, load := range map[string]cellLoad{"48 hosts": smallCell, "350 hosts": grownCell, "1100 hosts": largeCell} {
		b.Run(name, func(b *testing.B) {
			starts := 0
			for range b.N {
				w := newWorld(b, 1)
				w.fleet.Add(load.hosts, "s", size(64, 128))
				w.failOver()
				load.arrive(w, 10*time.Second)
				w.run(10 * time.Second)
				starts += w.fleet.Checker().Starts()
				w.checkInvariants()
				if w.completed() == 0 {
					b.Fatal("nothing completed")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(starts), "us/start")
			b.ReportMetric(float64(starts)/float64(b.N), "starts")
		})
	}
}

// BenchmarkFleet runs six seconds of the same load in cells of more and more hosts; the time includes the cost of the
// simulated hosts.
func BenchmarkFleet(b *testing.B) {
	for _, hosts := range []int{1100, 3000, 6000, 12000} {
		b.Run(fmt.Sprint(hosts, " hosts"), func(b *testing.B) {
			starts := 0
			var decisionTime time.Duration
			b.ReportAllocs()
			for range b.N {
				b.StopTimer()
				w := newWorld(b, 1)
				w.fleet.Add(hosts, "s", size(64, 256))
				w.failOver()
				w.run(4 * time.Second)
				w.decisionTime = 0
				b.StartTimer()
				wholeFleet.arrive(w, 6*time.Second)
				w.run(6 * time.Second)
				starts += w.fleet.Checker().Starts()
				decisionTime += w.decisionTime
				w.checkInvariants()
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(starts), "us/start")
			b.ReportMetric(float64(decisionTime.Microseconds())/float64(starts), "us/start-decisions")
			b.ReportMetric(float64(starts)/float64(b.N), "starts")
		})
	}
}

// BenchmarkBacklog runs five seconds of the grown cell's load on top of the backlog of another five
// seconds, as after a failover.
func BenchmarkBacklog(b *testing.B) {
	starts := 0
	for range b.N {
		w := newWorld(b, 1)
		w.fleet.Add(grownCell.hosts, "s", size(64, 128))
		w.failOver()
		w.run(100 * time.Millisecond)
		w.paused = true
		grownCell.arrive(w, 5*time.Second)
		w.run(5 * time.Second)
		w.paused = false
		grownCell.named("later").arrive(w, 5*time.Second)
		w.run(5 * time.Second)
		starts += w.fleet.Checker().Starts()
		w.checkInvariants()
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(starts), "us/start")
	b.ReportMetric(float64(starts)/float64(b.N), "starts")
}

// BenchmarkOverload runs a burst of tickets in a cell whose holder could issue no orders for five seconds:
// many urgent steps wait for capacity and permission, and more arrive. It reports the decision time per
// second of the load.
func BenchmarkOverload(b *testing.B) { benchmarkOverload(b, func(*world) {}) }

// BenchmarkOverloadByWeight is BenchmarkOverload with 440 client accounts that have weights.
func BenchmarkOverloadByWeight(b *testing.B) { benchmarkOverload(b, (*world).addWeights) }

func benchmarkOverload(b *testing.B, configure func(*world)) {
	const (
		held  = 5 * time.Second
		lasts = 4 * time.Second
	)
	load := grownCell
	load.tickets *= 3
	load.surveyCPU, load.ticketCPU = 6900, 9900
	starts, waiting := 0, 0
	var decisionTime time.Duration
	for range b.N {
		w := newWorld(b, 1)
		w.fleet.Add(load.hosts, "s", size(64, 128))
		w.policyDelay = func(o QueryOrder) time.Duration {
			return w.jobs[o.Step.Job].Rules.PolicyQuery.QueryDuration(len(o.Hosts))
		}
		w.members = nil
		for i := range 43 {
			w.members = append(w.members, fmt.Sprint("m", i))
		}
		configure(w)
		w.failOver()
		w.run(100 * time.Millisecond)
		w.paused = true
		load.arrive(w, held)
		w.run(held)
		w.paused, w.decisionTime = false, 0
		load.named("later").arrive(w, lasts)
		w.run(lasts)
		starts += w.fleet.Checker().Starts()
		waiting += len(w.engine.ready)
		decisionTime += w.decisionTime
		w.checkInvariants()
	}
	b.ReportMetric(float64(decisionTime.Microseconds())/float64(b.N)/lasts.Seconds(), "us/s")
	b.ReportMetric(float64(starts)/float64(b.N), "starts")
	b.ReportMetric(float64(waiting)/float64(b.N), "waiting")
}

// BenchmarkDecision runs two seconds of the grown cell's load, scaled to its hosts, and reports the median
// and the 99th percentile of the time of one decision (everything that is due at a moment). The jobs are
// spread over as many client accounts as a cell of the target size has.
func BenchmarkDecision(b *testing.B) {
	benchmarkDecision(b, func(w *world) { w.addAccounts(benchAccounts) })
}

// BenchmarkDecisionByWeight is BenchmarkDecision with accounts that have weights.
func BenchmarkDecisionByWeight(b *testing.B) { benchmarkDecision(b, (*world).addWeights) }

func benchmarkDecision(b *testing.B, configure func(*world)) {
	const lasts = 2 * time.Second
	for _, hosts := range []int{350, 3000, 18000} {
		b.Run(fmt.Sprint(hosts, " hosts"), func(b *testing.B) {
			var took []time.Duration
			for range b.N {
				load := grownCell
				scale := float64(hosts) / float64(load.hosts)
				load.reviews, load.surveys, load.tickets = scale*load.reviews, scale*load.surveys, scale*load.tickets
				w := newWorld(b, 1)
				w.fleet.Add(hosts, "s", size(64, 128))
				w.members = nil
				for i := range 43 {
					w.members = append(w.members, fmt.Sprint("m", i))
				}
				configure(w)
				w.failOver()
				w.run(time.Second)
				load.arrive(w, lasts)
				w.onDecision = func(d time.Duration) { took = append(took, d) }
				w.run(lasts)
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "us/p50")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "us/p99")
		})
	}
}

// benchAccounts is the number of client accounts of a cell of the target size.
const benchAccounts = 440

// addWeights adds client accounts with weights from 2 to 44.
func (w *world) addWeights() {
	w.weights = map[string]float64{}
	for i := range benchAccounts {
		w.weights[fmt.Sprint("account-", i)] = float64(2 + i%43)
	}
	w.addAccounts(benchAccounts)
}

// addAccounts spreads jobs over n client accounts by their ids, each with a quota of half the cell.
func (w *world) addAccounts(n int) {
	half := fairshare.Quota{MilliCPU: int64(len(w.fleet.Hosts())) * 32000, MemoryMiB: -1, Accelerators: -1}
	for i := range n {
		w.setQuota(fmt.Sprint("account-", i), half)
	}
	w.accountOf = func(id string) string { return fmt.Sprint("account-", hashOf(id)%uint32(n)) }
}

// BenchmarkStepOrder takes the steps of a queue of 10,000 of client accounts: as many as one pass attempts,
// and all of them, as when most steps are in backoff.
func BenchmarkStepOrder(b *testing.B) {
	for _, accounts := range []int{1, 20, benchAccounts} {
		for _, taken := range []int{passBudget, 10_000} {
			b.Run(fmt.Sprint(accounts, " accounts, ", taken, " taken"), func(b *testing.B) {
				e := New(Config{})
				e.poolOf("s").total = size(64, 256).Times(252)
				var queue []*group
				for i := range 10_000 {
					rec := &record.Job{ID: fmt.Sprint(i), Account: fmt.Sprint(i % accounts), Service: "s", Graph: spec.Graph{Steps: []spec.Step{step(10, 11, 8, 560)}}}
					j := newJob(rec, simulationStart.Add(time.Duration(i)*time.Millisecond))
					j.flow = e.flowOf(j)
					queue = append(queue, j.groups...)
				}
				o := stepOrder{limit: maxOrderedSteps}
				b.ReportAllocs()
				for b.Loop() {
					o.start(queue, true, simulationStart)
					for range taken {
						o.next()
					}
				}
			})
		}
	}
}
