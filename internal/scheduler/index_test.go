package scheduler

import (
	"fmt"
	"maps"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
)

func TestLevelGrowsWithAmount(t *testing.T) {
	is := is.New(t)
	is.Equal(level(-1, 100), uint8(0))
	last := level(0, 100)
	for v := int64(0); v < 1<<20; v += 7 {
		l := level(v, 100)
		is.True(l == last || l == last+1) // levels are consecutive
		last = l
	}
	is.True(level(1<<50, 1) < 255)
}

// randomWorker draws workers of few machine types, with sizes at the boundaries between levels.
func randomWorker(t *rapid.T, i int) Worker {
	sizes := []spec.Resources{resources(1000, 1024, 0), resources(1000, 2048, 2), resources(1600, 1088, 4)}
	w := readyWorker(workerName(i), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), rapid.SampledFrom(sizes).Draw(t, "size"))
	w.Info.Rack = fmt.Sprint("rack", i/3)
	w.Info.Generation = rapid.IntRange(1, 2).Draw(t, "generation")
	w.Status = rapid.SampledFrom([]Status{StatusReady, StatusReady, StatusReady, StatusDraining}).Draw(t, "status")
	if w.Info.Size.Accelerators > 0 {
		w.Info.AcceleratorKind = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "kind")
	}
	if rapid.Bool().Draw(t, "labelled") {
		w.Info.Labels = map[string]string{"disk": "fast"}
	}
	return w
}

func randomRequest(t *rapid.T) Request {
	req := requestFor(resources(rapid.Int64Range(0, 1200).Draw(t, "cpu"), rapid.Int64Range(0, 1500).Draw(t, "mem"), rapid.Int64Range(0, 3).Draw(t, "acc")))
	req.Shape.Task.AcceleratorKind = rapid.SampledFrom([]string{"", "", "x", "z"}).Draw(t, "ask-kind")
	req.Shape.Task.MinGeneration = rapid.IntRange(0, 2).Draw(t, "ask-generation")
	if rapid.IntRange(0, 3).Draw(t, "ask-label") == 0 {
		req.Shape.Task.Labels = map[string]string{"disk": "fast"}
	}
	for range rapid.IntRange(0, 3).Draw(t, "avoids") {
		req.Shape.Avoid = append(req.Shape.Avoid, workerName(rapid.IntRange(0, 20).Draw(t, "avoid")))
	}
	req.Shape.Job = rapid.SampledFrom([]string{"job", "aged"}).Draw(t, "job")
	req.Shape.Policy.SpreadZones = rapid.Bool().Draw(t, "spread-zones")
	req.Shape.Policy.SpreadRacks = rapid.Bool().Draw(t, "spread-racks")
	req.Shape.Policy.Name = rapid.SampledFrom([]string{settings.PolicyPacking, settings.PolicyWaiting}).Draw(t, "policy")
	req.Shape.RunningByZone = map[string]int{"a": rapid.IntRange(0, 2).Draw(t, "in-a")}
	return req
}

// TestIndexFindsRoomIffScanDoes compares the index with a scan of all workers after random
// changes of workers and runs. Both must agree whether there is room and how many workers each
// rule rejects, and the worker that the index chooses must have room.
func TestIndexFindsRoomIffScanDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewCell(rapid.Uint64().Draw(t, "seed"))
		workers := rapid.IntRange(1, 20).Draw(t, "workers")
		for i := range workers {
			c.Upsert(randomWorker(t, i))
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			changeCell(t, c, workers, i)
			req := randomRequest(t)
			compareWithScan(t, c, req)
			checkIndex(t, c)
		}
	})
}

