package holder

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pulleyquay/internal/engine"
	"pulleyquay/internal/host"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/record"
	"pulleyquay/internal/upkeep"
	"pulleyquay/internal/wait"
)

// Times of what the holder follows in the store.
const (
	// hostsRest is the pause between questions for changes of hosts' entries:
	// entries change at each heartbeat, and what gathers comes together.
	hostsRest = 400 * time.Millisecond
	// jobsRest is the pause between questions for new jobs, of which the accepting
	// members mostly have told before.
	jobsRest = 900 * time.Millisecond
	// readPause is the pause after a reading of the takeover that failed.
	readPause = 60 * time.Millisecond
	// readPatience bounds each reading of the takeover.
	readPatience = 1500 * time.Millisecond
	// settleSlack is added to the time after which nothing that the former holder
	// has ordered can run any more.
	settleSlack = 200 * time.Millisecond
)

// taken is what the store keeps for the next holder of a partition.
type taken struct {
	jobs     []*record.Job
	progress map[string]*record.Progress
	roster   record.Roster
	hosts    []host.Info
	waves    []upkeep.Progress
	// jobsAt and hostsAt are the revisions from which on to follow.
	jobsAt, hostsAt platform.Revision
}

// takeOver reads what the store keeps of the partition and hands it to the
// engine.
func (h *Holder) takeOver(former ledger.Holder) error {
	begun := time.Now()
	var t taken
	var reads sync.WaitGroup
	p := h.ledger.Holder().Partition
	reads.Go(func() {
		t.jobsAt = h.list(record.JobPrefix(p), func(rec platform.Record) error {
			j, err := record.DecodeJob(rec.Value)
			if err == nil {
				j.ID = record.IDOf(rec.Key)
				t.jobs = append(t.jobs, j)
			}
			return err
		})
	})
	reads.Go(func() {
		t.progress = map[string]*record.Progress{}
		h.list(record.ProgressPrefix(p), func(rec platform.Record) error {
			done, err := record.DecodeProgress(rec.Value)
			if err == nil {
				t.progress[record.IDOf(rec.Key)] = done
			}
			return err
		})
	})
	reads.Go(func() {
		h.list(record.RosterKey(p), func(rec platform.Record) error {
			var err error
			t.roster, err = record.DecodeRoster(rec.Value)
			return err
		})
	})
	reads.Go(func() {
		t.hostsAt = h.list(h.cfg.HostPrefix, func(rec platform.Record) error {
			if info, ok := h.readHost(rec); ok {
				t.hosts = append(t.hosts, info)
			}
			return nil
		})
	})
	reads.Go(func() {
		if h.cfg.Machines == nil {
			return
		}
		h.list(record.WavePrefix(p), func(rec platform.Record) error {
			var w upkeep.Progress
			if err := cbor.Unmarshal(rec.Value, &w); err != nil {
				return err
			}
			t.waves = append(t.waves, w)
			return nil
		})
	})
	reads.Wait()
	if h.ctx.Err() != nil {
		return context.Cause(h.ctx)
	}
	h.load(t, former, begun)
	return nil
}

// load hands what was read to the engine.
func (h *Holder) load(t taken, former ledger.Holder, begun time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	var settleBy time.Time
	if former.Epoch > 0 {
		lease := float64(h.cfg.Bounds.LeaseLimit) * (1 + h.cfg.Tuning.ClockDrift)
		settleBy = begun.Add(rightTerm + time.Duration(lease) + settleSlack)
	}
	wall := now.UnixMilli()
	h.engine.Load(t.jobs, t.progress, t.roster, settleBy, now, func(j *record.Job) time.Duration {
		at := j.AcceptedUnixMilli
		if j.Ended != "" {
			at = j.EndedUnixMilli
		}
		return time.Duration(max(wall-at, 0)) * time.Millisecond
	})
	h.engine.SetHosts(t.hosts, now)
	if h.cfg.Machines != nil {
		from := now
		if former.Epoch > 0 {
			from = now.Add(rightTerm + h.cfg.DutyLease)
		}
		h.engine.SetUpkeep(from, t.waves)
	}
	h.jobsAt, h.hostsAt = t.jobsAt, t.hostsAt
	h.log.WithField("jobs", len(t.jobs)).WithField("hosts", len(t.hosts)).WithField("took_ms", now.Sub(begun).Milliseconds()).Info("records read")
}

