package result

import "net/http"

// Codes of the settings tree (6000 to 6099). For these, ran: no guarantees that the change has not taken effect and
// never will.
const (
	SettingsUnknownBranch   Code = 6000
	SettingsUnknownName     Code = 6001
	SettingsWrongType       Code = 6002
	SettingsOutOfRange      Code = 6003
	SettingsContradiction   Code = 6004
	SettingsBadPath         Code = 6005
	SettingsConflict        Code = 6006
	SettingsBaseTooOld      Code = 6007
	SettingsBaseAhead       Code = 6008
	SettingsChangeIDReused  Code = 6009
	SettingsStoreDown       Code = 6010
	SettingsOutcomeUnknown  Code = 6011
	SettingsNoSuchRevision  Code = 6012
	SettingsTooLarge        Code = 6013
	SettingsCorrupt         Code = 6014
	SettingsBranchInUse     Code = 6015
	SettingsStoreBehind     Code = 6016
	SettingsContention      Code = 6017
	SettingsNothingToChange Code = 6018
	SettingsDuplicate       Code = 6019
)

func init() {
	register(
		Info{SettingsUnknownBranch, "settings-unknown-branch", http.StatusNotFound, "the settings tree has no such branch"},
		Info{SettingsUnknownName, "settings-unknown-name", http.StatusBadRequest, "no setting has this name"},
		Info{SettingsWrongType, "settings-wrong-type", http.StatusBadRequest, "the value is of the wrong type or unit"},
		Info{SettingsOutOfRange, "settings-out-of-range", http.StatusBadRequest, "the value is outside the setting's range"},
		Info{SettingsContradiction, "settings-contradiction", http.StatusUnprocessableEntity, "two settings of one branch contradict each other"},
		Info{SettingsBadPath, "settings-bad-path", http.StatusBadRequest, "the path of a branch is malformed"},
		Info{SettingsConflict, "settings-clash", http.StatusConflict, "another change touched the same branches first"},
		Info{SettingsBaseTooOld, "settings-base-too-old", http.StatusConflict, "the change is against a revision no longer kept"},
		Info{SettingsBaseAhead, "settings-base-ahead", http.StatusConflict, "the change is against a revision that does not exist yet"},
		Info{SettingsChangeIDReused, "settings-change-id-reused", http.StatusConflict, "the change id belongs to a different change"},
		Info{SettingsStoreDown, "settings-store-down", http.StatusServiceUnavailable, "the store is not reached, nothing was changed"},
		Info{SettingsOutcomeUnknown, "settings-outcome-unknown", http.StatusServiceUnavailable, "the change may or may not be accepted; ask again with its id"},
		Info{SettingsNoSuchRevision, "settings-no-such-revision", http.StatusNotFound, "the history does not hold this revision"},
		Info{SettingsTooLarge, "settings-too-large", http.StatusRequestEntityTooLarge, "the change or the tree is over a limit"},
		Info{SettingsCorrupt, "settings-damaged", http.StatusInternalServerError, "a stored branch is missing or does not match its hash"},
		Info{SettingsBranchInUse, "settings-branch-in-use", http.StatusConflict, "a branch with children can not be removed"},
		Info{SettingsStoreBehind, "settings-store-behind", http.StatusServiceUnavailable, "the store holds an older revision than the one in force"},
		Info{SettingsContention, "settings-contention", http.StatusServiceUnavailable, "too many other changes at the same moment"},
		Info{SettingsNothingToChange, "settings-nothing-to-change", http.StatusBadRequest, "the change names no branch"},
		Info{SettingsDuplicate, "settings-given-twice", http.StatusBadRequest, "a branch or setting is given twice"},
	)
}
