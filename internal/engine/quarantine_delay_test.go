package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/hostsim"
)

// quarantineSpacing is the time between two crashes of hosts under one task: enough for the task to start
// again in between.
const quarantineSpacing = 9 * time.Second

// quarantineService starts a service in a cell and has two hosts crash under its first task.
func quarantineService(t *testing.T, tasks int) *world {
	t.Helper()
	w := idleWorld(t, 24)
	w.followsHosts = true
	s := longRunningStep(tasks, 8, 8)
	s.MaxPerHost = 1
	w.submit("web", catalog.Rules{}, s)
	w.run(3 * time.Second)
	for range 2 {
		w.hostOfTask("web", 0).RestartAfterPowerLoss()
		w.run(quarantineSpacing)
	}
	is.New(t).Equal(w.engine.jobs["web"].groups[0].suspicion, crashloop.Quarantined)
	return w
}

// hostOfTask returns the host that runs a task of the first step of a job.
func (w *world) hostOfTask(job string, i int) *hostsim.Host {
	return w.host(w.engine.jobs[job].groups[0].tasks[i].cur.placedOn.info.ID)
}

// TestQuarantineOfOneTaskDelaysAllTasksOfItsStep guards against tasks that wait for each other although no
// host has crashed under them. Two hosts had crashed under one task of a service of twelve. Then eight
// others lost their hosts, which were disconnected until their leases were over. These tasks started one
// host at a time, two seconds apart, with hosts idle.
func TestQuarantineOfOneTaskDelaysAllTasksOfItsStep(t *testing.T) {
	const tasks, lost = 12, 8
	w := quarantineService(t, tasks)
	is := is.New(t)
	is.Equal(w.running("web"), tasks)
	for i := tasks - lost; i < tasks; i++ {
		h := w.hostOfTask("web", i)
		h.SetDisconnected(true)
		w.after(7*time.Second, func() { h.SetDisconnected(false) })
	}
	w.run(7 * time.Second)
	w.run(lastingMaxGap)
	is.Equal(w.running("web"), tasks)
	w.checkInvariants()
}
