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
	// collectedKey is written by every collection of unreferenced branches. The swap of a change that wrote branches
	// ahead is conditional on it.
	collectedKey = storePrefix + "collected"
)

const (
	// HistoryLimit is the number of revisions in the history: how many can be rolled back to, and how far the base
	// of a change may lag behind the head.
	HistoryLimit = 128
	// maxListedPaths bounds the number of changed branches that a head lists.
	maxListedPaths = 64
)

// Head is one accepted revision: the record under settings/head, and each record under settings/history.
type Head struct {
	Revision int64  `json:"revision"`
	Root     Hash   `json:"root"`
	ChangeID string `json:"change_id"`
	// Digest distinguishes a repeated change from a different change with the same id.
	Digest Hash   `json:"digest"`
	By     string `json:"by,omitempty"`
	Note   string `json:"note,omitempty"`
	// At is when the revision was made, by the wall clock of the placer that made it.
	At time.Time `json:"at"`
	// Paths lists the branches that the change modified, unless Wide.
	Paths []string `json:"paths,omitempty"`
	// Wide is true for a change of more branches than are listed, and for a rollback; it conflicts with every
	// other change.
	Wide bool `json:"wide,omitempty"`
	// RolledBackTo is the revision whose tree a rollback restored.
	RolledBackTo int64 `json:"rolled_back_to,omitempty"`
}

// touches reports whether the change modified the branch.
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
		return h, result.New(result.SettingsCorrupt, result.RanNo, "head: %v", err)
	}
	return h, nil
}

func historyKey(revision int64) string { return fmt.Sprintf("%s%020d", historyPrefix, revision) }

func branchKey(h Hash) string { return branchPrefix + h.String() }
