package scheduler

import (
	"fmt"
	"time"

	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func resources(cpu, mem, acc int64) spec.Resources {
	return spec.Resources{MilliCPU: cpu, MemoryMiB: mem, Accelerators: acc}
}

func readyWorker(name, zone string, size spec.Resources) Worker {
	return Worker{Info: worker.Info{Name: name, Rack: "r-" + name, Zone: zone, Size: size}, Status: StatusReady}
}

func requestFor(size spec.Resources) Request {
	return Request{Shape: taskmsg.Shape{
		Job: "job", Kind: spec.KindBatch, Task: spec.Task{Size: size},
		Policy: taskmsg.Policy{Name: settings.PolicyPacking},
	}}
}

func run(job string, index int, size spec.Resources) Run {
	return Run{
		Attempt: worker.Attempt{Task: spec.TaskID{Job: job, Index: index}, Attempt: 1},
		Kind:    spec.KindBatch, Size: size,
	}
}

func workerName(i int) string { return fmt.Sprintf("w%05d", i) }
