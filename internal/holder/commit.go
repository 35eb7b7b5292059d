package holder

import (
	"errors"
	"time"

	"pulleyquay/internal/engine"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/platform"
)

// commitLoop stores the engine's batches one after the other. Each commit, also an empty
// one, renews the authority to give orders.
func (h *Holder) commitLoop() {
	idle := time.NewTimer(idleCommitInterval)
	defer idle.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return // the next holder obtains unstored results from the hosts
		case <-h.commitRequested:
		case <-idle.C:
		}
		start := time.Now()
		if !h.commitNextBatch() {
			return
		}
		idle.Reset(idleCommitInterval)
		if pause := minCommitInterval - time.Since(start); pause > 0 {
			time.Sleep(pause)
		}
	}
}

// commitNextBatch stores one batch, which may be empty. It returns false if the partition is
// lost.
func (h *Holder) commitNextBatch() bool {
	h.mu.Lock()
	b := h.engine.TakeBatch(time.Now())
	h.mu.Unlock()
	if b == nil {
		return h.commitWrites(nil, nil)
	}
	if !h.commitWrites(b.Groups, b.Roster) {
		return false
	}
	h.confirmBatch(b)
	return true
}

// commitWrites stores groups of writes, and writes that depend on them. It returns false if the partition is lost.
func (h *Holder) commitWrites(groups [][]platform.Write, dependent []platform.Write) bool {
	start := time.Now()
	err := h.ledger.Commit(h.ctx, groups, dependent)
	h.cfg.Metrics.observeCommit(start, len(groups), err)
	switch {
	case err == nil:
		h.cfg.Health.RecordCall(true, time.Now())
	case errors.Is(err, ledger.ErrDeposed):
		h.cancel(err)
	case h.ctx.Err() == nil:
		h.log.WithError(err).Error("store refused a transaction; releasing the partition")
		h.cancel(err)
	}
	return err == nil
}

// confirmBatch informs the engine and waiting requests that a batch is stored.
func (h *Holder) confirmBatch(b *engine.Batch) {
	h.updateEngine(func(e *engine.Engine, now time.Time) { e.Stored(b, now) })
	h.mu.Lock()
	close(h.batchStored)
	h.batchStored = make(chan struct{})
	h.mu.Unlock()
}
