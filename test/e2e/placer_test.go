package e2e

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/spec"
	"pulleyquay/test/e2e/harness"
)

// TestPlacerFails has the placer fail that owns the job and holds some of its
// workers, in several ways, while the job's tasks run.
func TestPlacerFails(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		fail func(c *harness.Cell, h *harness.Host)
	}{
		{"killed", func(_ *harness.Cell, h *harness.Host) { h.Placer.Kill() }},
		{"killed and started again", func(_ *harness.Cell, h *harness.Host) {
			h.Placer.Kill()
			h.StartPlacer()
		}},
		{"paused for four terms", func(_ *harness.Cell, h *harness.Host) {
			h.Placer.Pause()
			time.Sleep(4 * harness.Term)
			h.Placer.Resume()
		}},
		{"planned stop", func(_ *harness.Cell, h *harness.Host) {
			h.Placer.Terminate()
			h.Placer.Wait(20 * time.Second)
		}},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c := startCell(t)
			home := teamHome(c)
			entryHost := otherHost(c, home)
			// Half of the tasks do not fit at first, so that starts are in
			// flight during and after the failure.
			job := harness.Batch(spec.KindBatch, 48, 3*time.Second)
			job.Task.Size.MilliCPU = 16_000
			c.MustSubmit(entryHost, job)
			waitRunning(t, c, 24)
			k.fail(c, home)
			c.WaitJob(entryHost, job.ID, 30*time.Second, "job finishes", harness.Finished)
			r := c.Platform.Record()
			assertNoViolations(t, r)
			assertEachRanOnce(t, r, job)
		})
	}
}

// TestStoreOutage makes the store unavailable for ten times harness.Term, the term of the
// placers' leases, and kills a holder during the outage. Running tasks go on, a new job is
// refused as not run, and no task runs on two workers after the outage.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	c := startCell(t)
	home := teamHome(c)
	entryHost := otherHost(c, home)
	job := harness.Batch(spec.KindBatch, 48, 26*time.Second)
	c.MustSubmit(entryHost, job)
	waitRunning(t, c, job.Tasks)

	c.Platform.StoreFaults(memstore.Faults{Refuse: true})
	outage := time.Now()
	time.Sleep(2 * harness.Term)
	refused := harness.Batch(spec.KindBatch, 1, time.Second)
	problem := c.Submit(entryHost, refused).Problem()
	is.True(problem != nil)
	is.Equal(string(problem.Ran), "no")
	is.True(problem.RetryAfter > 0)
	key := harness.NewKey()
	is.True(c.Post(entryHost, key, key, 0).OK() || c.Post(home, key, key, 0).OK()) // requests are served
	home.Placer.Kill()
	time.Sleep(time.Until(outage.Add(10 * harness.Term)))
	is.Equal(c.Platform.Record().Running, job.Tasks) // no run has stopped
	c.Platform.StoreFaults(memstore.Faults{})

	c.WaitJob(entryHost, job.ID, 30*time.Second, "job finishes", harness.Finished)
	r := c.Platform.Record()
	assertNoViolations(t, r)
	assertEachRanOnce(t, r, job)
	is.Equal(len(r.Tasks[spec.TaskID{Job: refused.ID}.String()]), 0)
}

// TestStoreLosesAnswers has writes take effect while their answers are lost, as
// members renew, a job is submitted and settings change.
func TestStoreLosesAnswers(t *testing.T) {
	is := is.New(t)
	c := startCell(t)
	c.Platform.StoreFaults(memstore.Faults{LoseAnswers: 30})
	job := harness.Batch(spec.KindBatch, 20, 300*time.Millisecond)
	c.MustSubmit(c.Hosts[0], job)
	c.SetBranches(map[string]any{"/late": map[string]any{}})
	c.WaitJob(c.Hosts[1], job.ID, 20*time.Second, "job finishes", harness.Finished)
	killed := teamHome(c)
	c.Platform.StoreFaults(memstore.Faults{LoseAnswers: 30})
	killed.Placer.Kill() // the answers to the following claims are lost as well
	next := harness.Batch(spec.KindBatch, 20, 300*time.Millisecond)
	c.MustSubmit(otherHost(c, killed), next)
	c.WaitJob(otherHost(c, killed), next.ID, 30*time.Second, "job finishes after the failover", harness.Finished)
	r := c.Platform.Record()
	assertNoViolations(t, r)
	assertEachRanOnce(t, r, job)
	assertEachRanOnce(t, r, next)
	status, err := c.Job(otherHost(c, killed), next.ID)
	is.NoErr(err)
	is.Equal(status.State, jobmsg.StateFinished)
}

// TestSettingsAfterOutage checks that a change after a store outage is in force at
// every entry within 4 s of the end of the outage, and is never reverted.
func TestSettingsAfterOutage(t *testing.T) {
	is := is.New(t)
	c := startCell(t)
	before, err := c.SettingsRevision(c.Hosts[0])
	is.NoErr(err)
	c.Platform.StoreFaults(memstore.Faults{Refuse: true})
	time.Sleep(2 * harness.Term)
	_, err = c.Change(c.Hosts[1], harness.NewKey(), map[string]any{"/outage": map[string]any{}})
	is.True(err != nil) // refused during the outage

	c.Platform.StoreFaults(memstore.Faults{})
	inForce := time.Now().Add(4 * time.Second)
	var revision int64
	id := harness.NewKey()
	harness.Eventually(t, time.Until(inForce), "change accepted", func() error {
		revision, err = c.Change(c.Hosts[1], id, map[string]any{"/after": map[string]any{}})
		return err
	})
	is.True(revision > before)
	for _, h := range c.Hosts {
		c.WaitRevision(h, revision, time.Until(inForce))
	}
	h := c.Hosts[2]
	h.Placer.Kill()
	h.Entry.Kill()
	h.StartPlacer()
	h.StartEntry()
	harness.Eventually(t, harness.ReadyLimit, "restarted entry has the settings", func() error {
		have, err := c.SettingsRevision(h)
		if err == nil && have < revision {
			t.Errorf("revision %d is in force after %d", have, revision)
		}
		if err == nil && have >= revision {
			return nil
		}
		return errors.Join(err, errNotYet)
	})
}

