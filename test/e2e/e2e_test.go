// Package e2e proves the brief's promises with the real processes under
// failure. What ran is judged by the stand-in's record alone.
package e2e

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/judge"
	"pulleyquay/internal/partition"
	"pulleyquay/internal/spec"
	"pulleyquay/test/e2e/harness"
)

var binaries harness.Binaries

var errNotYet = errors.New("not yet")

// maxCells bounds the cells that run at once, each of seven processes.
const maxCells = 4

func TestMain(m *testing.M) {
	flag.Parse()
	if runtime.GOMAXPROCS(0) > maxCells {
		if err := flag.Set("test.parallel", strconv.Itoa(maxCells)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "pulleyquay-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if binaries, err = harness.Build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

const (
	hosts     = 3
	workers   = 6
	executors = 6
)

// startCell starts a cell and waits until it is at rest.
func startCell(t *testing.T) *harness.Cell {
	c := startYoungCell(t)
	c.WaitSettled()
	return c
}

// startYoungCell starts a cell that is ready and still moves its partitions.
func startYoungCell(t *testing.T) *harness.Cell {
	t.Parallel()
	return binaries.StartCell(t, hosts, harness.Groups(workers, executors))
}

// homeOf returns the host whose placer holds the partition when all are members.
func homeOf(c *harness.Cell, id int) *harness.Host {
	var names []string
	for _, h := range c.Hosts {
		names = append(names, h.Name)
	}
	owner := partition.Owner(id, names)
	for _, h := range c.Hosts {
		if h.Name == owner {
			return h
		}
	}
	return nil
}

func teamHome(c *harness.Cell) *harness.Host {
	return homeOf(c, partition.OfTeam("regie", partition.DefaultCount))
}

func other(c *harness.Cell, not *harness.Host) *harness.Host {
	for _, h := range c.Hosts {
		if h != not {
			return h
		}
	}
	return nil
}

// allHeld fails the test for each breach that the judge saw.
func allHeld(t *testing.T, r judge.Record) {
	t.Helper()
	for _, v := range r.Violations {
		t.Errorf("broken: %s on %s: %s", v.Rule, v.On, v.Detail)
	}
}

// eachRanOnce fails the test unless every task of the job was started once and
// ended well.
func eachRanOnce(t *testing.T, r judge.Record, job spec.Job) {
	t.Helper()
	for i := range job.Tasks {
		places := r.Tasks[spec.TaskID{Job: job.ID, Index: i}.String()]
		if len(places) != 1 || places[0].State != "finished" {
			t.Errorf("task %d: %+v", i, places)
		}
	}
}

func promisesKept(t *testing.T, v harness.Verdict) {
	t.Helper()
	for i, b := range v.Broken {
		if i < 10 {
			t.Error(b)
		}
	}
}

func waitRunning(t *testing.T, c *harness.Cell, n int) {
	t.Helper()
	harness.Eventually(t, harness.ReadyLimit, "tasks run", func() error {
		if r := c.Platform.Record(); r.Running < n {
			return fmt.Errorf("%d of %d run", r.Running, n)
		}
		return nil
	})
}

// mustBeOK fails with what the caller was told.
func mustBeOK(t *testing.T, r harness.Reply) {
	t.Helper()
	if !r.OK() {
		t.Fatal(r)
	}
}

func TestWholePath(t *testing.T) {
	is := is.New(t)
	c := startCell(t)
	key := harness.NewKey()
	first := c.Post(c.Hosts[0], key, key, 0)
	mustBeOK(t, first)
	again := c.Post(c.Hosts[1], key, key, 0)
	is.Equal(again.Body, first.Body) // the retry joins the first
	mustBeOK(t, c.Get(c.Hosts[2], "/tallies?year=2026"))

	batch := harness.Batch(spec.KindBatch, 20, 200*time.Millisecond)
	gang := harness.Batch(spec.KindGang, 12, 500*time.Millisecond)
	c.Platform.ExpectGang(gang.ID, gang.Tasks)
	c.MustSubmit(c.Hosts[0], batch)
	c.MustSubmit(c.Hosts[1], gang)
	c.WaitJob(c.Hosts[2], batch.ID, 10*time.Second, "batch finishes", harness.Finished)
	c.WaitJob(c.Hosts[2], gang.ID, 10*time.Second, "gang finishes", harness.Finished)
	never := harness.Batch(spec.KindBatch, 1, time.Second)
	never.Task.Size.MilliCPU = 1_000_000
	problem := c.Submit(c.Hosts[0], never).Problem()
	is.True(problem != nil)
	is.Equal(string(problem.Ran), "no")

	r := c.Platform.Record()
	allHeld(t, r)
	eachRanOnce(t, r, batch)
	eachRanOnce(t, r, gang)
	is.Equal(len(r.Keys[key]), 1)
	is.Equal(r.Gangs[gang.ID].Peak, gang.Tasks)
}
