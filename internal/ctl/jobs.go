package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/google/uuid"
	"github.com/spf13/cobra"
)

func (a *app) membersCommand() *cobra.Command {
	return &cobra.Command{
		Use: "members", Short: "List the members", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			unheld, err := a.list("/v1/members", "members", "unheld", memberColumns...)
			if err == nil && unheld != "" {
				err = fmt.Errorf("partitions that no live member holds: %s", unheld)
			}
			return err
		},
	}
}

func (a *app) workersCommand() *cobra.Command {
	return &cobra.Command{
		Use: "workers", Short: "List the workers", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			missing, err := a.list("/v1/workers", "workers", "missing", workerColumns...)
			if err == nil && missing != "" {
				err = fmt.Errorf("members that did not answer, whose workers are not listed: %s", missing)
			}
			return err
		},
	}
}

// Columns of the tables of members, workers and jobs.
var (
	memberColumns = []column{{"NAME", "name"}, {"ZONE", "zone"}, {"ADDRESS", "addr"}, {"LEAVING", "leaving"},
		{"PARTITIONS", "partitions"}, {"SETTINGS", "settings_revision"}}
	workerColumns = []column{{"NAME", "name"}, {"ZONE", "zone"}, {"RACK", "rack"}, {"PARTITION", "partition"},
		{"CLAIM", "claim"}, {"STATUS", "status"}, {"FREE MILLICPU", "free.milli_cpu"}, {"FREE MIB", "free.memory_mib"},
		{"FREE ACC", "free.accelerators"}}
	jobColumns = []column{{"ID", "job.id"}, {"TEAM", "job.team"}, {"KIND", "job.kind"}, {"STATE", "state"}, {"TASKS", "job.tasks"},
		{"WAITING", "tasks.waiting"}, {"RUNNING", "tasks.running"}, {"FINISHED", "tasks.finished"}, {"FAILURES", "tasks.failures"},
		{"REASON", "reason"}}
)

// list reads a path and shows the array under the key rows. It returns the value of the key remainder,
// which is empty if the list is complete.
func (a *app) list(path, rows, remainder string, columns ...column) (string, error) {
	body, err := a.client.get(path)
	if err != nil {
		return "", err
	}
	if err := a.show(body, rows, columns...); err != nil {
		return "", err
	}
	var response map[string]any
	if err := json.Unmarshal(body, &response); err != nil {
		return "", err
	}
	switch value := response[remainder].(type) {
	case string:
		return value, nil
	case []any:
		return strings.TrimPrefix(cellText(value), "-"), nil
	default:
		return "", nil
	}
}

func (a *app) jobCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "job", Short: "Submit, show, change and cancel jobs", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(a.jobSubmit(), a.jobList(),
		a.jobByID("get", "Show a job", http.MethodGet),
		a.jobByID("cancel", "Cancel a job; repeating it is harmless", http.MethodDelete),
		a.jobChange(), a.jobExplain())
	return cmd
}

func (a *app) jobSubmit() *cobra.Command {
	return &cobra.Command{
		Use: "submit FILE", Short: "Submit a job from a JSON file; - reads standard input", Args: cobra.ExactArgs(1),
		Long: "A job without an id gets a new one, which is shown before the job is sent: with\n" +
			"it a submission whose outcome is unknown can be repeated without harm.",
		Example: `  echo '{"team":"trend-maps","branch":"/regie/reconciliations/trend-maps","kind":"batch","tasks":8,
    "task":{"size":{"milli_cpu":4000,"memory_mib":8192},"run_ms":60000}}' | pulleyctl job submit -`,
		RunE: func(_ *cobra.Command, args []string) error {
			data, err := a.readInput(args[0])
			if err != nil {
				return err
			}
			job, id, err := withID(data)
			if err != nil {
				return err
			}
			fmt.Fprintf(a.errs, "job %s\n", id)
			body, err := a.client.json(request{method: http.MethodPost, path: "/v1/jobs", body: job, repeatable: true})
			if err != nil {
				return err
			}
			return a.show(body, "", jobColumns...)
		},
	}
}

// withID returns the job and its id. A job without an id gets a new UUIDv7.
func withID(data []byte) (job []byte, id string, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, "", usagef("the job is not a JSON object: %w", err)
	}
	if raw, ok := fields["id"]; ok {
		if err := json.Unmarshal(raw, &id); err != nil {
			return nil, "", usagef("id: %w", err)
		}
	}
	if id != "" {
		return data, id, nil
	}
	id = uuid.Must(uuid.NewV7()).String()
	if fields["id"], err = json.Marshal(id); err != nil {
		return nil, "", err
	}
	job, err = json.Marshal(fields)
	return job, id, err
}

func (a *app) jobList() *cobra.Command {
	var team, after string
	cmd := &cobra.Command{
		Use: "list", Short: "List jobs", Args: cobra.NoArgs,
		Example: "  pulleyctl job list --team trend-maps",
		RunE: func(*cobra.Command, []string) error {
			query := url.Values{}
			if team != "" {
				query.Set("team", team)
			}
			if after != "" {
				query.Set("after", after)
			}
			path := "/v1/jobs"
			if len(query) > 0 {
				path += "?" + query.Encode()
			}
			next, err := a.list(path, "jobs", "next", jobColumns...)
			if err == nil && next != "" {
				fmt.Fprintf(a.errs, "more with --after %s\n", next)
			}
			return err
		},
	}
	cmd.Flags().StringVar(&team, "team", "", "list this team's jobs only")
	cmd.Flags().StringVar(&after, "after", "", "start after this job")
	return cmd
}

// jobByID returns a command that sends a request without a body about one job. Reads and
// cancellations are idempotent.
func (a *app) jobByID(name, short, method string) *cobra.Command {
	return &cobra.Command{
		Use: name + " ID", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			body, err := a.client.json(request{method: method, path: "/v1/jobs/" + url.PathEscape(args[0]),
				repeatable: true, read: method == http.MethodGet})
			if err != nil {
				return err
			}
			return a.show(body, "", jobColumns...)
		},
	}
}

// jobExplain shows the job owner's explanation as four tables: the job, where its tasks run, what it
// waits for, and the decisions about it.
func (a *app) jobExplain() *cobra.Command {
	return &cobra.Command{
		Use: "explain ID", Short: "Show why a job runs where it does, or what it waits for", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			body, err := a.client.get("/v1/jobs/" + url.PathEscape(args[0]) + "/explain")
			if err != nil || a.output != outputTable {
				return a.showJSONOrErr(body, err)
			}
			if err := a.show(body, "", jobColumns...); err != nil {
				return err
			}
			return a.showExplanation(body)
		},
	}
}

// explanationTables are the arrays of an explanation with their columns.
var explanationTables = []struct {
	rows    string
	columns []column
}{
	{"explanation.sites", []column{{"WORKER", "worker"}, {"ZONE", "zone"}, {"PARTITION", "partition"}, {"TASKS", "tasks"}}},
	{"explanation.waits", []column{{"TASKS WAITING", "tasks"}, {"FOR", "for"}, {"FREED BY", "freed_by"}, {"REFUSED BY RULE", "refused_by_rule"}}},
	{"explanation.decisions", []column{{"DECISION", "what"}, {"WHY", "why"}, {"TIMES", "times"}}},
}

func (a *app) showExplanation(body []byte) error {
	for _, t := range explanationTables {
		fmt.Fprintln(a.out)
		if err := a.show(body, t.rows, t.columns...); err != nil {
			return err
		}
	}
	return nil
}
