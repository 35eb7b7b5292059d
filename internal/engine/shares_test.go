package engine

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

// The load of the first deployment of docs/HARD-LOAD.md, at a quarter of its size.
const (
	tilesHosts      = 63
	tilesAccounts   = 20
	tilesMembers    = 32
	burstPerSecond  = 52 // jobs of the account with the burst
	othersPerSecond = 13 // jobs of all other accounts together
	burstDuration   = 5 * time.Second
)

// previewRules are the rules of short work, previewTarget the longest duration of a job of two steps that
// meets its target.
var previewRules = catalog.Rules{
	CriticalPathFactor: 1.5, TargetMillis: 250, PolicyQuery: &catalog.PolicyQuery{DecideMillis: 16, PerHostMillis: 0.22, ValidMillis: 2000},
}

func previewTarget(steps int) time.Duration {
	return time.Duration(1.5*560*float64(steps)+250) * time.Millisecond
}

// previewSteps returns one or two steps, the second after the first.
func previewSteps(n int) []spec.Step {
	first := spec.Step{Count: 10, Size: spec.Resources{MilliCPU: 11000, MemoryMiB: 8 << 10}, EstimateMillis: 560}
	second := first
	second.After = []int{0}
	return []spec.Step{first, second}[:n]
}

// tilesWorld is a cell with the weights of its accounts, which are named "a00" to "a19"; jobs are named
// "account-...".
func tilesWorld(t testing.TB, seed uint64, weighted bool) *world {
	w := newWorld(t, seed)
	w.weights = map[string]float64{}
	for i := range tilesAccounts {
		name := fmt.Sprintf("a%02d", i)
		w.quotas[name] = fairshare.Unlimited
		if weighted {
			w.weights[name] = tilesWeight(i)
		}
	}
	w.accountOf = func(id string) string { return id[:3] }
	w.members = nil
	for i := range tilesMembers {
		w.members = append(w.members, fmt.Sprintf("m%02d", i))
	}
	w.policyDelay = func(o QueryOrder) time.Duration {
		return w.jobs[o.Step.Job].Rules.PolicyQuery.QueryDuration(len(o.Hosts))
	}
	w.permitted = func(step spec.StepID, h host.ID) bool { return hashOf(step.String()+string(h))%10 < 7 }
	w.fleet.Add(tilesHosts, "s", size(64, 256))
	w.failOver()
	w.run(time.Second)
	return w
}

func tilesWeight(account int) float64 { return float64(2 + account*42/(tilesAccounts-1)) }

// submitPreviews submits short work of the given accounts in turn, at even intervals.
func (w *world) submitPreviews(accounts []string, perSecond int, d time.Duration) {
	for i := range int(d.Seconds() * float64(perSecond)) {
		w.after(time.Duration(i)*time.Second/time.Duration(perSecond), func() {
			w.submit(fmt.Sprintf("%s-preview-%d", accounts[i%len(accounts)], i), previewRules, previewSteps(1+i/len(accounts)%2)...)
		})
	}
}

// durations returns the durations of the jobs of the accounts, relative to their targets; a job that has
// not ended counts with its present age.
func (w *world) durations(accounts []string) (out []float64) {
	for id, rec := range w.jobs {
		if !slices.Contains(accounts, w.accountOf(id)) {
			continue
		}
		j, end := w.engine.jobs[id], w.now()
		if w.reported[id].Final() {
			end = w.finalSince[id]
		}
		out = append(out, end.Sub(j.accepted).Seconds()/previewTarget(len(rec.Graph.Steps)).Seconds())
	}
	slices.Sort(out)
	return out
}

func tilesAccountNames() (out []string) {
	for i := range tilesAccounts {
		out = append(out, fmt.Sprintf("a%02d", i))
	}
	return out
}

