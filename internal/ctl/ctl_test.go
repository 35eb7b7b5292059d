package ctl

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"pulleyquay/internal/operatorapi"
	"pulleyquay/internal/problem"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
)

// run runs pulleyctl with the given entries and arguments.
func run(entries []string, args ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	args = append([]string{"--entry", strings.Join(entries, ",")}, args...)
	code = Main(args, strings.NewReader(`{"/stdin":{}}`), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// entry is a fake entry that counts the requests that it receives.
type entry struct {
	*httptest.Server
	got atomic.Int64
}

func newEntry(t *testing.T, h http.HandlerFunc) *entry {
	t.Helper()
	e := &entry{}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.got.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		h(w, r)
	}))
	t.Cleanup(e.Close)
	return e
}

func (e *entry) addr() string { return e.Listener.Addr().String() }

func respondError(err *result.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { problem.Write(w, err) }
}

func respondOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"ok":true}`) }

// closeConnection closes the connection without a response.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// unusedAddr returns an address without a listener.
func unusedAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// TestNextEntryOnlyWhereSafe checks after which failures of the first entry the request may be sent to
// the second one.
func TestNextEntryOnlyWhereSafe(t *testing.T) {
	post := []string{"call", "ledger", "/tickets", "-X", "POST", "-d", "{}"}
	unkeyed := append(append([]string{}, post...), "--key", "none")
	get := []string{"call", "ledger", "/reviews"}
	busy := result.New(result.NotReady, result.RanNo, "busy")
	lost := result.New(result.PeerLost, result.RanUnknown, "lost")
	bad := result.New(result.SettingsOutOfRange, result.RanNo, "bad")
	cases := []struct {
		name   string
		first  http.HandlerFunc
		args   []string
		second int64
		exit   int
	}{
		{"refused before running, without key", respondError(busy), unkeyed, 1, ExitOK},
		{"outcome unknown, without key", respondError(lost), unkeyed, 0, ExitUnknown},
		{"connection closed, without key", closeConnection, unkeyed, 0, ExitUnknown},
		{"outcome unknown, with key", respondError(lost), post, 1, ExitOK},
		{"connection closed, with key", closeConnection, post, 1, ExitOK},
		{"connection closed, GET", closeConnection, get, 1, ExitOK},
		{"invalid request", respondError(bad), post, 0, ExitRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			first, second := newEntry(t, c.first), newEntry(t, respondOK)
			code, _, errs := run([]string{first.addr(), second.addr()}, c.args...)
			is.Equal(second.got.Load(), c.second)
			if code != c.exit {
				t.Errorf("exit %d, want %d: %s", code, c.exit, errs)
			}
		})
	}
}

func TestUnreachableEntry(t *testing.T) {
	is := is.New(t)
	second := newEntry(t, respondOK)
	code, out, _ := run([]string{unusedAddr(t), second.addr()}, "call", "ledger", "/t", "-X", "POST", "--key", "none")
	is.Equal(code, ExitOK)
	is.Equal(out, `{"ok":true}`)
	code, _, errs := run([]string{unusedAddr(t)}, "call", "ledger", "/t", "-X", "POST")
	is.Equal(code, ExitRefused) // no byte was sent
	is.True(strings.Contains(errs, "ran: no"))
}

// A read changes no state, so that its failure is not reported as an unknown outcome.
func TestFailedReadIsNotUnknown(t *testing.T) {
	is := is.New(t)
	lost := newEntry(t, respondError(result.New(result.PeerLost, result.RanUnknown, "lost")))
	for _, args := range [][]string{{"settings", "get", "/a"}, {"job", "get", "j"}, {"call", "ledger", "/reviews"}} {
		code, _, errs := run([]string{lost.addr()}, args...)
		is.Equal(code, ExitFailed)
		is.True(strings.Contains(errs, "ran: unknown")) // as in the entry's response
	}
}

func TestUnknownThenRefusedStaysUnknown(t *testing.T) {
	is := is.New(t)
	first := newEntry(t, closeConnection)
	second := newEntry(t, respondError(result.New(result.NotReady, result.RanNo, "starting")))
	code, _, _ := run([]string{first.addr(), second.addr()}, "call", "ledger", "/t", "-X", "POST")
	is.Equal(code, ExitUnknown)
}

func TestUsage(t *testing.T) {
	cases := [][]string{
		{"nonsense"},
		{"settings", "nonsense"},
		{"settings", "get", "/a", "/b"},
		{"settings", "get", "--no-such-flag"},
		{"settings", "get", "-o", "xml"},
		{"settings", "get", "-o", "markdown"},
		{"settings", "set", "request.queue_limit=1"},
		{"settings", "set", "/a", "queue_limit=1"},
		{"settings", "set", "/a", "request.queue_limit"},
		{"settings", "load", "/no/such/file.json"},
		{"settings", "rollback", "last"},
		{"call", "ledger", "/x", "--key", "42"},
		{"call", "ledger", "/x", "-H", "no colon"},
		{"call", "ledger", "/x", "-X", "NO METHOD"},
		{"job", "submit", "/no/such/file.json"},
	}
	for _, args := range cases {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			is := is.New(t)
			e := newEntry(t, respondOK)
			code, _, _ := run([]string{e.addr()}, args...)
			is.Equal(code, ExitUsage)
			is.Equal(e.got.Load(), int64(0)) // no request was sent
		})
	}
}

// settingsEntry serves the handlers of operatorapi from a tree in memory. It also returns the changes
// that they accepted.
func settingsEntry(t *testing.T, revision int64) (*entry, *[]settings.Change) {
	t.Helper()
	tree, err := settings.Parse([]byte(`{"/a":{"request":{"queue_limit":7},"task":{"surge":2}},"/b":{}}`))
	if err != nil {
		t.Fatal(err)
	}
	tree.Revision = revision
	fake := &fakeChanger{}
	mux := http.NewServeMux()
	operatorapi.API{Current: func() *settings.Tree { return tree }, Changer: fake}.Register(mux)
	return newBodyEntry(t, mux), &fake.got
}

// newBodyEntry is newEntry for handlers that read the request's body.
func newBodyEntry(t *testing.T, h http.Handler) *entry {
	t.Helper()
	e := &entry{Server: httptest.NewServer(h)}
	t.Cleanup(e.Close)
	return e
}

func TestSettingsSetChangesOnlyWhatIsNamed(t *testing.T) {
	is := is.New(t)
	e, got := settingsEntry(t, 9)
	code, out, errs := run([]string{e.addr()}, "settings", "set", "/a", "request.queue_limit=8", "task.surge-", "/b", "placement.policy=packing", "--by", "ann")
	if code != ExitOK {
		t.Fatal(errs)
	}
	is.True(strings.Contains(out, "10"))
	is.Equal(len(*got), 1) // both branches in one change
	c := (*got)[0]
	is.Equal(c.Base, int64(9))
	is.Equal(c.By, "ann")
	is.Equal(string(c.Branches), `{"/a":{"request":{"queue_limit":8},"task":{}},"/b":{"placement":{"policy":"packing"}}}`)
}

func TestSettingsSetRefusesBeforeSending(t *testing.T) {
	for _, args := range [][]string{
		{"/a", "request.queue_limt=8"}, {"/a", "request.queue_limit=many"}, {"/a", "request.queue_limit=1.5"}, {"/new", "task.surge=1"},
	} {
		is := is.New(t)
		e, got := settingsEntry(t, 9)
		code, _, _ := run([]string{e.addr()}, append([]string{"settings", "set"}, args...)...)
		is.Equal(code, ExitUsage)
		is.Equal(len(*got), 0)
	}
}

func TestSettingsLoadSendsAllFilesInOneChange(t *testing.T) {
	is := is.New(t)
	e, got := settingsEntry(t, 3)
	code, _, errs := run([]string{e.addr()}, "settings", "load", "../../examples/lakeshore.json", "../../examples/regie.json")
	if code != ExitOK {
		t.Fatal(errs)
	}
	is.Equal(len(*got), 1)
	edits, err := settings.ParseBranches((*got)[0].Branches)
	is.NoErr(err)
	_, err = settings.Empty().Edited(edits, 1, "")
	is.NoErr(err)

	twice := filepath.Join(t.TempDir(), "twice.json")
	is.NoErr(os.WriteFile(twice, []byte(`{"/a":{},"/a":{}}`), 0o600))
	code, _, _ = run([]string{e.addr()}, "settings", "load", twice)
	is.Equal(code, ExitUsage) // a repeated branch must not be dropped silently
}

func TestWaitNamesMembersNotApplied(t *testing.T) {
	is := is.New(t)
	e := newEntry(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			fmt.Fprint(w, `{"revision":3,"path":"/","overrides":{}}`)
			return
		}
		fmt.Fprint(w, `{"revision":4,"change_id":"x","not_applied":["host-3"]}`)
	})
	code, _, errs := run([]string{e.addr()}, "settings", "load", "-", "--wait", "1s")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(errs, "host-3"))
}

func TestUnknownChangeShowsHowToRepeat(t *testing.T) {
	is := is.New(t)
	e := newEntry(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			fmt.Fprint(w, `{"revision":3,"path":"/","overrides":{}}`)
			return
		}
		closeConnection(w, r)
	})
	const id = "01970000-0000-7000-8000-000000000001"
	code, _, errs := run([]string{e.addr()}, "settings", "load", "-", "--change-id", id)
	is.Equal(code, ExitUnknown)
	is.True(strings.Contains(errs, "--change-id "+id+" --revision 3"))
}

func TestTables(t *testing.T) {
	e, _ := settingsEntry(t, 9)
	cases := []struct {
		args []string
		want string
	}{
		{[]string{"settings", "get", "/a"}, "request.queue_limit  7"},
		{[]string{"settings", "effective", "/b"}, "request.max_body_bytes"},
		{[]string{"settings", "explain", "/a"}, "/a"},
		{[]string{"settings", "tree"}, `{"request":{"queue_limit":7},"task":{"surge":2}}`},
		{[]string{"settings", "get", "/a", "-o", "json"}, `"queue_limit": 7`},
		{[]string{"settings", "history"}, "REVISION"},
		{[]string{"codes"}, "settings-clash"},
		{[]string{"codes", "-o", "json"}, `"settings-clash"`},
		{[]string{"completion", "bash"}, "pulleyctl"},
		{[]string{"__complete", "settings", "get", "/"}, "/a\n/b\n"},
		{[]string{"__complete", "settings", "set", "/a", "task.s"}, "task.surge="},
	}
	for _, c := range cases {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			is := is.New(t)
			code, out, errs := run([]string{e.addr()}, c.args...)
			if code != ExitOK {
				t.Fatal(errs)
			}
			is.True(strings.Contains(out, c.want))
		})
	}
}

func TestJobSubmitShowsItsIDAndRepeats(t *testing.T) {
	is := is.New(t)
	first := newEntry(t, closeConnection)
	second := newEntry(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"job":{"id":"j","team":"maps","kind":"batch","tasks":3},"state":"waiting","tasks":{"waiting":3}}`)
	})
	code, out, errs := run([]string{first.addr(), second.addr()}, "job", "submit", "-")
	is.Equal(code, ExitOK)
	is.True(strings.HasPrefix(errs, "job 0"))
	is.True(strings.Contains(out, "maps"))
}
