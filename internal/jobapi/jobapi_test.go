package jobapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/partition"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/problem"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/view"
)

const testID = "01890000-0000-7000-8000-000000000000"

type source struct{ table *view.Table }

func (s source) Table() *view.Table       { return s.table }
func (s source) Settings() *settings.Tree { return nil }

// holder is a fake process that replies with a list of results.
type holder struct {
	addr    string
	errs    []error // results of the calls in order; the last one is repeated
	calls   int
	lastJob spec.Job
}

func (h *holder) next() error {
	err := h.errs[min(h.calls, len(h.errs)-1)]
	h.calls++
	return err
}

// testAPI is an API with two holders of two partitions each.
type testAPI struct {
	*http.ServeMux
	a, b *holder
}

func newTestAPI(errsA, errsB []error) *testAPI {
	b := &testAPI{ServeMux: http.NewServeMux(), a: &holder{addr: "a", errs: errsA}, b: &holder{addr: "b", errs: errsB}}
	table := &view.Table{Partitions: []view.Partition{
		{ID: 0, Holder: "a", Addr: "a"}, {ID: 1, Holder: "a", Addr: "a"},
		{ID: 2, Holder: "b", Addr: "b"}, {ID: 3, Holder: "b", Addr: "b"},
	}}
	peers := peer.Local{}
	for _, h := range []*holder{b.a, b.b} {
		mux := peer.NewMux()
		peer.Handle(mux, peer.KindJobSubmit, func(_ context.Context, r jobmsg.SubmitRequest) (jobmsg.Status, error) {
			h.lastJob = r.Job
			return jobmsg.Status{Job: r.Job, State: jobmsg.StateWaiting}, h.next()
		})
		peer.Handle(mux, peer.KindJobGet, func(_ context.Context, r jobmsg.GetRequest) (jobmsg.GetReply, error) {
			return jobmsg.GetReply{Status: jobmsg.Status{Job: spec.Job{ID: r.ID}}, Explain: &jobmsg.Explanation{}}, h.next()
		})
		peer.Handle(mux, peer.KindJobCancel, func(_ context.Context, r jobmsg.CancelRequest) (jobmsg.Status, error) {
			return jobmsg.Status{Job: spec.Job{ID: r.ID}, State: jobmsg.StateStopping}, h.next()
		})
		peer.Handle(mux, peer.KindJobUpdate, func(_ context.Context, r jobmsg.UpdateRequest) (jobmsg.Status, error) {
			return jobmsg.Status{Job: r.Job, Generation: r.Generation + 1}, h.next()
		})
		peer.Handle(mux, peer.KindJobList, func(_ context.Context, r jobmsg.ListRequest) (jobmsg.ListReply, error) {
			ids := map[string][]string{"a": {"1", "3", "5"}, "b": {"2", "4", "6"}}[h.addr]
			var reply jobmsg.ListReply
			for _, id := range ids {
				if id <= r.After {
					continue
				}
				if reply.More = len(reply.Jobs) == r.Limit; reply.More {
					break
				}
				reply.Jobs = append(reply.Jobs, jobmsg.Status{Job: spec.Job{ID: id}})
			}
			return reply, h.next()
		})
		peers[h.addr] = mux
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	New(source{table}, peers, logrus.NewEntry(log)).Register(b.ServeMux)
	return b
}

func (b *testAPI) do(method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	b.ServeHTTP(w, r)
	return w
}

// teamAt returns a team whose home partition is the given one.
func teamAt(want int) string {
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"} {
		if partition.OfTeam(name, 4) == want {
			return name
		}
	}
	return ""
}

func newError(code result.Code, ran result.Ran) error { return result.New(code, ran, "because") }

