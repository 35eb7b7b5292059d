package holder

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/host"
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

// TestBadEntryInPlaceOfAHosts guards against the work of a live host that is given up, or placed elsewhere, because
// another writer has replaced the host's entry: the earlier one stays in force until the host's next heartbeats, and no
// longer than that of a silent host.
func TestBadEntryInPlaceOfAHosts(t *testing.T) {
	const lifetime = 4500 * time.Millisecond
	const good, bad = "10.1.1.1:80", "garbage"
	tests := map[string]struct {
		values     []string // one each second; an empty one deletes the entry
		relist     bool     // the entries are listed again after each
		listedFor  time.Duration
		thenListed bool
	}{
		"one bad entry, then the host's own":     {[]string{bad, good}, false, 2 * time.Second, true},
		"three bad entries, then the host's own": {[]string{bad, bad + "2", bad + "3", good}, false, 4 * time.Second, true},
		"in turn":                                {[]string{bad, good, bad, good, bad, good, bad, good}, false, 8 * time.Second, true},
		"for good":                               {[]string{bad}, false, lifetime - time.Second, false},
		"for good, rewritten":                    {[]string{bad, bad, bad, bad, bad, bad, bad, bad}, false, lifetime - time.Second, false},
		"listed again, then the host's own":      {[]string{bad, bad, good}, true, 3 * time.Second, true},
		"listed again, for good":                 {[]string{bad, bad, bad, bad, bad, bad, bad}, true, lifetime - time.Second, false},
		"deleted after a bad one":                {[]string{bad, ""}, false, time.Second / 2, false},
		"for good, and then the host's own":      {[]string{bad, bad, bad, bad, bad, bad, good}, false, lifetime - time.Second, true},
		"deleted, then a bad one":                {[]string{"", bad}, false, 0, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := memstore.New()
				put := func(id, value string) {
					store.Put(platform.Write{Key: prefix + id, Value: []byte(value), Delete: value == ""})
				}
				put("a", good)
				put("other", "10.1.1.2:80")
				h, _ := newHolder(t, store, idleHosts{})
				h.cfg.DecodeHost, h.cfg.EntryLifetime = badIfMarked, lifetime
				runHolder(t, h, store, ledger.Predecessor{})
				listed := func(id host.ID) bool {
					h.mu.Lock()
					defer h.mu.Unlock()
					_, ok := h.engine.Entry(id)
					return ok
				}
				is.True(listed("a"))
				start := time.Now()
				const step = 100 * time.Millisecond
				for i := 0; i < 12*10; i++ {
					if second := i / 10; i%10 == 0 && second < len(tc.values) {
						put("a", tc.values[second])
						if tc.relist {
							put("elsewhere", bad)
							store.Compact()
						}
					}
					if time.Since(start) < tc.listedFor {
						is.True(listed("a"))
					}
					is.True(listed("other"))
					time.Sleep(step)
				}
				is.Equal(listed("a"), tc.thenListed)
			})
		})
	}
}
