package settings

import (
	"strings"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
)

// hashOfKey returns the hash in a branch's key; ok is false for other keys.
func hashOfKey(key string) (Hash, bool) {
	var h Hash
	text, ok := strings.CutPrefix(key, branchPrefix)
	if !ok {
		return h, false
	}
	return h, h.UnmarshalText([]byte(text)) == nil
}

// historyOf decodes a history entry; it returns false for other records.
func historyOf(r platform.Record) (Head, bool) {
	if !strings.HasPrefix(r.Key, historyPrefix) {
		return Head{}, false
	}
	h, err := decodeHead(r.Value)
	return h, err == nil
}

// checkAllFound returns SettingsCorrupt when a missing branch isn't in the pool: a head must never reference a branch
// that the store doesn't have.
func checkAllFound(missing []Hash, pool map[Hash][]byte) error {
	for _, hash := range missing {
		if pool[hash] == nil {
			return result.New(result.SettingsCorrupt, result.RanNo, "branch %s is not in the store", hash)
		}
	}
	return nil
}
