package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/executor"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/problem"
	"pulleyquay/internal/requestmsg"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/view"
)

func TestSplitPath(t *testing.T) {
	cases := []struct {
		url, service, path string
		ok                 bool
	}{
		{"/v1/services/ledger/a/b?c=d", "ledger", "/a/b?c=d", true},
		{"/v1/services/lakeshore.ledger", "lakeshore.ledger", "/", true},
		{"/v1/services/ledger/a%2Fb%20c", "ledger", "/a%2Fb%20c", true},
		{"/v1/services/", "", "", false},
		{"/v1/other/ledger", "", "", false},
	}
	for _, tc := range cases {
		u, err := url.Parse(tc.url)
		if err != nil {
			t.Fatal(err)
		}
		service, path, ok := splitPath(u)
		is.New(t).Equal([]any{service, path, ok}, []any{tc.service, tc.path, tc.ok})
	}
}

func TestCallerOf(t *testing.T) {
	cases := []struct {
		name   string
		header http.Header
		want   string
	}{
		{"Caller-Id header", http.Header{"Caller-Id": {"crew-7"}, "X-Forwarded-For": {"9.9.9.9"}}, "crew-7"},
		{"address reported by the load balancer", http.Header{"X-Forwarded-For": {"1.1.1.1, 2.2.2.2"}}, "2.2.2.2"},
		{"connection", nil, "192.0.2.1"},
	}
	for _, tc := range cases {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header = tc.header
		is.New(t).Equal(callerOf(r), tc.want)
	}
}

func TestEndToEndHeaders(t *testing.T) {
	is := is.New(t)
	in := http.Header{"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"}, "X-Many": {"a", "b"}, "Etag": {`"e"`}}
	is.Equal(endToEnd(in), http.Header{"X-Many": {"a", "b"}, "Etag": {`"e"`}})
	is.Equal(len(in), 5) // not modified
}

// fakeCell is a cell whose placers each reply in a fixed way.
type fakeCell struct {
	fail   map[string]*result.Error
	called []string
	last   requestmsg.Serve
	block  chan struct{} // if set, replies wait until it is closed
}

// Call implements peer.Caller.
func (f *fakeCell) Call(_ context.Context, addr string, _ peer.Kind, req, resp any) error {
	if f.block != nil {
		<-f.block
		return nil
	}
	f.called = append(f.called, addr)
	f.last = req.(requestmsg.Serve)
	if err := f.fail[addr]; err != nil {
		return err
	}
	*resp.(*executor.Answer) = executor.Answer{Status: http.StatusOK, Header: http.Header{"Content-Length": {"7"}, "X-A": {"1"}}, Body: []byte("answer\n")}
	return nil
}

// Table implements view.Source.
func (f *fakeCell) Table() *view.Table {
	return &view.Table{
		Members:    []view.Member{{Name: "b", Addr: "b", Zone: "other"}, {Name: "own", Addr: "own", Zone: "zone"}, {Name: "old", Addr: "old", Zone: "zone", Leaving: true}},
		Partitions: []view.Partition{{ID: 0, Holder: "own", Addr: "own"}},
	}
}

// Settings implements view.Source.
func (f *fakeCell) Settings() *settings.Tree { return nil }

func newTestHandler(f *fakeCell, limit int) *Handler {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewHandler(Config{
		View: f, Peers: f, Placer: "own", Zone: "zone", MaxInFlight: limit,
		Settings: func(string) (settings.Values, bool) { return settings.Defaults(), true },
		Log:      logrus.NewEntry(log), Metrics: prometheus.NewRegistry(),
	})
}

