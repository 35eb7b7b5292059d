package overload

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/spec"
)

var limitedKey = Key{"previews", "account-1"}

func report(epoch uint64, age time.Duration, admit float64) Report {
	r := Report{Epoch: epoch, Age: age}
	if admit < 1 {
		r.Limits = []Limit{{Key: limitedKey, Admit: admit, Wait: 5 * time.Second, RetryAfter: 2 * time.Second}}
	}
	return r
}

const ttl = 1500 * time.Millisecond

// refusedOf returns how many of 1,000 jobs are refused.
func refusedOf(l *Limits, key Key, maxWait time.Duration, now time.Time) (n int) {
	for i := range 1000 {
		if _, refused := l.Check(0, key, fmt.Sprintf("%016x", i), maxWait, now); refused {
			n++
		}
	}
	return n
}

// TestAdmittedFraction: the fraction of the jobs of the limited queue and account is admitted, and all other jobs.
func TestAdmittedFraction(t *testing.T) {
	is := is.New(t)
	now := replayStart
	var l Limits
	is.Equal(refusedOf(&l, limitedKey, time.Second, now), 0) // without figures nothing is refused
	l.Apply(0, report(1, 0, 0.3), ttl, now)
	n := refusedOf(&l, limitedKey, time.Second, now)
	is.True(n > 650 && n < 750)
	is.Equal(refusedOf(&l, Key{"previews", "account-2"}, time.Second, now), 0)
	is.Equal(refusedOf(&l, Key{"mosaics", "account-1"}, time.Second, now), 0)
	is.Equal(refusedOf(&l, limitedKey, 6*time.Second, now), 0) // in time after the wait
	_, refused := l.Check(1, limitedKey, "0000000000000000", time.Second, now)
	is.True(!refused) // another partition
}

// TestRetriesAreDecidedAlike: each member decides alike on a job, and a job that passed passes while the fraction does
// not fall.
func TestRetriesAreDecidedAlike(t *testing.T) {
	is := is.New(t)
	now := replayStart
	var a, b, higher Limits
	a.Apply(0, report(1, 0, 0.3), ttl, now)
	b.Apply(0, report(1, time.Second, 0.3), ttl, now)
	higher.Apply(0, report(1, 0, 0.5), ttl, now)
	for i := range 1000 {
		id := fmt.Sprintf("%016x", i)
		_, refused := a.Check(0, limitedKey, id, 0, now)
		_, refusedByB := b.Check(0, limitedKey, id, 0, now)
		_, refusedLater := higher.Check(0, limitedKey, id, 0, now)
		is.Equal(refused, refusedByB)
		is.True(refused || !refusedLater)
	}
}

// TestLimitsExpire: limits of a failed holder, or of one that is not reached, end 1.5 s after they were measured.
func TestLimitsExpire(t *testing.T) {
	is := is.New(t)
	now := replayStart
	var l Limits
	l.Apply(0, report(1, 300*time.Millisecond, 0.01), ttl, now)
	d, refused := l.Check(0, limitedKey, "00000000000000ff", 0, now.Add(1199*time.Millisecond))
	is.True(refused)
	is.Equal(d.Age, 1499*time.Millisecond)
	is.Equal(refusedOf(&l, limitedKey, 0, now.Add(1200*time.Millisecond)), 0)
	is.True(l.Dump(now.Add(2 * time.Second))[0].Expired)
}

// TestFiguresOfTwoHolders: those with the higher epoch count, and of one holder those measured last, whatever the order
// in which replies arrive.
func TestFiguresOfTwoHolders(t *testing.T) {
	is := is.New(t)
	now := replayStart
	var l Limits
	limited := func() bool { return refusedOf(&l, limitedKey, 0, now) > 0 }
	l.Apply(0, report(2, 0, 1), ttl, now)
	l.Apply(0, report(1, 0, 0.01), ttl, now.Add(time.Second)) // the former holder does not know of its successor
	is.True(!limited())
	l.Apply(0, report(3, time.Second, 0.01), ttl, now)
	is.True(limited())
	l.Apply(0, report(3, 100*time.Millisecond, 1), ttl, now) // the limit has ended
	is.True(!limited())
	l.Apply(0, report(3, 500*time.Millisecond, 0.01), ttl, now) // a late reply
	is.True(!limited())
}

// TestRetryAfter: at least 1 s, and at most twice the time until the wait has fallen below the limit.
func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	is.Equal(Decision{}.RetryAfter(0), time.Second)
	is.Equal(Decision{}.RetryAfter(0.5), 2*time.Second)
	d := Decision{Limit: Limit{RetryAfter: 3100 * time.Millisecond}}
	is.Equal(d.RetryAfter(0), 4*time.Second)
	is.Equal(d.RetryAfter(0.75), 7*time.Second)
	is.Equal(d.RetryAfter(0.999), 8*time.Second)
}

// TestReportIsSmall: the longest report adds less than 4 kB to a heartbeat reply, and is read as it was sent.
func TestReportIsSmall(t *testing.T) {
	is := is.New(t)
	sent := Report{Epoch: 7, Age: time.Second}
	for i := range MaxLimits {
		sent.Limits = append(sent.Limits, Limit{Key: Key{"previews", fmt.Sprintf("account-%03d", i)}, Admit: 0.123456, Wait: 4321 * time.Millisecond, RetryAfter: time.Second})
	}
	data, err := cbor.Marshal(sent)
	is.NoErr(err)
	is.True(len(data) < 4000)
	var read Report
	is.NoErr(cbor.Unmarshal(data, &read))
	is.Equal(read, sent)
}

// TestWhatLimitsApplyTo: queues with a target, accounts with a weight, and jobs whose target begins with their
// acceptance.
func TestWhatLimitsApplyTo(t *testing.T) {
	is := is.New(t)
	rules, weighted := catalog.Rules{CriticalPathFactor: 1.5, TargetMillis: 250}, &catalog.Account{Weight: 2}
	is.True(Applies(&rules, weighted))
	is.True(!Applies(&catalog.Rules{}, weighted))
	is.True(!Applies(&rules, &catalog.Account{}))
	is.True(!Applies(&rules, nil))

	g := spec.Graph{Steps: []spec.Step{{Count: 10, EstimateMillis: 560, Size: spec.Resources{MilliCPU: 11000}}, {Count: 1, EstimateMillis: 100, After: []int{0}}, {Count: 1, EstimateMillis: 300}}}
	is.True(HasTarget(&g))
	is.Equal(DeclaredPath(&g), 660*time.Millisecond)
	is.Equal(MaxWait(&rules, 560*time.Millisecond), replayMaxWait)
	is.Equal(JobWork(&g), 10*11000*560.0+100+300)
	g.Steps[0].LongRunning = true
	is.True(!HasTarget(&g))
	g.Steps[0].LongRunning, g.Repeat.Times = false, 2
	is.True(!HasTarget(&g))
}
