package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// upkeepTakes is upkeep-s of the site lsbma-quay.
const upkeepTakes = 2 * time.Second

// cloud is a stand-in for the service of the platform that has the machines: PROTOCOL.md, "Machines". It does not check
// fences, as require-fencing is false on the site.
type cloud struct {
	rig *rig

	mu      sync.Mutex
	orders  []machineOrder
	waveOf  map[int64]map[string]bool
	highest map[string]uint64 // by machine: the highest fencing token so far
	broken  []string
}

type machineOrder struct {
	at      time.Duration
	machine string
	holder  string
	token   uint64
	status  int
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/machines":
		c.list(w)
	case "/api/machine-upkeep":
		c.upkeep(w, r)
	default:
		answer(w, http.StatusNotFound, struct{}{})
	}
}

func (c *cloud) list(w http.ResponseWriter) {
	rows := []map[string]any{}
	for _, x := range c.rig.executors {
		x.mu.Lock()
		id := x.id
		if !x.up {
			id = ""
		}
		rows = append(rows, map[string]any{
			"machine": x.machine, "pool": x.service, "state": x.state, "zone": x.zone, "labels": []string{x.kind, x.rack},
			"capacity": map[string]int64{"cpu": x.cpu, "mem-mb": x.mem, "gpu": x.gpu}, "id": id,
		})
		x.mu.Unlock()
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a]["machine"].(string) < rows[b]["machine"].(string) })
	answer(w, http.StatusOK, map[string]any{"machines": rows, "next-token": nil})
}

func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get("Pulleyquay-Fencing-Token"), 10, 64)
	holder := r.Header.Get("Pulleyquay-Lease-Holder")
	status, reason := c.carryOut(o.Machine, o.Wave)
	c.record(o.Machine, holder, token, status)
	if status == http.StatusOK {
		answer(w, status, struct{}{})
		return
	}
	answer(w, status, map[string]string{"reason": reason})
}

func (c *cloud) carryOut(machine string, wave int64) (int, string) {
	x := c.rig.executorOf(machine)
	if x == nil {
		return http.StatusBadRequest, ""
	}
	c.mu.Lock()
	in := c.waveOf[wave][machine]
	c.mu.Unlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case !in:
		return http.StatusConflict, "wave"
	case x.upkeeps[wave]:
		return http.StatusOK, "" // done, or under way
	case !x.up:
		return http.StatusConflict, "busy"
	}
	x.upkeeps[wave] = true
	x.endLocked("upkeep", upkeepTakes)
	return http.StatusOK, ""
}

// record notes an order as it reaches the platform and checks it by the rule ONE.
func (c *cloud) record(machine, holder string, token uint64, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.rig.since()
	c.rig.note("order for machine %s: upkeep, from %s with fencing token %d; answered %d", machine, holder, token, status)
	for _, o := range c.orders {
		if o.machine == machine && o.token == token && o.holder != holder {
			c.broken = append(c.broken, "two holders, "+o.holder+" and "+holder+", with one fencing token for machine "+machine)
		}
	}
	if token < c.highest[machine] {
		c.broken = append(c.broken, "ONE: an order with fencing token "+strconv.FormatUint(token, 10)+" from "+holder+" for machine "+machine+
			" at "+at.Round(time.Millisecond).String()+", after one with "+strconv.FormatUint(c.highest[machine], 10))
	}
	c.highest[machine] = max(c.highest[machine], token)
	c.orders = append(c.orders, machineOrder{at, machine, holder, token, status})
}
