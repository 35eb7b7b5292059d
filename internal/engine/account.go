package engine

import (
	"fmt"
	"time"

	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/spec"
)

// A client account may have so much running at once, over all hosts. Whatever may run
// counts against its quota, from the order to start it until its host has listed the end
// or can not run it any more: orders that were not answered, runs on hosts that are cut
// off, runs that are being stopped, and after a takeover the tasks that hosts not yet
// heard of may run. So no account gets over its quota by what this holder does not know.

// account is what a client account has in the books.
type account struct {
	name  string
	quota fairshare.Quota
	// used is of the runs in the books, unsure of tasks that may run on hosts that were not
	// heard of since the takeover. Tasks that fill are counted by their steps.
	used, unsure  spec.Resources
	unsureFillers map[*group]int64
	// left and leftFillers are what jobs that a former holder had just ended may still have on
	// such hosts.
	left, leftFillers spec.Resources
	// promised is kept, in this going through the queue, for steps that go before others.
	promised spec.Resources
	known    bool // the configuration has told of it
	atQuota  bool // as the log was last told: steps of it wait for its quota
}

// accountOf returns the books of an account, or nil for work that is nobody's.
func (e *Engine) accountOf(name string) *account {
	if name == "" {
		return nil
	}
	a := e.accounts[name]
	if a == nil {
		a = &account{name: name, quota: fairshare.Unlimited, unsureFillers: map[*group]int64{}}
		e.accounts[name] = a
		e.applyAccount(a)
	}
	return a
}

// applyAccount takes in what the configuration says of an account. One that it does not
// name any more keeps what was last said.
func (e *Engine) applyAccount(a *account) {
	said := e.catalog.Account(a.name)
	if said == nil {
		return
	}
	a.quota, a.known = said.Quota, true
}

// applyAccounts takes in a new configuration. A quota that rose is room for those that wait.
func (e *Engine) applyAccounts() {
	for _, a := range e.accounts {
		before, known := a.quota, a.known
		e.applyAccount(a)
		if a.quota != before && known {
			e.room++
			e.logQuota(a)
		}
	}
}

// charge is what a run counts against its account's quota: all that its step asked for,
// also where it fills what others leave unused.
func (r *run) charge() spec.Resources {
	if r.group != nil {
		return r.group.step.Size
	}
	return r.size
}

// charge counts a run that comes into the books, discharge takes it off again.
func (a *account) charge(r *run) {
	if a != nil {
		a.used = a.used.Add(r.charge())
	}
}

func (a *account) discharge(r *run) {
	if a != nil {
		a.used = a.used.Sub(r.charge())
	}
}

// doubt counts tasks of a step that may run on hosts not heard of, n below zero takes
// them off.
func (a *account) doubt(g *group, n int64) {
	switch {
	case a == nil:
	case !g.step.Filler:
		a.unsure = a.unsure.Add(g.step.Size.Times(n))
	default:
		a.unsureFillers[g] += n
		if a.unsureFillers[g] == 0 {
			delete(a.unsureFillers, g)
		}
	}
}

// counted is what may be running of an account's work: the runs in the books, those of jobs that
// are not known, which may be anybody's, and what is in doubt.
func (e *Engine) counted(a *account) spec.Resources {
	return a.used.Add(e.unowned).Add(e.inDoubt(a))
}

// inDoubt is at the most what the hosts that were not heard of can hold. Tasks that fill take no
// processors there, so many of them may run beside the others, as far as the rest allows.
func (e *Engine) inDoubt(a *account) spec.Resources {
	sum := a.unsure.Add(a.left).Min(e.unheard.room)
	if len(e.unheard.sizes) > 0 {
		sum = sum.Add(a.leftFillers)
	}
	for g, n := range a.unsureFillers {
		sum = sum.Add(g.step.Size.Times(min(n, e.unheard.holds(g.step.Booked()))))
	}
	return sum
}

