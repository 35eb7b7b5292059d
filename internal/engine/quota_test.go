package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// Tests of client account quotas. Everything that may be running has to count against the quota, whatever
// happens to calls, hosts and holders.

// accountWorld is a cell with client accounts; jobs are named "account-...".
func accountWorld(t testing.TB, seed uint64, hosts int) *world {
	w := newWorld(t, seed)
	w.followsHosts = true
	w.accountOf = func(id string) string {
		for name := range w.quotas {
			if len(id) > len(name) && id[:len(name)] == name {
				return name
			}
		}
		return ""
	}
	w.fleet.Add(hosts, "s", size(16, 64))
	return w
}

// crewWorld is a cell in which the account "crew" has a quota of the given number of processors, one
// second after its first holder took over.
func crewWorld(t testing.TB, seed uint64, hosts int, quota int64) *world {
	w := accountWorld(t, seed, hosts)
	w.setQuota("crew", cores(quota))
	w.failOver()
	w.run(time.Second)
	return w
}

func cores(n int64) fairshare.Quota {
	return fairshare.Quota{MilliCPU: n * 1000, MemoryMiB: -1, Accelerators: -1}
}

// coresOf returns the processors in use by an account's tasks, as seen by the hosts.
func (w *world) coresOf(account string) int64 { return w.fleet.AllocatedTo(account).MilliCPU / 1000 }

// TestQuotasHold checks that everything an account may have running counts in every dimension, for all
// kinds of work, and that ended work counts no longer.
func TestQuotasHold(t *testing.T) {
	const quota = 8
	backfill := step(20, 2, 1, 60000)
	backfill.Backfill = true
	longRunning := step(20, 2, 1, 0)
	longRunning.LongRunning = true
	gang := step(3, 2, 1, 2000)
	gang.Gang = true
	memory := step(20, 1, 4, 1000)
	cases := map[string]struct {
		step     spec.Step
		q        fairshare.Quota
		maxCores int64 // processors
		ends     bool
	}{
		"tasks":        {step(20, 2, 1, 1000), cores(quota), 8, true},
		"memory":       {memory, fairshare.Quota{MilliCPU: -1, MemoryMiB: 12 << 10, Accelerators: -1}, 3, true},
		"long-running": {longRunning, cores(quota), 8, false},
		"backfill":     {backfill, cores(quota), 8, false},
		"a gang":       {gang, cores(quota), 6, true},
		"unlimited":    {step(20, 2, 1, 1000), fairshare.Unlimited, 64, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := accountWorld(t, 3, 4)
			w.setQuota("crew", tc.q)
			w.failOver()
			w.run(time.Second)
			maxCores := int64(0)
			w.submit("crew-1", catalog.Rules{}, tc.step)
			w.submit("crew-2", catalog.Rules{}, tc.step)
			for range 200 {
				w.run(100 * time.Millisecond)
				maxCores = max(maxCores, w.coresOf("crew"))
			}
			w.checkInvariants()
			is.Equal(maxCores, tc.maxCores)
			if tc.ends {
				is.Equal(w.completed(), 2)
				is.Equal(w.engine.accounts["crew"].used, spec.Resources{}) // ended work counts no longer
			}
		})
	}
}

// TestAccountsDoNotBlockEachOther checks that an account at its quota waits although capacity is free,
// and that other accounts use that capacity at once.
func TestAccountsDoNotBlockEachOther(t *testing.T) {
	is := is.New(t)
	w := accountWorld(t, 5, 4)
	w.setQuota("full", cores(8))
	w.setQuota("crew", cores(32))
	w.failOver()
	w.run(time.Second)
	gang := step(4, 2, 1, 4000)
	gang.Gang = true
	for i := range 10 {
		w.submit(fmt.Sprint("full-", i), catalog.Rules{}, gang)
	}
	w.run(time.Second)
	is.Equal(w.coresOf("full"), int64(8))
	w.submit("crew-1", catalog.Rules{Priority: 2}, step(10, 2, 1, 4000))
	w.run(300 * time.Millisecond)
	is.Equal(w.coresOf("crew"), int64(20))
	w.checkInvariants()
}

