package holder

import (
	"errors"
	"time"

	"pulleyquay/internal/engine"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/platform"
)

// commitLoop stores what the engine wants stored, one transaction after the
// other, and renews the right to give orders.
func (h *Holder) commitLoop() {
	idle := time.NewTimer(commitIdle)
	defer idle.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return // what is not stored yet the next holder learns from the hosts
		case <-h.commit:
		case <-idle.C:
		}
		begun := time.Now()
		if !h.storeNext() {
			return
		}
		idle.Reset(commitIdle)
		if rest := commitEvery - time.Since(begun); rest > 0 {
			time.Sleep(rest)
		}
	}
}

// storeNext stores one batch, which may be empty. It reports false when the
// partition is lost.
func (h *Holder) storeNext() bool {
	h.mu.Lock()
	b := h.engine.TakeBatch(time.Now())
	h.mu.Unlock()
	var groups [][]platform.Write
	if b != nil {
		groups = b.Groups
	}
	if !h.write(groups) {
		return false
	}
	if b != nil {
		h.confirmed(b)
	}
	return true
}

// write stores groups of writes. It reports false when the partition is lost.
func (h *Holder) write(groups [][]platform.Write) bool {
	begun := time.Now()
	err := h.ledger.Commit(h.ctx, groups)
	h.cfg.Metrics.commit(begun, len(groups), err)
	switch {
	case err == nil:
		h.cfg.Health.Note(true, time.Now())
	case errors.Is(err, ledger.ErrDeposed):
		h.cancel(err)
	case h.ctx.Err() == nil:
		h.log.WithError(err).Error("the store refuses a transaction; giving the partition up")
		h.cancel(err)
	}
	return err == nil
}

// confirmed tells the engine, and those who wait, that a batch is stored.
func (h *Holder) confirmed(b *engine.Batch) {
	h.do(func(e *engine.Engine, now time.Time) { e.Stored(b, now) })
	h.mu.Lock()
	close(h.stored)
	h.stored = make(chan struct{})
	h.mu.Unlock()
}
