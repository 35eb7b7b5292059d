package fragment_test

import (
	"testing"

	"github.com/matryer/is"

	"pulleyquay/internal/fragment"
	"pulleyquay/internal/spec"
)

func accelerators(n int64) spec.Resources {
	return spec.Resources{MilliCPU: 1000, MemoryMiB: 1024, Accelerators: n}
}

// host is one of 64 cores, 128 GiB and 8 accelerators of which some are free.
func host(free int64) spec.Resources {
	return spec.Resources{MilliCPU: 64000, MemoryMiB: 131072, Accelerators: free}
}

func TestPlacesLost(t *testing.T) {
	tests := map[string]struct {
		seen          []int64 // accelerators of the large tasks
		before, after int64
		lost          float64
	}{
		"nothing seen":                         {nil, 8, 7, 0},
		"a whole host is broken up":            {[]int64{8}, 8, 7, 1},
		"a broken host loses nothing more":     {[]int64{8}, 7, 1, 0},
		"halves: the first breaks one of two":  {[]int64{4}, 8, 7, 1},
		"halves: the next ones are free":       {[]int64{4}, 7, 4, 0},
		"the mean over what was seen":          {[]int64{8, 4, 4, 2}, 8, 7, 1},
		"a mix, on a host that is broken up":   {[]int64{8, 4, 4, 2}, 7, 6, 0},
		"only the last ones count":             {[]int64{8, 8, 2, 2, 2, 2, 2, 2, 2, 2}, 7, 6, 0},
		"as many places as the host has of it": {[]int64{2}, 8, 0, 4},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var s fragment.Shapes
			for _, n := range tc.seen {
				s.Learn(accelerators(n))
			}
			is.New(t).Equal(s.PlacesLost(host(tc.before), host(tc.after)), tc.lost)
		})
	}
}

// BenchmarkPlacesLost rates an empty host, and one that is broken up.
func BenchmarkPlacesLost(b *testing.B) {
	var s fragment.Shapes
	for _, n := range []int64{2, 4, 8, 8, 2, 4, 8, 8} {
		s.Learn(accelerators(n))
	}
	for name, free := range map[string]int64{"empty": 8, "broken up": 1} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				s.PlacesLost(host(free), host(free-1))
			}
		})
	}
}