// TestQuotasFallAndRise checks that a reduced quota stops nothing and lets nothing start above it, and
// that a raised quota lets work start at once, also under a next holder.
func TestQuotasFallAndRise(t *testing.T) {
	for name, between := range map[string]func(w *world){
		"one holder":    func(*world) {},
		"failover":      func(w *world) { w.failOver() },
		"two failovers": func(w *world) { w.failOver(); w.run(50 * time.Millisecond); w.failOver() },
		"failover, hosts unresponsive": func(w *world) {
			w.setAllDisconnected(true)
			w.failOver()
			w.after(2*time.Second, func() { w.setAllDisconnected(false) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := crewWorld(t, 7, 4, 32)
			w.submit("crew-1", catalog.Rules{}, step(16, 2, 1, 6000))
			w.submit("crew-2", catalog.Rules{}, step(40, 2, 1, 3000))
			w.run(time.Second)
			is.Equal(w.coresOf("crew"), int64(32))
			w.setQuota("crew", cores(4))
			between(w)
			w.run(quotaSettleTime)
			is.True(w.coresOf("crew") <= 4)
			w.setQuota("crew", cores(24))
			w.run(500 * time.Millisecond)
			is.Equal(w.coresOf("crew"), int64(24))
			w.checkInvariants()
		})
	}
}

// quotaSettleTime is the time after which everything that ran under the former quota has ended on all
// hosts.
const quotaSettleTime = 25 * time.Second

func (w *world) setAllDisconnected(cut bool) {
	for _, h := range w.fleet.Hosts() {
		h.SetDisconnected(cut)
	}
}

// TestUnreportedHostsCount: after a failover some hosts do not report, and an account's tasks may run
// there. They count until it is certain that they do not run.
func TestUnreportedHostsCount(t *testing.T) {
	is := is.New(t)
	w := crewWorld(t, 11, 4, 24)
	w.submit("crew-1", catalog.Rules{}, step(12, 2, 1, 30000))
	w.run(time.Second)
	is.Equal(w.coresOf("crew"), int64(24))
	w.host("h00").SetDisconnected(true)
	w.host("h01").SetDisconnected(true)
	w.failOver()
	for i := range 5 {
		w.submit(fmt.Sprint("crew-", 2+i), catalog.Rules{}, step(6, 2, 1, 1000))
		w.run(time.Second)
	}
	w.checkInvariants()
	w.run(30 * time.Second)
	is.Equal(w.coresOf("crew"), int64(24)) // tasks of the unreachable hosts were restarted
	w.checkInvariants()
}

// TestNothingStartsBeforeQuotasAreKnown checks that a holder without a configuration starts no work of
// client accounts.
func TestNothingStartsBeforeQuotasAreKnown(t *testing.T) {
	is := is.New(t)
	w := accountWorld(t, 13, 4)
	w.setQuota("crew", cores(8))
	w.failOver()
	w.engine.catalog = nil
	w.submit("crew-1", catalog.Rules{}, step(12, 2, 1, 1000))
	w.run(2 * time.Second)
	is.Equal(w.coresOf("crew"), int64(0))
	w.deliver(w.engine, func() { w.engine.SetCatalog(w.catalog(), w.now()) })
	w.run(100 * time.Millisecond)
	is.Equal(w.coresOf("crew"), int64(8))
}

// TestUsageMatchesHosts runs accounts at their quotas while calls are lost or delayed, hosts are
// disconnected, crash and restart, holders change, also twice in a row, and quotas fall and rise. The
// hosts check each start against the quotas, and at the end all usage has to be zero.
func TestUsageMatchesHosts(t *testing.T) {
	seeds := uint64(24)
	if testing.Short() {
		seeds = 6
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runQuotaScenario(t, seed) })
	}
}

