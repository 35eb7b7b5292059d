package fleet

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
	"pulleyquay/internal/worker"
)

// Limits for the status updates sent to job owners.
const (
	maxRunsPerUpdate = 512
	updateTimeout    = 2 * time.Second
	updateRetry      = 100 * time.Millisecond
	updateRetryMax   = 2 * time.Second
)

// jobOwner is the holder's state of the job owner of one home partition.
type jobOwner struct {
	// epoch is the job owner's highest epoch seen in a request, the table or a handover.
	epoch uint64
	// pending are the runs with an update for the job owner.
	pending map[worker.Attempt]*run
	busy    bool
	retryAt time.Time
	backoff backoff.ExponentialBackOff
}

func (f *Fleet) jobOwner(id int) *jobOwner {
	o := f.jobOwners[id]
	if o == nil {
		o = &jobOwner{pending: map[worker.Attempt]*run{}, backoff: backoff.ExponentialBackOff{
			InitialInterval: updateRetry, Multiplier: backoff.DefaultMultiplier,
			RandomizationFactor: backoff.DefaultRandomizationFactor, MaxInterval: updateRetryMax,
		}}
		o.backoff.Reset()
		f.jobOwners[id] = o
	}
	return o
}

// serveJobOwner runs fn under the mutex unless the requesting job owner is fenced. The table
// is read before locking, since its source may have a lock of its own.
func (f *Fleet) serveJobOwner(from taskmsg.Home, fn func(now time.Time) error) error {
	table := f.cfg.View.Table()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.admitJobOwner(from, table); err != nil {
		return err
	}
	return fn(time.Now())
}

// admitJobOwner admits a job owner's request, or refuses it when a higher epoch of that owner
// has sent a request before or holds the partition according to this process's
// table. A new holder has not seen earlier requests, but its table contains every job
// owner that acquired its partition before this process did (see requireOwnClaims).
func (f *Fleet) admitJobOwner(from taskmsg.Home, table *view.Table) error {
	if err := f.requireOwnClaims(table); err != nil {
		return err
	}
	o := f.jobOwner(from.Partition)
	o.epoch = max(o.epoch, tableEpoch(table, from.Partition))
	if from.Epoch < o.epoch {
		return result.New(result.HomeFenced, result.RanNo, "home partition %d: epoch %d is below %d", from.Partition, from.Epoch, o.epoch)
	}
	o.epoch = from.Epoch
	return nil
}

// requireOwnClaims refuses requests until the table contains this process's own
// claims, and with them every earlier failover or handover of a job owner.
func (f *Fleet) requireOwnClaims(table *view.Table) error {
	for _, p := range f.partitions {
		if p.inTable {
			continue
		}
		if tableEpoch(table, p.id) < p.epoch {
			return result.New(result.HolderBehind, result.RanNo, "partition %d: claim of epoch %d not yet in the table", p.id, p.epoch).WithRetryAfter(updateRetry)
		}
		p.inTable = true
	}
	return nil
}

// tableEpoch returns the epoch of a partition in a table, zero if absent.
func tableEpoch(table *view.Table, id int) uint64 {
	for _, p := range table.Partitions {
		if p.ID == id {
			return p.Epoch
		}
	}
	return 0
}

// jobOwnerAddr returns the address of the holder of a partition, "" if it has none.
func (f *Fleet) jobOwnerAddr(id int) string {
	for _, p := range f.cfg.View.Table().Partitions {
		if p.ID == id && p.Holder != "" {
			return p.Addr
		}
	}
	return ""
}

// queueUpdate queues a run's state for its job owner. A later state replaces an earlier one.
func (f *Fleet) queueUpdate(r *run, state taskmsg.RunState) {
	r.update = state
	r.reported = true
	o := f.jobOwner(r.homePartition)
	o.pending[r.id] = r
	f.startUpdateSender(r.homePartition, o, time.Now())
}

// dropUpdate discards a run's queued update.
func (f *Fleet) dropUpdate(r *run) {
	r.update = 0
	if o := f.jobOwners[r.homePartition]; o != nil && o.pending[r.id] == r {
		delete(o.pending, r.id)
	}
}

// startUpdateSender starts a sender for the job owner if updates are pending and none runs.
func (f *Fleet) startUpdateSender(id int, o *jobOwner, now time.Time) {
	if o.busy || len(o.pending) == 0 || now.Before(o.retryAt) {
		return
	}
	o.busy = f.spawn(func() { f.sendUpdates(id, o) })
}

