package e2e

import (
	"bytes"
	"strings"
	"testing"

	"pulleyquay/internal/ctl"
	"pulleyquay/test/e2e/harness"
)

// TestCommandLine operates a cell with pulleyctl alone. Of the three entry addresses
// the first has no listener.
func TestCommandLine(t *testing.T) {
	c := startCell(t)
	entries := strings.Join([]string{harness.FreeAddr(t), c.Hosts[0].Addr(), c.Hosts[1].Addr()}, ",")
	job := harness.NewKey()
	spec := `{"id":"` + job + `","team":"trend-maps","branch":"/regie/reconciliations/trend-maps","kind":"batch",` +
		`"tasks":2,"task":{"size":{"milli_cpu":1000,"memory_mib":1000},"run_ms":300000}}`
	steps := []struct {
		args  string
		stdin string
		exit  int
		want  string // part of the output
	}{
		{"settings load ../../examples/lakeshore.json ../../examples/regie.json --wait 10s --note demo", "", ctl.ExitOK, "REVISION"},
		{"settings set /lakeshore/ledger request.queue_limit=321 /regie task.surge=4 --wait 10s", "", ctl.ExitOK, "REVISION"},
		{"settings get /lakeshore/ledger", "", ctl.ExitOK, "request.queue_limit          321"},
		{"settings effective /regie/count", "", ctl.ExitOK, "request.max_deadline_ms"},
		{"settings explain /regie/reconciliations/trend-maps", "", ctl.ExitOK, "/regie/reconciliations"},
		{"settings set /lakeshore/ledger request.default_deadline_ms=20000", "", ctl.ExitRefused, "6004 settings-contradiction"},
		{"settings set /lakeshore/ledgr request.queue_limit=1", "", ctl.ExitUsage, "no branch /lakeshore/ledgr"},
		{"settings remove /regie", "", ctl.ExitRefused, "6015 settings-branch-in-use"},
		{"settings history", "", ctl.ExitOK, "demo"},
		{"settings rollback 0 --wait 10s", "", ctl.ExitOK, "REVISION"},
		{"settings get /lakeshore/ledger", "", ctl.ExitRefused, "6000 settings-unknown-branch"},
		{"settings load ../../examples/regie.json --wait 10s", "", ctl.ExitOK, "REVISION"},
		{"members", "", ctl.ExitOK, c.Hosts[2].Name},
		{"workers", "", ctl.ExitOK, "ready"},
		{"job submit -", spec, ctl.ExitOK, job},
		{"job submit -", spec, ctl.ExitOK, job},
		{"job get " + job, "", ctl.ExitOK, "trend-maps"},
		{"job list --team trend-maps", "", ctl.ExitOK, job},
		{"job explain " + job, "", ctl.ExitOK, "DECISION"},
		{"job cancel " + job, "", ctl.ExitOK, job},
		{"job get " + harness.NewKey(), "", ctl.ExitFailed, "5005 job-not-found"},
		{"call no.such /x", "", ctl.ExitRefused, "ran: no"},
	}
	for _, s := range steps {
		var out, errs bytes.Buffer
		exit := ctl.Main(append([]string{"--entry", entries}, strings.Fields(s.args)...), strings.NewReader(s.stdin), &out, &errs)
		if exit != s.exit || !strings.Contains(out.String()+errs.String(), s.want) {
			t.Fatalf("pulleyctl %s\nexit %d, want %d and %q\n%s%s", s.args, exit, s.exit, s.want, out.String(), errs.String())
		}
	}
}
