// Package linkshard distributes the calls of a partition's holder to its hosts over other members,
// as Borg's link shards do: the holder decides, and members near the hosts make its starts, stops
// and polls, and report the outcomes in batches.
//
// When every call is an HTTP request, starts and the polls that return the end records take most of
// the processor time of a holder of many hosts, and a burst of urgent work overloads it. Batches
// over one connection for each member take a fraction of that.
//
// A shard stores nothing and decides nothing. Hosts check the epoch of a call, not its sender, and
// carry a run out once, so a call may be given to another shard at any time: a slow, disconnected
// or failed shard costs only the time until that is detected.
package linkshard

import (
	"context"
	"time"

	"pulleyquay/internal/host"
)

// Call is one call to a host. Exactly one of Start, Stop, Poll and Throttle is set.
type Call struct {
	To host.Info
	// Token is the fencing token of the call.
	Token    uint64
	Start    *host.Start
	Stop     *host.Run
	Poll     *host.Poll
	Throttle *Throttle
	// Done processes the outcome; it is called once, by Config.Apply.
	Done func(o Outcome, now time.Time)
}

// Throttle limits a run to a share of its speed, in percent.
type Throttle struct {
	Run     host.Run
	Percent int
}

// Outcome is the outcome of a call.
type Outcome struct {
	// Reply is set for a start, a stop or a throttle, View for a poll.
	Reply host.Reply
	View  host.View
	Err   error
	// Sent is when the holder sent the call: the host was not called before that time.
	Sent time.Time
}

// perform makes a call to its host.
func perform(ctx context.Context, hosts host.Client, c *Call) Outcome {
	var o Outcome
	switch {
	case c.Start != nil:
		o.Reply, o.Err = hosts.Start(ctx, c.To, c.Token, *c.Start)
	case c.Stop != nil:
		o.Reply, o.Err = hosts.Stop(ctx, c.To, c.Token, *c.Stop)
	case c.Throttle != nil:
		o.Reply, o.Err = hosts.Throttle(ctx, c.To, c.Token, c.Throttle.Run, c.Throttle.Percent)
	case c.Poll != nil:
		o.View, o.Err = hosts.Poll(ctx, c.To, c.Token, *c.Poll)
	}
	return o
}
