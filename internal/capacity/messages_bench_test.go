package capacity

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"pulleyquay/internal/heartbeat"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
	"pulleyquay/internal/worker"
)

// codec encodes and decodes the messages of a link.
type codec struct {
	marshal   func(any) ([]byte, error)
	unmarshal func([]byte, any) error
}

var (
	peerCodec   = codec{cbor.Marshal, cbor.Unmarshal}
	workerCodec = codec{json.Marshal, json.Unmarshal}
)

// measure measures the encoding and decoding of one message, and its size.
func measure[T any](b *testing.B, name string, c codec, msg T) {
	b.Run(name, func(b *testing.B) {
		b.ReportAllocs()
		size := 0
		for b.Loop() {
			data, err := c.marshal(msg)
			if err != nil {
				b.Fatal(err)
			}
			var back T
			if err := c.unmarshal(data, &back); err != nil {
				b.Fatal(err)
			}
			size = len(data)
		}
		b.ReportMetric(float64(size), "B/msg")
	})
}

// BenchmarkPeerMessages measures the CBOR messages for starting tasks.
func BenchmarkPeerMessages(b *testing.B) {
	home := taskmsg.Home{Partition: 17, Epoch: 4711}
	for _, n := range []int{1, 64, 256} {
		measure(b, fmt.Sprint("place-request/", n), peerCodec, taskmsg.PlaceRequest{Home: home, Shape: shape(), Slots: slots(n)})
		measure(b, fmt.Sprint("place-reply/", n), peerCodec, placeReply(n))
		measure(b, fmt.Sprint("news/", n), peerCodec, news(n))
		measure(b, fmt.Sprint("news-reply/", n), peerCodec, newsReply(n))
	}
}

func placeReply(n int) taskmsg.PlaceReply {
	r := taskmsg.PlaceReply{}
	for i, s := range slots(n) {
		r.Results = append(r.Results, taskmsg.SlotResult{
			Slot: s, Outcome: taskmsg.OutcomeStarted, Worker: workerName(i), Zone: "eu-west-1a", Partition: 33, Epoch: 815,
		})
	}
	return r
}

func news(n int) taskmsg.RunReports {
	m := taskmsg.RunReports{HomePartition: 17}
	for i := range n {
		m.Runs = append(m.Runs, taskmsg.RunReport{
			Run: attempt(i), State: taskmsg.RunFinished, Worker: workerName(i), Zone: "eu-west-1a", Partition: 33, Epoch: 815,
		})
	}
	return m
}

func newsReply(n int) taskmsg.RunReportsReply {
	r := taskmsg.RunReportsReply{}
	for i := range n {
		r.Acked = append(r.Acked, attempt(i))
	}
	return r
}

func attempt(i int) worker.Attempt {
	return worker.Attempt{Task: spec.TaskID{Job: jobID, Index: 1000 + i}, Attempt: 1}
}

// BenchmarkHeartbeat measures a heartbeat with a capacity digest of n types of worker
// and the free slots of n services.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{1, 8, 32} {
		measure(b, fmt.Sprint(n, "-makes"), peerCodec, heartbeatMessage(b, n))
	}
}

func heartbeatMessage(b *testing.B, n int) heartbeat.Request {
	digest := taskmsg.Digest{Workers: 90, Free: spec.Resources{MilliCPU: 1 << 21, MemoryMiB: 1 << 22, Accelerators: 40}}
	free := map[string]int{}
	for i := range n {
		digest.Sizes = append(digest.Sizes, taskmsg.Size{
			Size:            spec.Resources{MilliCPU: 64000, MemoryMiB: int64(131072 + i), Accelerators: int64(i % 9)},
			AcceleratorKind: "kind-a", Generation: i, Labels: map[string]string{"disk": "fast"}, Workers: 11,
		})
		free[fmt.Sprintf("lakeshore.ledger-%d", i)] = 300 + i
	}
	heartbeatMessage := heartbeat.Request{Extras: map[string]cbor.RawMessage{"capacity": encode(b, digest), "slots": encode(b, free)}}
	heartbeatMessage.Status.Member = member(1)
	heartbeatMessage.Status.Delegate = "placer-00002"
	heartbeatMessage.Status.TableRevision, heartbeatMessage.Status.SettingsRevision = 1234567, 1234000
	return heartbeatMessage
}

func encode(b *testing.B, v any) cbor.RawMessage {
	data, err := cbor.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return data
}

func member(i int) view.Member {
	return view.Member{Name: fmt.Sprintf("placer-%05d", i), Incarnation: jobID, Addr: "10.123.45.67:7100", Zone: "eu-west-1a"}
}

// BenchmarkTable measures the table of members and partitions, which is sent to the
// entries in full at each change.
func BenchmarkTable(b *testing.B) {
	for _, c := range []struct{ members, partitions int }{{7, 64}, {16, 64}, {200, 2048}} {
		t := view.Table{Revision: 1234567}
		for i := range c.members {
			t.Members = append(t.Members, member(i))
		}
		for i := range c.partitions {
			m := member(i % c.members)
			t.Partitions = append(t.Partitions, view.Partition{
				ID: i, Holder: m.Name, Incarnation: m.Incarnation, Addr: m.Addr, Epoch: 4711, ModRevision: 1234567,
			})
		}
		measure(b, fmt.Sprintf("%d-members-%d-partitions", c.members, c.partitions), peerCodec, t)
	}
}

// BenchmarkWorkerMessages measures the JSON messages to and from a worker with
// 11 runs. A renewal does not list the runs, so its size is independent of their number.
func BenchmarkWorkerMessages(b *testing.B) {
	order := worker.Order{Partition: 33, Epoch: 815, Expires: 123456789, RenewMillis: 15000}
	reply := worker.OrderReply{Now: 123456789, Running: 11, Usage: spec.Resources{MilliCPU: 51234, MemoryMiB: 101234, Accelerators: 4}}
	measure(b, "renewal", workerCodec, order)
	measure(b, "renewal-reply", workerCodec, reply)
	for _, n := range []int{1, 8} {
		o, r := order, reply
		for i := range n {
			o.Starts = append(o.Starts, start(i))
			o.Acks = append(o.Acks, attempt(i))
			r.Results = append(r.Results, worker.StartResult{Started: true})
			r.Ended = append(r.Ended, ended(i).EndRecord())
		}
		measure(b, fmt.Sprint("start-and-ack/", n), workerCodec, o)
		measure(b, fmt.Sprint("start-and-ended-reply/", n), workerCodec, r)
	}
	claim := worker.ClaimReply{Info: info(1), Now: 123456789}
	for i := range 11 {
		claim.Runs = append(claim.Runs, ended(i))
	}
	measure(b, "claim-reply/11", workerCodec, claim)
}

func start(i int) worker.Start {
	s := shape()
	return worker.Start{
		Task: attempt(i).Task, Attempt: 1, Home: 17, Kind: s.Kind, Size: s.Task.Size,
		RunMillis: s.Task.RunMillis, Command: s.Task.Command,
	}
}

func ended(i int) worker.Run {
	s := shape()
	return worker.Run{
		Task: attempt(i).Task, Attempt: 1, Home: 17, Kind: s.Kind, Size: s.Task.Size,
		State: worker.StateFinished, Started: 123456789,
	}
}

func info(i int) worker.Info {
	return worker.Info{
		Name: workerName(i), Rack: fmt.Sprint("rack-", i/8), Zone: "eu-west-1a",
		Size: spec.Resources{MilliCPU: 64000, MemoryMiB: 262144}, Generation: 2, Labels: map[string]string{"disk": "fast"},
	}
}
