package settings

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"pulleyquay/internal/result"
)

// Keys in the platform's store.
const (
	storePrefix   = "settings/"
	headKey       = storePrefix + "head"
	branchPrefix  = storePrefix + "branch/"
	historyPrefix = storePrefix + "history/"
	// collectedKey is written by every collection of unreferenced branches; a
	// change that wrote branches ahead of its swap is conditional on it.
	collectedKey = storePrefix + "collected"
)

const (
	// HistoryKept is the number of revisions that can be rolled back to and
	// that a change may lag behind the head.
	HistoryKept = 128
	// pathsListed bounds the branches that a head lists as touched.
	pathsListed = 64
)

// Head is one accepted revision: the record under settings/head, and for each
// kept revision the one under settings/history.
type Head struct {
	Revision int64  `json:"revision"`
	Root     Hash   `json:"root"`
	ChangeID string `json:"change_id"`
	// Digest tells a repeated change from another one with the same id.
	Digest Hash   `json:"digest"`
	By     string `json:"by,omitempty"`
	Note   string `json:"note,omitempty"`
	// At is when the placer that made the revision did so, by its wall clock.
	At time.Time `json:"at"`
	// Paths are the branches that the change touched, unless Wide.
	Paths []string `json:"paths,omitempty"`
	// Wide is true for a change that touched more branches than are listed; it
	// counts as touching all.
	Wide bool `json:"wide,omitempty"`
	// RolledBackTo is the revision whose tree a rollback restored.
	RolledBackTo int64 `json:"rolled_back_to,omitempty"`
}

// touches reports whether the change touched the branch.
func (h Head) touches(path string) bool {
	return h.Wide || slices.Contains(h.Paths, path)
}

func (h Head) encode() []byte {
	data, err := json.Marshal(h)
	if err != nil {
		panic("settings: a head always encodes: " + err.Error())
	}
	return data
}

func decodeHead(data []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(data, &h); err != nil {
		return h, result.New(result.SettingsDamaged, result.RanNo, "head: %v", err)
	}
	return h, nil
}

func historyKey(revision int64) string { return fmt.Sprintf("%s%020d", historyPrefix, revision) }

func branchKey(h Hash) string { return branchPrefix + h.String() }
