package result

import "net/http"

// Codes of a daemon's start and of its own configuration file (7000 to 7099). A daemon that fails to start with one of
// them exits with status 2.
const (
	ConfigUnreadable    Code = 7000
	ConfigUnknownName   Code = 7001
	ConfigValue         Code = 7002
	ConfigContradiction Code = 7003
	ConfigPortInUse     Code = 7004
	StartFailed         Code = 7010
	StopTimeout         Code = 7011
)

func init() {
	register(
		Info{ConfigUnreadable, "config-unreadable", http.StatusInternalServerError, "the settings file can not be read"},
		Info{ConfigUnknownName, "config-unknown-name", http.StatusInternalServerError, "the settings file has an unknown name"},
		Info{ConfigValue, "config-value", http.StatusInternalServerError, "a setting has a wrong type, unit or range"},
		Info{ConfigContradiction, "config-contradiction", http.StatusInternalServerError, "two settings contradict each other"},
		Info{ConfigPortInUse, "config-port-in-use", http.StatusInternalServerError, "a listening address is taken"},
		Info{StartFailed, "start-failed", http.StatusInternalServerError, "the process could not start"},
		Info{StopTimeout, "stop-timeout", http.StatusInternalServerError, "the planned stop ran out of time"},
	)
}
