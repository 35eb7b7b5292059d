package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// gate is a worker.Client that can hold a member's calls back at the very point
// where the order is complete and its right checked, as a pause of the process
// there would. What is held back is sent at the resumption, however late.
type gate struct {
	worker.Client
	mu     sync.Mutex
	paused chan struct{} // nil while open
	// spoil, when set, spoils each order: a planted fault.
	spoil func(*worker.Order)
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused == nil {
		g.paused = make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused != nil {
		close(g.paused)
		g.paused = nil
	}
}

// pass waits while the gate is closed. It returns a context that the wait has
// not ended.
func (g *gate) pass(ctx context.Context) context.Context {
	g.mu.Lock()
	paused := g.paused
	g.mu.Unlock()
	if paused == nil {
		return ctx
	}
	<-paused
	return context.WithoutCancel(ctx)
}

func (g *gate) Claim(ctx context.Context, addr string, req worker.ClaimRequest) (worker.ClaimReply, error) {
	return g.Client.Claim(g.pass(ctx), addr, req)
}

func (g *gate) Order(ctx context.Context, addr string, o worker.Order) (worker.OrderReply, error) {
	ctx = g.pass(ctx)
	if g.spoil != nil {
		g.spoil(&o)
	}
	return g.Client.Order(ctx, addr, o)
}

// wanted is a task that the driver keeps running.
type wanted struct {
	attempt int
	state   wantedState
	epoch   uint64 // of the workers' partition when it was asked for
}

type wantedState int

const (
	idle wantedState = iota
	asked
	doubt // the call's outcome is unknown
	runs
)

// driver is a home with one job whose tasks it keeps running: it starts a task
// again as soon as it is told that the last attempt is over, which is when a
// wrong report shows as a task in two places.
type driver struct {
	b     *bench
	mu    sync.Mutex
	epoch uint64
	tasks []wanted
	deaf  bool
	// covered is the epoch up to which the workers' partition was reconciled.
	covered uint64
	holder  *member
	done    chan struct{}
}

const driverJob = "job"

func newDriver(b *bench, tasks int) *driver {
	d := &driver{b: b, epoch: 1, tasks: make([]wanted, tasks), done: make(chan struct{})}
	for i := range d.tasks {
		d.tasks[i].attempt = 1
	}
	mux := peer.NewMux()
	peer.Handle(mux, peer.KindTaskNews, d.take)
	b.peers[homeAddr] = mux
	return d
}

// run asks for what is missing until ctx ends.
func (d *driver) run(ctx context.Context) {
	defer close(d.done)
	for ctx.Err() == nil {
		d.step()
		time.Sleep(150 * time.Millisecond)
	}
}

func (d *driver) step() {
	d.mu.Lock()
	m, home := d.holder, taskmsg.Home{Partition: homePartition, Epoch: d.epoch}
	d.mu.Unlock()
	if m == nil {
		return
	}
	if !d.reconcile(m, home) {
		return
	}
	d.settleDoubts(m, home)
	d.place(m, home)
}

func (d *driver) attemptID(i int) worker.Attempt {
	id := attempt(driverJob, i)
	id.Attempt = d.tasks[i].attempt
	return id
}

// over makes a task's next attempt due.
func (t *wanted) over() { t.attempt, t.state = t.attempt+1, idle }

func (d *driver) take(_ context.Context, n taskmsg.News) (taskmsg.NewsReply, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var reply taskmsg.NewsReply
	if d.deaf {
		return reply, result.New(result.NotReady, result.RanNo, "loading")
	}
	for _, r := range n.Runs {
		d.note(r)
		if r.State != taskmsg.RunRunning {
			reply.Acked = append(reply.Acked, r.Run)
		}
	}
	return reply, nil
}

func (d *driver) note(r taskmsg.RunNews) {
	if r.Run.Task.Job != driverJob {
		return
	}
	t := &d.tasks[r.Run.Task.Index]
	switch {
	case r.Run.Attempt != t.attempt || t.state == idle:
	case r.State == taskmsg.RunRunning:
		t.state, t.epoch = runs, r.Epoch
	default:
		t.over()
	}
}

// reconcile asks a new holder what runs, until its inventory is complete.
func (d *driver) reconcile(m *member, home taskmsg.Home) bool {
	d.mu.Lock()
	epoch := m.epoch
	covered := d.covered >= epoch
	d.mu.Unlock()
	if covered {
		return true
	}
	reply, err := m.inventory(context.Background(), taskmsg.InventoryRequest{Home: home})
	if err != nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := map[worker.Attempt]bool{}
	for _, r := range reply.Runs {
		seen[r.Run] = true
		d.note(r)
	}
	for _, p := range reply.Partitions {
		if p.ID != d.b.rackPartition() || p.Epoch != epoch || !p.Complete {
			continue
		}
		for i := range d.tasks {
			if t := &d.tasks[i]; t.state != idle && t.epoch < epoch && !seen[d.attemptID(i)] {
				t.over()
			}
		}
		d.covered = epoch
	}
	return d.covered >= epoch
}

// settleDoubts has attempts of unknown outcome stopped.
func (d *driver) settleDoubts(m *member, home taskmsg.Home) {
	req := taskmsg.StopRequest{Home: home, Mode: worker.Kill}
	d.mu.Lock()
	for i := range d.tasks {
		if d.tasks[i].state == doubt {
			req.Runs = append(req.Runs, d.attemptID(i))
		}
	}
	d.mu.Unlock()
	if len(req.Runs) == 0 {
		return
	}
	reply, err := m.stopTasks(context.Background(), req)
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range reply.Unknown {
		if t := &d.tasks[id.Task.Index]; t.attempt == id.Attempt && t.state == doubt && t.epoch == m.epoch {
			t.over()
		}
	}
}

// place asks for the idle tasks in the background.
func (d *driver) place(m *member, home taskmsg.Home) {
	req := taskmsg.PlaceRequest{Home: home, Shape: shapeOf(driverJob, 2000, 0)}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.tasks {
		if t := &d.tasks[i]; t.state == idle {
			req.Slots = append(req.Slots, taskmsg.Slot{Index: i, Attempt: t.attempt})
			t.state, t.epoch = asked, m.epoch
		}
	}
	if len(req.Slots) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		reply, err := m.place(ctx, req)
		d.placed(req, reply, err)
	}()
}

func (d *driver) placed(req taskmsg.PlaceRequest, reply taskmsg.PlaceReply, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	outcomes := map[taskmsg.Slot]taskmsg.Outcome{}
	for _, r := range reply.Results {
		outcomes[r.Slot] = r.Outcome
	}
	var e *result.Error
	certain := errors.As(err, &e) && e.Ran == result.RanNo
	for _, s := range req.Slots {
		t := &d.tasks[s.Index]
		if t.attempt != s.Attempt || t.state != asked {
			continue
		}
		switch {
		case certain || outcomes[s] == taskmsg.OutcomeRefused:
			t.over()
		case outcomes[s] == taskmsg.OutcomeStarted:
			t.state = runs
		default:
			t.state = doubt
		}
	}
}
