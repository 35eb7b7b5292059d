package crashloop

import (
	"slices"
	"time"
)

// Time windows and limits for host failures.
const (
	// failureRetention is how long a host failure counts for the rate of spontaneous failures.
	// With a longer time, the calculated rate would be too low when hosts begin to fail. The
	// crashes would then seem unlikely to be spontaneous and be blamed on tasks, and jobs that
	// did not cause the crashes would be failed.
	failureRetention = 20 * time.Second
	// recentWindow is the time for which the recent rate is calculated: about as long as a
	// failed host is unavailable.
	recentWindow = 4 * time.Second
	// correlationWindow is the time within which hosts fail for a common cause. The end
	// of a host without power is detected only by a poll that waits for its time-out, so it is
	// detected late.
	correlationWindow = 3 * time.Second
	// A common cause, such as power or a switch, is assumed only if at least minRackFailures
	// hosts and the whole of their rack have failed together. If part of a rack were enough,
	// tasks that crash their hosts at the same moment would excuse each other.
	minRackFailures = 3
)

// HostFailures records the hosts that failed recently.
type HostFailures struct {
	failed []failure
}

type failure struct {
	host, rack string
	at         time.Time
	// attributed is true once the failure is attributed to a task.
	attributed bool
	// machine is the host's address, steps are the steps that had runs on the host; unknown if empty.
	machine string
	steps   []string
}

// Add records a host that failed and has been unresponsive since at. It reports whether the
// failure was not recorded before.
func (f *HostFailures) Add(host, rack string, at time.Time) bool {
	if slices.ContainsFunc(f.failed, func(x failure) bool { return x.host == host }) {
		return false
	}
	f.failed = append(f.failed, failure{host: host, rack: rack, at: at})
	return true
}

// SetRuns records the machine of a failed host and the steps that had runs on it.
func (f *HostFailures) SetRuns(host, machine string, steps []string) {
	for i := range f.failed {
		if x := &f.failed[i]; x.host == host {
			x.machine, x.steps = machine, steps
		}
	}
}

// maxInherited bounds the host failures that are handed over to the next holder.
const maxInherited = 64

// Unattributed lists the hosts that failed recently and whose failure is not attributed to a task;
// only the latest if there are many.
func (f *HostFailures) Unattributed() []string {
	var out []string
	for _, x := range f.failed {
		if !x.attributed {
			out = append(out, x.host)
		}
	}
	return out[max(0, len(out)-maxInherited):]
}

// Import adds the host failures that a previous holder recorded. Their time is taken to be
// now, which is the latest possible.
func (f *HostFailures) Import(names []string, now time.Time) {
	for _, name := range names {
		f.Add(name, "", now)
	}
}

// InRack lists the hosts of a rack that failed at about the given time.
func (f *HostFailures) InRack(rack string, at time.Time) []string {
	var out []string
	for _, x := range f.failed {
		if x.rack == rack && MayShareCause(x.at, at) {
			out = append(out, x.host)
		}
	}
	return out
}

// Expire drops failures that are older than failureRetention.
func (f *HostFailures) Expire(now time.Time) {
	f.failed = slices.DeleteFunc(f.failed, func(x failure) bool { return now.Sub(x.at) > failureRetention })
}

// MarkAttributed marks the failures of the hosts in a history as attributed to a task.
func (f *HostFailures) MarkAttributed(h History) {
	for i := range f.failed {
		if h.hasHost(f.failed[i].host) {
			f.failed[i].attributed = true
		}
	}
}

// SpontaneousRate returns the rate of spontaneous failures per host and second: the rate over the whole
// retention time, or that over the recent window if it is higher. Hosts that are unresponsive
// now count as failed. The rate over the whole time counts one failure more than observed,
// since no failures in a small cell are little evidence. Failures attributed to a task, and
// those in the history that is to be assessed with the rate, are not counted.
func (f *HostFailures) SpontaneousRate(hosts, unresponsive int, assessed History, now time.Time) float64 {
	return f.rate(hosts, unresponsive, now, func(x failure) bool { return !assessed.hasHost(x.host) })
}

// RateBeside returns the rate of spontaneous failures among the hosts that had no run of a step; hosts is
// the number of these, and unresponsive that of the unresponsive ones of them. If each run of a step ended
// with its host, the failures under it say nothing of how often hosts fail spontaneously. The failure of a
// machine that has also failed without the step is counted all the same.
func (f *HostFailures) RateBeside(step string, hosts, unresponsive int, now time.Time) float64 {
	return f.rate(hosts, unresponsive, now, func(x failure) bool {
		return !slices.Contains(x.steps, step) || f.failedWithout(step, x.machine)
	})
}

// failedWithout reports whether a machine failed while it had no run of a step.
func (f *HostFailures) failedWithout(step, machine string) bool {
	return slices.ContainsFunc(f.failed, func(x failure) bool {
		return x.machine == machine && !slices.Contains(x.steps, step)
	})
}

// rate returns the rate of the failures that are not attributed to a task and that count as spontaneous.
func (f *HostFailures) rate(hosts, unresponsive int, now time.Time, counts func(failure) bool) float64 {
	total, recent := 1+unresponsive, unresponsive
	for _, x := range f.failed {
		if x.attributed || !counts(x) {
			continue
		}
		total++
		if now.Sub(x.at) <= recentWindow {
			recent++
		}
	}
	whole := float64(total) / failureRetention.Seconds()
	return max(whole, float64(recent)/recentWindow.Seconds()) / float64(max(hosts, 1))
}

// RackFailed reports whether the host that failed at the given time failed with its whole rack.
// present is the number of other hosts still in the rack, of which unresponsive stopped
// answering at about that time.
func (f *HostFailures) RackFailed(host, rack string, at time.Time, unresponsive, present int) bool {
	if rack == "" || unresponsive < present {
		return false
	}
	failed := 0
	for _, x := range f.failed {
		if x.rack == rack && x.host != host && MayShareCause(x.at, at) {
			failed++
		}
	}
	return 1+failed+unresponsive >= minRackFailures
}

// MayShareCause reports whether two hosts that became unresponsive at a and b may have failed for one
// cause.
func MayShareCause(a, b time.Time) bool { return a.Sub(b).Abs() <= correlationWindow }
