package ctl

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pulleyquay/internal/problem"
	"pulleyquay/internal/result"
)

const heldState = `{"held":[{"engine":{"accounts":[
 {"account":"crew","running":{"milli_cpu":8000},"quota":{"milli_cpu":8000,"memory_mib":-1,"accelerators":-1},"weight":2.5,"share":0.125,"shares":[{"service":"s1","priority":0,"share":0.1,"weighted":0.04},{"service":"s2","priority":1,"weighted":0}],"full":1,"steps_waiting":3,"steps_waiting_for_quota":2,"next":"crew-1/0/0","next_why":"waits for its account's quota"},
 {"account":"other","running":{"milli_cpu":2500},"quota":{"milli_cpu":-1,"memory_mib":-1,"accelerators":-1},"share":0.04,"full":0}]}}]}`

const explanation = `{"job":"5c0e7a21d94b36f8","account":"crew","queue":"q","state":"running","order":"account crew runs 8 cores","steps":[{"step":"5c0e7a21d94b36f8/0/1","done":1,"running":2,"waiting":3,"why":"has room for 0"}]}`

// adminServer serves the given responses by request URI, as a process's administration listener
// does, and returns its address. Other requests get the result code job-unknown.
func adminServer(t *testing.T, answers map[string]string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, ok := answers[r.URL.RequestURI()]
		if !ok {
			problem.Write(w, result.New(result.JobUnknown, result.RanNo, "job x"))
			return
		}
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestAccounts(t *testing.T) {
	is := is.New(t)
	code, out, _ := run([]string{"127.0.0.1:1"}, "accounts", adminServer(t, map[string]string{"/debug/state": heldState}))
	is.Equal(code, ExitOK)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(len(lines), 3)
	is.Equal(strings.Join(strings.Fields(lines[1]), " "), "crew 2.5 12% 0/s1 4.00%, 1/s2 0.00% 100% 8 8 3 2 crew-1/0/0 waits for its account's quota")
	is.Equal(strings.Join(strings.Fields(lines[2]), " "), "other 4% 0% 2 any 0 0")

	code, _, errs := run([]string{"127.0.0.1:1"}, "accounts", adminServer(t, map[string]string{"/debug/state": `{}`}))
	is.True(code != ExitOK)
	is.True(strings.Contains(errs, "holds no partition"))
}

func TestExplain(t *testing.T) {
	is := is.New(t)
	addr := adminServer(t, map[string]string{"/debug/explain?of=5c0e7a21d94b36f8": explanation})
	code, out, _ := run([]string{"127.0.0.1:1"}, "explain", addr, "5c0e7a21d94b36f8")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, `account "crew"`))
	is.True(strings.Contains(out, "has room for 0"))
	is.True(strings.Contains(out, "account crew runs 8 cores"))
	code, _, errs := run([]string{"127.0.0.1:1"}, "explain", addr, "x")
	is.True(code != ExitOK)
	is.True(strings.Contains(errs, "5201"))
}

// TestExplainTellsTheLimit: the figures of a job's queue and account, if there are any.
func TestExplainTellsTheLimit(t *testing.T) {
	const job = "5c0e7a21d94b36f8"
	for admission, want := range map[string]string{
		``: "",
		`"admission":{"queue":"q","account":"crew","admit":1,"evidence":false},`:                                                                                   "admission: 100% of the account's jobs in the queue; no backlog from which a wait would follow",
		`"admission":{"queue":"q","account":"crew","admit":0.4,"evidence":true,"wait_ms":5200,"max_wait_ms":2710,"completed_rate":1200.5,"offered_rate":3000.25},`: "admission: 40% of the account's jobs in the queue; the next one waits for 5200 ms, limit 2710 ms; completes 1200.5 processor seconds a second, is sent 3000.2",
	} {
		is := is.New(t)
		addr := adminServer(t, map[string]string{"/debug/explain?of=" + job: strings.Replace(explanation, `"state"`, admission+`"state"`, 1)})
		code, out, _ := run([]string{"127.0.0.1:1"}, "explain", addr, job)
		is.Equal(code, ExitOK)
		is.Equal(strings.Contains(out, "admission:"), want != "")
		is.True(strings.Contains(out, want))
	}
}
