package main

import "fmt"

// site is a small deployment.
type site struct {
	zones         []string
	nodes         int
	configuration string
	executors     []*executor
}

// lsbmaQuay is the site lsbma-quay, with two of its queues and without their policies.
func lsbmaQuay() site {
	s := site{zones: []string{"hall-duluth", "hall-marquette", "hall-thunder"}, nodes: 7, configuration: `{"version":7,"routes":[
{"name":"r-storm","host":"nony24.example","prefix":"/lohu930/","type":"non_idempotent","timeout-ms":3000,"target-latency-ms":250,"priority":0,"service":"barrier-ledger","attempts":3,"stretch":1.5},
{"name":"r-review","host":"nony24.example","prefix":"/pule252/","type":"non_idempotent","timeout-ms":3000,"target-latency-ms":1000,"priority":1,"service":"barrier-ledger","attempts":3,"stretch":2.2}],
"services":[{"name":"barrier-ledger","health-path":"/healthz","max-connections":64,"protocol":"h1","tls":false,"enforces-capacity":false,"standby":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`}
	for i := range 48 {
		s.executors = append(s.executors, &executor{machine: fmt.Sprintf("m-%02d", i), rack: fmt.Sprintf("r1-%d", i/8), kind: "a", service: "barrier-ledger", zone: s.zones[i%3], cpu: 64000, mem: 131072, upkeeps: map[int64]bool{}})
	}
	return s
}
