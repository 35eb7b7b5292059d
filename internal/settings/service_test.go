package settings

import (
	"testing"

	"github.com/matryer/is"
)

func TestServiceValues(t *testing.T) {
	is := is.New(t)
	tree, err := Parse([]byte(`{"/lakeshore":{"executor":{"slots":3}},"/lakeshore/ledger":{}}`))
	is.NoErr(err)
	v, ok := ServiceValues(tree, "lakeshore.ledger")
	is.True(ok)
	is.Equal(v.Executor.Slots, int64(3)) // inherited from /lakeshore
	_, ok = ServiceValues(tree, "lakeshore.unknown")
	is.True(!ok)
	_, ok = ServiceValues(nil, "lakeshore.ledger")
	is.True(!ok)
}