// sendUpdates sends the pending updates of one job owner, one message at a time.
func (f *Fleet) sendUpdates(id int, o *jobOwner) {
	for {
		f.mu.Lock()
		if len(o.pending) == 0 || time.Now().Before(o.retryAt) || f.ctx.Err() != nil {
			o.busy = false
			f.mu.Unlock()
			return
		}
		update, sent := f.composeUpdate(id, o)
		f.mu.Unlock()
		reply, err := f.callJobOwner(id, update)
		f.mu.Lock()
		f.applyUpdateReply(o, sent, reply, err)
		f.mu.Unlock()
	}
}

// sentUpdate records what was sent about a run, to detect later changes.
type sentUpdate struct {
	run          *run
	state        taskmsg.RunState
	lossEvidence taskmsg.LossEvidence
}

// superseded reports whether the run's update has changed since it was sent.
func (s sentUpdate) superseded() bool {
	return s.run.update != s.state || s.run.lossEvidence() != s.lossEvidence
}

func (f *Fleet) composeUpdate(id int, o *jobOwner) (taskmsg.RunReports, []sentUpdate) {
	n := min(len(o.pending), maxRunsPerUpdate)
	update := taskmsg.RunReports{HomePartition: id, Runs: make([]taskmsg.RunReport, 0, n)}
	sent := make([]sentUpdate, 0, n)
	for _, r := range o.pending {
		if len(sent) == n {
			break
		}
		update.Runs = append(update.Runs, f.runUpdate(r, r.update))
		sent = append(sent, sentUpdate{r, r.update, r.lossEvidence()})
	}
	return update, sent
}

func (f *Fleet) runUpdate(r *run, state taskmsg.RunState) taskmsg.RunReport {
	update := taskmsg.RunReport{
		Run: r.id, State: state, ExitCode: r.exitCode, Worker: r.managedWorker.name, Zone: r.managedWorker.info.Zone,
		Partition: r.managedWorker.heldPartition.id, Epoch: r.managedWorker.heldPartition.epoch,
	}
	if state == taskmsg.RunLost {
		update.SetEvidence(r.lossEvidence())
	}
	return update
}

func (f *Fleet) callJobOwner(id int, update taskmsg.RunReports) (taskmsg.RunReportsReply, error) {
	var reply taskmsg.RunReportsReply
	addr := f.jobOwnerAddr(id)
	if addr == "" {
		return reply, result.New(result.PeerNotReached, result.RanNo, "nobody holds partition %d", id)
	}
	ctx, cancel := context.WithTimeout(f.ctx, updateTimeout)
	defer cancel()
	err := f.cfg.Peers.Call(ctx, addr, peer.KindTaskUpdates, update, &reply)
	return reply, err
}

// applyUpdateReply processes a job owner's reply. An update that reports a run as running
// needs no acknowledgement; one that reports its end stays pending until acknowledged.
func (f *Fleet) applyUpdateReply(o *jobOwner, sent []sentUpdate, reply taskmsg.RunReportsReply, err error) {
	now := time.Now()
	if err != nil {
		f.metrics.updates.WithLabelValues("failed").Inc()
		o.retryAt = now.Add(o.backoff.NextBackOff())
		return
	}
	f.metrics.updates.WithLabelValues("ok").Inc()
	acked := attemptSet(reply.Acked)
	orphans := attemptSet(reply.Orphans)
	unacked := 0
	for _, s := range sent {
		if o.pending[s.run.id] != s.run || s.superseded() {
			continue // removed, or another update is pending
		}
		_, isAcked := acked[s.run.id]
		_, isOrphan := orphans[s.run.id]
		switch {
		case s.run.state >= runEnded && (isAcked || isOrphan):
			f.acknowledgeEnd(s.run)
		case s.run.state < runEnded:
			f.dropUpdate(s.run)
			if isOrphan {
				f.stopRun(s.run, worker.ModeStop, "unknown job")
			}
		default:
			unacked++
		}
	}
	if unacked > 0 {
		o.retryAt = now.Add(o.backoff.NextBackOff())
		return
	}
	o.backoff.Reset()
	o.retryAt = time.Time{}
}

// acknowledgeEnd lets the worker delete its record of an ended run with the next order.
func (f *Fleet) acknowledgeEnd(r *run) {
	f.dropUpdate(r)
	if r.managedWorker.removed {
		f.forgetRun(r)
		return
	}
	r.state = runAcked
	r.managedWorker.acks[r.id] = struct{}{}
}

func attemptSet(list []worker.Attempt) map[worker.Attempt]struct{} {
	set := make(map[worker.Attempt]struct{}, len(list))
	for _, a := range list {
		set[a] = struct{}{}
	}
	return set
}
