package experiment

import (
	"testing"

	"github.com/matryer/is"

	"pulleyquay/internal/spec"
)

func TestSize(t *testing.T) {
	declared := spec.Resources{MilliCPU: 1000, MemoryMiB: 2000, Accelerators: 4}
	cases := []struct {
		name    string
		samples int
		percent func(i int) int64
		want    spec.Resources
	}{
		{"too few samples", minSamples - 1, func(int) int64 { return 50 }, spec.Resources{}},
		{"half of the declared size", minSamples, func(int) int64 { return 50 }, spec.Resources{MilliCPU: 500, MemoryMiB: 1000}},
		{"one in twenty ignored", 100, func(i int) int64 { return 50 + 100*int64(btoi(i >= 95)) }, spec.Resources{MilliCPU: 500, MemoryMiB: 1000}},
		{"one in ten counted", 100, func(i int) int64 { return 50 + 100*int64(btoi(i >= 90)) }, spec.Resources{MilliCPU: 1500, MemoryMiB: 3000}},
		{"beyond the range", minSamples, func(int) int64 { return 5000 }, spec.Resources{MilliCPU: 10000, MemoryMiB: 20000}},
		{"previous samples used until enough new ones", maxSamples + 1, func(i int) int64 { return 50 + 100*int64(i/maxSamples) }, spec.Resources{MilliCPU: 500, MemoryMiB: 1000}},
		{"new samples replace previous ones", maxSamples + minSamples, func(i int) int64 { return 50 + 100*int64(i/maxSamples) }, spec.Resources{MilliCPU: 1500, MemoryMiB: 3000}},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newLearnedSizes()
			for i := range tt.samples {
				p := tt.percent(i)
				s.Record("/a", declared, spec.Resources{MilliCPU: 10 * p, MemoryMiB: 20 * p, Accelerators: 4})
			}
			is.Equal(s.Size("/a", declared), tt.want)
			is.Equal(s.Size("/b", declared), spec.Resources{})
		})
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
