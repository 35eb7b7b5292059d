package denseset

import (
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestSetAgainstMap compares a set with a map after random operations.
func TestSetAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var s Set[int]
		want := map[int]bool{}
		for range rapid.IntRange(0, 80).Draw(t, "operations") {
			v, member := rapid.IntRange(0, 9).Draw(t, "value"), rapid.Bool().Draw(t, "member")
			s.Put(v, member)
			if want[v] = member; !member {
				delete(want, v)
			}
			is.Equal(s.Has(v), member)
			is.Equal(s.Len(), len(want))
		}
		is.Equal(slices.Sorted(slices.Values(s.All())), slices.Sorted(maps.Keys(want)))
	})
}
