package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Figures of the case wave.
const (
	waveMachines = 12
	waveMax      = 1
	upkeepTime   = 2 * time.Second
	// lostShare is the number of orders of which one loses its answer.
	lostShare = 3
)

// wave: some answers to orders for machines are lost while a wave of upkeep goes on.
func wave(r *rig) {
	r.boot(waveMachines, 3, config())
	done := make(chan struct{})
	go r.traffic(4, done)
	time.Sleep(2 * time.Second)
	names := []string{}
	for _, m := range r.machines {
		names = append(names, m.name)
	}
	order, err := json.Marshal(map[string]any{"wave": 1, "machines": names, "within-s": 60, "max-count": waveMax})
	if err != nil {
		panic(err) // plain data always encodes
	}
	r.store.put("op/wave/1", order)
	r.record("operator: wave 1 of %d machines, max-count %d", waveMachines, waveMax)
	for range 90 {
		time.Sleep(time.Second)
		var state struct {
			State string `json:"state"`
		}
		if json.Unmarshal(r.store.get("status/wave/1"), &state) == nil && state.State == "completed" {
			r.record("wave 1 is said to be completed")
			break
		}
	}
	close(done)
}

// cloud is the service for machines.
func (r *rig) cloud() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", func(w http.ResponseWriter, _ *http.Request) {
		out := []map[string]any{}
		for _, m := range r.machines {
			e, state := m.current()
			entry := map[string]any{
				"machine": m.name, "pool": pool, "state": state, "zone": m.zone, "labels": []string{"a", m.rack},
				"capacity": map[string]int{"cpu": cpu, "mem-mb": memMB, "gpu": 0}, "id": nil,
			}
			if e != nil {
				entry["id"] = e.id
			}
			out = append(out, entry)
		}
		r.record("machine service: list")
		answer(w, http.StatusOK, map[string]any{"machines": out, "next-token": nil})
	})
	u := &upkeeps{rig: r, had: map[string]bool{}}
	mux.HandleFunc("POST /api/machine-upkeep", u.order)
	return mux
}

// upkeeps carries the upkeep of machines out.
type upkeeps struct {
	rig    *rig
	mu     sync.Mutex
	had    map[string]bool // machines that have had it
	orders int             // carried out
}

func (u *upkeeps) order(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	holder, token := req.Header.Get("Pulleyquay-Lease-Holder"), req.Header.Get("Pulleyquay-Fencing-Token")
	var target *machine
	down := 0
	for _, m := range u.rig.machines {
		if m.name == o.Machine {
			target = m
		}
		if _, state := m.current(); state == "upkeep" {
			down++
		}
	}
	switch {
	case target == nil:
		answer(w, http.StatusBadRequest, struct{}{})
		return
	case u.had[o.Machine] && stateOf(target) == "up":
		u.rig.record("machine service: upkeep of %s by %s, %s: 200, as it has had it", o.Machine, holder, token)
		answer(w, http.StatusOK, struct{}{})
		return
	case stateOf(target) != "up":
		u.rig.record("machine service: upkeep of %s by %s, %s: 409 busy, as it is not up", o.Machine, holder, token)
		answer(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	if down >= waveMax {
		u.rig.breaks("LIMIT: the upkeep of %s begins while %d machines of its wave are down for theirs, max-count is %d", o.Machine, down, waveMax)
	}
	u.had[o.Machine] = true
	u.orders++
	target.kill("upkeep")
	time.AfterFunc(upkeepTime, target.boot)
	if u.rig.trouble && u.orders%lostShare == 0 {
		u.rig.record("machine service: upkeep of %s by %s, %s: begins, and its answer is lost", o.Machine, holder, token)
		panic(http.ErrAbortHandler) // resets the connection
	}
	u.rig.record("machine service: upkeep of %s by %s, %s: 200, it begins", o.Machine, holder, token)
	answer(w, http.StatusOK, struct{}{})
}

func stateOf(m *machine) string {
	_, state := m.current()
	return state
}