func runQuotaScenario(t testing.TB, seed uint64) {
	w := accountWorld(t, seed, 12)
	accounts := []string{"crew", "county", "school"}
	for i, name := range accounts {
		w.setQuota(name, cores(int64(48+48*i)))
	}
	w.fleet.KeepID = seed%2 == 0
	w.fleet.RestartDelay = time.Duration(100+w.rnd.IntN(2500)) * time.Millisecond
	w.failOver()
	w.run(time.Second)
	w.faults = []faults{{}, {lostReply: 0.3}, {delayedRequest: 0.15}, {lostRequest: 0.2}, {latePolls: 0.3}, {lateViews: 0.3}}[seed%6]
	const busy = 30 * time.Second
	for at := time.Duration(0); at < busy; at += 150 * time.Millisecond {
		w.after(at, func() { w.submitRandom(accounts[w.rnd.IntN(len(accounts))], at) })
	}
	for at := time.Second; at < busy; at += time.Duration(300+w.rnd.IntN(2000)) * time.Millisecond {
		w.after(at, func() { w.injectFault(accounts) })
	}
	w.run(busy)
	w.faults = faults{}
	for i, name := range accounts {
		w.setQuota(name, cores(int64(48+48*i)))
	}
	w.setAllDisconnected(false)
	w.run(150 * time.Second)
	w.checkInvariants()
	for id := range w.jobs {
		if s := w.reported[id]; !s.Final() {
			t.Errorf("job %s still waits in an idle cell: %s", id, w.describe(id))
		}
	}
	for name, a := range w.engine.accounts {
		if !a.used.IsZero() || !a.unconfirmed.IsZero() {
			t.Errorf("account %s has usage %v and unconfirmed usage %v in an empty cell", name, a.used, a.unconfirmed)
		}
		if n := len(a.unconfirmedBackfill); n > 0 {
			t.Errorf("account %s has unconfirmed backfill tasks of %d steps in an empty cell", name, n)
		}
	}
	if !w.engine.orphanUsage.IsZero() {
		t.Errorf("orphan runs use %v in an empty cell", w.engine.orphanUsage)
	}
}

// TestPreemptionForAGangGrantsNoQuota guards against a gang that starts above the quota after others were
// preempted for it: more urgent tasks of its account use up the quota meanwhile. An account had 312 cores
// running with a quota of 277.
func TestPreemptionForAGangGrantsNoQuota(t *testing.T) {
	is := is.New(t)
	w := accountWorld(t, 17, 4)
	w.setQuota("crew", cores(32))
	w.setQuota("other", cores(64))
	w.failOver()
	w.run(time.Second)
	lessUrgent := step(32, 2, 1, 60000)
	lessUrgent.Checkpointing = true
	w.submit("other-1", catalog.Rules{Priority: 2}, lessUrgent)
	w.run(time.Second)
	gang := step(14, 2, 1, 5000)
	gang.Gang = true
	w.submit("crew-1", catalog.Rules{Priority: 1}, gang)
	w.run(20 * time.Millisecond) // others are being preempted for it
	is.True(!w.engine.jobs["crew-1"].groups[0].preemptedAt.IsZero())
	w.submit("crew-2", catalog.Rules{Priority: 0}, step(32, 1, 1, 5000))
	w.run(30 * time.Second)
	w.checkInvariants()
	is.Equal(w.completed(), 2) // one after the other
}

// submitRandom submits a job of a random kind.
func (w *world) submitRandom(account string, at time.Duration) {
	s := step(1+w.rnd.IntN(12), 1+w.rnd.Int64N(4), 1, 200+w.rnd.Int64N(4000))
	rules := catalog.Rules{MaxAttempts: 20, Priority: w.rnd.IntN(3)}
	id := fmt.Sprint(account, "-", at)
	switch w.rnd.IntN(6) {
	case 0:
		s.Gang, s.Count = true, 1+w.rnd.IntN(6)
	case 1:
		s.Backfill = true
	case 2:
		s.Checkpointing = true
	case 3:
		second := step(3, 2, 1, 500)
		second.After = []int{0}
		w.submit(id, rules, s, second)
		return
	case 4:
		w.submitGraph(id, rules, spec.Graph{Steps: []spec.Step{s}, Repeat: spec.Repeat{Times: 2, FirstUnixMilli: w.now().UnixMilli(), EveryMillis: 900}})
		return
	}
	w.submit(id, rules, s)
}

