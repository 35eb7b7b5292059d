package linkshard

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

func drawRun(t *rapid.T) host.Run {
	return host.Run{
		Task: spec.StepTask{
			StepID: spec.StepID{Job: rapid.SampledFrom([]string{"job-a", "job-b"}).Draw(t, "job"), Occurrence: rapid.IntRange(0, 2).Draw(t, "occurrence"), Step: rapid.IntRange(0, 2).Draw(t, "step")},
			Index:  rapid.IntRange(0, 300).Draw(t, "index"),
		},
		No: rapid.IntRange(1, 5000).Draw(t, "no"),
	}
}

func drawCall(t *rapid.T) Call {
	id := rapid.SampledFrom([]host.ID{"h1", "h2", "h3"}).Draw(t, "host")
	c := Call{To: host.Info{ID: id, Addr: "addr-" + string(id)}, Token: rapid.Uint64Range(1, 3).Draw(t, "token")}
	run := drawRun(t)
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		c.Start = &host.Start{
			Run: run, Incarnation: host.Incarnation(rapid.Int64Min(0).Draw(t, "life")), Command: rapid.SampledFrom([]string{"", "run a", "run b"}).Draw(t, "command"),
			Deadline: host.Millis(rapid.Int64Range(0, 1<<40).Draw(t, "deadline")), Checkpoint: rapid.String().Draw(t, "checkpoint"), Ticket: rapid.String().Draw(t, "ticket"),
		}
	case 1:
		c.Stop = &run
	case 2:
		c.Poll = &host.Poll{AckedEnds: rapid.Int64().Draw(t, "seen"), Lease: host.Millis(rapid.Int64().Draw(t, "lease")), Wait: time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond, Incarnation: host.Incarnation(rapid.Int64Min(0).Draw(t, "life"))}
	default:
		c.Throttle = &Throttle{Run: run, Percent: rapid.IntRange(0, 100).Draw(t, "percent")}
	}
	return c
}

// TestBatchRoundTrip: decoding an encoded batch gives the same calls, though in another order.
func TestBatchRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var calls []numberedCall
		for i := range rapid.IntRange(0, 20).Draw(t, "calls") {
			calls = append(calls, numberedCall{uint64(i), drawCall(t)})
		}
		data, err := cbor.Marshal(newBatch(calls))
		is.New(t).NoErr(err)
		var b Batch
		is.New(t).NoErr(cbor.Unmarshal(data, &b))
		got, err := b.decode()
		is.New(t).NoErr(err)
		is.New(t).Equal(len(got), len(calls))
		for _, n := range got {
			is.New(t).Equal(n.call, calls[n.id].call)
		}
	})
}

// TestReportRoundTrip: decoding an encoded report gives the same outcomes.
func TestReportRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []numberedOutcome
		for i := range rapid.IntRange(0, 10).Draw(t, "outcomes") {
			f := numberedOutcome{id: uint64(i), isPoll: rapid.Bool().Draw(t, "poll")}
			if !f.isPoll {
				f.outcome.Reply = host.Reply{Clock: host.Millis(i), Refused: rapid.SampledFrom([]host.Refusal{"", host.RefusedNoCapacity}).Draw(t, "refused")}
				list = append(list, f)
				continue
			}
			f.outcome.View = host.View{Clock: host.Millis(i), Incarnation: host.Incarnation(rapid.Int64Min(0).Draw(t, "life")), Fenced: rapid.Bool().Draw(t, "fenced"), EndsTruncated: rapid.Bool().Draw(t, "truncated")}
			for range rapid.IntRange(0, 4).Draw(t, "running") {
				f.outcome.View.Running = append(f.outcome.View.Running, host.Running{Run: drawRun(t), Checkpoint: "c", Percent: 41.5, Gauge: 7})
			}
			for range rapid.IntRange(0, 4).Draw(t, "ended") {
				f.outcome.View.Ended = append(f.outcome.View.Ended, host.End{Number: 9, Run: drawRun(t), EndReason: host.EndDone, Checkpoint: "d"})
			}
			list = append(list, f)
		}
		data, err := cbor.Marshal(newReport(1, 2, list))
		is.New(t).NoErr(err)
		var r Report
		is.New(t).NoErr(cbor.Unmarshal(data, &r))
		got, err := r.decode()
		is.New(t).NoErr(err)
		is.New(t).Equal(len(got), len(list))
		for _, f := range got {
			is.New(t).Equal(f, list[f.id])
		}
	})
}

