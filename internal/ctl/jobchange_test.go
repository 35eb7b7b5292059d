package ctl

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestJobChange checks that the complete specification is sent to the job's path.
func TestJobChange(t *testing.T) {
	is := is.New(t)
	var got, body string
	e := newBodyEntry(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		got, body = r.Method+" "+r.URL.String(), string(data)
		fmt.Fprint(w, `{"job":{"id":"j","team":"maps","kind":"service","tasks":4},"state":"running","tasks":{"running":3}}`)
	}))
	file := t.TempDir() + "/job.json"
	is.NoErr(os.WriteFile(file, []byte(`{"tasks":4}`), 0o600))
	code, out, _ := run([]string{e.addr()}, "job", "change", "j", file, "--generation", "2")
	is.Equal(code, 0)
	is.Equal(got, "PUT /v1/jobs/j?generation=2")
	is.Equal(body, `{"tasks":4}`)
	is.True(strings.Contains(out, "service"))
}
