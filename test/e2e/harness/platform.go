package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"pulleyquay/internal/executor/execsim"
	"pulleyquay/internal/judge"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/hosthttp"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/standin"
	"pulleyquay/internal/worker/workersim"
)

// Platform is a running stand-in process, which simulates the platform.
type Platform struct {
	*Process
	Addr string
	t    *testing.T
	http *http.Client
}

const (
	startLimit  = 10 * time.Second
	callTimeout = 5 * time.Second
)

// StartPlatform starts the stand-in with the given groups of hosts and waits
// until it serves.
func (b Binaries) StartPlatform(t *testing.T, groups []standin.Group) *Platform {
	t.Helper()
	c := standin.DefaultConfig()
	c.Listen, c.Groups = FreeAddr(t), groups
	p := &Platform{Addr: c.Listen, t: t, http: &http.Client{Timeout: callTimeout}}
	p.Process = b.Run(t, "pulley-standin", "standin", c)
	Eventually(t, startLimit, "stand-in serves", func() error {
		_, err := p.call(http.MethodGet, "/record", nil)
		return err
	})
	return p
}

func (p *Platform) call(method, path string, body any) ([]byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(method, "http://"+p.Addr+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %s: %d: %s", method, path, resp.StatusCode, text)
	}
	return text, err
}

func (p *Platform) mustCall(method, path string, body any) []byte {
	p.t.Helper()
	text, err := p.call(method, path, body)
	if err != nil {
		p.t.Fatal(err)
	}
	return text
}

// Record returns the stand-in's record with every run and every execution.
func (p *Platform) Record() judge.Record {
	p.t.Helper()
	var r judge.Record
	if err := json.Unmarshal(p.mustCall(http.MethodGet, "/record?details=1", nil), &r); err != nil {
		p.t.Fatal(err)
	}
	return r
}

// StoreFaults replaces the faults of the store for all its callers.
func (p *Platform) StoreFaults(f memstore.Faults) {
	p.t.Helper()
	p.mustCall(http.MethodPut, "/faults", f)
}

// StoreFaultsFor replaces the faults of the store for one placer.
func (p *Platform) StoreFaultsFor(placer string, f memstore.Faults) {
	p.t.Helper()
	p.mustCall(http.MethodPut, "/faults/clients/"+placer, f)
}

// WorkerFaults replaces the faults of one worker.
func (p *Platform) WorkerFaults(name string, f workersim.Faults) {
	p.t.Helper()
	p.mustCall(http.MethodPut, "/faults/workers/"+name, f)
}

// RestartWorker restarts one worker, which loses all its state.
func (p *Platform) RestartWorker(name string) {
	p.t.Helper()
	p.mustCall(http.MethodPost, "/restart/"+name, nil)
}

// ExecutorFaults replaces the faults of one executor.
func (p *Platform) ExecutorFaults(name string, f execsim.Faults) {
	p.t.Helper()
	p.mustCall(http.MethodPut, "/faults/executors/"+name, f)
}

// ExpectGang sets the number of tasks of a gang that the stand-in's record checks.
func (p *Platform) ExpectGang(job string, tasks int) {
	p.t.Helper()
	p.mustCall(http.MethodPut, fmt.Sprintf("/record/gangs/%s?tasks=%d", job, tasks), nil)
}

// Hosts returns the host list.
func (p *Platform) Hosts() []platform.Host {
	p.t.Helper()
	var reply hosthttp.Reply
	if err := json.Unmarshal(p.mustCall(http.MethodGet, hosthttp.Path, nil), &reply); err != nil {
		p.t.Fatal(err)
	}
	return reply.Hosts
}

// PutHost replaces one entry of the host list.
func (p *Platform) PutHost(h platform.Host) {
	p.t.Helper()
	p.mustCall(http.MethodPut, hosthttp.Path+"/"+h.Name, h)
}
