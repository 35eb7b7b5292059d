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

// TestFailoversInSuccessionRestartTheWait guards against long-running tasks that wait for a silent host
// anew with each change of the holder. The host of a task was cut off as the first holder ended, and two
// more holders ended four seconds after each other. None of them was heard by the host, so every lease
// there was over in the time that one failover takes; the task waited for the third one.
func TestFailoversInSuccessionRestartTheWait(t *testing.T) {
	const failovers, apart, settles = 3, 4 * time.Second, 3 * time.Second
	w := idleWorld(t, 12)
	w.followsHosts = true
	s := longRunningStep(8, 8, 8)
	s.MaxPerHost = 1
	w.submit("web", catalog.Rules{}, s)
	w.run(3 * time.Second)
	w.hostOfTask("web", 0).SetDisconnected(true)
	first := w.now()
	for range failovers {
		w.failOver()
		w.run(apart)
	}
	w.run(testReconcile + settles - w.now().Sub(first))
	is.New(t).Equal(w.running("web"), 8)
	w.checkInvariants()
}