// injectFault injects one random fault or change.
func (w *world) injectFault(accounts []string) {
	h := w.fleet.Hosts()[w.rnd.IntN(len(w.fleet.Hosts()))]
	switch w.rnd.IntN(9) {
	case 0:
		w.failOver()
	case 1:
		w.failOver()
		w.after(time.Duration(w.rnd.IntN(200))*time.Millisecond, w.failOver)
	case 2:
		h.RestartAfterPowerLoss()
	case 3, 4:
		h.SetDisconnected(true)
		w.after(time.Duration(300+w.rnd.IntN(8000))*time.Millisecond, func() { h.SetDisconnected(false) })
	case 5, 6:
		w.setQuota(accounts[w.rnd.IntN(len(accounts))], cores(24+w.rnd.Int64N(120)))
	case 7:
		for id, s := range w.reported {
			if s == record.StateRunning {
				w.deliver(w.engine, func() { w.engine.Cancel(id, w.now()) })
				return
			}
		}
	default:
		h.Restart()
	}
}

// TestUnconfirmedBackfillCounts guards against unconfirmed backfill tasks that are counted only up to the
// capacity of the hosts that have not reported since the failover. Backfill tasks take none of the
// processors there but count in full against their account, which had 56 cores running with a quota of 48.
func TestUnconfirmedBackfillCounts(t *testing.T) {
	for name, quota := range map[string]int64{"little memory each": 48, "all the memory of a host": 16} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := crewWorld(t, 11, 2, quota)
			backfill := step(int(quota)/4, 4, 1, 30000)
			backfill.Backfill = true
			if quota == 16 {
				backfill.Size.MemoryMiB = 32 << 10 // two per host
			}
			w.submit("crew-1", catalog.Rules{}, backfill)
			w.run(time.Second)
			is.Equal(w.coresOf("crew"), quota)
			w.host("h00").SetDisconnected(true)
			w.failOver()
			w.submit("crew-2", catalog.Rules{}, step(12, 2, 1, 1000))
			w.run(5 * time.Second)
			w.checkInvariants()
			is.Equal(w.coresOf("crew"), quota)
		})
	}
}

// TestUnconfirmedBackfillIsBounded checks that unconfirmed backfill tasks count for no more than the hosts
// that have not reported can hold, so that one such host does not block the quota of an account with many
// waiting backfill tasks.
func TestUnconfirmedBackfillIsBounded(t *testing.T) {
	is := is.New(t)
	w := crewWorld(t, 11, 4, 40)
	backfill := step(100, 4, 32, 30000) // two per host
	backfill.Backfill = true
	w.submit("crew-1", catalog.Rules{}, backfill)
	w.run(time.Second)
	is.Equal(w.coresOf("crew"), int64(32))
	w.host("h00").SetDisconnected(true)
	w.failOver()
	w.submit("crew-2", catalog.Rules{}, step(4, 2, 0, 30000))
	w.run(2 * time.Second)
	w.checkInvariants()
	is.Equal(w.coresOf("crew"), int64(40))
}

