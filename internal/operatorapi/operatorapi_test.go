package operatorapi_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pulleyquay/internal/operatorapi"
	"pulleyquay/internal/problem"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
)

// recorder is a Changer that keeps what it was sent.
type recorder struct {
	got settings.Change
	err error
}

func (r *recorder) Change(_ context.Context, c settings.Change) (settings.Accepted, error) {
	r.got = c
	return settings.Accepted{Revision: c.Base + 1, ChangeID: c.ID}, r.err
}

func (r *recorder) History(context.Context) ([]settings.Head, error) {
	return []settings.Head{{Revision: 2}, {Revision: 1}}, r.err
}

func serve(t *testing.T, changer operatorapi.Changer) *http.ServeMux {
	t.Helper()
	tree, err := settings.Parse([]byte(`{"/a":{"executor":{"slots":3}},"/a/b":{}}`))
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	operatorapi.API{Current: func() *settings.Tree { return tree }, Changer: changer}.Register(mux)
	return mux
}

func call(mux http.Handler, method, target, body string) *httptest.ResponseRecorder {
	rec := httptest.NewRecorder()
	mux.ServeHTTP(rec, httptest.NewRequest(method, target, strings.NewReader(body)))
	return rec
}

func TestReads(t *testing.T) {
	mux := serve(t, &recorder{})
	cases := []struct{ target, want string }{
		{"/v1/settings?path=/a", `{"revision":1,"path":"/a","overrides":{"executor":{"slots":3}}}`},
		{"/v1/settings", `"path":"/"`},
		{"/v1/settings/effective?path=/a/b", `"slots":3`},
		{"/v1/settings/explain?path=/a/b", `{"name":"executor.slots","value":3,"unit":"count","from":"/a"}`},
		{"/v1/settings/tree", `"/a/b":{}`},
		{"/v1/settings/history", `"revision":2`},
	}
	for _, c := range cases {
		t.Run(c.target, func(t *testing.T) {
			is := is.New(t)
			rec := call(mux, http.MethodGet, c.target, "")
			is.Equal(rec.Code, http.StatusOK)
			is.True(strings.Contains(rec.Body.String(), c.want))
		})
	}
}

func TestRefusalsAreProblems(t *testing.T) {
	cases := []struct {
		name, method, target, body string
		code                       result.Code
		field                      string
	}{
		{"unknown branch", "GET", "/v1/settings/effective?path=/x", "", result.SettingsUnknownBranch, "/x"},
		{"no revision", "POST", "/v1/settings", `{"branches":{"/a":{}}}`, result.BadInput, "revision"},
		{"no branches", "POST", "/v1/settings", `{"revision":1}`, result.BadInput, "branches"},
		{"unknown name", "POST", "/v1/settings", `{"revision":1,"branch":{}}`, result.BadInput, ""},
		{"something after", "POST", "/v1/settings", `{"revision":1,"branches":{}} {}`, result.BadInput, ""},
		{"too long a wait", "POST", "/v1/settings", `{"revision":1,"branches":{},"wait_ms":60000}`, result.BadInput, "wait_ms"},
		{"too large", "POST", "/v1/settings", `{"note":"` + strings.Repeat("x", 9<<20) + `"}`, result.TooLarge, ""},
		{"rollback to nothing", "POST", "/v1/settings/rollback", `{"revision":1}`, result.BadInput, "to"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			rec := call(serve(t, &recorder{}), c.method, c.target, c.body)
			is.Equal(rec.Header().Get("Content-Type"), problem.ContentType)
			e := problem.Read(rec.Code, rec.Body.Bytes())
			is.Equal(e.Code, c.code)
			is.Equal(e.Field, c.field)
			is.Equal(e.Ran, result.RanNo)
		})
	}
}

func TestChangeIsPassedOn(t *testing.T) {
	is := is.New(t)
	r := &recorder{}
	rec := call(serve(t, r), "POST", "/v1/settings", `{"revision":4,"by":"ann","wait_ms":100,"branches":{"/a":null}}`)
	is.Equal(rec.Code, http.StatusOK)
	var got settings.Accepted
	is.NoErr(json.Unmarshal(rec.Body.Bytes(), &got))
	is.Equal(got.Revision, int64(5))
	is.Equal(got.ChangeID, r.got.ID) // made by the entry
	is.Equal(string(r.got.Branches), `{"/a":null}`)
	is.Equal(r.got.WaitMillis, int64(100))

	rec = call(serve(t, r), "POST", "/v1/settings/rollback", `{"revision":4,"to":2}`)
	is.Equal(rec.Code, http.StatusOK)
	is.True(r.got.Rollback)
	is.Equal(r.got.RollbackTo, int64(2))
}

func TestOutcomeUnknownKeepsItsPromise(t *testing.T) {
	is := is.New(t)
	r := &recorder{err: result.New(result.SettingsOutcomeUnknown, result.RanUnknown, "no answer")}
	rec := call(serve(t, r), "POST", "/v1/settings", `{"revision":4,"branches":{"/a":{}}}`)
	is.Equal(rec.Code, http.StatusServiceUnavailable)
	is.Equal(problem.Read(rec.Code, rec.Body.Bytes()).Ran, result.RanUnknown)
}
