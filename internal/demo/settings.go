package demo

import "strings"

// object is a JSON object.
type object = map[string]any

// taskLease is short so that the failover of workers completes quickly.
const taskLease = "4s"

func splitLines(data []byte) []string { return strings.Split(string(data), "\n") }

// standinSettings returns the settings of the stand-in, whose hosts are a scaled-down copy of the hosts
// of the two associations, lakeshore and regie, whose settings the demo loads.
func (c *Cell) standinSettings() object {
	lake := []string{"lake-a", "lake-b", "lake-c"}
	regie := []string{"regie-a", "regie-b", "regie-c", "regie-d"}
	return object{
		"listen": c.standin, "host_list_lag": "500ms",
		"groups": []object{
			{"name": "lake", "role": "worker", "count": 12, "zones": lake, "per_rack": 2,
				"size": object{"milli_cpu": 64000, "memory_mib": 131072}, "generation": 1},
			{"name": "regie", "role": "worker", "count": 12, "zones": regie, "per_rack": 2,
				"size": object{"milli_cpu": 64000, "memory_mib": 262144}, "generation": 2},
			{"name": "regie-acc", "role": "worker", "count": 4, "zones": regie, "per_rack": 2,
				"size":             object{"milli_cpu": 64000, "memory_mib": 262144, "accelerators": 4},
				"accelerator_kind": "a1", "generation": 2},
			{"name": "ledger", "role": "executor", "count": 12, "zones": lake, "per_rack": 4,
				"service": "lakeshore.ledger", "slots": 8, "connections": 64},
			{"name": "count", "role": "executor", "count": 12, "zones": regie, "per_rack": 3,
				"service": "regie.count", "slots": 8, "connections": 64},
		},
	}
}

func (c *Cell) placerSettings(h host) object {
	return object{
		"name": h.name, "zone": h.zone,
		"listen":    object{"peer": h.peer, "admin": h.placerAdmin},
		"store":     object{"endpoints": []string{c.standin}},
		"host_list": object{"address": c.standin, "interval": "500ms"},
		"holding":   object{"task_lease": taskLease, "seeds": c.peers(h)},
	}
}

func (c *Cell) entrySettings(h host) object {
	return object{
		"name": h.name, "zone": h.zone,
		"listen":  object{"http": h.http, "admin": h.admin},
		"placers": c.peers(h),
		"stop":    object{"announce": "200ms"},
	}
}

// peers returns the addresses of all placers, that of self first.
func (c *Cell) peers(self host) []string {
	out := []string{self.peer}
	for _, h := range c.hosts {
		if h.peer != self.peer {
			out = append(out, h.peer)
		}
	}
	return out
}