// TestSubmit lists request bodies and replies of job owners with the expected response.
func TestSubmit(t *testing.T) {
	team := teamAt(0)
	good := `{"id":"` + testID + `","team":"` + team + `","branch":"b","kind":"batch","tasks":1,"task":{"size":{"milli_cpu":1}}}`
	cases := []struct {
		name   string
		body   string
		header string
		errs   []error
		status int
		code   result.Code
		ran    result.Ran
		calls  int
	}{
		{"accepted", good, "", []error{nil}, 201, 0, "", 1},
		{"header repeats the id", good, testID, []error{nil}, 201, 0, "", 1},
		{"header differs", good, "x", []error{nil}, 400, result.BadInput, result.RanNo, 0},
		{"unknown name", `{"teem":"x"}`, "", []error{nil}, 400, result.BadInput, result.RanNo, 0},
		{"wrong type", `{"tasks":"1"}`, "", []error{nil}, 400, result.BadInput, result.RanNo, 0},
		{"two objects", good + good, "", []error{nil}, 400, result.BadInput, result.RanNo, 0},
		{"half an object", good[:20], "", []error{nil}, 400, result.BadInput, result.RanNo, 0},
		{"too large", `{"id":"` + strings.Repeat("x", maxBodyBytes) + `"}`, "", []error{nil}, 413, result.TooLarge, result.RanNo, 0},
		{"refused", good, "", []error{newError(result.JobNeverFits, result.RanNo)}, 422, result.JobNeverFits, result.RanNo, 1},
		{"job owner changes once", good, "", []error{newError(result.NotHolder, result.RanNo), nil}, 201, 0, "", 2},
		{"reply lost once", good, "", []error{newError(result.PeerLost, result.RanUnknown), nil}, 201, 0, "", 2},
		{"store down", good, "", []error{newError(result.JobNotRecorded, result.RanNo)}, 503, result.JobNotRecorded, result.RanNo, 1},
		{"lost, then refused", good, "", []error{newError(result.PeerLost, result.RanUnknown), newError(result.JobNotRecorded, result.RanNo)}, 503, result.JobRecordUnknown, result.RanUnknown, 2},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestAPI(tt.errs, []error{nil})
			w := b.do("POST", "/v1/jobs", tt.body, IdempotencyHeader, tt.header)
			is.Equal(w.Code, tt.status)
			is.Equal(b.a.calls, tt.calls)
			is.Equal(b.b.calls, 0)
			if tt.code == 0 {
				is.Equal(w.Header().Get("Location"), "/v1/jobs/"+testID)
				return
			}
			got := problem.Read(w.Code, w.Body.Bytes())
			is.Equal(got.Code, tt.code)
			is.Equal(got.Ran, tt.ran)
		})
	}
}

// TestIdentifierIsGenerated submits a job without an identifier.
func TestIdentifierIsGenerated(t *testing.T) {
	is := is.New(t)
	b := newTestAPI([]error{nil}, []error{nil})
	w := b.do("POST", "/v1/jobs", `{"team":"`+teamAt(0)+`"}`)
	is.Equal(w.Code, 201)
	is.True(b.a.lastJob.ID != "")
	is.Equal(w.Header().Get("Location"), "/v1/jobs/"+b.a.lastJob.ID)
}

// TestFindsJobOwner requests a job with and without its team.
func TestFindsJobOwner(t *testing.T) {
	no, loading := newError(result.JobNotFound, result.RanUnknown), newError(result.JobHomeRecovering, result.RanNo)
	cases := []struct {
		name   string
		path   string
		a, b   error
		status int
		code   result.Code
	}{
		{"at the first", "/v1/jobs/" + testID, nil, no, 200, 0},
		{"at the second", "/v1/jobs/" + testID, no, nil, 200, 0},
		{"nowhere", "/v1/jobs/" + testID, no, no, 404, result.JobNotFound},
		{"one job owner still reads its records", "/v1/jobs/" + testID, no, loading, 503, result.JobHomeRecovering},
		{"by team", "/v1/jobs/" + testID + "?team=" + teamAt(2), loading, nil, 200, 0},
		{"explained", "/v1/jobs/" + testID + "/explain", no, nil, 200, 0},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestAPI([]error{tt.a}, []error{tt.b})
			w := b.do("GET", tt.path, "")
			is.Equal(w.Code, tt.status)
			if tt.code != 0 {
				is.Equal(problem.Read(w.Code, w.Body.Bytes()).Code, tt.code)
			}
		})
	}
}

// TestCancelAndUpdate checks that requests reach the owner of the job.
func TestCancelAndUpdate(t *testing.T) {
	is := is.New(t)
	no := newError(result.JobNotFound, result.RanUnknown)
	is.Equal(newTestAPI([]error{no}, []error{nil}).do("DELETE", "/v1/jobs/"+testID, "").Code, 202)
	body := `{"team":"` + teamAt(0) + `","kind":"service"}`
	is.Equal(newTestAPI([]error{nil}, []error{nil}).do("PUT", "/v1/jobs/"+testID+"?generation=3", body).Code, 200)
	is.Equal(newTestAPI([]error{nil}, []error{nil}).do("PUT", "/v1/jobs/"+testID+"?generation=x", body).Code, 400)
	is.Equal(newTestAPI([]error{nil}, []error{nil}).do("PUT", "/v1/jobs/other", `{"id":"`+testID+`"}`).Code, 400)
}

// TestListPages checks that the pages of all job owners are merged in order.
func TestListPages(t *testing.T) {
	is := is.New(t)
	b := newTestAPI([]error{nil}, []error{nil})
	var ids []string
	for path := "/v1/jobs?limit=2"; path != ""; {
		var p page
		w := b.do("GET", path, "")
		is.Equal(w.Code, 200)
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &p))
		for _, j := range p.Jobs {
			ids = append(ids, j.Job.ID)
		}
		path = ""
		if p.Next != "" {
			path = "/v1/jobs?limit=2&after=" + p.Next
		}
	}
	is.Equal(ids, []string{"1", "2", "3", "4", "5", "6"})
	is.Equal(b.do("GET", "/v1/jobs?limit=0", "").Code, 400)
	is.Equal(newTestAPI([]error{nil}, []error{newError(result.PeerLost, result.RanUnknown)}).do("GET", "/v1/jobs", "").Code, 502)
}
