package capacity

import (
	"fmt"
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// jobID has the length of every job's id.
const jobID = "0198a3c2-7d1e-7abc-8def-0123456789ab"

func discardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// cpu returns the processor time that this process has used.
func cpu(tb testing.TB) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// reportCPU reports the user and system time of all goroutines since before, per
// unit.
func reportCPU(b *testing.B, before time.Duration, units int, unit string) {
	b.ReportMetric(float64((cpu(b)-before).Nanoseconds())/1e3/float64(units), "cpu-us/"+unit)
}

// shape returns a typical task shape of a batch job.
func shape() taskmsg.Shape {
	return taskmsg.Shape{
		Job: jobID, Kind: spec.KindBatch,
		Task:          spec.Task{Size: spec.Resources{MilliCPU: 2000, MemoryMiB: 4096}, RunMillis: 20000, Command: "reconcile --shard"},
		Policy:        taskmsg.Policy{Name: settings.PolicyPacking, SpreadZones: true, MinReplicas: 1},
		RunningByZone: map[string]int{"eu-west-1a": 12, "eu-west-1b": 12, "eu-west-1c": 11},
	}
}

func slots(n int) []taskmsg.Slot {
	out := make([]taskmsg.Slot, n)
	for i := range out {
		out[i] = taskmsg.Slot{Index: 1000 + i, Attempt: 1}
	}
	return out
}

func workerName(i int) string { return fmt.Sprintf("worker-%05d", i) }
