package standin_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pulleyquay/internal/config"
	"pulleyquay/internal/executor"
	"pulleyquay/internal/executor/exechttp"
	"pulleyquay/internal/executor/execsim"
	"pulleyquay/internal/httponce"
	"pulleyquay/internal/judge"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/hosthttp"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/standin"
	"pulleyquay/internal/worker"
	"pulleyquay/internal/worker/workerhttp"
)

const fleetConfig = `{"listen": "127.0.0.1:0", "groups": [
	{"name": "lake", "role": "worker", "count": 5, "zones": ["a", "b"], "per_rack": 2,
	 "size": {"milli_cpu": 64000, "memory_mib": 131072}},
	{"name": "ledger", "role": "executor", "count": 2, "zones": ["a", "b"], "per_rack": 1,
	 "service": "ledger", "slots": 8, "connections": 64}]}`

func startStandin(t *testing.T) (*standin.Standin, map[string]platform.Host) {
	is := is.New(t)
	c := standin.DefaultConfig()
	is.NoErr(config.Parse([]byte(fleetConfig), &c))
	s, err := standin.Start(c)
	is.NoErr(err)
	t.Cleanup(s.Close)
	list, err := hosthttp.New(s.Addr()).Hosts(context.Background())
	is.NoErr(err)
	hosts := map[string]platform.Host{}
	for _, h := range list {
		hosts[h.Name] = h
	}
	return s, hosts
}

func request(is *is.I, s *standin.Standin, method, path, body string) int {
	req, err := http.NewRequest(method, "http://"+s.Addr()+path, strings.NewReader(body))
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	return resp.StatusCode
}

func fetchRecord(is *is.I, s *standin.Standin) (r judge.Record) {
	resp, err := http.Get("http://" + s.Addr() + "/record?details=1")
	is.NoErr(err)
	defer resp.Body.Close()
	is.NoErr(json.NewDecoder(resp.Body).Decode(&r))
	return r
}

func TestHostsAreListedByRackAndZone(t *testing.T) {
	is := is.New(t)
	_, hosts := startStandin(t)
	is.Equal(len(hosts), 7)
	is.Equal(hosts["lake-02"].Rack, "lake-rack-1")
	is.Equal(hosts["lake-02"].Zone, "b")
	is.Equal(hosts["lake-04"].Zone, "a")
	is.Equal(hosts["ledger-01"].Service, "ledger")
}

func TestWorkersObeyAndAreRecorded(t *testing.T) {
	is := is.New(t)
	s, hosts := startStandin(t)
	client := workerhttp.NewClient(httponce.Options{})
	defer client.Close()
	ctx := context.Background()
	claim, err := client.Claim(ctx, hosts["lake-00"].Addr, worker.ClaimRequest{Epoch: 1, Holder: "p"})
	is.NoErr(err)
	task := spec.TaskID{Job: "j"}
	_, err = client.Order(ctx, hosts["lake-00"].Addr, worker.Order{Epoch: 1, Expires: claim.Now + 10_000, RenewMillis: 10_000,
		Starts: []worker.Start{{Task: task, Attempt: 1, Size: spec.Resources{MilliCPU: 64001}}}})
	is.NoErr(err)
	r := fetchRecord(is, s)
	is.Equal(len(r.Violations), 1)
	is.Equal(r.Violations[0].Rule, judge.RuleOvercommit)
	is.Equal(r.Tasks[task.String()][0].Worker, "lake-00")

	is.Equal(request(is, s, "PUT", "/faults/workers/lake-00", `{"unreachable": true}`), http.StatusOK)
	_, err = client.Claim(ctx, hosts["lake-00"].Addr, worker.ClaimRequest{Epoch: 2})
	is.True(errors.Is(err, worker.ErrNoReply)) // the connection was closed
	is.Equal(request(is, s, "PUT", "/faults/workers/lake-00", `{}`), http.StatusOK)
	is.Equal(request(is, s, "POST", "/restart/lake-00", ""), http.StatusOK)
	is.Equal(fetchRecord(is, s).Running, 0)
}

func TestExecutorsAnswerAndAreRecorded(t *testing.T) {
	is := is.New(t)
	s, hosts := startStandin(t)
	client := exechttp.New(httponce.Options{})
	defer client.Close()
	post := executor.Request{Method: "POST", Path: "/", Body: []byte("b"), Header: http.Header{execsim.KeyHeader: {"k"}}}
	is.Equal(request(is, s, "PUT", "/faults/executors/ledger-00", `{"leaving": true}`), http.StatusOK)
	a, err := client.Do(context.Background(), hosts["ledger-00"].Addr, post, 100)
	is.NoErr(err)
	is.True(a.Leaving)
	_, err = client.Do(context.Background(), hosts["ledger-01"].Addr, post, 100)
	is.NoErr(err)
	r := fetchRecord(is, s)
	is.Equal(len(r.Keys["k"]), 2)
	is.Equal(r.Violations[0].Rule, judge.RuleRepeatedExecution)
}

func TestBadInputIsRefused(t *testing.T) {
	is := is.New(t)
	s, _ := startStandin(t)
	is.Equal(request(is, s, "PUT", "/faults/workers/lake-00", `{"typo": true}`), http.StatusBadRequest)
	is.Equal(request(is, s, "PUT", "/faults/workers/nobody", `{}`), http.StatusNotFound)
	is.Equal(request(is, s, "PUT", "/record/gangs/j?tasks=none", ""), http.StatusBadRequest)
	for name, bad := range map[string]string{
		"unknown name":       `{"listen": "127.0.0.1:0", "group": []}`,
		"no port":            `{"listen": "127.0.0.1", "groups": [{"name": "a", "role": "worker", "count": 1, "zones": ["a"], "per_rack": 1, "size": {"milli_cpu": 1, "memory_mib": 1}}]}`,
		"worker with slots":  `{"listen": "127.0.0.1:0", "groups": [{"name": "a", "role": "worker", "count": 1, "zones": ["a"], "per_rack": 1, "slots": 8}]}`,
		"worker of no size":  `{"listen": "127.0.0.1:0", "groups": [{"name": "a", "role": "worker", "count": 1, "zones": ["a"], "per_rack": 1}]}`,
		"executor, no slots": `{"listen": "127.0.0.1:0", "groups": [{"name": "a", "role": "executor", "count": 1, "zones": ["a"], "per_rack": 1, "service": "s"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			c := standin.DefaultConfig()
			err := config.Parse([]byte(bad), &c)
			is.New(t).True(result.CodeOf(err) != result.Internal && err != nil)
		})
	}
}
