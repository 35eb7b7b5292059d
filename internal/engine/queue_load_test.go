package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/overload"
)

// shortJobRules are the rules of short work without a policy.
var shortJobRules = catalog.Rules{CriticalPathFactor: 1.5, TargetMillis: 250}

// weightedWorld is a cell of 160 cores in which the accounts "light" and "heavy" have weights of 1 and 3.
func weightedWorld(t *testing.T, quota fairshare.Quota) *world {
	w := accountWorld(t, 29, 10)
	w.keepEvents = true
	w.quotas["light"], w.quotas["heavy"] = fairshare.Unlimited, quota
	w.fleet.SetQuota("heavy", quota)
	w.failOver()
	w.setWeights()
	return w
}

// setWeights passes the configuration, with weights, to the engine.
func (w *world) setWeights() {
	c := w.catalog()
	for i := range c.Accounts {
		c.Accounts[i].Weight = map[string]float64{"light": 1, "heavy": 3}[c.Accounts[i].Name]
	}
	w.engine.SetCatalog(c, w.now())
}

// send submits jobs of 8 tasks that take 0.56 s on one core each, at even intervals.
func (w *world) send(account string, perSecond float64, d time.Duration) {
	for i := range int(d.Seconds() * perSecond) {
		w.after(time.Duration(float64(i)/perSecond*float64(time.Second)), func() {
			w.submit(fmt.Sprintf("%s-%d-%d", account, w.now().UnixMilli(), i), shortJobRules, step(8, 1, 1, 560))
		})
	}
}

// limitOf returns the limit of an account, if there is one.
func (w *world) limitOf(account string) (overload.Limit, bool) {
	limits, _, ok := w.engine.Limits()
	for _, l := range limits {
		if ok && l.Account == account {
			return l, true
		}
	}
	return overload.Limit{}, false
}

func (w *world) countEvents(what string) (n int) {
	for _, ev := range w.events {
		if ev.What == what {
			n++
		}
	}
	return n
}

// TestBurstIsMeasured: of two accounts, the one that sends three times of what the cell completes is limited once its
// jobs would end after three times their target, and no more once its work has been done. The other one is not.
func TestBurstIsMeasured(t *testing.T) {
	is := is.New(t)
	w := weightedWorld(t, fairshare.Unlimited)
	w.run(time.Second)
	w.send("light", 3, 30*time.Second)
	w.send("heavy", 100, 8*time.Second) // the cell completes 35 a second
	var limitedAt, endedAt time.Duration
	for range 300 {
		w.run(100 * time.Millisecond)
		_, limited := w.limitOf("heavy")
		switch at := w.now().Sub(simulationStart); {
		case limited && limitedAt == 0:
			limitedAt = at
		case !limited && limitedAt != 0 && endedAt == 0:
			endedAt = at
		}
		_, limited = w.limitOf("light")
		is.True(!limited)
	}
	w.checkInvariants()
	t.Log("limited at", limitedAt, "until", endedAt)
	is.True(limitedAt > 2*time.Second && limitedAt < 6*time.Second)
	is.True(endedAt > 8*time.Second && endedAt < 25*time.Second)
	is.Equal(w.countEvents("jobs limited"), 1)
	is.Equal(w.countEvents("jobs limited no more"), 1)
	for _, ev := range w.events {
		if ev.What == "jobs limited" {
			is.Equal(ev.Kind, "q")
			is.True(strings.Contains(ev.Why, "queue q, account heavy: expected wait "))
		}
	}
}