// TestPlacerKilledAfterStart kills a placer right after the start of the cell, before
// the partitions are balanced. Another placer claims its partitions.
func TestPlacerKilledAfterStart(t *testing.T) {
	c := startUnsettledCell(t)
	home := teamHome(c)
	home.Placer.Kill()
	job := harness.Batch(spec.KindBatch, 4, 100*time.Millisecond)
	c.MustSubmit(otherHost(c, home), job)
	c.WaitJob(otherHost(c, home), job.ID, 20*time.Second, "job finishes", harness.Finished)
	r := c.Platform.Record()
	assertNoViolations(t, r)
	assertEachRanOnce(t, r, job)
}

// TestGangWhilePlacersFail submits a gang that needs the workers of more than
// one holder, and a holder fails immediately. Either all tasks run together or none.
func TestGangWhilePlacersFail(t *testing.T) {
	t.Parallel()
	for _, k := range []struct {
		name string
		fail func(h *harness.Host)
	}{
		{"killed", func(h *harness.Host) { h.Placer.Kill() }},
		{"paused", func(h *harness.Host) {
			h.Placer.Pause()
			time.Sleep(3 * harness.Term)
			h.Placer.Resume()
		}},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := startCell(t)
			home := teamHome(c)
			gang := harness.Batch(spec.KindGang, 20, 8*time.Second)
			gang.Task.Size.MilliCPU = 16_000 // 20 of the 24 slots in the cell
			c.Platform.ExpectGang(gang.ID, gang.Tasks)
			c.MustSubmit(otherHost(c, home), gang)
			k.fail(otherHost(c, home))
			c.WaitJob(home, gang.ID, 40*time.Second, "gang finishes", harness.Finished)
			assertNoViolations(t, c.Platform.Record())
		})
	}
}

// TestStoreUnavailableToOnePlacer disconnects a single placer from the store. The work of
// its partitions goes on and nothing runs twice.
func TestStoreUnavailableToOnePlacer(t *testing.T) {
	c := startCell(t)
	home := teamHome(c)
	job := harness.Batch(spec.KindBatch, 48, 3*time.Second)
	job.Task.Size.MilliCPU = 16_000
	c.MustSubmit(otherHost(c, home), job)
	waitRunning(t, c, 24)
	c.Platform.StoreFaultsFor(home.Name, memstore.Faults{Refuse: true})
	time.Sleep(3 * harness.Term)
	c.Platform.StoreFaultsFor(home.Name, memstore.Faults{})
	c.WaitJob(otherHost(c, home), job.ID, 40*time.Second, "job finishes", harness.Finished)
	r := c.Platform.Record()
	assertNoViolations(t, r)
	assertEachRanOnce(t, r, job)
}

// TestHostStartsInOutage restarts an entry host during a store outage: it gets
// members and settings from its peers and serves callers.
func TestHostStartsInOutage(t *testing.T) {
	is := is.New(t)
	c := startCell(t)
	before, err := c.SettingsRevision(c.Hosts[0])
	is.NoErr(err)
	c.Platform.StoreFaults(memstore.Faults{Refuse: true})
	time.Sleep(harness.Term)
	h := c.Hosts[2]
	h.Placer.Kill()
	h.Entry.Kill()
	h.StartPlacer()
	h.StartEntry()
	c.WaitRevision(h, before, 10*time.Second)
	harness.Eventually(t, 10*time.Second, "new entry serves", func() error {
		key := harness.NewKey()
		if r := c.Post(h, key, key, 0); !r.OK() {
			return errors.New(r.String())
		}
		return nil
	})
	c.Platform.StoreFaults(memstore.Faults{})
	h.WaitReady()
	assertNoViolations(t, c.Platform.Record())
}

// TestOperatorsRace has eight operators change settings through all entries
// concurrently. Each accepted change has a unique revision, and all entries end at
// the highest revision with every accepted branch in force.
func TestOperatorsRace(t *testing.T) {
	const operators, changes = 8, 4
	is := is.New(t)
	c := startCell(t)
	var mu sync.Mutex
	accepted := map[int64]string{}
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			for n := range changes {
				branch := fmt.Sprintf("/race/op-%d-%d", i, n)
				id := harness.NewKey()
				for range 100 {
					revision, err := c.Change(c.Hosts[i%hosts], id, map[string]any{branch: map[string]any{}})
					if err != nil {
						continue // lost the race: retry on the new revision
					}
					mu.Lock()
					if earlier := accepted[revision]; earlier != "" {
						t.Errorf("revision %d was returned for %s and for %s", revision, earlier, branch)
					}
					accepted[revision] = branch
					mu.Unlock()
					break
				}
			}
		})
	}
	c.SetBranches(map[string]any{"/race": map[string]any{}})
	wg.Wait()
	is.Equal(len(accepted), operators*changes)
	var last int64
	for revision := range accepted {
		last = max(last, revision)
	}
	for _, h := range c.Hosts {
		c.WaitRevision(h, last, 4*time.Second)
		have := c.Branches(h)
		for _, branch := range accepted {
			is.True(have[branch]) // accepted and still in force
		}
	}
}
