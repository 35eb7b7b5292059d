package hostlist_test

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/hosthttp"
	"pulleyquay/internal/result"
	"pulleyquay/internal/standin/hostlist"
)

func names(is *is.I, l platform.HostList) []string {
	is.Helper()
	hosts, err := l.Hosts(context.Background())
	is.NoErr(err)
	out := []string{}
	for _, h := range hosts {
		out = append(out, h.Name)
	}
	return out
}

func TestLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := hostlist.New(5 * time.Second)
		l.Put(platform.Host{Name: "w2"})
		time.Sleep(3 * time.Second)
		l.Put(platform.Host{Name: "w1"})
		is.Equal(names(is, l), []string{})
		time.Sleep(2 * time.Second)
		is.Equal(names(is, l), []string{"w2"})
		l.Remove("w2")
		time.Sleep(3 * time.Second)
		is.Equal(names(is, l), []string{"w1", "w2"})
		time.Sleep(2 * time.Second)
		is.Equal(names(is, l), []string{"w1"})
	})
}

func TestOverHTTP(t *testing.T) {
	is := is.New(t)
	l := hostlist.New(0)
	server := httptest.NewServer(hostlist.Handler(l))
	defer server.Close()
	client := hosthttp.New(server.URL)
	do := func(method, path, body string) int {
		request, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		is.NoErr(err)
		response, err := server.Client().Do(request)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		return response.StatusCode
	}
	is.Equal(names(is, client), []string{})
	is.Equal(do(http.MethodPut, "/v1/hosts", `{"hosts":[{"name":"w1","role":"worker","addr":"h:1","rack":"r","zone":"z"}]}`), http.StatusOK)
	is.Equal(do(http.MethodPut, "/v1/hosts/e1", `{"role":"executor","addr":"h:2","rack":"r","zone":"z","service":"s","leaving":true}`), http.StatusOK)
	is.Equal(do(http.MethodPut, "/v1/hosts/e2", `{"rool":"executor"}`), http.StatusBadRequest)
	hosts, err := client.Hosts(t.Context())
	is.NoErr(err)
	is.Equal(hosts, []platform.Host{
		{Name: "e1", Role: platform.RoleExecutor, Addr: "h:2", Rack: "r", Zone: "z", Service: "s", Leaving: true},
		{Name: "w1", Role: platform.RoleWorker, Addr: "h:1", Rack: "r", Zone: "z"},
	})
	is.Equal(do(http.MethodDelete, "/v1/hosts/e1", ""), http.StatusOK)
	is.Equal(names(is, client), []string{"w1"})
	is.Equal(do(http.MethodPut, "/faults/hosts", `{"down":true,"lag_ms":0}`), http.StatusOK)
	_, err = client.Hosts(t.Context())
	is.Equal(result.CodeOf(err), result.HostListUnavailable)
}

// TestUnchangedListIsNotSentAgain reads a list several times after each change: only the
// first reply may have a body. Modifying a returned list must not affect later reads.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	l := hostlist.New(0)
	sent := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		hostlist.Handler(l).ServeHTTP(recorder, r)
		if recorder.Code == http.StatusOK {
			sent++
		}
		maps.Copy(w.Header(), recorder.Header())
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	client := hosthttp.New(server.URL)
	for _, name := range []string{"a", "b"} {
		l.Put(platform.Host{Name: name, Role: platform.RoleWorker, Addr: "h:1"})
		want := names(is, l)
		for range 3 {
			is.Equal(names(is, client), want)
			hosts, err := client.Hosts(t.Context())
			is.NoErr(err)
			hosts[0].Name = "modified"
		}
	}
	is.Equal(sent, 2)
}

func TestMalformedListIsRefusedWhole(t *testing.T) {
	for name, body := range map[string]string{
		"truncated":    `{"hosts":[{"name":"w1","role":"worker","addr":"h:1"}`,
		"no list":      `{}`,
		"no address":   `{"hosts":[{"name":"w1","role":"worker"}]}`,
		"unknown role": `{"hosts":[{"name":"w1","role":"cook","addr":"h:1"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(body))
			}))
			defer server.Close()
			_, err := hosthttp.New(server.URL).Hosts(t.Context())
			is.New(t).Equal(result.CodeOf(err), result.HostListMalformed)
		})
	}
}
