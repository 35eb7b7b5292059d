package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/spec"
)

// gangBesidePreemptible returns an engine with one host full of preemptible tasks that end within half a
// second, and a gang of one task more than the host holds.
func gangBesidePreemptible(t *testing.T) (*world, *group, *hostState) {
	w := idleWorld(t, 1)
	short := step(5, 12, 10, 500)
	short.Checkpointing = true
	w.submit("short", catalog.Rules{Priority: 2}, short)
	w.run(200 * time.Millisecond)
	gang := spec.Step{Count: 6, Gang: true, Size: size(12, 10), EstimateMillis: 1000}
	w.submit("gang", catalog.Rules{Priority: 1, PolicyQuery: &catalog.PolicyQuery{DecideMillis: 500, ValidMillis: 2000}}, gang)
	w.run(10 * time.Millisecond)
	return w, w.engine.jobs["gang"].groups[0], w.engine.hosts["h00"]
}

// TestGangReservesMoreSlotsThanAHostHas guards against a gang that waits for ever for slots on a host that
// is too small: capacity of runs that end by the time counted twice if they could be preempted as well.
func TestGangReservesMoreSlotsThanAHostHas(t *testing.T) {
	is := is.New(t)
	w, g, h := gangBesidePreemptible(t)
	is.True(h.preemptibleSize(g) == size(60, 50))
	is.Equal(len(w.engine.slotsAt(g, []*hostState{h}, nil, w.now().Add(2*time.Second), w.now())), 0)
}

// TestGangReservesSlotsOfLongRunningTasks guards against the same with slots that a long-running task uses.
func TestGangReservesSlotsOfLongRunningTasks(t *testing.T) {
	is := is.New(t)
	w := idleWorld(t, 1)
	w.submit("web", catalog.Rules{}, longRunningStep(1, 16, 10))
	w.run(100 * time.Millisecond)
	short := step(4, 12, 10, 500)
	short.Checkpointing = true
	w.submit("short", catalog.Rules{Priority: 2}, short)
	w.run(200 * time.Millisecond)
	w.submit("gang", catalog.Rules{Priority: 1}, spec.Step{Count: 5, Gang: true, Size: size(12, 10), EstimateMillis: 1000})
	w.run(time.Millisecond)
	g, h := w.engine.jobs["gang"].groups[0], w.engine.hosts["h00"]
	is.Equal(len(w.engine.slotsAt(g, []*hostState{h}, nil, w.now().Add(2*time.Second), w.now())), 0)
}

// TestReservationIsRenewedForEver guards against a gang that keeps slots which do not become free, as each
// request for tickets extends the reservation, while other hosts are idle.
func TestReservationIsRenewedForEver(t *testing.T) {
	is := is.New(t)
	w, g, _ := gangBesidePreemptible(t)
	g.reservedAt, g.reservedFrom = w.now(), w.now().Add(300*time.Millisecond)
	rules := g.job.rec.Rules.PolicyQuery
	limit := g.reservedFrom.Add(rules.QueryDuration(1) + rules.TicketTTL())
	g.reserved = []*hostState{w.engine.hosts["h00"]}
	for range 10 {
		w.engine.querySlots.SetMembers(nil)
		w.engine.querySlots.SetMembers(w.members)
		w.engine.requestTickets(g, nil, w.now())
		is.True(!g.keepUntil.IsZero())
		is.True(!g.keepUntil.After(limit))
		w.time.now = w.now().Add(time.Second)
	}
}