// TestBurstOfOneAccountDelaysNoOther guards against a burst of one account that makes all others late,
// although what they send is within their shares: the median duration of their jobs was 5.3 s instead of
// 1.5 s.
func TestBurstOfOneAccountDelaysNoOther(t *testing.T) {
	is := is.New(t)
	names := tilesAccountNames()
	burst, others := names[7:8], slices.Delete(slices.Clone(names), 7, 8)
	w := tilesWorld(t, 41, true)
	w.submitPreviews(burst, burstPerSecond, burstDuration)
	w.submitPreviews(others, othersPerSecond, burstDuration)
	w.run(burstDuration + 10*time.Second)
	w.checkInvariants()
	d := w.durations(others)
	b := w.durations(burst)
	t.Logf("others: median %.2f of the target, 95%% %.2f, longest %.2f; burst: median %.2f, longest %.2f", d[len(d)/2], d[len(d)*95/100], d[len(d)-1], b[len(b)/2], b[len(b)-1])
	is.True(d[len(d)-1] <= expiryFactor) // no job lost its value
}

// TestBurstOfAllAccountsIsSharedByWeight guards against shares that do not follow the weights when every
// account sends more than its share, and against shares that exceed a quota.
func TestBurstOfAllAccountsIsSharedByWeight(t *testing.T) {
	is := is.New(t)
	names := tilesAccountNames()
	w := tilesWorld(t, 43, true)
	const quota = 110 // cores, about a third of the share
	w.setQuota(names[19], cores(quota))
	small, rules := previewSteps(1), previewRules
	small[0].Count, rules.PolicyQuery = 3, nil
	for i := range 2000 {
		w.after(time.Duration(i)*2*time.Millisecond, func() {
			w.submit(fmt.Sprintf("%s-preview-%d", names[i%tilesAccounts], i), rules, small...)
		})
	}
	w.run(time.Second)
	used := make([]float64, tilesAccounts)
	const samples = 60
	for range samples {
		w.run(50 * time.Millisecond)
		for i, name := range names {
			used[i] += float64(w.coresOf(name)) / samples
		}
		is.True(w.coresOf(names[19]) <= quota)
	}
	w.checkInvariants()
	total, weights := 0.0, 0.0
	for i := range 19 {
		total, weights = total+used[i], weights+tilesWeight(i)
	}
	const oneStep = 3 * 11 // cores; a step starts as a whole
	is.True(total > 0)
	for i := range 19 {
		share := total * tilesWeight(i) / weights
		if used[i] < share-oneStep || used[i] > share+oneStep {
			t.Errorf("account %s uses %.0f cores, its share is %.0f", names[i], used[i], share)
		}
	}
}

// mosaicRules are the rules of long batch work.
var mosaicRules = catalog.Rules{
	Priority: 2, CriticalPathFactor: 4, TargetMillis: 3000, PolicyQuery: &catalog.PolicyQuery{DecideMillis: 200, PerHostMillis: 3, ValidMillis: 2000},
}

