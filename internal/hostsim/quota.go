package hostsim

import (
	"time"

	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/spec"
)

// quotaGrace is how long a quota still counts after a change: the distribution of configurations
// takes time, and orders given under the former quota may be carried out late.
const quotaGrace = 16 * time.Second

// grantedQuota is a quota and the end of the time in which it applies.
type grantedQuota struct {
	fairshare.Quota
	until time.Time // zero: applies now
}

// SetQuota sets the quota of a client account from now on.
func (f *Fleet) SetQuota(account string, q fairshare.Quota) {
	f.mu.Lock()
	defer f.mu.Unlock()
	granted := f.quotas[account]
	if n := len(granted); n > 0 {
		granted[n-1].until = f.clock.Now().Add(quotaGrace)
	}
	if f.quotas == nil {
		f.quotas = map[string][]grantedQuota{}
	}
	f.quotas[account] = append(granted, grantedQuota{Quota: q})
}

// AllocatedTo returns the resources of a client account's runs on hosts that are up, whether or not
// they are reachable.
func (f *Fleet) AllocatedTo(account string) spec.Resources {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runningOf(account)
}

func (f *Fleet) runningOf(account string) (sum spec.Resources) {
	for _, h := range f.hosts {
		if !h.up {
			continue
		}
		for _, r := range h.runs {
			if f.jobs[r.Task.Job].Account == account {
				sum = sum.Add(r.step.Size)
			}
		}
	}
	return sum
}

// overQuota returns by how much a client account exceeds all of the quotas that may still apply,
// or "" if it complies with one of them.
func (f *Fleet) overQuota(account string) string {
	if f.quotas[account] == nil {
		return ""
	}
	running, now, over := f.runningOf(account), f.clock.Now(), ""
	for _, q := range f.quotas[account] {
		if !q.until.IsZero() && now.After(q.until) {
			continue
		}
		if over = q.Exceeds(running); over == "" {
			return ""
		}
	}
	return over
}