func changeCell(t *rapid.T, c *Cell, workers, i int) {
	w := rapid.IntRange(0, workers-1).Draw(t, "changed")
	size := resources(rapid.Int64Range(0, 700).Draw(t, "r-cpu"), rapid.Int64Range(0, 900).Draw(t, "r-mem"), rapid.Int64Range(0, 2).Draw(t, "r-acc"))
	switch rapid.IntRange(0, 7).Draw(t, "change") {
	case 7:
		req := requestFor(resources(900, 900, 1))
		req.Shape.Job, req.Shape.Aged = "aged", true
		_, _ = c.Place(req, []Run{run("aged", i, req.size())}, start) // dedicates a worker if there is no room
	case 0:
		c.Observe(workerName(w), size.Times(2), start)
	case 1:
		c.Remove(workerName(w))
	case 2:
		c.Upsert(randomWorker(t, w))
	case 3:
		c.Unreserve(run("job", rapid.IntRange(0, i).Draw(t, "ended"), size).Attempt)
	default:
		_ = c.Reserve(workerName(w), run("job", i, size), start) // an error for a full or removed worker is expected
	}
}

func compareWithScan(t *rapid.T, c *Cell, req Request) {
	want, wantRefusal := c.selectByScan(&req)
	got, refusal := c.Select(req)
	if (refusal == nil) != (wantRefusal == nil) {
		t.Fatalf("index returned %v %+v, scan %v %+v", got, refusal, want, wantRefusal)
	}
	if refusal != nil {
		if refusal.Never != wantRefusal.Never || refusal.Workers != wantRefusal.Workers || !maps.Equal(refusal.ByRule, wantRefusal.ByRule) {
			t.Fatalf("index rejects with %+v, scan with %+v", refusal, wantRefusal)
		}
		return
	}
	if rule := rejectingRule(&req, c.workers[got.Worker]); rule != "" || got.Score > want.Score {
		t.Fatalf("index chose %v (rejected by %q), scan %v", got, rule, want)
	}
}

// checkIndex checks that each ready worker that is not dedicated is in exactly the bucket for
// its free resources.
func checkIndex(t *rapid.T, c *Cell) {
	ready, members := 0, 0
	for _, g := range c.index.order {
		members += g.machineType.Workers
		for pos, b := range g.buckets {
			if b.pos != pos || g.byLevel[b.levels] != b || len(b.workers) == 0 {
				t.Fatalf("bucket %v is empty or has a wrong position", b.levels)
			}
			for bucketPos, w := range b.workers {
				ready++
				if w.bucketPos != bucketPos || w.bucket != b || levelsOf(w.free()) != b.levels || !w.free().Fits(b.maxFree) || w.Status != StatusReady {
					t.Fatalf("worker %s is in the wrong bucket", w.Info.Name)
				}
			}
		}
	}
	wantReady := 0
	for _, w := range c.order {
		if w.Status == StatusReady && w.dedicatedTo == "" {
			wantReady++
		}
	}
	if ready != wantReady || members != len(c.order) {
		t.Fatalf("index has %d ready workers of %d, the cell %d of %d", ready, members, wantReady, len(c.order))
	}
}

// TestOneInABucket checks that the only worker with room is found among many in the same
// bucket, where random sampling alone would usually miss it.
func TestOneInABucket(t *testing.T) {
	is := is.New(t)
	c := NewCell(1)
	for i := range 500 {
		cpu := int64(1050)
		if i == 321 {
			cpu = 1060
		}
		c.Upsert(readyWorker(workerName(i), "a", resources(2000, 1000, 0)))
		is.NoErr(c.Reserve(workerName(i), run("filler", i, resources(2000-cpu, 0, 0)), start))
	}
	for range 20 {
		choice, refusal := c.Select(requestFor(resources(1055, 0, 0)))
		is.True(refusal == nil)
		is.Equal(choice.Worker, workerName(321))
	}
}

// TestRefusalsWithinABucket checks the counts if different rules reject the workers of one
// bucket.
func TestRefusalsWithinABucket(t *testing.T) {
	is := is.New(t)
	c := NewCell(1)
	for i, free := range []spec.Resources{resources(500, 960, 0), resources(500, 1020, 0)} {
		c.Upsert(readyWorker(workerName(i), "a", resources(1000, 2000, 0)))
		is.NoErr(c.Reserve(workerName(i), run("filler", i, resources(1000, 2000, 0).Sub(free)), start))
	}
	_, refusal := c.Select(requestFor(resources(800, 1000, 0)))
	is.Equal(refusal.ByRule, map[string]int{RuleMemory: 1, RuleProcessors: 1})
}
