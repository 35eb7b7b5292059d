package engine

import (
	"time"

	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/host"
)

// A host whose lease is over and whose entry has gone may still only be cut off. What ran
// there is lost either way, and its tasks start again elsewhere; but whether it has crashed
// under them is presumed until that is certain. One that is heard again in the same life
// acquits them.

// exile is a life of a host that is presumed to be over.
type exile struct {
	info host.Info // empty where a former holder has told of it
	life host.Life
	at   time.Time // since when it is presumed so
}

// exiledFor is for how long an answer of a life that is presumed to be over is still looked
// for.
const exiledFor = 5 * time.Minute

func (e *Engine) exile(h *hostState, now time.Time) {
	e.exiles[h.lifeName()] = exile{info: h.info, life: h.life, at: now}
}

// acquit drops what is held against tasks as a host was presumed to have crashed that has
// answered again in the same life.
func (e *Engine) acquit(h *hostState) {
	h.accused, h.presumed = nil, false
	life := h.lifeName()
	if _, exiled := e.exiles[life]; !exiled {
		return
	}
	delete(e.exiles, life)
	e.acquitOf(life, crashloop.History.Without)
}

// forgetExiles drops lives that are presumed to be over for long.
func (e *Engine) forgetExiles(now time.Time) {
	for life, x := range e.exiles {
		if now.Sub(x.at) > exiledFor {
			delete(e.exiles, life)
		}
	}
}

// confirmBy makes the ends of lives certain that had an address which is now that of another
// one.
func (e *Engine) confirmBy(next host.Info, now time.Time) {
	for life, x := range e.exiles {
		if x.info.Addr == "" || x.info.Addr != next.Addr {
			continue
		}
		if next.ID != x.info.ID || x.life != 0 && next.Life != 0 && next.Life != x.life {
			delete(e.exiles, life)
			e.convict(e.confirm(life), now)
		}
	}
}

// confirm makes the end of a life certain, and lists the tasks for which that matters.
func (e *Engine) confirm(life string) (list []accusation) {
	for _, j := range e.live {
		for _, g := range j.groups {
			if g.standing != crashloop.Unsuspected {
				list = append(list, e.confirmGroup(g, life)...)
			}
		}
	}
	return list
}

func (e *Engine) confirmGroup(g *group, life string) (list []accusation) {
	for i := range g.tasks {
		t := &g.tasks[i]
		if !t.crashes.Presumes(life) {
			continue
		}
		t.crashes = t.crashes.Confirmed(life)
		g.job.crashesNew = true
		e.touch(g.job)
		list = append(list, accusation{run: host.Run{Task: g.task(i)}})
	}
	if len(list) > 0 {
		g.judgeStanding()
	}
	return list
}

// presumeAfter is how long after it has broken its connections a host that has not answered
// since is presumed to have crashed. The finding is stored then, as whoever holds the
// partition when the host answers again needs it.
const presumeAfter = 100 * time.Millisecond

// presume holds the end of a host that has broken its connections against the runs that
// were there.
func (e *Engine) presume(h *hostState, now time.Time) {
	if h.broken.IsZero() || h.presumed || h.heard.After(h.broken) || now.Sub(h.broken) < presumeAfter || h.leaves() {
		return
	}
	h.presumed = true
	e.exile(h, now)
	silent := e.silentNow(h, now)
	for _, a := range e.accusations(h, now) {
		if !a.evidence.Unsure && !a.evidence.Unheard {
			a.evidence.Presumed = true
			e.holdAgainst(a.run, a.evidence, silent, now)
		}
	}
}