// list reads all records under a prefix, again and again until it is answered.
// A record that can not be read is logged and passed over.
func (h *Holder) list(prefix string, take func(platform.Record) error) platform.Revision {
	for h.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(h.ctx, readPatience)
		records, at, err := h.cfg.Store.List(ctx, prefix)
		cancel()
		h.cfg.Health.Note(err == nil, time.Now())
		if err != nil {
			wait.For(h.ctx, readPause)
			continue
		}
		for _, rec := range records {
			if err := take(rec); err != nil {
				h.log.WithError(err).WithField("key", rec.Key).Error("record can not be read")
			}
		}
		return at
	}
	return 0
}

// followHosts keeps the engine's hosts up to date.
func (h *Holder) followHosts() {
	f := follow.Follower{
		Store: h.cfg.Store, Health: h.cfg.Health, Prefix: h.cfg.HostPrefix, After: h.hostsAt,
		Wait: time.Second, Rest: hostsRest,
		List:   h.takeHosts,
		Change: h.takeHost,
	}
	f.Run(h.ctx)
}

func (h *Holder) takeHosts(records []platform.Record) {
	var list []host.Info
	for _, rec := range records {
		if info, ok := h.readHost(rec); ok {
			list = append(list, info)
		}
	}
	h.do(func(e *engine.Engine, now time.Time) { e.SetHosts(list, now) })
}

func (h *Holder) takeHost(c platform.Change) {
	info, ok := host.Info{}, false
	if !c.Deleted {
		info, ok = h.readHost(c.Record)
	}
	if !ok {
		h.do(func(e *engine.Engine, now time.Time) { e.DropHost(h.cfg.HostOf(c.Key), now) })
		return
	}
	h.do(func(e *engine.Engine, now time.Time) { e.SetHost(info, now) })
}

// readHost reads a host's entry. One that another writer has made names no host: it is as
// if it were not there, and the host that it may have stood for gets nothing new.
func (h *Holder) readHost(rec platform.Record) (host.Info, bool) {
	info, err := h.cfg.DecodeHost(rec)
	if err == nil {
		h.unreadable.Remove(rec.Key)
		return info, true
	}
	if told, _ := h.unreadable.ContainsOrAdd(rec.Key, struct{}{}); !told {
		h.log.WithError(err).Warn("an entry names no host")
	}
	return host.Info{}, false
}

// followJobs finds jobs that were stored by a member that died before it told.
func (h *Holder) followJobs() {
	p := h.ledger.Holder().Partition
	f := follow.Follower{
		Store: h.cfg.Store, Health: h.cfg.Health, Prefix: record.JobPrefix(p), After: h.jobsAt, Rest: jobsRest,
		List: func(records []platform.Record) {
			for _, rec := range records {
				h.takeJob(rec)
			}
		},
		Change: func(c platform.Change) {
			if !c.Deleted {
				h.takeJob(c.Record)
			}
		},
	}
	f.Run(h.ctx)
}

func (h *Holder) takeJob(rec platform.Record) {
	id := record.IDOf(rec.Key)
	h.mu.Lock()
	known := h.engine.Knows(id)
	h.mu.Unlock()
	if known {
		return
	}
	j, err := record.DecodeJob(rec.Value)
	if err != nil {
		h.log.WithError(err).WithField("key", rec.Key).Error("record can not be read")
		return
	}
	j.ID = id
	h.do(func(e *engine.Engine, now time.Time) { e.Accept(j, false, now, now) })
}
