package holder

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/ledger"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
)

// TestOneLineForEachChangeOfABadEntry guards against a log line for each heartbeat: another writer and the host itself
// write one key in turn, or a bad entry has a heartbeat number that increases, or the list is read anew.
func TestOneLineForEachChangeOfABadEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memstore.New()
		put := func(id, value string) {
			store.Put(platform.Write{Key: prefix + id, Value: []byte(value)})
			time.Sleep(2 * time.Second)
		}
		put("turns", "10.1.1.1:80")
		h, out := newHolder(t, store, idleHosts{})
		h.oddHosts.Content = func(value []byte) []byte { content, _, _ := bytes.Cut(value, []byte("#")); return content }
		h.cfg.DecodeHost = badIfMarked
		runHolder(t, h, store, ledger.Predecessor{})
		lines := func() int { return strings.Count(out.String(), "an entry names no host") }
		for range 5 {
			put("turns", "garbage")
			put("turns", "10.1.1.1:80")
		}
		is.Equal(lines(), 1)
		for i := range 5 {
			put("beats", fmt.Sprint("garbage#", i))
			store.Compact() // the list is read anew
		}
		is.Equal(lines(), 2)
		put("beats", "other garbage#9")
		is.Equal(lines(), 3)
		store.Put(platform.Write{Key: prefix + "beats", Delete: true})
		time.Sleep(2 * time.Second)
		put("beats", "other garbage#10")
		is.Equal(lines(), 4)
	})
}

// TestChangesOfOneEntryApplyInOrder guards against a host that stays listed after its entry was deleted: changes that
// arrived together were sorted by kind, and an entry written just before its deletion was applied after it.
func TestChangesOfOneEntryApplyInOrder(t *testing.T) {
	const good, other, bad = "10.1.1.1:80", "10.1.1.2:80", "garbage"
	tests := map[string]struct {
		values []string // an empty one deletes the entry
		listed bool
	}{
		"written and deleted":                {[]string{good, ""}, false},
		"changed and deleted":                {[]string{good, other, ""}, false},
		"deleted and written":                {[]string{good, "", good}, true},
		"deleted, written and deleted":       {[]string{good, "", good, ""}, false},
		"unreadable, then readable":          {[]string{bad, good}, true},
		"readable, deleted, then unreadable": {[]string{good, "", bad}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := memstore.New()
				h, _ := newHolder(t, store, idleHosts{})
				runHolder(t, h, store, ledger.Predecessor{})
				for _, value := range tc.values {
					store.Put(platform.Write{Key: prefix + "a", Value: []byte(value), Delete: value == ""})
				}
				time.Sleep(3 * time.Second) // all of them arrive together
				h.mu.Lock()
				defer h.mu.Unlock()
				is.Equal(h.engine.Hosts() == 1, tc.listed)
			})
		})
	}
}
