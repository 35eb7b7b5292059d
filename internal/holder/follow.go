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

const (
	// hostsPollPause is the pause between polls for changes of host entries. Entries change
	// at each heartbeat; the pause batches the changes.
	hostsPollPause = 400 * time.Millisecond
	// jobsPollPause is the pause between polls for new jobs. Accepting members usually
	// notify the holder of a job before a poll finds it.
	jobsPollPause = 900 * time.Millisecond
	// readRetryDelay is the pause after a failed read of stored state in Run.
	readRetryDelay = 60 * time.Millisecond
	// readTimeout bounds each of these reads with all its pages. The store's client bounds each page.
	readTimeout = 15 * time.Second
	// reconcileMargin is added to the time after which no run that the previous holder
	// ordered can still exist on an unreported host.
	reconcileMargin = 200 * time.Millisecond
)

// storedState is the state of a partition that the store keeps for the next holder.
type storedState struct {
	jobs     []*record.Job
	progress map[string]*record.Progress
	roster   record.Roster
	hosts    []host.Info
	rollouts []upkeep.Progress
	// jobsRevision and hostsRevision are the revisions at which jobs and hosts were read.
	jobsRevision, hostsRevision platform.Revision
}

// loadFromStore reads the stored state of the partition and loads it into the engine. It
// retries failed reads until they succeed and returns an error only if the holder is stopped.
func (h *Holder) loadFromStore(previous ledger.Holder) error {
	start := time.Now()
	var state storedState
	var reads sync.WaitGroup
	p := h.ledger.Holder().Partition
	reads.Go(func() {
		state.jobsRevision = h.listAll(record.JobPrefix(p), func(rec platform.Record) error {
			j, err := record.DecodeJob(rec.Value)
			if err == nil {
				j.ID = record.JobIDOf(rec.Key)
				state.jobs = append(state.jobs, j)
			}
			return err
		})
	})
	reads.Go(func() {
		state.progress = map[string]*record.Progress{}
		h.listAll(record.ProgressPrefix(p), func(rec platform.Record) error {
			progress, err := record.DecodeProgress(rec.Value)
			if err == nil {
				state.progress[record.JobIDOf(rec.Key)] = progress
			}
			return err
		})
	})
	reads.Go(func() {
		h.listAll(record.RosterKey(p), func(rec platform.Record) error {
			var err error
			state.roster, err = record.DecodeRoster(rec.Value)
			return err
		})
	})
	reads.Go(func() {
		state.hostsRevision = h.listAll(h.cfg.HostPrefix, func(rec platform.Record) error {
			if info, ok := h.parseHost(rec); ok {
				state.hosts = append(state.hosts, info)
			}
			return nil
		})
	})
	reads.Go(func() {
		if h.cfg.Machines == nil {
			return
		}
		h.listAll(record.WavePrefix(p), func(rec platform.Record) error {
			var w upkeep.Progress
			if err := cbor.Unmarshal(rec.Value, &w); err != nil {
				return err
			}
			state.rollouts = append(state.rollouts, w)
			return nil
		})
	})
	reads.Wait()
	if h.ctx.Err() != nil {
		return context.Cause(h.ctx)
	}
	h.load(state, previous, start)
	return nil
}

// load passes the stored state to the engine; start is when reading began.
func (h *Holder) load(state storedState, previous ledger.Holder, start time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if previous.Epoch > 0 {
		lease := float64(h.cfg.Bounds.MaxLease) * (1 + h.cfg.Tuning.ClockDrift)
		h.reconcileDeadline = start.Add(authorityDuration + time.Duration(lease) + reconcileMargin)
	}
	wall := now.UnixMilli()
	h.engine.Load(state.jobs, state.progress, state.roster, h.reconcileDeadline, now, func(j *record.Job) time.Duration {
		at := j.AcceptedUnixMilli
		if j.Ended != "" {
			at = j.EndedUnixMilli
		}
		return time.Duration(max(wall-at, 0)) * time.Millisecond
	})
	h.engine.SetHosts(state.hosts, now)
	if h.cfg.Machines != nil {
		firstOrderAt := now
		if previous.Epoch > 0 {
			firstOrderAt = now.Add(authorityDuration + h.cfg.DutyLease)
		}
		h.engine.SetUpkeep(firstOrderAt, state.rollouts)
	}
	h.jobsRevision, h.hostsRevision = state.jobsRevision, state.hostsRevision
	h.log.WithField("jobs", len(state.jobs)).WithField("hosts", len(state.hosts)).WithField("took_ms", now.Sub(start).Milliseconds()).Info("records read")
}

// listAll reads all records under a prefix and retries until the store answers or the holder
// is stopped. It returns the revision of the list. Records for which handle returns an error
// are logged and skipped.
func (h *Holder) listAll(prefix string, handle func(platform.Record) error) platform.Revision {
	for h.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(h.ctx, readTimeout)
		records, revision, err := h.cfg.Store.List(ctx, prefix)
		cancel()
		h.cfg.Health.RecordCall(err == nil, time.Now())
		if err != nil {
			wait.For(h.ctx, readRetryDelay)
			continue
		}
		for _, rec := range records {
			if err := handle(rec); err != nil {
				h.oddRecords.Report(rec, err)
			}
		}
		return revision
	}
	return 0
}

// followHosts passes changes of host entries to the engine.
func (h *Holder) followHosts() {
	f := follow.Follower{
		Store: h.cfg.Store, Health: h.cfg.Health, Prefix: h.cfg.HostPrefix, After: h.hostsRevision,
		Wait: time.Second, PollPause: hostsPollPause,
		List:    h.applyHostList,
		Changes: h.applyHostChanges,
	}
	f.Run(h.ctx)
}

// parseHost decodes a host's entry and reports one that cannot be decoded, as another writer may have made it; see
// kept_entries.go.
func (h *Holder) parseHost(rec platform.Record) (host.Info, bool) {
	info, err := h.cfg.DecodeHost(rec)
	if err != nil {
		h.oddHosts.Report(rec, err)
		return host.Info{}, false
	}
	return info, true
}

// followJobs finds stored jobs of which the holder was not notified, because the accepting
// member failed after it had stored them.
func (h *Holder) followJobs() {
	p := h.ledger.Holder().Partition
	f := follow.Follower{
		Store: h.cfg.Store, Health: h.cfg.Health, Prefix: record.JobPrefix(p), After: h.jobsRevision, PollPause: jobsPollPause,
		List: func(records []platform.Record, _ platform.Revision) {
			for _, rec := range records {
				h.applyJob(rec)
			}
		},
		Change: func(c platform.Change) {
			if c.Deleted {
				h.oddRecords.Forget(c.Key)
				return
			}
			h.applyJob(c.Record)
		},
	}
	f.Run(h.ctx)
}

func (h *Holder) applyJob(rec platform.Record) {
	id := record.JobIDOf(rec.Key)
	h.mu.Lock()
	exists := h.engine.HasJob(id)
	h.mu.Unlock()
	if exists {
		return
	}
	j, err := record.DecodeJob(rec.Value)
	if err != nil {
		h.oddRecords.Report(rec, err)
		return
	}
	if j.Ended != "" && !j.Withdrawn {
		return // loaded when this process became the holder, or ended by it, and forgotten since
	}
	j.ID = id
	h.updateEngine(func(e *engine.Engine, now time.Time) { e.Accept(j, false, now, now) })
}
