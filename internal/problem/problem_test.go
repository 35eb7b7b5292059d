package problem_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/problem"
	"pulleyquay/internal/result"
)

func TestWrite(t *testing.T) {
	cases := []struct {
		name       string
		err        *result.Error
		status     int
		ran        result.Ran
		retryAfter string
	}{
		{"plain", result.New(result.NotFound, result.RanNo, "no such branch"), http.StatusNotFound, result.RanNo, ""},
		{"retry is rounded up", result.New(result.NotReady, result.RanNo, "x").WithRetryAfter(1100 * time.Millisecond), 503, result.RanNo, "2"},
		{"retry is at least one", result.New(result.NotReady, result.RanNo, "x").WithRetryAfter(time.Millisecond), 503, result.RanNo, "1"},
		{"missing ran is unknown", &result.Error{Code: result.Internal}, 500, result.RanUnknown, ""},
		{"unregistered code", &result.Error{Code: 999999, Ran: result.RanNo}, 500, result.RanNo, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			rec := httptest.NewRecorder()
			problem.Write(rec, c.err.AtField("some/field"))
			is.Equal(rec.Code, c.status)
			is.Equal(rec.Header().Get("Content-Type"), problem.ContentType)
			is.Equal(rec.Header().Get("Retry-After"), c.retryAfter)
			back := problem.Read(rec.Code, rec.Body.Bytes())
			is.Equal(back.Code, c.err.Code)
			is.Equal(back.Ran, c.ran)
			is.Equal(back.Field, "some/field")
		})
	}
}

func TestReadOfSomethingElse(t *testing.T) {
	is := is.New(t)
	e := problem.Read(502, []byte("<html>"))
	is.Equal(e.Code, result.Internal)
	is.Equal(e.Ran, result.RanUnknown) // the response doesn't say whether the work was executed
}
