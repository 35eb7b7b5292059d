package hostsim

import (
	"time"

	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/spec"
)

// quotaTravels is for how long a quota counts after it was changed: configurations travel,
// and orders that were given under it may be carried out late.
const quotaTravels = 16 * time.Second

// grantedQuota is a quota, in force until another one is.
type grantedQuota struct {
	fairshare.Quota
	until time.Time // zero while it is in force
}

// SetQuota sets what a client account may have running, from now on.
func (f *Fleet) SetQuota(account string, q fairshare.Quota) {
	f.mu.Lock()
	defer f.mu.Unlock()
	granted := f.quotas[account]
	if n := len(granted); n > 0 {
		granted[n-1].until = f.clock.Now().Add(quotaTravels)
	}
	if f.quotas == nil {
		f.quotas = map[string][]grantedQuota{}
	}
	f.quotas[account] = append(granted, grantedQuota{Quota: q})
}

// RunningOf is what a client account has running on hosts that are up, heard of or not.
func (f *Fleet) RunningOf(account string) spec.Resources {
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

// overQuota tells by how much a client account has more running than any quota allows that
// may be in force; empty where it has not.
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
