package job

import (
	"time"

	"pulleyquay/internal/settings"
)

// planGang starts all tasks of a gang together or none.
func (h *home) planGang(j *job, values settings.Values, holders []holder, now time.Time) {
}
