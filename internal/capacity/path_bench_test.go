package capacity

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"pulleyquay/internal/fleet"
	"pulleyquay/internal/hold"
	"pulleyquay/internal/job"
	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/partition"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
)

// teams is the number of teams that the jobs are spread over, so that many home partitions
// have jobs.
const teams = 100

// countedStore counts the commits to a store.
type countedStore struct {
	platform.Store
	commits atomic.Int64
}

func (s *countedStore) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	s.commits.Add(1)
	return s.Store.Commit(ctx, txn)
}

// cell is one process that owns all jobs and holds all workers.
type cell struct {
	jobs    *job.Manager
	workers *instantWorkers
	store   *countedStore
	next    int
	size    spec.Resources // of each task submitted
}

func newCell(b *testing.B, n int) *cell {
	engine := memstore.New()
	c := &cell{workers: newInstantWorkers(false), size: spec.Resources{MilliCPU: 500, MemoryMiB: 500}, store: &countedStore{Store: engine.Client("placer")}}
	mux := peer.NewMux()
	peers := peer.Local{holderAddr: mux}
	hosts := c.workers.add(n)
	view := c.table(b)
	f := fleet.New(fleet.Config{
		Name: "holder", Partitions: partition.DefaultCount, Hosts: func() []platform.Host { return hosts },
		Authorizer: fullAuthority{}, Client: c.workers, Peers: peers, View: view, Registerer: prometheus.NewRegistry(), Log: discardLogger(),
	})
	c.jobs = job.New(job.Config{
		Source: view, Authorizer: fullAuthority{}, Store: c.store, Peers: peers, PartitionKey: hold.PartitionKey,
		Values:     func(string) (settings.Values, bool) { return settings.Defaults(), true },
		Digests:    func() map[string]taskmsg.Digest { return map[string]taskmsg.Digest{"holder": f.Digest()} },
		Registerer: prometheus.NewRegistry(), Log: discardLogger(),
	})
	f.Register(mux)
	c.jobs.Register(mux)
	for p := range partition.DefaultCount {
		t := hold.Acquisition{Grant: hold.Grant{Partition: p, Epoch: 1}, NeverHeld: true}
		if err := f.Acquire(context.Background(), t); err != nil {
			b.Fatal(err)
		}
		if err := c.jobs.Acquire(context.Background(), t); err != nil {
			b.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	b.Cleanup(func() {
		c.jobs.Close()
		cancel()
		<-done
		engine.Close()
	})
	for f.Digest().Workers < n {
		time.Sleep(time.Millisecond)
	}
	return c
}

// table writes the partitions' records to the store and returns a view with them.
func (c *cell) table(b *testing.B) *singleHolderView {
	o := &singleHolderView{}
	o.table.Members = []view.Member{{Name: "holder", Incarnation: jobID, Addr: holderAddr}}
	for p := range partition.DefaultCount {
		reply, err := c.store.Commit(context.Background(), platform.Txn{Then: []platform.Write{{Key: hold.PartitionKey(p), Value: []byte("1")}}})
		if err != nil {
			b.Fatal(err)
		}
		o.table.Revision = int64(reply.Revision)
		o.table.Partitions = append(o.table.Partitions, view.Partition{
			ID: p, Holder: "holder", Incarnation: jobID, Addr: holderAddr, Epoch: 1, ModRevision: int64(reply.Revision),
		})
	}
	return o
}

func (c *cell) submit(b *testing.B, tasks int) string {
	c.next++
	j := spec.Job{
		ID: uuid.Must(uuid.NewV7()).String(), Team: fmt.Sprint("team-", c.next%teams), Branch: "/", Kind: spec.KindBatch, Tasks: tasks,
		Task: spec.Task{Size: c.size, RunMillis: 1, Command: "reconcile --shard"},
	}
	for {
		_, err := c.jobs.Submit(context.Background(), jobmsg.SubmitRequest{Job: j})
		if err == nil {
			return j.ID
		}
		if b.Elapsed() > time.Minute {
			b.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond) // the job owner is still reading its records
	}
}

func (c *cell) finished(b *testing.B, id string) bool {
	reply, err := c.jobs.Get(context.Background(), jobmsg.GetRequest{ID: id})
	if err != nil {
		b.Fatal(err)
	}
	return reply.Status.State.Final()
}

// BenchmarkTaskWholePath measures jobs from their submission to the record of
// their end: job owner, holder and records in an in-memory store, with the codec of
// peer links but without sockets. One iteration submits several jobs at once; their
// last ends are reported with the lease renewals, and this delay limits starts/s.
func BenchmarkTaskWholePath(b *testing.B) {
	for _, load := range []struct{ jobs, tasks int }{{500, 1}, {500, 10}, {50, 100}, {20, 1000}} {
		jobs, tasks := load.jobs, load.tasks
		b.Run(fmt.Sprintf("%d-jobs/%d-tasks", jobs, tasks), func(b *testing.B) {
			c := newCell(b, 200)
			commits, used := c.store.commits.Load(), cpu(b)
			starts := 0
			for b.Loop() {
				var ids []string
				for range jobs {
					ids = append(ids, c.submit(b, tasks))
				}
				for _, id := range ids {
					for !c.finished(b, id) {
						time.Sleep(20 * time.Millisecond)
					}
				}
				starts += jobs * tasks
			}
			reportCPU(b, used, starts, "start")
			b.ReportMetric(float64(starts)/b.Elapsed().Seconds(), "starts/s")
			b.ReportMetric(float64(c.store.commits.Load()-commits)/float64(b.N*jobs), "commits/job")
		})
	}
}

// BenchmarkHomeBytes measures the memory that a job owner needs for each waiting task,
// and the bytes of a job's record in the store.
func BenchmarkHomeBytes(b *testing.B) {
	for _, c := range []struct{ jobs, tasks int }{{1000, 1}, {1000, 100}, {20, 10000}} {
		jobs, tasks := c.jobs, c.tasks
		b.Run(fmt.Sprint(tasks, "-tasks"), func(b *testing.B) {
			for b.Loop() {
				c := newCell(b, 1)
				c.size = spec.Resources{MilliCPU: 64000, MemoryMiB: 1}
				before := heap()
				for range jobs {
					c.submit(b, tasks)
				}
				b.ReportMetric(float64(heap()-before)/float64(jobs), "B/job")
				b.ReportMetric(float64(heap()-before)/float64(jobs*tasks), "B/task")
				records, _, err := c.store.List(context.Background(), "jobs/")
				if err != nil || len(records) == 0 {
					b.Fatal(len(records), err)
				}
				b.ReportMetric(float64(len(records[0].Value)), "B/record")
			}
		})
	}
}
