package front

import (
	"testing"

	"github.com/matryer/is"

	"pulleyquay/internal/record"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

// TestOddJobOfAPeerIsNotStored: a job that no holder can decode would be stored for ever and never run.
func TestOddJobOfAPeerIsNotStored(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	const id = "5c0e7a21d94b36f8"
	_, err := b.storeOnPeerRequest(t.Context(), record.Job{ID: id, Queue: "q", Service: "s", Graph: spec.Graph{Steps: []spec.Step{{Count: -1}}}})
	is.Equal(result.CodeOf(err), result.BadInput)
	is.True(!b.stored(t, id))
}
