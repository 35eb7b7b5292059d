package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/upkeep"
)

// upkeepTakes is how long the maintenance of a machine takes.
const upkeepTakes = 2 * time.Second

// addMachines gives each host a machine of its own.
func (w *world) addMachines() {
	w.maintenanceStarted = map[upkeep.MachineID]bool{}
	for _, h := range w.fleet.Hosts() {
		id := h.Info().ID
		w.machines = append(w.machines, upkeep.Machine{ID: upkeep.MachineID("m" + id), Up: true, Host: id})
	}
}

// requestWave requests a maintenance rollout over all machines.
func (w *world) requestWave(atOnce int) upkeep.Rollout {
	wave := upkeep.Rollout{ID: 1, MaxUnavailable: atOnce}
	for _, m := range w.machines {
		wave.Machines = append(wave.Machines, m.ID)
	}
	w.engine.SetWave(wave)
	return wave
}

// serveMachines carries out the engine's orders to the machine service.
func (w *world) serveMachines(e *Engine, o Orders) {
	for _, u := range o.MachineOrders {
		w.after(oneWay, func() {
			out := w.takeDown(u)
			if w.rnd.Float64() < w.faults.lostReply {
				w.after(callTimeout, func() { w.deliver(e, func() { e.HandleUpkeepResult(u, 0, upkeep.ErrOutcomeUnknown, w.now()) }) })
				return
			}
			w.after(oneWay, func() { w.deliver(e, func() { e.HandleUpkeepResult(u, out, nil, w.now()) }) })
		})
	}
	if o.ListMachines {
		asked := w.now()
		w.after(oneWay, func() {
			list := append([]upkeep.Machine(nil), w.machines...)
			w.after(oneWay, func() { w.deliver(e, func() { e.SetMachines(list, nil, asked, w.now()) }) })
		})
	}
}

func (w *world) takeDown(o UpkeepOrder) upkeep.Outcome {
	for i := range w.machines {
		m := &w.machines[i]
		switch {
		case m.ID != o.Machine:
			continue
		case w.maintenanceStarted[m.ID]:
			return upkeep.Started
		case !m.Up:
			return upkeep.Busy
		}
		w.maintenanceStarted[m.ID] = true
		old := w.host(m.Host)
		old.Decommission()
		terminated := m.Host
		w.deliver(w.engine, func() { w.engine.DropHost(terminated, w.now()) })
		m.Up, m.InMaintenance = false, true
		w.after(upkeepTakes, func() {
			fresh := w.fleet.Add(1, "s", old.Info().Size)[0]
			m.Up, m.InMaintenance, m.Host = true, false, fresh.Info().ID
			w.deliver(w.engine, func() { w.engine.SetHost(fresh.Info(), w.now()) })
		})
		return upkeep.Started
	}
	return upkeep.NotInRollout
}

// storedRollouts returns the stored progress of rollouts.
func (w *world) storedRollouts() (out []upkeep.Progress) {
	for key, value := range w.store {
		if !strings.HasPrefix(key, "waves/") {
			continue
		}
		var p upkeep.Progress
		if err := cbor.Unmarshal(value, &p); err != nil {
			w.t.Fatal(err)
		}
		out = append(out, p)
	}
	return out
}

// TestUpkeepKeepsServicesUp checks that a rollout over all machines takes down no more of a service's
// tasks than the service tolerates, loses no batch work, and is reported as completed at its end.
func TestUpkeepKeepsServicesUp(t *testing.T) {
	tests := map[string]struct {
		faults faults
		inject func(w *world, wave upkeep.Rollout)
	}{
		"calm":         {},
		"answers lost": {faults: faults{lostReply: 0.1}},
		"failover": {inject: func(w *world, wave upkeep.Rollout) {
			w.failOver()
			w.engine.SetWave(wave)
		}},
		"two failovers, answers lost": {faults: faults{lostReply: 0.1}, inject: func(w *world, wave upkeep.Rollout) {
			w.failOver()
			w.after(8*time.Second, func() { w.failOver(); w.engine.SetWave(wave) })
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := idleWorld(t, 6)
			w.addMachines()
			web := longRunningStep(10, 6, 4)
			web.MaxUnavailable = 1
			w.submit("web", catalog.Rules{}, web)
			w.run(2 * time.Second)
			for i := range 10 {
				w.after(time.Duration(i)*900*time.Millisecond, func() {
					w.submit(fmt.Sprint("batch", i), catalog.Rules{}, step(4, 4, 4, 2500))
				})
			}
			wave := w.requestWave(2)
			w.faults = tc.faults
			w.run(3 * time.Second)
			if tc.inject != nil {
				tc.inject(w, wave)
			}
			w.run(150 * time.Second)
			w.checkInvariants()
			is.Equal(len(w.maintenanceStarted), 6)
			is.Equal(string(w.store["state"]), "true")
			is.Equal(w.readyTasks("web"), 10)
			is.Equal(w.completed(), 10)
		})
	}
}

// TestBudgetStopsTheWave checks that no machine of a service is taken down while as many tasks of the
// service are absent as it tolerates.
func TestBudgetStopsTheWave(t *testing.T) {
	is := is.New(t)
	w := idleWorld(t, 4)
	w.addMachines()
	web := longRunningStep(8, 6, 4)
	web.MaxUnavailable, web.MaxPerHost = 1, 2
	w.submit("web", catalog.Rules{}, web)
	w.run(2 * time.Second)
	w.host("h03").Crash() // its two tasks fit on no other host, as the limit is two per host
	w.requestWave(1)
	w.run(20 * time.Second)
	w.checkInvariants()
	is.Equal(w.running("web"), 6)
	for id := range w.maintenanceStarted {
		is.Equal(id, upkeep.MachineID("mh03")) // it runs nothing
	}
}
