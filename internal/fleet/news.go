package fleet

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
	"pulleyquay/internal/worker"
)

// Bounds of the messages to homes.
const (
	newsPerMessage = 512
	newsTimeout    = 2 * time.Second
	newsRetry      = 100 * time.Millisecond
	newsRetryMax   = 2 * time.Second
)

// home is what this holder knows of one partition of jobs.
type home struct {
	// epoch is the highest home epoch that asked for anything.
	epoch uint64
	// pending are the runs with news for the home.
	pending map[worker.Attempt]*run
	busy    bool
	retryAt time.Time
	backoff backoff.ExponentialBackOff
}

func (f *Fleet) home(id int) *home {
	h := f.homes[id]
	if h == nil {
		h = &home{pending: map[worker.Attempt]*run{}, backoff: backoff.ExponentialBackOff{
			InitialInterval: newsRetry, Multiplier: backoff.DefaultMultiplier,
			RandomizationFactor: backoff.DefaultRandomizationFactor, MaxInterval: newsRetryMax,
		}}
		h.backoff.Reset()
		f.homes[id] = h
	}
	return h
}

// serve runs fn under the mutex for a home that is not fenced. The table is
// read before, so that its source may have a lock of its own.
func (f *Fleet) serve(from taskmsg.Home, fn func(now time.Time) error) error {
	table := f.cfg.View.Table()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.fence(from, table); err != nil {
		return err
	}
	return fn(time.Now())
}

// fence admits a home's request, or refuses it when a higher epoch of the home
// has asked before or holds the partition by this process's table. The table
// closes the gap of a holder that is new: it shows every home that took over
// before this process claimed its own partitions (see Acquire).
func (f *Fleet) fence(from taskmsg.Home, table *view.Table) error {
	if err := f.caughtUp(table); err != nil {
		return err
	}
	h := f.home(from.Partition)
	h.epoch = max(h.epoch, tableEpoch(table, from.Partition))
	if from.Epoch < h.epoch {
		return result.New(result.HomeFenced, result.RanNo, "home partition %d: epoch %d is below %d", from.Partition, from.Epoch, h.epoch)
	}
	h.epoch = from.Epoch
	return nil
}

// caughtUp refuses requests until the table shows this process's own claims, and
// with them every takeover of a home that came before.
func (f *Fleet) caughtUp(table *view.Table) error {
	for _, p := range f.parts {
		if p.inTable {
			continue
		}
		if tableEpoch(table, p.id) < p.epoch {
			return result.New(result.HolderBehind, result.RanNo, "partition %d: claim of epoch %d not yet in the table", p.id, p.epoch).Later(newsRetry)
		}
		p.inTable = true
	}
	return nil
}

// tableEpoch is the epoch of a partition in a table, zero if absent.
func tableEpoch(table *view.Table, id int) uint64 {
	for _, p := range table.Partitions {
		if p.ID == id {
			return p.Epoch
		}
	}
	return 0
}

// homeAddr is where the holder of a partition is reached, "" for nobody.
func (f *Fleet) homeAddr(id int) string {
	for _, p := range f.cfg.View.Table().Partitions {
		if p.ID == id && p.Holder != "" {
			return p.Addr
		}
	}
	return ""
}

// tell queues a run's state for its home. A later state replaces an earlier one.
func (f *Fleet) tell(r *run, state taskmsg.RunState) {
	r.news = state
	r.reported = true
	h := f.home(r.home)
	h.pending[r.id] = r
	f.kickNews(r.home, h, time.Now())
}

// untell drops a run's news.
func (f *Fleet) untell(r *run) {
	r.news = 0
	if h := f.homes[r.home]; h != nil && h.pending[r.id] == r {
		delete(h.pending, r.id)
	}
}

// kickNews starts a sender for the home if there is news and none runs.
func (f *Fleet) kickNews(id int, h *home, now time.Time) {
	if h.busy || len(h.pending) == 0 || now.Before(h.retryAt) {
		return
	}
	h.busy = f.spawn(func() { f.sendNews(id, h) })
}

