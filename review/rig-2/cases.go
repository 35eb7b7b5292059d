package main

import (
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	port "pulleyquay/internal/platform"
)

// staleOrder: while a wave of upkeep is carried out, the machine whose process gives the orders is cut off for 12 s, as
// one of its orders is on its way.
func staleOrder(r *rig) error {
	const (
		machines   = 24
		most       = 4
		armedAfter = 4 * time.Second
		cutFor     = 12 * time.Second
	)
	stop := make(chan struct{})
	defer close(stop)
	go r.background(stop)
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	struck, waveAt := "", time.Now()
	r.onOrder = func(machine string) {
		mu.Lock()
		defer mu.Unlock()
		if !r.trouble || struck != "" || machine == "" || time.Since(waveAt) < armedAfter {
			return
		}
		struck = machine
		r.note("%s is cut off from everything for %v", machine, cutFor)
		r.cuts.set(machine, true)
		time.AfterFunc(cutFor, func() {
			r.note("%s is reachable again", machine)
			r.cuts.set(machine, false)
		})
	}
	in := map[string]bool{}
	names := []string{}
	for _, x := range r.executors[:machines] {
		in[x.machine] = true
		names = append(names, x.machine)
	}
	r.cloud.mu.Lock()
	r.cloud.waveOf[1] = in
	r.cloud.mu.Unlock()
	wave, err := json.Marshal(map[string]any{"wave": 1, "machines": names, "within-s": 60, "max-count": most})
	if err != nil {
		return err
	}
	r.note("the operator asks for wave 1: %d machines, at most %d at once", machines, most)
	waveAt = time.Now()
	r.store.Put(port.Write{Key: "op/wave/1", Value: wave})
	completed := func() bool { return strings.Contains(string(r.store.Get("status/wave/1")), "completed") }
	for time.Since(waveAt) < 75*time.Second && !completed() {
		time.Sleep(100 * time.Millisecond)
	}
	r.note("wave 1: %s", r.store.Get("status/wave/1"))
	mu.Lock()
	done := struck != ""
	mu.Unlock()
	if r.trouble && !done {
		return errors.New("no order came while the disruption was armed")
	}
	time.Sleep(5 * time.Second)
	if !completed() {
		return errors.New("the wave is not completed")
	}
	return nil
}
