package partition

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// names returns n names made by the format.
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

func TestJoinAndLeaveMoveOnlyWhatTheyMust(t *testing.T) {
	is := is.New(t)
	for n := 2; n <= 9; n++ {
		all := members(n)
		before, after := owners(all[:n-1]), owners(all)
		for p, o := range after {
			if o != before[p] {
				is.Equal(o, all[n-1]) // moved to the newcomer only
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

// BenchmarkBalance reports how unevenly partitions spread over 100 cells with
// other names: the mean over cells of the largest and the smallest share of one
// member over the mean share.
func BenchmarkBalance(b *testing.B) {
	const cells = 100
	for _, count := range []int{DefaultCount, 256} {
		for _, n := range []int{6, 7, 16} {
			b.Run(fmt.Sprintf("partitions=%d/members=%d", count, n), func(b *testing.B) {
				var most, least float64
				for range b.N {
					most, least = 0, 0
					for cell := range cells {
						m, l := spread(count, names(fmt.Sprintf("cell-%d-host-%%d", cell), n))
						most += float64(m*n) / float64(count*cells)
						least += float64(l*n) / float64(count*cells)
					}
				}
				b.ReportMetric(most, "most/mean")
				b.ReportMetric(least, "least/mean")
			})
		}
	}
}

// spread returns the largest and the smallest number of partitions of a member.
func spread(count int, names []string) (most, least int) {
	held := map[string]int{}
	for p := range count {
		held[Owner(p, names)]++
	}
	least = count
	for _, name := range names {
		most, least = max(most, held[name]), min(least, held[name])
	}
	return most, least
}
