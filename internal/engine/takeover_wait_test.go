package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
)

// TestSilentHostDelaysOneFailoverOnly guards against long-running tasks that wait for a lease which ended
// long ago. A host that ran nothing was listed and gave no answer to two holders in a row. The first one
// waited until every lease there was over, and stored that only with the next change of its roster. So the
// second one waited as long again, with all tasks that had lost their hosts.
func TestSilentHostDelaysOneFailoverOnly(t *testing.T) {
	w := idleWorld(t, 12)
	w.followsHosts = true
	s := longRunningStep(8, 8, 8)
	s.MaxPerHost = 1
	w.submit("web", catalog.Rules{}, s)
	w.run(3 * time.Second)
	is := is.New(t)
	is.Equal(len(w.host("h11").Running()), 0)
	w.host("h11").SetDisconnected(true)
	w.failOver()
	w.run(testReconcile + 3*time.Second) // every lease there is over
	w.host("h00").RestartAfterPowerLoss()
	w.failOver()
	w.run(w.fleet.RestartDelay + 4*time.Second) // another incarnation answers after three seconds
	is.Equal(w.running("web"), 8)
	w.checkInvariants()
}
