package workerhttp_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"pulleyquay/internal/httponce"
	"pulleyquay/internal/judge"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker"
	"pulleyquay/internal/worker/workerhttp"
	"pulleyquay/internal/worker/workersim"
	"pulleyquay/internal/worker/workertest"
)

func TestContract(t *testing.T) {
	workertest.Run(t, func(t *testing.T) workertest.Target {
		f := workersim.NewFleet(judge.New())
		w := f.Add("a", worker.Info{Name: "w", Size: spec.Resources{MilliCPU: 4000, MemoryMiB: 4000}})
		server := httptest.NewServer(workerhttp.Handler(f, "a"))
		t.Cleanup(server.Close)
		closed := httptest.NewServer(nil)
		closed.Close()
		client := workerhttp.NewClient(httponce.Options{})
		t.Cleanup(client.Close)
		return workertest.Target{
			Client: client, Addr: strings.TrimPrefix(server.URL, "http://"),
			UnreachableAddr: strings.TrimPrefix(closed.URL, "http://"), Restart: w.Restart,
			LoseReply: func() { w.SetFaults(workersim.Faults{LoseAnswers: 1}) },
		}
	})
}
