package partition

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// names returns n names, made with format from the numbers 1 to n.
func names(format string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf(format, i+1)
	}
	return out
}

func members(n int) []string { return names("host-%d", n) }

// owners maps each partition to its owner.
func owners(members []string) map[int]string {
	out := map[int]string{}
	for p := range DefaultCount {
		out[p] = Owner(p, members)
	}
	return out
}

func TestJoinAndLeaveMoveOnlyOwnPartitions(t *testing.T) {
	is := is.New(t)
	for n := 2; n <= 9; n++ {
		all := members(n)
		before, after := owners(all[:n-1]), owners(all)
		for p, o := range after {
			if o != before[p] {
				is.Equal(o, all[n-1]) // partitions move only to the member that joined
			}
		}
	}
}

func TestOwnerIgnoresTheOrderOfMembers(t *testing.T) {
	is := is.New(t)
	a, b := members(7), members(7)
	b[0], b[6] = b[6], b[0]
	is.Equal(owners(a), owners(b))
	is.Equal(Owner(1, nil), "")
}

// BenchmarkBalance reports how unevenly partitions are distributed over members: the largest
// and the smallest share of a member over the mean share, averaged over 100 cells whose
// members have different names.
func BenchmarkBalance(b *testing.B) {
	const cells = 100
	for _, count := range []int{DefaultCount, 256} {
		for _, n := range []int{6, 7, 16} {
			b.Run(fmt.Sprintf("partitions=%d/members=%d", count, n), func(b *testing.B) {
				var largest, smallest float64
				for range b.N {
					largest, smallest = 0, 0
					for cell := range cells {
						most, least := spread(count, names(fmt.Sprintf("cell-%d-host-%%d", cell), n))
						largest += float64(most*n) / float64(count*cells)
						smallest += float64(least*n) / float64(count*cells)
					}
				}
				b.ReportMetric(largest, "most/mean")
				b.ReportMetric(smallest, "least/mean")
			})
		}
	}
}

// spread returns the largest and the smallest number of partitions held by a member.
func spread(count int, names []string) (largest, smallest int) {
	held := map[string]int{}
	for p := range count {
		held[Owner(p, names)]++
	}
	smallest = count
	for _, name := range names {
		largest, smallest = max(largest, held[name]), min(smallest, held[name])
	}
	return largest, smallest
}
