package linkshard

import (
	"time"

	"pulleyquay/internal/host"
)

// numbered is a call with the number under which its outcome is reported.
type numbered struct {
	id   uint64
	call Call
}

// newBatch packs calls. Partition, epoch and address are the sender's to fill in.
func newBatch(calls []numbered) Batch {
	var b Batch
	var hosts table[host.ID]
	var steps stepTable
	var commands table[string]
	for _, n := range calls {
		c := &n.call
		place := hosts.place(c.To.ID)
		if place == len(b.Hosts) {
			b.Hosts = append(b.Hosts, hostRow{ID: c.To.ID, Addr: c.To.Addr})
		}
		switch {
		case c.Start != nil:
			b.Starts = append(b.Starts, startRow{
				ID: n.id, Host: place, Run: steps.row(c.Start.Run), Command: commands.place(c.Start.Command),
				Deadline: c.Start.Deadline, Checkpoint: c.Start.Checkpoint, Ticket: c.Start.Ticket,
			})
			b.StartLives = append(b.StartLives, c.Start.Life)
		case c.Stop != nil:
			b.Stops = append(b.Stops, stopRow{ID: n.id, Host: place, Run: steps.row(*c.Stop)})
		case c.Look != nil:
			b.Looks = append(b.Looks, lookRow{ID: n.id, Host: place, Seen: c.Look.Seen, Lease: c.Look.Lease, Wait: c.Look.Wait.Milliseconds()})
			b.LookLives = append(b.LookLives, c.Look.Life)
		case c.Pace != nil:
			b.Paces = append(b.Paces, paceRow{ID: n.id, Host: place, Run: steps.row(c.Pace.Run), Percent: c.Pace.Percent})
		}
	}
	b.Steps, b.Commands = steps.values, commands.values
	return b
}

// calls unpacks a batch. A row that refers to nothing fails the whole batch.
func (b *Batch) calls() ([]numbered, error) {
	var out []numbered
	var failed error
	add := func(id uint64, place int, c Call, err error) {
		h, hostErr := at(b.Hosts, place)
		if failed == nil && err != nil {
			failed = err
		}
		if failed == nil && hostErr != nil {
			failed = hostErr
		}
		c.To = host.Info{ID: h.ID, Addr: h.Addr}
		out = append(out, numbered{id, c})
	}
	for _, r := range b.Stops {
		run, err := runOf(b.Steps, r.Run)
		add(r.ID, r.Host, Call{Stop: &run}, err)
	}
	for i, r := range b.Starts {
		run, err := runOf(b.Steps, r.Run)
		command, commandErr := at(b.Commands, r.Command)
		if err == nil {
			err = commandErr
		}
		add(r.ID, r.Host, Call{Start: &host.Start{
			Run: run, Life: lifeAt(b.StartLives, i), Command: command, Deadline: r.Deadline, Checkpoint: r.Checkpoint, Ticket: r.Ticket,
		}}, err)
	}
	for i, r := range b.Looks {
		add(r.ID, r.Host, Call{Look: &host.Look{
			Seen: r.Seen, Life: lifeAt(b.LookLives, i), Lease: r.Lease, Wait: time.Duration(r.Wait) * time.Millisecond,
		}}, nil)
	}
	for _, r := range b.Paces {
		run, err := runOf(b.Steps, r.Run)
		add(r.ID, r.Host, Call{Pace: &Pace{Run: run, Percent: r.Percent}}, err)
	}
	return out, failed
}

// finished is the outcome of a numbered call; look tells whether that was a look.
type finished struct {
	id      uint64
	look    bool
	outcome Outcome
}

// newReport packs outcomes.
func newReport(partition int, epoch uint64, list []finished) Report {
	r := Report{Partition: partition, Epoch: epoch}
	var steps stepTable
	for _, f := range list {
		o := &f.outcome
		if !f.look {
			r.Replies = append(r.Replies, replyRow{ID: f.id, Failure: failureOf(o.Err), Clock: o.Reply.Clock, Refused: o.Reply.Refused})
			continue
		}
		row := viewRow{ID: f.id, Failure: failureOf(o.Err), Clock: o.View.Clock, Fenced: o.View.Fenced}
		for _, v := range o.View.Running {
			row.Running = append(row.Running, runningRow{Run: steps.row(v.Run), Checkpoint: v.Checkpoint, Percent: v.Percent, Gauge: v.Gauge})
		}
		for _, v := range o.View.Ended {
			row.Ended = append(row.Ended, endRow{Number: v.Number, Run: steps.row(v.Run), How: v.How, Checkpoint: v.Checkpoint})
		}
		r.Views = append(r.Views, row)
		r.ViewLives = append(r.ViewLives, o.View.Life)
	}
	r.Steps = steps.values
	return r
}

// outcomes unpacks a report. A row that refers to nothing fails the whole report.
func (r *Report) outcomes() ([]finished, error) {
	out := make([]finished, 0, len(r.Replies)+len(r.Views))
	for _, row := range r.Replies {
		out = append(out, finished{id: row.ID, outcome: Outcome{
			Reply: host.Reply{Clock: row.Clock, Refused: row.Refused}, Err: row.Failure.err(),
		}})
	}
	for i, row := range r.Views {
		view, err := r.view(row)
		if err != nil {
			return nil, err
		}
		view.Life = lifeAt(r.ViewLives, i)
		out = append(out, finished{id: row.ID, look: true, outcome: Outcome{View: view, Err: row.Failure.err()}})
	}
	return out, nil
}

// lifeAt is the life with a place in a list, or none where the sender knows of no lives.
func lifeAt(lives []host.Life, place int) host.Life {
	if place >= len(lives) {
		return 0
	}
	return lives[place]
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
		v.Ended = append(v.Ended, host.End{Number: x.Number, Run: run, How: x.How, Checkpoint: x.Checkpoint})
	}
	return v, nil
}
