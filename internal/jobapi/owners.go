package jobapi

import (
	"context"
	"sort"
	"time"

	"golang.org/x/sync/errgroup"

	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/partition"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/view"
	"pulleyquay/internal/wait"
)

const (
	// retryPause is the delay before a job owner is looked up and called again.
	retryPause = 200 * time.Millisecond
	// maxParallelCalls bounds the concurrent calls to holders for a request that names no team.
	maxParallelCalls = 16
	// retryNoHolder is the retry delay returned while a partition has no holder.
	retryNoHolder = 2 * time.Second
)

// ownerClient finds the job owners and calls them.
type ownerClient struct {
	source view.Source
	peers  peer.Caller
}

// submit sends a job to its owner, retrying until it replies or ctx ends. A repeated submit is
// harmless, but once a try may have been accepted, no later refusal proves that the job was not
// accepted.
func (c ownerClient) submit(ctx context.Context, job spec.Job) (jobmsg.Status, error) {
	uncertain := false
	for {
		var status jobmsg.Status
		addr, err := c.ownerAddr(job.Team)
		if err == nil {
			err = c.peers.Call(ctx, addr, peer.KindJobSubmit, jobmsg.SubmitRequest{Job: job}, &status)
		}
		if err == nil {
			return status, nil
		}
		e := result.From(err)
		uncertain = uncertain || e.Ran != result.RanNo
		if !retryable(e) || !waitForRetry(ctx) {
			return status, submitError(e, uncertain, job.ID)
		}
	}
}

// retryable reports whether an error may disappear once the partition table or the link has
// changed.
func retryable(e *result.Error) bool {
	switch e.Code {
	case result.NotHolder, result.AuthorityExpired, result.JobHomeMoved, result.JobHomeRecovering,
		result.PeerNotReached, result.PeerLost, result.Stopping:
		return true
	}
	return false
}

// waitForRetry waits before the next try and reports whether there is time for one.
func waitForRetry(ctx context.Context) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < 2*retryPause {
		return false
	}
	return wait.For(ctx, retryPause)
}

func submitError(e *result.Error, uncertain bool, id string) *result.Error {
	if !uncertain || e.Ran != result.RanNo {
		return e
	}
	return result.New(result.JobRecordUnknown, result.RanUnknown,
		"an earlier try for job %s may have been accepted; now: %s", id, e.Error()).WithRetryAfter(retryNoHolder)
}

// ownerAddr returns the address of the process that owns a team's jobs.
func (c ownerClient) ownerAddr(team string) (string, error) {
	table := c.source.Table()
	if table == nil || len(table.Partitions) == 0 {
		return "", result.New(result.NotReady, result.RanNo, "the partitions are not known yet").WithRetryAfter(retryNoHolder)
	}
	id := partition.OfTeam(team, len(table.Partitions))
	for _, p := range table.Partitions {
		if p.ID == id && p.Holder != "" {
			return p.Addr, nil
		}
	}
	return "", result.New(result.JobHomeMoved, result.RanNo, "nobody holds partition %d, the home of team %s", id, team).WithRetryAfter(retryNoHolder)
}

// holders returns the addresses of all processes that hold partitions, in a fixed order, and
// whether every partition has a holder.
func (c ownerClient) holders() (addrs []string, allHeld bool) {
	table := c.source.Table()
	if table == nil {
		return nil, false
	}
	seen := map[string]bool{}
	allHeld = len(table.Partitions) > 0
	for _, p := range table.Partitions {
		if p.Holder == "" {
			allHeld = false
			continue
		}
		if !seen[p.Addr] {
			seen[p.Addr] = true
			addrs = append(addrs, p.Addr)
		}
	}
	sort.Strings(addrs)
	return addrs, allHeld
}

func (c ownerClient) get(ctx context.Context, team string, req jobmsg.GetRequest) (jobmsg.GetReply, error) {
	return callOwner[jobmsg.GetReply](ctx, c, team, peer.KindJobGet, req, req.ID)
}

func (c ownerClient) cancel(ctx context.Context, team, id string) (jobmsg.Status, error) {
	return callOwner[jobmsg.Status](ctx, c, team, peer.KindJobCancel, jobmsg.CancelRequest{ID: id}, id)
}

// callOwner calls the job owner of the team, or every holder if the team is not given. Only the
// owner of the job replies with success.
func callOwner[Resp any](ctx context.Context, c ownerClient, team string, kind peer.Kind, req any, id string) (Resp, error) {
	var zero Resp
	addrs, allHeld := c.holders()
	if team != "" {
		addr, err := c.ownerAddr(team)
		if err != nil {
			return zero, err
		}
		addrs, allHeld = []string{addr}, true
	}
	replies, errs := callAll[Resp](ctx, c.peers, addrs, kind, req)
	var failure error
	for i, err := range errs {
		switch {
		case err == nil:
			return replies[i], nil
		case result.CodeOf(err) != result.JobNotFound:
			failure = err
		}
	}
	if failure != nil {
		return zero, failure
	}
	if !allHeld {
		return zero, result.New(result.JobHomeMoved, result.RanUnknown, "not every home is held at the moment, and those that are do not know job %q", id).WithRetryAfter(retryNoHolder)
	}
	return zero, result.New(result.JobNotFound, result.RanUnknown, "no home knows job %q", id)
}

// callAll calls several processes in parallel and returns their replies in order.
func callAll[Resp any](ctx context.Context, peers peer.Caller, addrs []string, kind peer.Kind, req any) ([]Resp, []error) {
	replies := make([]Resp, len(addrs))
	errs := make([]error, len(addrs))
	var g errgroup.Group
	g.SetLimit(maxParallelCalls)
	for i, addr := range addrs {
		g.Go(func() error {
			errs[i] = peers.Call(ctx, addr, kind, req, &replies[i])
			return nil
		})
	}
	_ = g.Wait() // each call has its own error
	return replies, errs
}

// list merges the pages of all job owners. If one of them does not reply the whole list fails, as a
// list with a gap would look complete.
func (c ownerClient) list(ctx context.Context, req jobmsg.ListRequest) (jobmsg.ListReply, error) {
	addrs, allHeld := c.holders()
	if req.Team != "" {
		addr, err := c.ownerAddr(req.Team)
		if err != nil {
			return jobmsg.ListReply{}, err
		}
		addrs, allHeld = []string{addr}, true
	}
	if !allHeld {
		return jobmsg.ListReply{}, result.New(result.JobHomeMoved, result.RanNo, "not every home is held at the moment").WithRetryAfter(retryNoHolder)
	}
	replies, errs := callAll[jobmsg.ListReply](ctx, c.peers, addrs, peer.KindJobList, req)
	var merged jobmsg.ListReply
	for i, err := range errs {
		if err != nil {
			return jobmsg.ListReply{}, err
		}
		merged.Jobs = append(merged.Jobs, replies[i].Jobs...)
		merged.More = merged.More || replies[i].More
	}
	sort.Slice(merged.Jobs, func(a, b int) bool { return merged.Jobs[a].Job.ID < merged.Jobs[b].Job.ID })
	limit := req.Limit
	if limit == 0 {
		limit = jobmsg.DefaultListLimit
	}
	if len(merged.Jobs) > limit {
		merged.Jobs, merged.More = merged.Jobs[:limit], true
	}
	return merged, nil
}