// TestInvalidRowsAreRejected: a message of another version, or a damaged one, is rejected as a
// whole.
func TestInvalidRowsAreRejected(t *testing.T) {
	is := is.New(t)
	host := []hostRow{{ID: "h", Addr: "a"}}
	step := []spec.StepID{{Job: "j"}}
	for name, b := range map[string]Batch{
		"host":    {Polls: []pollRow{{Host: 0}}},
		"step":    {Hosts: host, Stops: []stopRow{{Run: runRow{Step: 1}}}, Steps: step},
		"command": {Hosts: host, Starts: []startRow{{}}, Steps: step},
		"below":   {Hosts: host, Throttles: []throttleRow{{Run: runRow{Step: -1}}}, Steps: step},
	} {
		_, err := b.decode()
		if err == nil {
			t.Error(name, "was accepted")
		}
	}
	r := Report{Views: []viewRow{{Ended: []endRow{{Run: runRow{Step: 3}}}}}}
	_, err := r.decode()
	is.True(err != nil)
}

// BenchmarkBatch encodes, sends and decodes what one shard of 73 hosts receives and reports in ten
// milliseconds at 1,740 starts a second in the cell. It reports the bytes of a start, including its
// poll.
func BenchmarkBatch(b *testing.B) {
	var calls []numberedCall
	var list []numberedOutcome
	run := func(i int) host.Run {
		return host.Run{Task: spec.StepTask{StepID: spec.StepID{Job: "5c0e7a21d94b36f8"}, Index: i}, No: 1}
	}
	const starts = 12
	for i := range starts {
		to := host.Info{ID: host.ID([]string{"a1b2c3d4e5f60718", "b1b2c3d4e5f60718", "c1b2c3d4e5f60718"}[i%3]), Addr: "10.1.2.34:8167"}
		calls = append(calls, numberedCall{uint64(100000 + 2*i), Call{To: to, Start: &host.Start{Run: run(i), Command: string(make([]byte, 150)), Deadline: 486000, Ticket: "00000bb87a21d94b"}}},
			numberedCall{uint64(100001 + 2*i), Call{To: to, Poll: &host.Poll{AckedEnds: 57, Lease: 486000, Wait: 2 * time.Second}}})
		view := host.View{Clock: 482113, Ended: []host.End{{Number: 58, Run: run(i), EndReason: host.EndDone}}}
		for k := range 3 {
			view.Running = append(view.Running, host.Running{Run: run(k), Percent: 41, Gauge: 16000})
		}
		list = append(list, numberedOutcome{id: uint64(100000 + 2*i), outcome: Outcome{Reply: host.Reply{Clock: 482113}}},
			numberedOutcome{id: uint64(100001 + 2*i), isPoll: true, outcome: Outcome{View: view}})
	}
	bytes := 0
	for b.Loop() {
		sent, err := cbor.Marshal(newBatch(calls))
		if err != nil {
			b.Fatal(err)
		}
		reported, err := cbor.Marshal(newReport(0, 1, list))
		if err != nil {
			b.Fatal(err)
		}
		var r Report
		if err := cbor.Unmarshal(reported, &r); err != nil {
			b.Fatal(err)
		}
		if _, err := r.decode(); err != nil {
			b.Fatal(err)
		}
		bytes = len(sent) + len(reported)
	}
	b.ReportMetric(float64(bytes)/starts, "B/start")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/starts, "ns/start")
}

// TestMembersWithoutTokens: during a rolling update, members of the earlier version neither send fencing tokens
// nor read them. Their calls have the epoch as token.
func TestMembersWithoutTokens(t *testing.T) {
	is := is.New(t)
	b := newBatch([]numberedCall{{1, Call{To: host.Info{ID: "h1"}, Token: 1003, Poll: &host.Poll{}}}, {2, Call{To: host.Info{ID: "h1"}, Token: 1002, Poll: &host.Poll{}}}})
	b.Epoch = 1001
	calls, err := b.decode()
	is.NoErr(err)
	is.Equal(calls[0].call.Token, uint64(1003)) // calls to one host may have different tokens
	is.Equal(calls[1].call.Token, uint64(1002))
	b.HostTokens = nil
	calls, err = b.decode()
	is.NoErr(err)
	is.Equal(calls[0].call.Token, uint64(1001))
}

// TestMembersWithoutIncarnations: during a rolling update, members of the earlier version neither
// send incarnations nor read them. Their polls and views decode without an incarnation, and
// otherwise unchanged.
func TestMembersWithoutIncarnations(t *testing.T) {
	is := is.New(t)
	b := newBatch([]numberedCall{{1, Call{To: host.Info{ID: "h1"}, Poll: &host.Poll{AckedEnds: 7, Incarnation: 5}}}})
	b.PollIncarnations = nil
	calls, err := b.decode()
	is.NoErr(err)
	is.Equal(*calls[0].call.Poll, host.Poll{AckedEnds: 7})

	r := newReport(0, 3, []numberedOutcome{{id: 1, isPoll: true, outcome: Outcome{View: host.View{Clock: 9, Incarnation: 5}}}})
	r.ViewIncarnations = nil
	list, err := r.decode()
	is.NoErr(err)
	is.Equal(list[0].outcome.View, host.View{Clock: 9})
}
