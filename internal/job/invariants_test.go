package job

import (
	"fmt"
	"sort"
	"time"

	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker"
)

// violation returns the first invariant that is violated now, or "".
func (sn *simulation) violation() string {
	sn.sim.Settle()
	if v := sn.checker.Violations(time.Now()); len(v) > 0 {
		return fmt.Sprintf("%s on %s: %s", v[0].Rule, v[0].On, v[0].Detail)
	}
	used := map[string]int64{}
	teams := map[string]string{}
	for _, set := range []map[string]spec.Job{sn.accepted, sn.uncertain} {
		for id, j := range set {
			teams[id] = j.Team
		}
	}
	for task, places := range sn.checker.Record(time.Now(), true).Tasks {
		finished := 0
		for _, p := range places {
			if !p.Ended && p.Until.After(time.Now()) {
				used[teams[p.Task.Job]] += p.Size.MilliCPU
			}
			if p.State == worker.StateFinished {
				finished++
			}
		}
		if finished > 1 && !sn.disturbed {
			return "task " + task + " ran again after it had finished"
		}
	}
	for team, n := range used {
		if team != "" && n > randomQuota {
			return fmt.Sprintf("team %s uses %d of %d", team, n, randomQuota)
		}
	}
	return ""
}

// finalCheck waits until all accepted jobs are in their expected state, or returns the first that
// is not: first the services with all their replicas, then, with the services cancelled so that
// they use no quota, all finite work at its end.
func (sn *simulation) finalCheck() string {
	sn.clearAllFaults()
	if problem := sn.eventually(sn.checkService); problem != "" {
		return problem
	}
	for _, id := range sortedKeys(sn.accepted) {
		if j := sn.accepted[id]; j.Kind == spec.KindService && !sn.cancelled[id] {
			if _, err := sn.holderOf(j).cancelJob(id); err != nil {
				return "service " + id + ": " + err.Error()
			}
			sn.cancelled[id] = true
		}
	}
	for _, id := range sortedKeys(sn.uncertain) {
		if j := sn.uncertain[id]; j.Kind == spec.KindService {
			_, _ = sn.holderOf(j).cancelJob(id) // the service may not have been accepted
		}
	}
	return sn.eventually(sn.checkFinite)
}

// eventually waits until a check reports no problem with any accepted job.
func (sn *simulation) eventually(check func(spec.Job, jobmsg.Status) string) string {
	deadline := time.Now().Add(15 * time.Minute)
	for {
		problem := ""
		for _, id := range sortedKeys(sn.accepted) {
			j := sn.accepted[id]
			st, err := sn.holderOf(j).get(id)
			if err != nil {
				problem = "accepted job " + id + ": " + err.Error()
			} else if message := check(j, st); message != "" {
				problem = message
			}
		}
		if problem == "" || time.Now().After(deadline) {
			return problem
		}
		time.Sleep(5 * time.Second)
	}
}

// checkService reports a service without all its replicas, unless the services of its team need
// more than the quota.
func (sn *simulation) checkService(j spec.Job, st jobmsg.Status) string {
	want := int64(0)
	for id, other := range sn.accepted {
		if other.Team == j.Team && other.Kind == spec.KindService && !sn.cancelled[id] {
			want += int64(other.Tasks) * other.Task.Size.MilliCPU
		}
	}
	for _, other := range sn.uncertain {
		if other.Team == j.Team && other.Kind == spec.KindService {
			want += int64(other.Tasks+1) * other.Task.Size.MilliCPU
		}
	}
	if j.Kind != spec.KindService || sn.cancelled[j.ID] || st.State.Final() || want > randomQuota {
		return ""
	}
	if st.TaskCounts.Running != j.Tasks {
		return fmt.Sprintf("service %s: %+v", j.ID, st)
	}
	return ""
}

func (sn *simulation) checkFinite(j spec.Job, st jobmsg.Status) string {
	if st.State.Final() {
		return ""
	}
	return fmt.Sprintf("job %s: %+v", j.ID, st)
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
