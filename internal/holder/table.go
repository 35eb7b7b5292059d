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

// comeBack is when a caller is told to come back after a refusal that a new
// holder ends.
const comeBack = 500 * time.Millisecond

// Table holds the partitions of this process and answers members' messages about
// their jobs.
type Table struct {
	cfg Config

	mu      sync.Mutex
	holders map[int]*Holder
}

// NewTable returns a table of nothing and registers its message kinds.
func NewTable(cfg Config, mux *peer.Mux) *Table {
	t := &Table{cfg: cfg, holders: map[int]*Holder{}}
	peer.Handle(mux, peer.KindAccepted, t.onAccepted)
	peer.Handle(mux, peer.KindState, t.onState)
	peer.Handle(mux, peer.KindCancelJob, t.onCancel)
	peer.Handle(mux, peer.KindPending, t.onPending)
	peer.Handle(mux, peer.KindHostReport, t.onHostReport)
	return t
}

// Hold runs a claimed partition until it is lost or ctx ends.
func (t *Table) Hold(ctx context.Context, l *ledger.Ledger, former ledger.Holder) error {
	h := New(t.cfg, l)
	p := l.Holder().Partition
	return h.Run(ctx, former, func() {
		t.mu.Lock()
		t.holders[p] = h
		t.mu.Unlock()
	}, func() {
		t.mu.Lock()
		delete(t.holders, p)
		t.mu.Unlock()
	})
}

// holder returns the holder of a partition, or an error that promises that
// nothing was done.
func (t *Table) holder(partition int) (*Holder, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.holders[partition]; h != nil {
		return h, nil
	}
	return nil, result.New(result.HolderAway, result.RanNo, "partition %d is not held here", partition).Later(comeBack)
}

func (t *Table) onAccepted(_ context.Context, a Accepted) (Empty, error) {
	h, err := t.holder(a.Partition)
	if err != nil {
		return Empty{}, err
	}
	begun := time.Now()
	h.do(func(e *engine.Engine, now time.Time) {
		age := a.Age + now.Sub(begun)
		h.cfg.Metrics.known(age)
		e.Accept(&a.Job, a.Fresh, now.Add(-age), now)
	})
	return Empty{}, nil
}

func (t *Table) onState(_ context.Context, q JobRequest) (JobReply, error) {
	h, err := t.holder(q.Partition)
	if err != nil {
		return JobReply{}, err
	}
	return h.state(q), nil
}

func (h *Holder) state(q JobRequest) JobReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.engine.Open(q.Job, q.Account) {
		return JobReply{}
	}
	s, _ := h.engine.State(q.Job)
	return JobReply{Known: true, State: s, Checked: true}
}

func (t *Table) onCancel(ctx context.Context, q JobRequest) (JobReply, error) {
	h, err := t.holder(q.Partition)
	if err != nil {
		return JobReply{}, err
	}
	return h.cancelJob(ctx, q)
}

// cancelJob ends a job and waits until that is stored.
func (h *Holder) cancelJob(ctx context.Context, q JobRequest) (JobReply, error) {
	id, known := q.Job, false
	h.do(func(e *engine.Engine, now time.Time) {
		if e.Open(id, q.Account) {
			_, known = e.Cancel(id, now)
		}
	})
	if !known {
		return JobReply{}, nil
	}
	for {
		h.mu.Lock()
		s, _ := h.engine.State(id)
		stored := h.stored
		h.mu.Unlock()
		if s.Final() {
			return JobReply{Known: true, State: s, Checked: true}, nil
		}
		select {
		case <-stored:
		case <-ctx.Done():
			return JobReply{}, result.New(result.JobStoreUnknown, result.RanUnknown, "the cancellation is not stored yet").Later(comeBack)
		case <-h.ctx.Done():
			return JobReply{}, result.New(result.HolderAway, result.RanUnknown, "the partition was lost while the cancellation was stored").Later(comeBack)
		}
	}
}

// onHostReport takes in how calls to hosts have ended that were given to link shards.
func (t *Table) onHostReport(_ context.Context, r linkshard.Report) (Empty, error) {
	h, err := t.holder(r.Partition)
	if err != nil {
		return Empty{}, err
	}
	if epoch := h.ledger.Holder().Epoch; r.Epoch != epoch {
		return Empty{}, result.New(result.HolderAway, result.RanNo, "partition %d is held with epoch %d, not %d", r.Partition, epoch, r.Epoch)
	}
	return Empty{}, h.router.Report(r)
}

// UnderWay is how many calls to hosts wait for their outcome, and whether this process
// holds a partition at all.
func (t *Table) UnderWay() (calls int, holds bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.holders {
		calls += h.router.UnderWay()
	}
	return calls, len(t.holders) > 0
}

func (t *Table) onPending(_ context.Context, q PendingRequest) (PendingReply, error) {
	h, err := t.holder(q.Partition)
	if err != nil {
		return PendingReply{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return PendingReply{Pending: h.engine.Pending(q.Queue)}, nil
}
