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

// TestPlacerFails lets the placer that is home of the job, and holds some of
// its workers, fail in several ways while the job's tasks run.
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
			asked := other(c, home)
			// Two waves: half of the tasks do not fit at first, so that starts
			// are under way during and after the failure.
			job := harness.Batch(spec.KindBatch, 48, 3*time.Second)
			job.Task.Size.MilliCPU = 16_000
			c.MustSubmit(asked, job)
			waitRunning(t, c, 24)
			k.fail(c, home)
			c.WaitJob(asked, job.ID, 30*time.Second, "job finishes", harness.Finished)
			r := c.Platform.Record()
			allHeld(t, r)
			eachRanOnce(t, r, job)
		})
	}
}

// TestStoreOutage takes the store away for ten terms: what runs goes on, a
// holder is killed inside, a new job is refused with the truth, and no task is
// in two places after the store's return.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	c := startCell(t)
	home := teamHome(c)
	asked := other(c, home)
	job := harness.Batch(spec.KindBatch, 48, 26*time.Second)
	c.MustSubmit(asked, job)
	waitRunning(t, c, job.Tasks)

	c.Platform.StoreFaults(memstore.Faults{Refuse: true})
	outage := time.Now()
	time.Sleep(2 * harness.Term)
	refused := harness.Batch(spec.KindBatch, 1, time.Second)
	problem := c.Submit(asked, refused).Problem()
	is.True(problem != nil)
	is.Equal(string(problem.Ran), "no")
	is.True(problem.RetryAfter > 0)
	key := harness.NewKey()
	is.True(c.Post(asked, key, key, 0).OK() || c.Post(home, key, key, 0).OK()) // requests are served
	home.Placer.Kill()
	time.Sleep(time.Until(outage.Add(10 * harness.Term)))
	is.Equal(c.Platform.Record().Running, job.Tasks) // all went on
	c.Platform.StoreFaults(memstore.Faults{})

	c.WaitJob(asked, job.ID, 30*time.Second, "job finishes", harness.Finished)
	r := c.Platform.Record()
	allHeld(t, r)
	eachRanOnce(t, r, job)
	is.Equal(len(r.Tasks[spec.TaskID{Job: refused.ID}.String()]), 0)
}

// TestStoreLosesAnswers lets every write take effect without an answer while
// members renew, a job is submitted and settings change.
func TestStoreLosesAnswers(t *testing.T) {
	is := is.New(t)
	c := startCell(t)
	c.Platform.StoreFaults(memstore.Faults{LoseAnswers: 30})
	job := harness.Batch(spec.KindBatch, 20, 300*time.Millisecond)
	c.MustSubmit(c.Hosts[0], job)
	c.SetBranches(map[string]any{"/late": map[string]any{}})
	c.WaitJob(c.Hosts[1], job.ID, 20*time.Second, "job finishes", harness.Finished)
	gone := teamHome(c)
	c.Platform.StoreFaults(memstore.Faults{LoseAnswers: 30})
	gone.Placer.Kill() // the claims after it lose their answers too
	next := harness.Batch(spec.KindBatch, 20, 300*time.Millisecond)
	c.MustSubmit(other(c, gone), next)
	c.WaitJob(other(c, gone), next.ID, 30*time.Second, "job after the takeover", harness.Finished)
	r := c.Platform.Record()
	allHeld(t, r)
	eachRanOnce(t, r, job)
	eachRanOnce(t, r, next)
	status, err := c.Job(other(c, gone), next.ID)
	is.NoErr(err)
	is.Equal(status.State, jobmsg.StateFinished)
}

// TestSettingsAfterOutage: a change made after the store's return is in force
// at every entry within 4 s of the return, and never reverts.
func TestSettingsAfterOutage(t *testing.T) {
	is := is.New(t)
	c := startCell(t)
	before, err := c.SettingsRevision(c.Hosts[0])
	is.NoErr(err)
	c.Platform.StoreFaults(memstore.Faults{Refuse: true})
	time.Sleep(2 * harness.Term)
	_, err = c.Change(c.Hosts[1], harness.NewKey(), map[string]any{"/outage": map[string]any{}})
	is.True(err != nil) // refused while the store is away

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

// TestPlacerDiesYoung kills the first placer of a cell right after the start:
// what it held is taken over all the same.
func TestPlacerDiesYoung(t *testing.T) {
	c := startYoungCell(t)
	home := teamHome(c)
	home.Placer.Kill()
	job := harness.Batch(spec.KindBatch, 4, 100*time.Millisecond)
	c.MustSubmit(other(c, home), job)
	c.WaitJob(other(c, home), job.ID, 20*time.Second, "job finishes", harness.Finished)
	r := c.Platform.Record()
	allHeld(t, r)
	eachRanOnce(t, r, job)
}

// TestGangWhilePlacersFail submits a gang that needs the workers of more than
// one holder and lets a holder fail at once: all of it runs together, or none.
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
			gang.Task.Size.MilliCPU = 16_000 // 20 of the 24 places there are
			c.Platform.ExpectGang(gang.ID, gang.Tasks)
			c.MustSubmit(other(c, home), gang)
			k.fail(other(c, home))
			c.WaitJob(home, gang.ID, 40*time.Second, "gang finishes", harness.Finished)
			allHeld(t, c.Platform.Record())
		})
	}
}

// TestStoreAwayForOne cuts one placer from the store and no other: the work of
// its partitions goes on and nothing runs twice.
func TestStoreAwayForOne(t *testing.T) {
	c := startCell(t)
	home := teamHome(c)
	job := harness.Batch(spec.KindBatch, 48, 3*time.Second)
	job.Task.Size.MilliCPU = 16_000
	c.MustSubmit(other(c, home), job)
	waitRunning(t, c, 24)
	c.Platform.StoreFaultsFor(home.Name, memstore.Faults{Refuse: true})
	time.Sleep(3 * harness.Term)
	c.Platform.StoreFaultsFor(home.Name, memstore.Faults{})
	c.WaitJob(other(c, home), job.ID, 40*time.Second, "job finishes", harness.Finished)
	r := c.Platform.Record()
	allHeld(t, r)
	eachRanOnce(t, r, job)
}

// TestHostStartsInOutage replaces an entry host while the store is away: it
// learns members and settings from its peers and serves callers.
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
	allHeld(t, c.Platform.Record())
}

// TestOperatorsRace lets eight operators change settings through all entries at
// once: each accepted change has a revision of its own, and all entries end on
// the highest with every accepted branch in force.
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
						continue // lost the race: look again and repeat
					}
					mu.Lock()
					if other := accepted[revision]; other != "" {
						t.Errorf("revision %d was given to %s and %s", revision, other, branch)
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
			is.True(have[branch]) // accepted and still there
		}
	}
}
