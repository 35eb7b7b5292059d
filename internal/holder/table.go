package holder

import (
	"context"
	"sync"
	"time"

	"pulleyquay/internal/engine"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/linkshard"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
)

// retryDelay is the retry-after delay in refusals that end as soon as the partition has a
// holder that is ready.
const retryDelay = 500 * time.Millisecond

// Table has the holders of this process by partition and answers messages from members
// about their jobs.
type Table struct {
	cfg Config

	mu      sync.Mutex
	holders map[int]*Holder
}

// NewTable returns an empty table and registers its message handlers on mux.
func NewTable(cfg Config, mux *peer.Mux) *Table {
	t := &Table{cfg: cfg, holders: map[int]*Holder{}}
	peer.Handle(mux, peer.KindJobAccepted, t.onAccepted)
	peer.Handle(mux, peer.KindJobState, t.onState)
	peer.Handle(mux, peer.KindCancelJob, t.onCancel)
	peer.Handle(mux, peer.KindPendingJobs, t.onPending)
	peer.Handle(mux, peer.KindHostReport, t.onHostReport)
	return t
}

// Hold runs a claimed partition until it is lost or ctx ends, and returns the cause.
func (t *Table) Hold(ctx context.Context, l *ledger.Ledger, previous ledger.Predecessor) error {
	h := New(t.cfg, l)
	p := l.Holder().Partition
	return h.Run(ctx, previous, func() {
		t.mu.Lock()
		t.holders[p] = h
		t.mu.Unlock()
	}, func() {
		t.mu.Lock()
		delete(t.holders, p)
		t.mu.Unlock()
	})
}

// holder returns the holder of a partition. Its error guarantees that the request had no
// effect.
func (t *Table) holder(partition int) (*Holder, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.holders[partition]; h != nil {
		return h, nil
	}
	return nil, result.New(result.HolderUnreachable, result.RanNo, "partition %d is not held here", partition).WithRetryAfter(retryDelay)
}

func (t *Table) onAccepted(_ context.Context, a JobAccepted) (Empty, error) {
	h, err := t.holder(a.Partition)
	if err != nil {
		return Empty{}, err
	}
	if err := a.Job.Sanitize(); err != nil {
		return Empty{}, result.New(result.BadInput, result.RanNo, "job %s: %v", a.Job.ID, err)
	}
	received := time.Now()
	h.updateEngine(func(e *engine.Engine, now time.Time) {
		age := a.Age + now.Sub(received)
		h.cfg.Metrics.observeJobAge(age)
		e.Accept(&a.Job, a.Fresh, now.Add(-age), now)
	})
	return Empty{}, nil
}

func (t *Table) onState(_ context.Context, req JobRequest) (JobReply, error) {
	h, err := t.holder(req.Partition)
	if err != nil {
		return JobReply{}, err
	}
	return h.state(req), nil
}

func (h *Holder) state(req JobRequest) JobReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.engine.AccessibleTo(req.Job, req.Account) {
		return JobReply{}
	}
	s, _ := h.engine.State(req.Job)
	return JobReply{Found: true, State: s, AccessChecked: true}
}

func (t *Table) onCancel(ctx context.Context, req JobRequest) (JobReply, error) {
	h, err := t.holder(req.Partition)
	if err != nil {
		return JobReply{}, err
	}
	return h.cancelJob(ctx, req)
}

// cancelJob cancels a job and waits until its final state is stored.
func (h *Holder) cancelJob(ctx context.Context, req JobRequest) (JobReply, error) {
	id, accessible := req.Job, false
	h.updateEngine(func(e *engine.Engine, now time.Time) {
		if e.AccessibleTo(id, req.Account) {
			_, accessible = e.Cancel(id, now)
		}
	})
	if !accessible {
		return JobReply{}, nil
	}
	for {
		h.mu.Lock()
		s, _ := h.engine.State(id)
		batchStored := h.batchStored
		h.mu.Unlock()
		if s.Final() {
			return JobReply{Found: true, State: s, AccessChecked: true}, nil
		}
		select {
		case <-batchStored:
		case <-ctx.Done():
			return JobReply{}, result.New(result.JobStoreUnknown, result.RanUnknown, "the cancellation is not stored yet").WithRetryAfter(retryDelay)
		case <-h.ctx.Done():
			return JobReply{}, result.New(result.HolderUnreachable, result.RanUnknown, "the partition was lost while the cancellation was stored").WithRetryAfter(retryDelay)
		}
	}
}

// onHostReport passes the outcomes of host calls made by link shards to the router.
func (t *Table) onHostReport(_ context.Context, r linkshard.Report) (Empty, error) {
	h, err := t.holder(r.Partition)
	if err != nil {
		return Empty{}, err
	}
	if epoch := h.ledger.Holder().Epoch; r.Epoch != epoch {
		return Empty{}, result.New(result.HolderUnreachable, result.RanNo, "partition %d is held with epoch %d, not %d", r.Partition, epoch, r.Epoch)
	}
	return Empty{}, h.router.Report(r)
}

// PendingCalls returns the number of host calls whose outcome is pending, and whether this
// process holds any partition.
func (t *Table) PendingCalls() (calls int, holds bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.holders {
		calls += h.router.PendingCalls()
	}
	return calls, len(t.holders) > 0
}

func (t *Table) onPending(_ context.Context, req PendingRequest) (PendingReply, error) {
	h, err := t.holder(req.Partition)
	if err != nil {
		return PendingReply{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return PendingReply{Pending: h.engine.Pending(req.Queue)}, nil
}