// unheardHosts are the hosts that were not heard of since the takeover.
type unheardHosts struct {
	room  spec.Resources // of all together
	sizes []spec.Resources
}

// holds is how many tasks of a size these hosts can hold.
func (u *unheardHosts) holds(size spec.Resources) (n int64) {
	for _, s := range u.sizes {
		n += int64(s.Holds(size))
	}
	return n
}

// weighUnheard works out how much may run on hosts that were not heard of.
func (e *Engine) weighUnheard(now time.Time) {
	e.unheard = unheardHosts{sizes: e.unheard.sizes[:0]}
	if !e.unsettled && len(e.held) == 0 {
		return
	}
	for _, h := range e.sorted {
		if !e.isUnheard(h, now) {
			continue
		}
		size := h.info.Size
		if size.IsZero() {
			size = unboundedRoom // known by name only
		}
		e.unheard.room = e.unheard.room.Add(size).Min(unboundedRoom)
		e.unheard.sizes = append(e.unheard.sizes, size)
	}
}

// unboundedRoom is more than all hosts together have.
var unboundedRoom = spec.Resources{MilliCPU: 1 << 60, MemoryMiB: 1 << 60, Accelerators: 1 << 60}

// allowedNow is how many waiting tasks of a step its account may have started now: all
// members of a gang, or none.
func (e *Engine) allowedNow(g *group) int {
	a := g.job.account
	if a == nil {
		return g.waiting
	}
	if e.catalog == nil {
		return 0 // what it may have is not known yet
	}
	n := a.quota.Room(e.counted(a).Add(a.promised), g.step.Size, g.waiting)
	if g.step.Gang && n < g.waiting {
		return 0
	}
	return n
}

// promise keeps the quota that a step waits for from the steps of its account that come
// after it, and that of a gang for which others were stopped. Small tasks would take what
// comes free bit by bit, and those before them that need more at once would never start.
func (e *Engine) promise(g *group, now time.Time) {
	a := g.job.account
	if a != nil && g.waiting > 0 && (now.Before(g.roomAt) || e.allowedNow(g) < g.waiting) {
		if a.promised.IsZero() {
			e.promising = append(e.promising, a)
		}
		a.promised = a.promised.Add(g.step.Size.Times(int64(g.waiting)))
	}
}

// clearPromises ends a going through the queue.
func (e *Engine) clearPromises() {
	for _, a := range e.promising {
		a.promised = spec.Resources{}
	}
	e.promising = e.promising[:0]
}

// quotaLacks tells what of its account's quota a step that may start nothing lacks; empty
// where it is not the quota that it waits for.
func (e *Engine) quotaLacks(g *group) string {
	a := g.job.account
	if a == nil || e.allowedNow(g) > 0 {
		return ""
	}
	need := g.step.AtOnce()
	if never := a.quota.Exceeds(need); never != "" {
		return fmt.Sprintf("waits for its account's quota to rise: %s needs more at once than %s may have: %s", g.id, a.name, never)
	}
	return fmt.Sprintf("waits for its account's quota: %s has %s, of it %s in doubt, and %s promised to steps before it",
		a.name, a.quota.Exceeds(e.counted(a).Add(a.promised).Add(need)), describeSize(e.inDoubt(a)), describeSize(a.promised))
}

func describeSize(r spec.Resources) string {
	return fmt.Sprintf("%d cores, %d MiB, %d accelerators", r.MilliCPU/1000, r.MemoryMiB, r.Accelerators)
}

// logQuota tells the log of a quota that has changed.
func (e *Engine) logQuota(a *account) {
	e.log(Event{What: "quota changed", Why: fmt.Sprintf("account %s may have %d of milli_cpu, %d of memory_mib, %d of accelerators (-1: no bound), and may have running %s",
		a.name, a.quota.MilliCPU, a.quota.MemoryMiB, a.quota.Accelerators, describeSize(e.counted(a)))})
}
