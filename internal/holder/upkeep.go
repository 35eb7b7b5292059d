package holder

import (
	"context"
	"time"

	"pulleyquay/internal/engine"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
)

// wavesWait is how long the store holds a question for new waves.
const wavesWait = 25 * time.Second

// followWaves tells the engine of the waves that operators ask for.
func (h *Holder) followWaves() {
	f := follow.Follower{
		Store: h.cfg.Store, Health: h.cfg.Health, Prefix: h.cfg.WavePrefix, Wait: wavesWait,
		List: func(records []platform.Record) {
			for _, rec := range records {
				h.takeWave(rec)
			}
		},
		Change: func(c platform.Change) {
			if !c.Deleted {
				h.takeWave(c.Record)
			}
		},
	}
	f.Run(h.ctx)
}

func (h *Holder) takeWave(rec platform.Record) {
	w, err := h.cfg.DecodeWave(rec)
	if err != nil {
		h.log.WithError(err).Error("wave of upkeep can not be read")
		return
	}
	h.do(func(e *engine.Engine, _ time.Time) { e.SetWave(w) })
}

func (h *Holder) listMachines() {
	ctx, cancel := context.WithTimeout(h.ctx, machinePatience)
	defer cancel()
	asked := time.Now()
	machines, err := h.cfg.Machines.Machines(ctx)
	h.do(func(e *engine.Engine, now time.Time) { e.SetMachines(machines, err, asked, now) })
}

func (h *Holder) beginUpkeep(o engine.UpkeepOrder) {
	ctx, cancel := context.WithTimeout(h.ctx, machinePatience)
	defer cancel()
	self := h.ledger.Holder()
	out, err := h.cfg.Machines.Begin(ctx, o.Machine, o.Wave, self.Name, self.Epoch)
	h.do(func(e *engine.Engine, now time.Time) { e.Upkept(o, out, err, now) })
}
