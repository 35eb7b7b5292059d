package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"pulleyquay/internal/scheduler"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker"
)

// class is a kind of work that the results distinguish.
type class int

const (
	service class = iota
	batch
	gang
	accelerated
	urgent
	classes
)

var classNames = [classes]string{"service", "batch", "gang", "accelerated", "urgent"}

// arrival is one job.
type arrival struct {
	id    string
	class class
	at    time.Duration
	tasks int
	size  spec.Resources // declared by each task
	run   time.Duration  // zero if the tasks run forever
	// branch is the branch of the settings; jobs of one branch have similar usage shares.
	branch int
	// usageShare is the fraction of the declared size that the tasks use.
	usageShare float64
}

func (a *arrival) kind() spec.Kind {
	switch a.class {
	case service:
		return spec.KindService
	case gang:
		return spec.KindGang
	}
	return spec.KindBatch
}

// horizon is the duration of the arrivals.
const horizon = 15 * time.Minute

// arrivals returns random jobs for a number of workers. load is the fraction of
// the processors that the jobs would have allocated if none waited.
func arrivals(seed uint64, workers int, load float64) []arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	var out []arrival
	var usageShares [branches]float64
	for i := range usageShares {
		usageShares[i] = usageShare(r)
	}
	add := func(c class, at time.Duration, tasks int, size spec.Resources, run time.Duration) {
		branch := r.IntN(branches)
		out = append(out, arrival{
			id: fmt.Sprintf("%s-%d", classNames[c], len(out)), class: c, at: at, tasks: tasks, size: size, run: run,
			branch: branch, usageShare: usageShares[branch] * (0.85 + 0.3*r.Float64()),
		})
	}
	capacity := float64(workers) * 64
	for used := 0.0; used < 0.2*load*capacity; {
		cores := int64(1 << r.IntN(3))
		tasks := 3 + r.IntN(10)
		add(service, time.Duration(r.IntN(60))*time.Second, tasks, cpuMem(cores*1000, cores*(2+r.Int64N(4))*1024), 0)
		used += float64(cores * int64(tasks))
	}
	// The work of the finite classes, in core-seconds per second.
	for at := time.Duration(0); at < horizon; {
		var cost float64
		run := time.Duration(math.Exp(r.NormFloat64()*0.8+3.6) * float64(time.Second))
		switch p := r.Float64(); {
		case p < 0.78:
			size, tasks := batchSize(r), 1+int(math.Exp(r.Float64()*4))
			c := batch
			if r.Float64() < 0.04 {
				c = urgent
			}
			add(c, at, tasks, size, run)
			cost = float64(size.MilliCPU) / 1000 * float64(tasks) * run.Seconds()
		case p < 0.88:
			tasks, cores := 4<<r.IntN(4), int64(4<<r.IntN(3))
			add(gang, at, tasks, cpuMem(cores*1000, cores*2048), 2*run)
			cost = float64(cores*int64(tasks)) * 2 * run.Seconds()
		default:
			n := int64(1 << r.IntN(4))
			size := cpuMem(n*5000, n*20*1024)
			size.Accelerators = n
			tasks := 1 + r.IntN(4)
			add(accelerated, at, tasks, size, 3*run)
			cost = float64(n*5*int64(tasks)) * 3 * run.Seconds()
		}
		at += time.Duration(cost / (0.8 * load * capacity) * float64(time.Second))
	}
	return out
}

func cpuMem(cpu, mem int64) spec.Resources { return spec.Resources{MilliCPU: cpu, MemoryMiB: mem} }

// batchSize returns a random size from a quarter of a core to 16 cores; the memory
// per core is random as well.
func batchSize(r *rand.Rand) spec.Resources {
	cores := math.Exp(r.Float64()*4.1 - 1.4)
	perCore := math.Exp(r.NormFloat64()*0.6) * 2048
	return cpuMem(int64(cores*1000), min(int64(cores*perCore)+64, 100*1024))
}

// branches is the number of branches of the settings.
const branches = 20

// usageShare returns the random fraction of their declared size that the jobs of a
// branch use: below one for most branches, above one for one in ten.
func usageShare(r *rand.Rand) float64 {
	if r.Float64() < 0.1 {
		return 1 + 0.4*r.Float64()
	}
	return 0.3 + 0.7*r.Float64()
}

// cluster returns n workers of a mixed cell with four zones and eight workers per
// rack. One rack in five has accelerators and large memories, another one only large
// memories.
func cluster(n int) []scheduler.Worker {
	var out []scheduler.Worker
	for i := range n {
		rack := i / 8
		w := scheduler.Worker{Status: scheduler.StatusReady, Info: worker.Info{
			Name: fmt.Sprintf("w%05d", i), Rack: fmt.Sprint("rack", rack), Zone: fmt.Sprint("zone", rack%4),
			Size: cpuMem(64000, 128*1024), Generation: 1 + rack%2,
		}}
		switch rack % 5 {
		case 3:
			w.Info.Size.MemoryMiB *= 2
		case 4:
			w.Info.Size.MemoryMiB *= 2
			w.Info.Size.Accelerators = 8
		}
		out = append(out, w)
	}
	return out
}