// TestLimitsAreReported: the dump and the explanation of a job tell the figures of its queue and account.
func TestLimitsAreReported(t *testing.T) {
	is := is.New(t)
	w := weightedWorld(t, fairshare.Unlimited)
	w.run(time.Second)
	w.send("heavy", 100, 8*time.Second)
	w.run(7 * time.Second)
	rows := w.engine.Dump(w.now()).Admission
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Key, overload.Key{Queue: "q", Account: "heavy"})
	is.True(rows[0].Admit < 1 && rows[0].Evidence && rows[0].WaitMillis > rows[0].MaxWaitMillis)
	w.submit("heavy-last", shortJobRules, step(8, 1, 1, 560))
	x, known := w.engine.Explain("heavy-last", w.now())
	is.True(known)
	is.Equal(*x.Admission, rows[0])
	w.submit("light-long", catalog.Rules{}, step(1, 1, 1, 560)) // has no target
	x, _ = w.engine.Explain("light-long", w.now())
	is.True(x.Admission == nil)
}

// TestFailoverHasNoLimitsAtFirst: the next holder measures anew. It has no figures while hosts are asked for their runs,
// and limits the account again only with evidence of its own.
func TestFailoverHasNoLimitsAtFirst(t *testing.T) {
	is := is.New(t)
	w := weightedWorld(t, fairshare.Unlimited)
	w.run(time.Second)
	w.send("heavy", 100, 12*time.Second)
	w.run(8 * time.Second)
	_, limited := w.limitOf("heavy")
	is.True(limited)
	w.failOver()
	w.setWeights()
	for w.engine.reconciling {
		_, _, ok := w.engine.Limits()
		is.True(!ok)
		w.run(20 * time.Millisecond)
	}
	for range 7 { // one run time, with its margin
		_, limited = w.limitOf("heavy")
		is.True(!limited)
		w.run(100 * time.Millisecond)
	}
	w.run(3 * time.Second)
	_, limited = w.limitOf("heavy")
	is.True(limited)
	w.checkInvariants()
}

// TestNoLimitsWithoutAuthority: while the holder may give no orders, nothing starts and all work waits. That is not
// held against the accounts.
func TestNoLimitsWithoutAuthority(t *testing.T) {
	is := is.New(t)
	w := weightedWorld(t, fairshare.Unlimited)
	w.run(time.Second)
	w.send("heavy", 25, 20*time.Second) // the cell completes 35 a second
	w.run(3 * time.Second)
	w.paused = true
	w.run(3 * time.Second)
	_, _, ok := w.engine.Limits()
	is.True(!ok)
	w.paused = false
	for range 10 { // the backlog is measured anew
		w.run(100 * time.Millisecond)
		_, limited := w.limitOf("heavy")
		is.True(!limited)
	}
}

// TestQuotaWaitIsMeasured: an account that waits for its own quota is limited although most of the cell is free and its
// share is larger.
func TestQuotaWaitIsMeasured(t *testing.T) {
	is := is.New(t)
	w := weightedWorld(t, cores(16))
	w.run(time.Second)
	w.send("light", 20, 15*time.Second)
	w.send("heavy", 10, 15*time.Second) // its quota lets 3.5 end a second
	w.run(12 * time.Second)
	_, limited := w.limitOf("heavy")
	is.True(limited)
	_, limited = w.limitOf("light")
	is.True(!limited)
	w.checkInvariants()
}

// TestNothingIsMeasuredWithoutWeights: accounts without weights, and callers without an account, are never limited.
func TestNothingIsMeasuredWithoutWeights(t *testing.T) {
	is := is.New(t)
	w := accountWorld(t, 29, 10)
	w.setQuota("heavy", fairshare.Unlimited)
	w.failOver()
	w.run(time.Second)
	w.send("heavy", 100, 6*time.Second)
	w.send("nobody", 100, 6*time.Second)
	w.run(8 * time.Second)
	_, _, ok := w.engine.Limits()
	is.True(!ok)
	is.Equal(len(w.engine.QueueLoads()), 0)
}

