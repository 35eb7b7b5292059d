package result

import "net/http"

// Codes that a holder returns for workers and gangs (4000 to 4099).
const (
	// GangUnknown means that the holder has no capacity reserved for the gang, or no longer has.
	GangUnknown Code = 4001
	// HolderBehind means that the holder's table doesn't contain the holder's own claim yet.
	HolderBehind Code = 4002
)

func init() {
	register(
		Info{GangUnknown, "gang-unknown", http.StatusConflict, "no room is held for the gang"},
		Info{HolderBehind, "holder-behind", http.StatusServiceUnavailable, "the holder does not know the present homes yet"},
	)
}
