package linkshard

import (
	"slices"
	"time"

	"pulleyquay/internal/host"
)

// numberedCall is a call with the number under which its outcome is reported.
type numberedCall struct {
	id   uint64
	call Call
}

// newBatch encodes calls. The sender sets partition, epoch and address.
func newBatch(calls []numberedCall) Batch {
	var b Batch
	var hosts table[hostToken]
	var steps stepTable
	var commands table[string]
	for _, n := range calls {
		c := &n.call
		index := hosts.index(hostToken{c.To.ID, c.Token})
		if index == len(b.Hosts) {
			b.HostTokens = append(b.HostTokens, c.Token)
			b.Hosts = append(b.Hosts, hostRow{ID: c.To.ID, Addr: c.To.Addr})
		}
		switch {
		case c.Start != nil:
			b.Starts = append(b.Starts, startRow{
				ID: n.id, Host: index, Run: steps.row(c.Start.Run), Command: commands.index(c.Start.Command),
				Deadline: c.Start.Deadline, Checkpoint: c.Start.Checkpoint, Ticket: c.Start.Ticket,
			})
			b.StartIncarnations = append(b.StartIncarnations, c.Start.Incarnation)
		case c.Stop != nil:
			b.Stops = append(b.Stops, stopRow{ID: n.id, Host: index, Run: steps.row(*c.Stop)})
		case c.Poll != nil:
			b.Polls = append(b.Polls, pollRow{ID: n.id, Host: index, AckedEnds: c.Poll.AckedEnds, Lease: c.Poll.Lease, Wait: c.Poll.Wait.Milliseconds()})
			b.PollIncarnations = append(b.PollIncarnations, c.Poll.Incarnation)
		case c.Throttle != nil:
			b.Throttles = append(b.Throttles, throttleRow{ID: n.id, Host: index, Run: steps.row(c.Throttle.Run), Percent: c.Throttle.Percent})
		}
	}
	b.Steps, b.Commands = steps.values, commands.values
	return b
}

// decode decodes a batch. An invalid reference in a row fails the whole batch.
func (b *Batch) decode() ([]numberedCall, error) {
	var out []numberedCall
	var failed error
	add := func(id uint64, index int, c Call, err error) {
		h, hostErr := rowAt(b.Hosts, index)
		if failed == nil && err != nil {
			failed = err
		}
		if failed == nil && hostErr != nil {
			failed = hostErr
		}
		c.To, c.Token = host.Info{ID: h.ID, Addr: h.Addr}, b.tokenAt(index)
		out = append(out, numberedCall{id, c})
	}
	for _, r := range b.Stops {
		run, err := runOf(b.Steps, r.Run)
		add(r.ID, r.Host, Call{Stop: &run}, err)
	}
	for i, r := range b.Starts {
		run, err := runOf(b.Steps, r.Run)
		command, commandErr := rowAt(b.Commands, r.Command)
		if err == nil {
			err = commandErr
		}
		add(r.ID, r.Host, Call{Start: &host.Start{
			Run: run, Incarnation: incarnationAt(b.StartIncarnations, i), Command: command, Deadline: r.Deadline, Checkpoint: r.Checkpoint, Ticket: r.Ticket,
		}}, err)
	}
	for i, r := range b.Polls {
		add(r.ID, r.Host, Call{Poll: &host.Poll{
			AckedEnds: r.AckedEnds, Incarnation: incarnationAt(b.PollIncarnations, i), Lease: r.Lease, Wait: time.Duration(r.Wait) * time.Millisecond,
		}}, nil)
	}
	for _, r := range b.Throttles {
		run, err := runOf(b.Steps, r.Run)
		add(r.ID, r.Host, Call{Throttle: &Throttle{Run: run, Percent: r.Percent}}, err)
	}
	return out, failed
}

// numberedOutcome is the outcome of a numbered call; isPoll reports whether that was a poll.
type numberedOutcome struct {
	id      uint64
	isPoll  bool
	outcome Outcome
}

// newReport encodes outcomes.
func newReport(partition int, epoch uint64, list []numberedOutcome) Report {
	r := Report{Partition: partition, Epoch: epoch}
	var steps stepTable
	for _, f := range list {
		o := &f.outcome
		if !f.isPoll {
			r.Replies = append(r.Replies, replyRow{ID: f.id, Failure: failureOf(o.Err), Clock: o.Reply.Clock, Refused: o.Reply.Refused})
			continue
		}
		row := viewRow{ID: f.id, Failure: failureOf(o.Err), Clock: o.View.Clock, Fenced: o.View.Fenced}
		for _, v := range o.View.Running {
			row.Running = append(row.Running, runningRow{Run: steps.row(v.Run), Checkpoint: v.Checkpoint, Percent: v.Percent, Gauge: v.Gauge})
		}
		for _, v := range o.View.Ended {
			row.Ended = append(row.Ended, endRow{Number: v.Number, Run: steps.row(v.Run), EndReason: v.EndReason, Checkpoint: v.Checkpoint})
		}
		if o.View.EndsTruncated {
			r.TruncatedViews = append(r.TruncatedViews, len(r.Views))
		}
		r.Views = append(r.Views, row)
		r.ViewIncarnations = append(r.ViewIncarnations, o.View.Incarnation)
	}
	r.Steps = steps.values
	return r
}

// decode decodes a report. If any row contains an invalid reference, it returns an error and no
// outcomes.
func (r *Report) decode() ([]numberedOutcome, error) {
	out := make([]numberedOutcome, 0, len(r.Replies)+len(r.Views))
	for _, row := range r.Replies {
		out = append(out, numberedOutcome{id: row.ID, outcome: Outcome{
			Reply: host.Reply{Clock: row.Clock, Refused: row.Refused}, Err: row.Failure.err(),
		}})
	}
	for i, row := range r.Views {
		view, err := r.view(row)
		if err != nil {
			return nil, err
		}
		view.Incarnation = incarnationAt(r.ViewIncarnations, i)
		view.EndsTruncated = slices.Contains(r.TruncatedViews, i)
		out = append(out, numberedOutcome{id: row.ID, isPoll: true, outcome: Outcome{View: view, Err: row.Failure.err()}})
	}
	return out, nil
}

// incarnationAt returns the incarnation at an index of a list, or none where the sender's version
// does not send incarnations.
func incarnationAt(incarnations []host.Incarnation, index int) host.Incarnation {
	if index >= len(incarnations) {
		return 0
	}
	return incarnations[index]
}

func (r *Report) view(row viewRow) (host.View, error) {
	v := host.View{Clock: row.Clock, Fenced: row.Fenced}
	for _, x := range row.Running {
		run, err := runOf(r.Steps, x.Run)
		if err != nil {
			return v, err
		}
		v.Running = append(v.Running, host.Running{Run: run, Checkpoint: x.Checkpoint, Percent: x.Percent, Gauge: x.Gauge})
	}
	for _, x := range row.Ended {
		run, err := runOf(r.Steps, x.Run)
		if err != nil {
			return v, err
		}
		v.Ended = append(v.Ended, host.End{Number: x.Number, Run: run, EndReason: x.EndReason, Checkpoint: x.Checkpoint})
	}
	return v, nil
}
