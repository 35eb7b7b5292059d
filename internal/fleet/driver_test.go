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

// pausableClient is a worker.Client that can block a member's calls after the order is
// complete and the authority checked, like a pause of the process at that point.
// Blocked calls are sent on resume, however late.
type pausableClient struct {
	worker.Client
	mu     sync.Mutex
	paused chan struct{} // nil while not paused
	// corrupt, if set, modifies each order: an injected fault.
	corrupt func(*worker.Order)
}

func (g *pausableClient) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused == nil {
		g.paused = make(chan struct{})
	}
}

func (g *pausableClient) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused != nil {
		close(g.paused)
		g.paused = nil
	}
}

// waitResumed blocks while the client is paused. After a pause it returns a context
// without the caller's deadline, so that the call is still sent.
func (g *pausableClient) waitResumed(ctx context.Context) context.Context {
	g.mu.Lock()
	paused := g.paused
	g.mu.Unlock()
	if paused == nil {
		return ctx
	}
	<-paused
	return context.WithoutCancel(ctx)
}

func (g *pausableClient) Claim(ctx context.Context, addr string, req worker.ClaimRequest) (worker.ClaimReply, error) {
	return g.Client.Claim(g.waitResumed(ctx), addr, req)
}

func (g *pausableClient) Order(ctx context.Context, addr string, o worker.Order) (worker.OrderReply, error) {
	ctx = g.waitResumed(ctx)
	if g.corrupt != nil {
		g.corrupt(&o)
	}
	return g.Client.Order(ctx, addr, o)
}

// desiredTask is a task that the driver keeps running.
type desiredTask struct {
	attempt int
	state   taskState
	epoch   uint64 // of the workers' partition at the request
}

type taskState int

const (
	taskIdle taskState = iota
	taskRequested
	taskUncertain // the call's outcome is unknown
	taskRunning
)

// driver is a job owner with one job whose tasks it keeps running. It starts the next attempt
// as soon as the previous one is reported as ended, so that a wrong report results in a
// task that runs twice.
type driver struct {
	b           *testbed
	mu          sync.Mutex
	epoch       uint64
	tasks       []desiredTask
	unavailable bool
	// reconciled is the last epoch of the workers' partition that was reconciled.
	reconciled uint64
	holder     *member
	done       chan struct{}
}

const driverJob = "job"

func newDriver(b *testbed, tasks int) *driver {
	d := &driver{b: b, epoch: 1, tasks: make([]desiredTask, tasks), done: make(chan struct{})}
	for i := range d.tasks {
		d.tasks[i].attempt = 1
	}
	mux := peer.NewMux()
	peer.Handle(mux, peer.KindTaskUpdates, d.accept)
	b.peers[homeAddr] = mux
	return d
}

// run requests missing tasks until ctx ends.
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
	d.stopUncertain(m, home)
	d.place(m, home)
}

func (d *driver) attemptID(i int) worker.Attempt {
	id := attempt(driverJob, i)
	id.Attempt = d.tasks[i].attempt
	return id
}

// nextAttempt makes a task's next attempt due.
func (t *desiredTask) nextAttempt() { t.attempt, t.state = t.attempt+1, taskIdle }

func (d *driver) accept(_ context.Context, n taskmsg.RunReports) (taskmsg.RunReportsReply, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var reply taskmsg.RunReportsReply
	if d.unavailable {
		return reply, result.New(result.NotReady, result.RanNo, "loading")
	}
	for _, r := range n.Runs {
		d.recordUpdate(r)
		if r.State != taskmsg.RunRunning {
			reply.Acked = append(reply.Acked, r.Run)
		}
	}
	return reply, nil
}

func (d *driver) recordUpdate(r taskmsg.RunReport) {
	if r.Run.Task.Job != driverJob {
		return
	}
	t := &d.tasks[r.Run.Task.Index]
	switch {
	case r.Run.Attempt != t.attempt || t.state == taskIdle:
	case r.State == taskmsg.RunRunning:
		t.state, t.epoch = taskRunning, r.Epoch
	default:
		t.nextAttempt()
	}
}

// reconcile requests the inventory of a new holder until it is complete.
func (d *driver) reconcile(m *member, home taskmsg.Home) bool {
	d.mu.Lock()
	epoch := m.epoch
	reconciled := d.reconciled >= epoch
	d.mu.Unlock()
	if reconciled {
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
		d.recordUpdate(r)
	}
	for _, p := range reply.Partitions {
		if p.ID != d.b.rackPartition() || p.Epoch != epoch || !p.Complete {
			continue
		}
		for i := range d.tasks {
			if t := &d.tasks[i]; t.state != taskIdle && t.epoch < epoch && !seen[d.attemptID(i)] {
				t.nextAttempt()
			}
		}
		d.reconciled = epoch
	}
	return d.reconciled >= epoch
}

// stopUncertain requests the stop of attempts with unknown outcome.
func (d *driver) stopUncertain(m *member, home taskmsg.Home) {
	req := taskmsg.StopRequest{Home: home, Mode: worker.ModeStop}
	d.mu.Lock()
	for i := range d.tasks {
		if d.tasks[i].state == taskUncertain {
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
		if t := &d.tasks[id.Task.Index]; t.attempt == id.Attempt && t.state == taskUncertain && t.epoch == m.epoch {
			t.nextAttempt()
		}
	}
}

// place requests the idle tasks in the background.
func (d *driver) place(m *member, home taskmsg.Home) {
	req := taskmsg.PlaceRequest{Home: home, Shape: shapeOf(driverJob, 2000, 0)}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.tasks {
		if t := &d.tasks[i]; t.state == taskIdle {
			req.Slots = append(req.Slots, taskmsg.Slot{Index: i, Attempt: t.attempt})
			t.state, t.epoch = taskRequested, m.epoch
		}
	}
	if len(req.Slots) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		reply, err := m.place(ctx, req)
		d.applyReply(req, reply, err)
	}()
}

func (d *driver) applyReply(req taskmsg.PlaceRequest, reply taskmsg.PlaceReply, err error) {
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
		if t.attempt != s.Attempt || t.state != taskRequested {
			continue
		}
		switch {
		case certain || outcomes[s] == taskmsg.OutcomeRefused:
			t.nextAttempt()
		case outcomes[s] == taskmsg.OutcomeStarted:
			t.state = taskRunning
		default:
			t.state = taskUncertain
		}
	}
}