// sendNews sends what is pending for one home, a message at a time.
func (f *Fleet) sendNews(id int, h *home) {
	for {
		f.mu.Lock()
		if len(h.pending) == 0 || time.Now().Before(h.retryAt) || f.ctx.Err() != nil {
			h.busy = false
			f.mu.Unlock()
			return
		}
		news, states := f.composeNews(id, h)
		f.mu.Unlock()
		reply, err := f.callHome(id, news)
		f.mu.Lock()
		f.applyNews(h, states, reply, err)
		f.mu.Unlock()
	}
}

// toldRun is what was said of a run, to see whether there is news since.
type toldRun struct {
	run   *run
	state taskmsg.RunState
	sight taskmsg.Sight
}

// changed reports whether there is other news of the run by now.
func (t toldRun) changed() bool { return t.run.news != t.state || t.run.sight() != t.sight }

func (f *Fleet) composeNews(id int, h *home) (taskmsg.News, []toldRun) {
	n := min(len(h.pending), newsPerMessage)
	news := taskmsg.News{HomePartition: id, Runs: make([]taskmsg.RunNews, 0, n)}
	told := make([]toldRun, 0, n)
	for _, r := range h.pending {
		if len(told) == n {
			break
		}
		news.Runs = append(news.Runs, f.newsOf(r, r.news))
		told = append(told, toldRun{r, r.news, r.sight()})
	}
	return news, told
}

func (f *Fleet) newsOf(r *run, state taskmsg.RunState) taskmsg.RunNews {
	news := taskmsg.RunNews{
		Run: r.id, State: state, ExitCode: r.exitCode, Worker: r.agent.name, Zone: r.agent.info.Zone,
		Partition: r.agent.part.id, Epoch: r.agent.part.epoch,
	}
	if state == taskmsg.RunLost {
		news.Saw(r.sight())
	}
	return news
}

func (f *Fleet) callHome(id int, news taskmsg.News) (taskmsg.NewsReply, error) {
	var reply taskmsg.NewsReply
	addr := f.homeAddr(id)
	if addr == "" {
		return reply, result.New(result.PeerNotReached, result.RanNo, "nobody holds partition %d", id)
	}
	ctx, cancel := context.WithTimeout(f.ctx, newsTimeout)
	defer cancel()
	err := f.cfg.Peers.Call(ctx, addr, peer.KindTaskNews, news, &reply)
	return reply, err
}

// applyNews takes in a home's answer. A run that is said to run needs no
// acknowledgement; an ended one stays pending until it is acknowledged.
func (f *Fleet) applyNews(h *home, told []toldRun, reply taskmsg.NewsReply, err error) {
	now := time.Now()
	if err != nil {
		f.metrics.news.WithLabelValues("failed").Inc()
		h.retryAt = now.Add(h.backoff.NextBackOff())
		return
	}
	f.metrics.news.WithLabelValues("ok").Inc()
	acked := attemptSet(reply.Acked)
	orphans := attemptSet(reply.Orphans)
	left := 0
	for _, t := range told {
		if h.pending[t.run.id] != t.run || t.changed() {
			continue // forgotten, or there is other news by now
		}
		_, isAcked := acked[t.run.id]
		_, isOrphan := orphans[t.run.id]
		switch {
		case t.run.state >= runEnded && (isAcked || isOrphan):
			f.acknowledge(t.run)
		case t.run.state < runEnded:
			f.untell(t.run)
			if isOrphan {
				f.stopRun(t.run, worker.Kill, "the job is not known")
			}
		default:
			left++
		}
	}
	if left > 0 {
		h.retryAt = now.Add(h.backoff.NextBackOff())
		return
	}
	h.backoff.Reset()
	h.retryAt = time.Time{}
}

// acknowledge lets the worker forget an ended run with its next order.
func (f *Fleet) acknowledge(r *run) {
	f.untell(r)
	if r.agent.gone {
		f.forget(r)
		return
	}
	r.state = runAcked
	r.agent.acks[r.id] = struct{}{}
}

func attemptSet(list []worker.Attempt) map[worker.Attempt]struct{} {
	set := make(map[worker.Attempt]struct{}, len(list))
	for _, a := range list {
		set[a] = struct{}{}
	}
	return set
}
