// Package e2e tests the guarantees of the system with the real processes under
// failures. Which tasks and requests ran is taken from the stand-in's record alone.
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

// maxCells is the largest number of cells at once; each has seven processes.
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

// startCell starts a cell and waits until its partitions are balanced and its members
// known to each other.
func startCell(t *testing.T) *harness.Cell {
	c := startUnsettledCell(t)
	c.WaitSettled()
	return c
}

// startUnsettledCell starts a cell that is ready and may still rebalance its partitions.
func startUnsettledCell(t *testing.T) *harness.Cell {
	t.Parallel()
	return binaries.StartCell(t, hosts, harness.Groups(workers, executors))
}

// ownerOf returns the host whose placer holds the partition while all placers are members.
func ownerOf(c *harness.Cell, id int) *harness.Host {
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
	return ownerOf(c, partition.OfTeam("regie", partition.DefaultCount))
}

func otherHost(c *harness.Cell, excluded *harness.Host) *harness.Host {
	for _, h := range c.Hosts {
		if h != excluded {
			return h
		}
	}
	return nil
}

// assertNoViolations fails the test for each invariant violation in the record.
func assertNoViolations(t *testing.T, r judge.Record) {
	t.Helper()
	for _, v := range r.Violations {
		t.Errorf("%s violated on %s: %s", v.Rule, v.On, v.Detail)
	}
}

// assertEachRanOnce fails the test unless every task of the job was started once and
// finished.
func assertEachRanOnce(t *testing.T, r judge.Record, job spec.Job) {
	t.Helper()
	for i := range job.Tasks {
		runs := r.Tasks[spec.TaskID{Job: job.ID, Index: i}.String()]
		if len(runs) != 1 || runs[0].State != "finished" {
			t.Errorf("task %d: got runs %+v, want one that finished", i, runs)
		}
	}
}

// assertTruthfulReplies fails the test for the first ten replies that contradict the record.
func assertTruthfulReplies(t *testing.T, v harness.ReplySummary) {
	t.Helper()
	for i, violation := range v.Violations {
		if i < 10 {
			t.Error(violation)
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

// requireOK stops the test if the reply is not an executor's success.
func requireOK(t *testing.T, r harness.Reply) {
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
	requireOK(t, first)
	retry := c.Post(c.Hosts[1], key, key, 0)
	is.Equal(retry.Body, first.Body) // the retry is answered with the first execution's reply
	requireOK(t, c.Get(c.Hosts[2], "/tallies?year=2026"))

	batch := harness.Batch(spec.KindBatch, 20, 200*time.Millisecond)
	gang := harness.Batch(spec.KindGang, 12, 500*time.Millisecond)
	c.Platform.ExpectGang(gang.ID, gang.Tasks)
	c.MustSubmit(c.Hosts[0], batch)
	c.MustSubmit(c.Hosts[1], gang)
	c.WaitJob(c.Hosts[2], batch.ID, 10*time.Second, "batch finishes", harness.Finished)
	c.WaitJob(c.Hosts[2], gang.ID, 10*time.Second, "gang finishes", harness.Finished)
	oversized := harness.Batch(spec.KindBatch, 1, time.Second)
	oversized.Task.Size.MilliCPU = 1_000_000
	problem := c.Submit(c.Hosts[0], oversized).Problem()
	is.True(problem != nil)
	is.Equal(string(problem.Ran), "no")

	r := c.Platform.Record()
	assertNoViolations(t, r)
	assertEachRanOnce(t, r, batch)
	assertEachRanOnce(t, r, gang)
	is.Equal(len(r.Keys[key]), 1)
	is.Equal(r.Gangs[gang.ID].Peak, gang.Tasks)
}