// BenchmarkQueueLoadSample measures a sample, which is taken each 250 ms.
func BenchmarkQueueLoadSample(b *testing.B) {
	for _, load := range []struct{ steps, accounts int }{{700, 20}, {700, 440}, {10000, 440}} {
		b.Run(fmt.Sprintf("%d steps of %d accounts", load.steps, load.accounts), func(b *testing.B) {
			w := newWorld(b, 1)
			w.accountOf = func(id string) string { return id[:3] }
			w.failOver()
			c := &catalog.Catalog{}
			for i := range load.accounts {
				c.Accounts = append(c.Accounts, catalog.Account{Name: fmt.Sprintf("%03d", i), Weight: 1})
			}
			c.Index()
			w.engine.SetCatalog(c, w.now())
			for i := range load.steps {
				w.submit(fmt.Sprintf("%03d-%d", i%load.accounts, i), shortJobRules, step(10, 11, 1, 560))
			}
			w.run(time.Second)
			now := w.now()
			b.ResetTimer()
			for range b.N {
				now = now.Add(overload.SampleInterval)
				w.engine.SetAuthority(now.Add(time.Second))
				w.engine.sampleQueueLoad(now)
			}
		})
	}
}

// batchJobRules are the rules of long batch work without a policy.
var batchJobRules = catalog.Rules{Priority: 2, CriticalPathFactor: 4, TargetMillis: 3000}

// sendTo submits jobs of 8 tasks to a queue at even intervals. The queue is part of their ids.
func (w *world) sendTo(queue, account string, rules catalog.Rules, estimateMillis int64, perSecond float64, d time.Duration) {
	w.queueOf = func(id string) string { return strings.Split(id, "-")[1] }
	for i := range int(d.Seconds() * perSecond) {
		w.after(time.Duration(float64(i)/perSecond*float64(time.Second)), func() {
			w.submit(fmt.Sprintf("%s-%s-%d-%d", account, queue, w.now().UnixMilli(), i), rules, step(8, 1, 1, estimateMillis))
		})
	}
}

// limitedQueues runs the simulation for d and returns the queues with a limit at any time.
func (w *world) limitedQueues(d time.Duration) map[string]bool {
	out := map[string]bool{}
	for range d / (100 * time.Millisecond) {
		w.run(100 * time.Millisecond)
		limits, _, _ := w.engine.Limits()
		for _, l := range limits {
			out[l.Queue] = true
		}
	}
	return out
}

// TestBurstsInTwoQueuesInTurn: a burst of urgent work starves the mosaics of the same account, whose target is many times
// longer: they are not limited. A burst of mosaics does not limit the previews, which go before them.
func TestBurstsInTwoQueuesInTurn(t *testing.T) {
	is := is.New(t)
	w := weightedWorld(t, fairshare.Unlimited)
	w.run(time.Second)
	w.sendTo("previews", "heavy", shortJobRules, 560, 10, 60*time.Second)
	w.sendTo("mosaics", "heavy", batchJobRules, 2000, 3, 20*time.Second)
	w.sendTo("previews", "light", shortJobRules, 560, 70, 10*time.Second) // the cell completes 35 a second
	is.Equal(w.limitedQueues(20*time.Second), map[string]bool{"previews": true})
	w.sendTo("mosaics", "heavy", batchJobRules, 2000, 40, 20*time.Second) // the cell completes 7 a second beside the previews
	is.Equal(w.limitedQueues(40*time.Second), map[string]bool{"mosaics": true})
	w.checkInvariants()
}

// TestFaultsLimitNoOne: the load fits into the cell, although calls to hosts get lost. What waits for hosts that
// do not answer is no reason for a limit.
func TestFaultsLimitNoOne(t *testing.T) {
	is := is.New(t)
	w := weightedWorld(t, fairshare.Unlimited)
	w.faults = faults{lostRequest: 0.03, lostReply: 0.03}
	w.run(time.Second)
	w.sendTo("previews", "light", shortJobRules, 560, 5, 30*time.Second)
	w.sendTo("previews", "heavy", shortJobRules, 560, 13, 30*time.Second) // 50% of the processors; with 69%, the lost runs use all
	is.Equal(len(w.limitedQueues(35*time.Second)), 0)
	w.checkInvariants()
}