func send(h *Handler, method string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, Prefix+"ledger/tickets", strings.NewReader("{}"))
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// A placer that lost an executor's answer and then had no executor left for the second attempt
// replies "no executor, ran: unknown". The entry regarded the code alone as proof that the
// request had not run, called the next placer, and reported "ran: no".
func TestPlacersCalledAndOutcomeReported(t *testing.T) {
	unreached := result.New(result.PeerNotReached, result.RanNo, "refused")
	lost := result.New(result.PeerLost, result.RanUnknown, "connection lost")
	moved := result.New(result.HomeMoved, result.RanUnknown, "").WithRetryAfter(homeRetryDelay)
	none := result.New(result.NoExecutor, result.RanNo, "").WithRetryAfter(homeRetryDelay)
	noneLeft := result.New(result.NoExecutor, result.RanUnknown, "").WithRetryAfter(homeRetryDelay)
	key := uuid.Must(uuid.NewV7()).String()
	cases := []struct {
		name, method string
		key          string
		fail         map[string]*result.Error
		called       []string
		code         result.Code
		ran          result.Ran
	}{
		{"placer on the same host first", "POST", "", nil, []string{"own"}, 0, ""},
		{"next placer if unreachable", "POST", "", map[string]*result.Error{"own": unreached}, []string{"own", "b"}, 0, ""},
		{"all unreachable", "POST", "", map[string]*result.Error{"own": unreached, "b": unreached, "old": unreached}, []string{"own", "b", "old"}, result.HomeNotReached, result.RanNo},
		{"lost, not idempotent", "POST", "", map[string]*result.Error{"own": lost}, []string{"own"}, result.HomeLost, result.RanUnknown},
		{"lost, idempotent", "PUT", "", map[string]*result.Error{"own": lost}, []string{"own", "b"}, 0, ""},
		{"no executor at the first placer", "POST", "", map[string]*result.Error{"own": none}, []string{"own", "b"}, 0, ""},
		{"no executor anywhere", "POST", "", map[string]*result.Error{"own": none, "b": none, "old": none}, []string{"own", "b", "old"}, result.NoExecutor, result.RanNo},
		{"executor lost, then no executor left", "PUT", "", map[string]*result.Error{"own": noneLeft, "b": none, "old": none}, []string{"own", "b", "old"}, result.NoExecutor, result.RanUnknown},
		{"executor lost, then placers unreachable", "PUT", "", map[string]*result.Error{"own": noneLeft, "b": unreached, "old": unreached}, []string{"own", "b", "old"}, result.HomeNotReached, result.RanUnknown},
		{"executor lost, then answered", "PUT", "", map[string]*result.Error{"own": noneLeft}, []string{"own", "b"}, 0, ""},
		{"executor lost, not idempotent", "POST", "", map[string]*result.Error{"own": noneLeft}, []string{"own"}, result.NoExecutor, result.RanUnknown},
		{"lost, then placers unreachable", "PUT", "", map[string]*result.Error{"own": lost, "b": unreached, "old": unreached}, []string{"own", "b", "old"}, result.HomeNotReached, result.RanUnknown},
		{"key: unreachable, may have run before", "POST", key, map[string]*result.Error{"own": unreached}, nil, result.HomeNotReached, result.RanUnknown},
		{"key: refused by the link", "POST", key, map[string]*result.Error{"own": result.New(result.PeerVersion, result.RanNo, "").WithRetryAfter(homeRetryDelay)}, []string{"own"}, result.PeerVersion, result.RanUnknown},
		{"key: refused by the home", "POST", key, map[string]*result.Error{"own": result.New(result.QueueFull, result.RanNo, "").WithRetryAfter(homeRetryDelay)}, []string{"own"}, result.QueueFull, result.RanNo},
		{"key: moved", "POST", key, map[string]*result.Error{"own": moved}, nil, result.HomeMoved, result.RanUnknown},
		{"key: lost", "POST", key, map[string]*result.Error{"own": lost}, nil, result.HomeLost, result.RanUnknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeCell{fail: tc.fail}
			header := []string{}
			if tc.key != "" {
				header = []string{KeyHeader, tc.key}
			}
			got := send(newTestHandler(f, 0), tc.method, header...)
			if tc.called != nil {
				is.Equal(f.called, tc.called)
			}
			if tc.code == 0 {
				is.Equal(got.Body.String(), "answer\n")
				is.Equal(got.Header().Get("X-A"), "1")
				return
			}
			failure := problem.Read(got.Code, got.Body.Bytes())
			is.Equal(failure.Code, tc.code)
			is.Equal(failure.Ran, tc.ran)
			is.True(got.Header().Get("Retry-After") != "")
		})
	}
}