// TestRunsOfUnknownJobsCount guards against quotas that cover only known jobs: a job is accepted and
// started by the previous holder during a change of holders, and the next holder sees its runs before its
// record. It counted them for no account and started other work of the account: 16 cores with a quota of
// 8.
func TestRunsOfUnknownJobsCount(t *testing.T) {
	is := is.New(t)
	w := accountWorld(t, 11, 4)
	w.setQuota("crew", cores(8))
	w.setQuota("county", cores(400))
	w.failOver()
	w.run(time.Second)
	w.submit("crew-1", catalog.Rules{}, step(4, 2, 1, 5000))
	w.run(500 * time.Millisecond)
	is.Equal(w.coresOf("crew"), int64(8))
	key := record.JobKey(0, "crew-1")
	rec := w.store[key]
	delete(w.store, key)
	w.failOver()
	w.store[key] = rec
	w.submit("crew-2", catalog.Rules{}, step(4, 2, 1, 1000))
	w.run(300 * time.Millisecond)
	w.checkInvariants()
	w.deliver(w.engine, func() { w.engine.Accept(w.jobs["crew-1"], false, w.now(), w.now()) })
	w.submit("county-1", catalog.Rules{}, step(4, 2, 1, 1000))
	w.run(500 * time.Millisecond)
	is.Equal(w.coresOf("county"), int64(8)) // the runs no longer count against other accounts
	w.run(20 * time.Second)
	w.checkInvariants()
	is.Equal(w.completed(), 3)
	is.True(w.engine.orphanUsage.IsZero())
}

// TestRunsOfEndedJobsCount guards against quotas that ignore the runs of ended jobs: a job is cancelled
// and the holder changes while a host with some of its runs is disconnected. The next holder knew the job
// as ended and did not count them: 16 cores with a quota of 8.
func TestRunsOfEndedJobsCount(t *testing.T) {
	is := is.New(t)
	w := crewWorld(t, 11, 4, 8)
	w.submit("crew-1", catalog.Rules{}, step(4, 2, 1, 60000))
	w.run(500 * time.Millisecond)
	is.Equal(w.coresOf("crew"), int64(8))
	for _, h := range w.fleet.Hosts() {
		if len(h.Running()) > 0 {
			h.SetDisconnected(true)
		}
	}
	w.deliver(w.engine, func() { w.engine.Cancel("crew-1", w.now()) })
	w.run(100 * time.Millisecond)
	w.failOver()
	w.submit("crew-2", catalog.Rules{}, step(4, 2, 1, 60000))
	w.run(time.Second)
	w.checkInvariants()
	w.run(12 * time.Second) // leases have expired
	w.checkInvariants()
	is.Equal(w.coresOf("crew"), int64(8))
}

// TestLongEndedJobsCountNothing checks that the runs of a job which ended long before count no longer.
func TestLongEndedJobsCountNothing(t *testing.T) {
	is := is.New(t)
	w := crewWorld(t, 11, 4, 8)
	w.submit("crew-1", catalog.Rules{}, step(4, 2, 1, 60000))
	w.run(500 * time.Millisecond)
	w.deliver(w.engine, func() { w.engine.Cancel("crew-1", w.now()) })
	w.run(time.Minute)
	w.host("h00").SetDisconnected(true)
	w.recordAge = time.Minute
	w.failOver()
	w.submit("crew-2", catalog.Rules{}, step(4, 2, 1, 60000))
	w.run(time.Second)
	w.checkInvariants()
	is.Equal(w.coresOf("crew"), int64(8))
}

// TestCancelledJobsAreBounded guards against unconfirmed work that counts for more than the hosts that have
// not reported can hold. Many jobs are cancelled within seconds, the holder changes, and one host does
// not report. All former runs of these jobs counted until the host's lease expired: accounts stood at up to
// 246% of their quotas and started nothing for nine seconds while nearly the whole cell was free.
func TestCancelledJobsAreBounded(t *testing.T) {
	is := is.New(t)
	w := crewWorld(t, 11, 8, 64)
	for i := range 10 {
		id := fmt.Sprint("crew-", i)
		w.submit(id, catalog.Rules{}, step(16, 4, 1, 60000))
		w.run(300 * time.Millisecond)
		w.deliver(w.engine, func() { w.engine.Cancel(id, w.now()) })
		w.run(300 * time.Millisecond)
	}
	w.host("h00").SetDisconnected(true)
	w.failOver()
	w.submit("crew-next", catalog.Rules{}, step(12, 4, 1, 60000))
	w.run(time.Second)
	w.checkInvariants()
	is.Equal(w.coresOf("crew"), int64(48)) // the quota less the capacity of one host
}
