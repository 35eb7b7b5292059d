package engine

import (
	"fmt"
	"time"
)

// PreviousHolderEnded shortens the reconciliation after a failover once the previous holder is known
// to have ended: every lease of earlier holders is over at leaseEnd. It never extends the reconciliation.
func (e *Engine) PreviousHolderEnded(leaseEnd, now time.Time) {
	e.now = now
	if !leaseEnd.Before(e.reconcileDeadline) {
		return
	}
	e.log(Event{What: "previous holder has ended", Why: fmt.Sprintf("hosts that have not reported can run nothing in %d ms, %d ms earlier than without this",
		leaseEnd.Sub(now).Milliseconds(), e.reconcileDeadline.Sub(leaseEnd).Milliseconds())})
	e.reconcileDeadline = leaseEnd
}