func TestHeadHasLengthAndNoBody(t *testing.T) {
	is := is.New(t)
	f := &fakeCell{}
	got := send(newTestHandler(f, 0), http.MethodHead)
	is.Equal(got.Body.Len(), 0)
	is.Equal(got.Header().Get("Content-Length"), "7")
	is.Equal(f.last.Request.Header.Get("Host"), "example.com")
}

func TestServiceLimitLeavesCapacityForOthers(t *testing.T) {
	is := is.New(t)
	h := newTestHandler(&fakeCell{}, 8)
	for range 6 {
		is.True(h.limiter.acquire("busy"))
	}
	is.True(!h.limiter.acquire("busy"))
	is.True(h.limiter.acquire("ledger"))
	got := send(h, http.MethodGet)
	is.Equal(got.Code, http.StatusOK)
	is.Equal(h.InFlight(), int64(7))
	is.True(h.limiter.acquire("ledger"))
	failure := problem.Read(send(h, http.MethodPost).Code, send(h, http.MethodPost).Body.Bytes())
	is.Equal(failure.Code, result.EntryFull)
	is.Equal(failure.Ran, result.RanNo)
}

func TestBodiesInMemoryAreBounded(t *testing.T) {
	is := is.New(t)
	h := newTestHandler(&fakeCell{}, 0)
	is.True(h.bodies.TryAcquire(DefaultMaxBodyMemory - 1)) // bodies of other requests
	failure := problem.Read(http.StatusServiceUnavailable, send(h, http.MethodPost).Body.Bytes())
	is.Equal(failure.Code, result.EntryFull)
	is.Equal(failure.Ran, result.RanNo)
	h.bodies.Release(1)
	is.Equal(send(h, http.MethodPost).Code, http.StatusOK) // two bytes fit, and are released
	is.Equal(send(h, http.MethodPost).Code, http.StatusOK)
}

func TestLostRequestsAreRetriedWithinTheBudget(t *testing.T) {
	is := is.New(t)
	f := &fakeCell{fail: map[string]*result.Error{"own": result.New(result.PeerLost, result.RanUnknown, "connection lost")}}
	h := newTestHandler(f, 0)
	const requests, burst = 500, 10
	for range requests {
		send(h, http.MethodPut)
	}
	retries := len(f.called) - requests
	is.True(retries >= burst)
	is.True(retries <= burst+requests*int(settings.Defaults().Request.RetryBudgetPercent)/100)
}

// A retry of a request that has run may reach an entry that refuses it before calling its home.
// Such a refusal must not state that the key did not run.
func TestRefusalsBeforeTheHomeReportKeysAsUnknown(t *testing.T) {
	key := uuid.Must(uuid.NewV7()).String()
	cases := []struct {
		name, path, body, timeout string
		code                      result.Code
	}{
		{"path", "/v1/other", "", "100", result.NotFound},
		{"service", Prefix + "none/", "", "100", result.NotReady}, // no settings yet
		{"deadline", Prefix + "ledger/", "", "soon", result.BadDeadline},
		{"body", Prefix + "ledger/", strings.Repeat("x", 1<<20+1), "100", result.TooLarge},
	}
	for _, tc := range cases {
		for _, keyed := range []bool{false, true} {
			is := is.New(t)
			h := newTestHandler(&fakeCell{}, 0)
			h.cfg.Settings = func(service string) (settings.Values, bool) { return settings.Defaults(), service == "ledger" }
			r := httptest.NewRequest(http.MethodPost, tc.path, strings.NewReader(tc.body))
			r.Header.Set(TimeoutHeader, tc.timeout)
			want := result.RanNo
			if keyed {
				r.Header.Set(KeyHeader, key)
				want = result.RanUnknown
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			failure := problem.Read(w.Code, w.Body.Bytes())
			is.Equal(failure.Code, tc.code)
			is.Equal(failure.Ran, want)
		}
	}
}