// TestBurstsInTwoQueuesInTurnDelayNoOther guards against an account that delays others in one queue while
// its share is counted in another: it sends a burst of short work, then one of long batch work.
func TestBurstsInTwoQueuesInTurnDelayNoOther(t *testing.T) {
	is := is.New(t)
	names := tilesAccountNames()
	burst, others := names[7], slices.Delete(slices.Clone(names), 7, 8)
	w := tilesWorld(t, 47, true)
	mosaic := spec.Step{Count: 22, Size: spec.Resources{MilliCPU: 18000, MemoryMiB: 16 << 10}, EstimateMillis: 4500}
	w.submitPreviews([]string{burst}, burstPerSecond, burstDuration/2)
	w.submitPreviews(others, othersPerSecond, burstDuration/2)
	for i := range 90 {
		w.after(burstDuration/2+time.Duration(i)*50*time.Millisecond, func() { w.submit(fmt.Sprint(burst, "-mosaic-", i), mosaicRules, mosaic) })
	}
	small := mosaic
	small.Count = 10 // within the share of the accounts with the larger weights
	for i := range 10 {
		w.after(time.Duration(i)*time.Second, func() { w.submit(fmt.Sprint(others[9+i], "-mosaic-", i), mosaicRules, small) })
	}
	w.run(50 * time.Second)
	w.checkInvariants()
	const mosaicTarget = 4*4500*time.Millisecond + 3*time.Second
	longestPreview, longestMosaic := 0.0, time.Duration(0)
	for id, rec := range w.jobs {
		j := w.engine.jobs[id]
		switch {
		case w.accountOf(id) == burst:
		case rec.Rules.Priority == mosaicRules.Priority:
			is.True(w.reported[id].Final())
			longestMosaic = max(longestMosaic, w.finalSince[id].Sub(j.accepted))
		default:
			is.True(w.reported[id].Final())
			longestPreview = max(longestPreview, w.finalSince[id].Sub(j.accepted).Seconds()/previewTarget(len(rec.Graph.Steps)).Seconds())
		}
	}
	t.Logf("others: longest preview %.2f of the target, longest mosaic %v", longestPreview, longestMosaic)
	is.True(longestPreview <= expiryFactor)
	is.True(longestMosaic <= mosaicTarget)
}

// TestFailoverKeepsTheOrder guards against an order that depends on what a former holder knew: the next
// holder counts what hosts have reported, so that the share of an account lacks just its runs on hosts that
// have not, and is the former one once all have.
func TestFailoverKeepsTheOrder(t *testing.T) {
	is := is.New(t)
	names := tilesAccountNames()
	w := tilesWorld(t, 53, true)
	long := spec.Step{Count: 10, Size: spec.Resources{MilliCPU: 11000, MemoryMiB: 8 << 10}, EstimateMillis: 60_000}
	for i := range 60 {
		w.submit(fmt.Sprint(names[i%tilesAccounts], "-long-", i), catalog.Rules{}, long)
	}
	w.run(2 * time.Second)
	before := w.sharesOf(names)
	is.True(before[0] != before[19])

	silent := w.fleet.Hosts()[5]
	w.repliesCut = map[host.ID]bool{silent.Info().ID: true}
	w.failOver()
	w.run(time.Second)
	reported := slices.Clone(before)
	for _, r := range silent.Running() {
		reported[slices.Index(names, w.accountOf(r.Task.Job))] -= 11
	}
	is.True(!slices.Equal(reported, before))
	is.Equal(w.sharesOf(names), reported)
	for _, name := range names {
		w.submit(name+"-next", catalog.Rules{}, long)
	}
	w.run(100 * time.Millisecond) // the cell is full
	is.Equal(w.orderOfAccounts(), sortedByShare(names, reported))

	w.repliesCut = nil
	w.run(time.Second)
	is.Equal(w.sharesOf(names), before)
	is.Equal(w.orderOfAccounts(), sortedByShare(names, before))
	w.checkInvariants()
}

// sharesOf returns the cores that count towards the shares of accounts at priority 0.
func (w *world) sharesOf(accounts []string) (out []int64) {
	for _, name := range accounts {
		out = append(out, w.engine.flows[stepClass{account: name, service: "s"}].used.MilliCPU/1000)
	}
	return out
}

// orderOfAccounts returns the accounts in the order in which a pass takes the first waiting step of each.
func (w *world) orderOfAccounts() (out []string) {
	for _, g := range (&stepOrder{limit: maxOrderedSteps, pass: 1 << 40}).takeAll(w.engine.queue, true) {
		if !slices.Contains(out, g.job.rec.Account) {
			out = append(out, g.job.rec.Account)
		}
	}
	return out
}

// sortedByShare sorts accounts by their cores in use, divided by their weights.
func sortedByShare(accounts []string, used []int64) []string {
	out := slices.Clone(accounts)
	share := func(name string) float64 {
		i := slices.Index(accounts, name)
		return float64(used[i]) / tilesWeight(i)
	}
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(share(a), share(b)) })
	return out
}
