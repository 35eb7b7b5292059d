package memstore_test

import (
	"testing"

	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/platform/platformtest"
)

func TestContract(t *testing.T) {
	platformtest.TestStore(t, func(t *testing.T) platformtest.StoreCase {
		e := memstore.New()
		t.Cleanup(e.Close)
		return platformtest.StoreCase{Store: e.Client("a"), Compact: e.Compact}
	})
}
