package job

import (
	"fmt"
	"sort"
	"time"

	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker"
)

// violation returns the first promise that does not hold now, or "".
func (sn *simulation) violation() string {
	sn.sim.Settle()
	if v := sn.judge.Violations(time.Now()); len(v) > 0 {
		return fmt.Sprintf("%s on %s: %s", v[0].Rule, v[0].On, v[0].Detail)
	}
	used := map[string]int64{}
	teams := map[string]string{}
	for _, set := range []map[string]spec.Job{sn.accepted, sn.uncertain} {
		for id, j := range set {
			teams[id] = j.Team
		}
	}
	for task, places := range sn.judge.Record(time.Now(), true).Tasks {
		ends := 0
		for _, p := range places {
			if !p.Ended && p.Until.After(time.Now()) {
				used[teams[p.Task.Job]] += p.Size.MilliCPU
			}
			if p.State == worker.StateFinished {
				ends++
			}
		}
		if ends > 1 && !sn.disturbed {
			return "task " + task + " was finished and ran again"
		}
	}
	for team, n := range used {
		if team != "" && n > randomQuota {
			return fmt.Sprintf("team %s uses %d of %d", team, n, randomQuota)
		}
	}
	return ""
}

// finalCheck waits until everything accepted is as it has to be, or returns what is
// not: first the services at their replicas, then, with the services cancelled
// so that they hold no quota, all finite work at its end.
func (sn *simulation) finalCheck() string {
	sn.clearAllFaults()
	if wrong := sn.eventually(sn.checkService); wrong != "" {
		return wrong
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
			_, _ = sn.holderOf(j).cancelJob(id) // it may never have been accepted
		}
	}
	return sn.eventually(sn.checkFinite)
}

// eventually waits until a check finds nothing wrong with any accepted job.
func (sn *simulation) eventually(check func(spec.Job, jobmsg.Status) string) string {
	deadline := time.Now().Add(15 * time.Minute)
	for {
		wrong := ""
		for _, id := range sortedKeys(sn.accepted) {
			j := sn.accepted[id]
			st, err := sn.holderOf(j).get(id)
			if err != nil {
				wrong = "accepted job " + id + ": " + err.Error()
			} else if bad := check(j, st); bad != "" {
				wrong = bad
			}
		}
		if wrong == "" || time.Now().After(deadline) {
			return wrong
		}
		time.Sleep(5 * time.Second)
	}
}

// checkService reports a service without its replicas, unless the services of
// its team want more than the quota.
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
	if st.Counts.Running != j.Tasks {
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
