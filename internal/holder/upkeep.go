package holder

import (
	"context"
	"time"

	"pulleyquay/internal/engine"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
)

// rolloutWatchTimeout is how long the store holds a watch request without changes.
const rolloutWatchTimeout = 25 * time.Second

// followRollouts passes the maintenance rollouts that operators request to the engine.
func (h *Holder) followRollouts() {
	f := follow.Follower{
		Store: h.cfg.Store, Health: h.cfg.Health, Prefix: h.cfg.WavePrefix, Wait: rolloutWatchTimeout,
		List: func(records []platform.Record, _ platform.Revision) {
			for _, rec := range records {
				h.applyRollout(rec)
			}
		},
		Change: func(c platform.Change) {
			if c.Deleted {
				h.oddWaves.Forget(c.Key)
				return
			}
			h.applyRollout(c.Record)
		},
	}
	f.Run(h.ctx)
}

func (h *Holder) applyRollout(rec platform.Record) {
	rollout, err := h.cfg.DecodeWave(rec)
	if err != nil {
		h.oddWaves.Report(rec, err)
		return
	}
	h.updateEngine(func(e *engine.Engine, _ time.Time) { e.SetWave(rollout) })
}

func (h *Holder) listMachines() {
	ctx, cancel := context.WithTimeout(h.ctx, machineCallTimeout)
	defer cancel()
	sentAt := time.Now()
	machines, err := h.cfg.Machines.Machines(ctx)
	h.updateEngine(func(e *engine.Engine, now time.Time) { e.SetMachines(machines, err, sentAt, now) })
}

func (h *Holder) startMaintenance(o engine.UpkeepOrder) {
	ctx, cancel := context.WithTimeout(h.ctx, machineCallTimeout)
	defer cancel()
	self := h.ledger.Holder()
	out, err := h.cfg.Machines.StartMaintenance(ctx, o.Machine, o.Rollout, self.Name, self.Epoch)
	h.updateEngine(func(e *engine.Engine, now time.Time) { e.HandleUpkeepResult(o, out, err, now) })
}
