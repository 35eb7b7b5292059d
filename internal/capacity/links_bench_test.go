package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"pulleyquay/internal/httponce"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
	"pulleyquay/internal/worker/workerhttp"
)

// BenchmarkPeerCall measures a call over a real link on loopback, with the same
// number of slots in request and reply. The processor time is that of both ends.
func BenchmarkPeerCall(b *testing.B) {
	for _, n := range []int{1, 8, 64, 256} {
		b.Run(fmt.Sprint(n, "-slots"), func(b *testing.B) {
			caller, addr := peers(b, placeReply(n))
			req := taskmsg.PlaceRequest{Shape: shape(), Slots: slots(n)}
			call(b, caller, addr, req) // opens the link
			before := cpu(b)
			for b.Loop() {
				call(b, caller, addr, req)
			}
			reportCPU(b, before, b.N, "call")
			reportCPU(b, before, b.N*n, "slot")
		})
	}
}

func call(b *testing.B, caller *peer.Node, addr string, req taskmsg.PlaceRequest) {
	var reply taskmsg.PlaceReply
	if err := caller.Call(context.Background(), addr, peer.KindPlace, req, &reply); err != nil {
		b.Fatal(err)
	}
}

// peers returns a calling node and the address of a node that answers KindPlace with
// reply.
func peers(b *testing.B, reply taskmsg.PlaceReply) (*peer.Node, string) {
	mux := peer.NewMux()
	peer.Handle(mux, peer.KindPlace, func(context.Context, taskmsg.PlaceRequest) (taskmsg.PlaceReply, error) { return reply, nil })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	answering := peer.NewNode(peer.Hello{Name: "b", Addr: l.Addr().String()}, mux, discardLogger())
	server := &httptest.Server{Listener: l, Config: &http.Server{Handler: answering}}
	server.Start()
	calling := peer.NewNode(peer.Hello{Name: "a"}, peer.NewMux(), discardLogger())
	b.Cleanup(func() {
		calling.Close()
		answering.Close()
		server.Close()
	})
	return calling, l.Addr().String()
}

// BenchmarkWorkerOrder measures an order over HTTP on loopback to a worker that
// answers with a canned reply. The processor time is that of the client and of the
// minimal server.
func BenchmarkWorkerOrder(b *testing.B) {
	for _, n := range []int{0, 1, 8} {
		b.Run(fmt.Sprint(n, "-starts"), func(b *testing.B) {
			order := worker.Order{Partition: 33, Epoch: 815, Expires: 123456789, RenewMillis: 15000}
			reply := worker.OrderReply{Now: 123456789, Running: 11, Usage: spec.Resources{MilliCPU: 51234, MemoryMiB: 101234}}
			for i := range n {
				order.Starts = append(order.Starts, start(i))
				order.Acks = append(order.Acks, attempt(i))
				reply.Results = append(reply.Results, worker.StartResult{Started: true})
				reply.Ended = append(reply.Ended, ended(i))
			}
			var bytes atomic.Int64
			addr := cannedWorker(b, reply, &bytes)
			client := workerhttp.NewClient(httponce.Options{})
			b.Cleanup(client.Close)
			before := cpu(b)
			for b.Loop() {
				if _, err := client.Order(context.Background(), addr, order); err != nil {
					b.Fatal(err)
				}
			}
			reportCPU(b, before, b.N, "order")
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/order")
		})
	}
}

// cannedWorker starts a server that answers every request with the same bytes, and
// returns its address. It adds the bytes of requests and replies, headers included,
// to bytes.
func cannedWorker(b *testing.B, reply worker.OrderReply, bytes *atomic.Int64) string {
	body, err := json.Marshal(reply)
	if err != nil {
		b.Fatal(err)
	}
	answer := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answerAll(conn, answer, bytes)
		}
	}()
	return l.Addr().String()
}

// answerAll answers all requests on a connection.
func answerAll(conn net.Conn, answer []byte, bytes *atomic.Int64) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		length := 0
		for line := ""; line != "\r\n"; {
			var err error
			if line, err = r.ReadString('\n'); err != nil {
				return
			}
			bytes.Add(int64(len(line)))
			if value, ok := strings.CutPrefix(line, "Content-Length: "); ok {
				_, _ = fmt.Sscan(value, &length)
			}
		}
		if _, err := r.Discard(length); err != nil {
			return
		}
		bytes.Add(int64(length + len(answer)))
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}
