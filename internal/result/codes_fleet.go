package result

import "net/http"

// Codes of the holder's side of the workers (4000 to 4099).
const (
	// GangUnknown: the holder holds no room for the gang, or no longer.
	GangUnknown Code = 4001
	// HolderBehind: the holder's table does not yet show its own claim.
	HolderBehind Code = 4002
)

func init() {
	register(
		Info{GangUnknown, "gang-unknown", http.StatusConflict, "no room is held for the gang"},
		Info{HolderBehind, "holder-behind", http.StatusServiceUnavailable, "the holder does not know the present homes yet"},
	)
}
