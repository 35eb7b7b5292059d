package job

import (
	"sort"

	"pulleyquay/internal/jobmsg"
)

// explain reports where a job runs and what it waits for, as recorded by the job owner.
func (o *jobOwner) explain(j *job) *jobmsg.Explanation {
	e := &jobmsg.Explanation{
		Placements: j.visiblePlacements(),
		Decisions:  append([]jobmsg.Decision(nil), j.log.entries...),
	}
	waiting := j.waiting() + j.throttled
	if waiting == 0 {
		return e
	}
	values, _ := o.m.cfg.Values(j.rec.Job.Branch)
	if o.ledger.MaxTasks(j.rec.Job.Team, values.Quota, j.rec.Job.Task.Size, 1) == 0 {
		e.Waits = append(e.Waits, jobmsg.Wait{Tasks: waiting, For: "the quota of team " + j.rec.Job.Team, FreedBy: "the end of other work of the team, or a larger quota in branch " + j.rec.Job.Branch})
	}
	members := make([]string, 0, len(j.holderReplies))
	for name := range j.holderReplies {
		members = append(members, name)
	}
	sort.Strings(members)
	for _, name := range members {
		if w, ok := j.holderReplies[name].waitReason(name, waiting); ok {
			e.Waits = append(e.Waits, w)
		}
	}
	return e
}

// waitReason describes what the job waits for according to a holder's last reply.
func (r *holderReply) waitReason(name string, tasks int) (jobmsg.Wait, bool) {
	switch {
	case r.err != nil:
		return jobmsg.Wait{Tasks: tasks, For: "an answer of holder " + name, FreedBy: r.err.Error(), Holder: name}, true
	case r.refusal != nil:
		return jobmsg.Wait{Tasks: tasks, For: "room on the workers of holder " + name, FreedBy: "the end of work there", Holder: name, ByRule: r.refusal.ByRule}, true
	}
	return jobmsg.Wait{}, false
}

// visiblePlacements lists the placements; for a gang that does not run completely it lists none.
func (j *job) visiblePlacements() []jobmsg.Placement {
	if j.isGang() && !j.gang.is(gangRunning) {
		return []jobmsg.Placement{}
	}
	return j.placements()
}

// placements lists the hosts that run tasks of the job.
func (j *job) placements() []jobmsg.Placement {
	byWorker := map[string]*jobmsg.Placement{}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.host == nil {
			continue
		}
		s := byWorker[t.host.worker]
		if s == nil {
			s = &jobmsg.Placement{Worker: t.host.worker, Zone: t.host.zone, Partition: t.host.partition}
			byWorker[t.host.worker] = s
		}
		s.Tasks = append(s.Tasks, i)
	}
	out := make([]jobmsg.Placement, 0, len(byWorker))
	for _, s := range byWorker {
		out = append(out, *s)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Worker < out[b].Worker })
	return out
}
