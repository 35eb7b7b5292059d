package ctl

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"pulleyquay/internal/engine"
	"pulleyquay/internal/overload"
	"pulleyquay/internal/result"
)

// accountsCommand shows each client account's usage, quota and waiting steps.
func (a *app) accountsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "accounts ADDR", Short: "Show what client accounts have running, their quotas and what waits: ADDR is the administration listener of the process that holds the partition", Args: cobra.ExactArgs(1),
		Example: "  pulleyctl accounts 127.0.0.1:9464",
		RunE: func(_ *cobra.Command, args []string) error {
			body, err := a.adminClient(args[0]).get("/debug/state")
			if err != nil || a.output == outputJSON {
				return a.showJSONOrErr(body, err)
			}
			var state struct {
				Held []struct {
					Engine engine.Dump `json:"engine"`
				} `json:"held"`
			}
			if err := json.Unmarshal(body, &state); err != nil {
				return result.New(result.Internal, result.RanNo, "%v", err)
			}
			if len(state.Held) == 0 {
				return result.New(result.HolderUnreachable, result.RanNo, "the process at %s holds no partition", args[0])
			}
			for _, h := range state.Held {
				if err := a.printAccounts(h.Engine); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func (a *app) printAccounts(d engine.Dump) error {
	t := newTable(a.out)
	for _, heading := range []string{"ACCOUNT", "WEIGHT", "SHARE", "ORDER", "OF QUOTA", "CORES", "MAY HAVE", "WAITING", "FOR QUOTA", "NEXT", "WHY"} {
		t.cell(heading)
	}
	t.endRow()
	for _, row := range d.Accounts {
		t.cell(row.Account)
		t.cell(weight(row.Weight))
		t.cell(percent(row.Share))
		t.cell(orderShares(row.Shares))
		t.cell(percent(row.Full))
		t.cell(strconv.FormatInt(row.Running.MilliCPU/1000, 10))
		t.cell(quotaCores(row.Quota.MilliCPU))
		t.cell(strconv.Itoa(row.Steps))
		t.cell(strconv.Itoa(row.ForQuota))
		t.cell(row.Next)
		t.cell(row.NextWhy)
		t.endRow()
	}
	return t.flush()
}

func percent(share float64) string { return fmt.Sprintf("%.0f%%", 100*share) }

// weight formats the weight of an account; without weights it is empty.
func weight(w float64) string {
	if w == 0 {
		return ""
	}
	return strconv.FormatFloat(w, 'g', -1, 64)
}

// orderShares formats the weighted shares that decide the order of an account's steps, by priority and service.
func orderShares(shares []engine.AccountShare) string {
	parts := make([]string, 0, len(shares))
	for _, s := range shares {
		parts = append(parts, fmt.Sprintf("%d/%s %.2f%%", s.Priority, s.Service, 100*s.Weighted))
	}
	return strings.Join(parts, ", ")
}

func quotaCores(milli int64) string {
	if milli < 0 {
		return "any"
	}
	return strconv.FormatInt(milli/1000, 10)
}

// explainCommand shows the state of a job and why its steps wait, as recorded by its holder.
func (a *app) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use: "explain ADDR JOB", Short: "Show where a job stands and what its steps wait for: ADDR is the administration listener of the process that holds the partition", Args: cobra.ExactArgs(2),
		Example: "  pulleyctl explain 127.0.0.1:9464 5c0e7a21d94b36f8",
		RunE: func(_ *cobra.Command, args []string) error {
			body, err := a.adminClient(args[0]).get("/debug/explain?of=" + url.QueryEscape(args[1]))
			if err != nil || a.output == outputJSON {
				return a.showJSONOrErr(body, err)
			}
			var x engine.Explanation
			if err := json.Unmarshal(body, &x); err != nil {
				return result.New(result.Internal, result.RanNo, "%v", err)
			}
			return a.printExplanation(x)
		},
	}
}

func (a *app) printExplanation(x engine.Explanation) error {
	if _, err := fmt.Fprintf(a.out, "%s: %s; account %q, queue %q %s\n", x.Job, x.State, x.Account, x.Queue, x.Why); err != nil {
		return err
	}
	if x.Order != "" {
		if _, err := fmt.Fprintln(a.out, x.Order); err != nil {
			return err
		}
	}
	if err := a.printAdmission(x.Admission); err != nil {
		return err
	}
	t := newTable(a.out)
	for _, heading := range []string{"STEP", "DONE", "RUNNING", "WAITING", "WHY"} {
		t.cell(heading)
	}
	t.endRow()
	for _, s := range x.Steps {
		t.cell(s.Step)
		t.cell(strconv.Itoa(s.Done))
		t.cell(strconv.Itoa(s.Running))
		t.cell(strconv.Itoa(s.Waiting))
		t.cell(s.Why)
		t.endRow()
	}
	return t.flush()
}

// printAdmission prints what the next job of a queue and account meets, if that is known.
func (a *app) printAdmission(r *overload.Row) error {
	switch {
	case r == nil:
		return nil
	case !r.Evidence:
		_, err := fmt.Fprintf(a.out, "admission: %.0f%% of the account's jobs in the queue; no backlog from which a wait would follow\n", 100*r.Admit)
		return err
	}
	_, err := fmt.Fprintf(a.out, "admission: %.0f%% of the account's jobs in the queue; the next one waits for %d ms, limit %d ms; completes %.1f processor seconds a second, is sent %.1f\n",
		100*r.Admit, r.WaitMillis, r.MaxWaitMillis, r.CompletedRate, r.OfferedRate)
	return err
}

// adminClient returns a client for a process's administration listener.
func (a *app) adminClient(addr string) *client {
	return newClient([]string{strings.TrimPrefix(addr, "http://")}, a.timeout)
}
