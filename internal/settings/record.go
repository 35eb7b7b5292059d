package settings

import (
	"strings"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
)

// hashOfKey reads the hash in a branch's key.
func hashOfKey(key string) (Hash, bool) {
	var h Hash
	text, ok := strings.CutPrefix(key, branchPrefix)
	if !ok {
		return h, false
	}
	return h, h.UnmarshalText([]byte(text)) == nil
}

// historyOf reads a history entry.
func historyOf(r platform.Record) (Head, bool) {
	if !strings.HasPrefix(r.Key, historyPrefix) {
		return Head{}, false
	}
	h, err := decodeHead(r.Value)
	return h, err == nil
}

// allFound refuses when a missing branch is not in the pool: a head must never
// name a branch that the store does not hold.
func allFound(missing []Hash, pool map[Hash][]byte) error {
	for _, hash := range missing {
		if pool[hash] == nil {
			return result.New(result.SettingsDamaged, result.RanNo, "branch %s is not in the store", hash)
		}
	}
	return nil
}
