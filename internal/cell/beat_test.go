package cell

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
)

// TestBeatsStaySmall: each answer to a heartbeat carried all members, 10 MB a second
// at the holder of 300 members, which then was taken for dead (seen in a sweep on
// the users' platform).
func TestBeatsStaySmall(t *testing.T) {
	is := is.New(t)
	view := NewView()
	var records []platform.Record
	for i := range 300 {
		records = append(records, entry(is, fmt.Sprint("edge-", i)))
	}
	is.NoErr(view.list(records))
	c := &Claimer{
		View: view, Health: follow.NewHealth(nil), CatalogVersion: func() int64 { return 3 },
		watches: []*holderWatch{{}},
	}
	size := func(b Beat) int {
		reply, err := c.onBeat(t.Context(), b)
		is.NoErr(err)
		data, err := cbor.Marshal(reply)
		is.NoErr(err)
		return len(data)
	}
	is.True(size(Beat{Catalog: 3}) < 200)
	is.True(size(Beat{Catalog: 3, Members: true}) > 300*10) // a member without the store still learns them
}
