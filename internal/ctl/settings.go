package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"pulleyquay/internal/operatorapi"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
)

func (a *app) settingsCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "settings", Short: "Read and change the settings tree",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(a.settingsRead("get", "Show what a branch itself overrides", "", "overrides"),
		a.settingsRead("effective", "Show the settings in force for a branch", "/effective", "values"),
		a.settingsExplain(), a.settingsTree(), a.settingsSet(), a.settingsRemove(), a.settingsLoad(),
		a.settingsHistory(), a.settingsRollback())
	return cmd
}

func pathQuery(args []string) string {
	if len(args) == 0 {
		return "?path=/"
	}
	return "?path=" + url.QueryEscape(args[0])
}

// settingsRead returns a command that shows the settings of one branch, from the object under key in
// the response.
func (a *app) settingsRead(name, short, suffix, key string) *cobra.Command {
	return &cobra.Command{
		Use: name + " [PATH]", Short: short, Args: cobra.MaximumNArgs(1), ValidArgsFunction: a.completePath,
		Example: "  pulleyctl settings " + name + " /lakeshore/ledger\n  pulleyctl settings " + name + " /regie -o json",
		RunE: func(_ *cobra.Command, args []string) error {
			body, err := a.client.get("/v1/settings" + suffix + pathQuery(args))
			if err != nil || a.output != outputTable {
				return a.showJSONOrErr(body, err)
			}
			return a.showGroups(body, key)
		},
	}
}

// showJSONOrErr returns err if it is not nil, and else shows the body as JSON.
func (a *app) showJSONOrErr(body []byte, err error) error {
	if err != nil {
		return err
	}
	return a.showJSON(body)
}

// showGroups shows the object of groups of settings under key, in the order of settings.Fields.
func (a *app) showGroups(body []byte, key string) error {
	var parts map[string]json.RawMessage
	var groups map[string]map[string]any
	if err := json.Unmarshal(body, &parts); err != nil {
		return err
	}
	if err := json.Unmarshal(parts[key], &groups); err != nil {
		return err
	}
	table := newTable(a.out)
	table.cell("SETTING")
	table.cell("VALUE")
	table.endRow()
	for _, f := range settings.Fields() {
		group, name, _ := strings.Cut(f.Name, ".")
		if value, ok := groups[group][name]; ok {
			table.cell(f.Name)
			table.cell(number(value))
			table.endRow()
		}
	}
	return table.flush()
}

// number formats a value; numbers have no exponent.
func number(value any) string {
	if f, ok := value.(float64); ok {
		return strconv.FormatFloat(f, 'f', -1, 64)
	}
	return cellText(value)
}

func (a *app) settingsExplain() *cobra.Command {
	return &cobra.Command{
		Use: "explain [PATH]", Short: "Show each setting in force for a branch and the branch it comes from",
		Args: cobra.MaximumNArgs(1), Example: "  pulleyctl settings explain /lakeshore/ledger", ValidArgsFunction: a.completePath,
		RunE: func(_ *cobra.Command, args []string) error {
			body, err := a.client.get("/v1/settings/explain" + pathQuery(args))
			if err != nil {
				return err
			}
			return a.show(body, "settings", column{"SETTING", "name"}, column{"VALUE", "value"}, column{"UNIT", "unit"}, column{"FROM", "from"})
		},
	}
}

func (a *app) settingsTree() *cobra.Command {
	return &cobra.Command{
		Use: "tree", Short: "Show every branch with what it overrides; -o json gives the file format of load under \"branches\"",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			body, err := a.client.get("/v1/settings/tree")
			if err != nil || a.output != outputTable {
				return a.showJSONOrErr(body, err)
			}
			var tree operatorapi.Tree
			if err := json.Unmarshal(body, &tree); err != nil {
				return err
			}
			table := newTable(a.out)
			table.cell("BRANCH")
			table.cell("OVERRIDES")
			table.endRow()
			for _, path := range slices.Sorted(maps.Keys(tree.Branches)) {
				overrides, err := json.Marshal(tree.Branches[path])
				if err != nil {
					return err
				}
				table.cell(path)
				table.cell(string(overrides))
				table.endRow()
			}
			return table.flush()
		},
	}
}

func (a *app) settingsHistory() *cobra.Command {
	return &cobra.Command{
		Use: "history", Short: "Show the kept revisions, newest first", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			body, err := a.client.get("/v1/settings/history")
			if err != nil {
				return err
			}
			return a.show(body, "revisions", column{"REVISION", "revision"}, column{"AT", "at"}, column{"BY", "by"},
				column{"BRANCHES", "paths"}, column{"NOTE", "note"}, column{"CHANGE", "change_id"})
		},
	}
}

// changeFlags are the flags that all commands which change settings share.
type changeFlags struct {
	by, note, id string
	revision     int64
	wait         time.Duration
}

// revisionUnset is the default of --revision, which stands for the revision that the command reads.
const revisionUnset = -1

func (f *changeFlags) add(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&f.by, "by", currentUser(), "name for the history")
	flags.StringVar(&f.note, "note", "", "reason for the history")
	flags.StringVar(&f.id, "change-id", "", "UUIDv7 of the change; to repeat one whose outcome is unknown")
	flags.Int64Var(&f.revision, "revision", revisionUnset, "revision that the change is against; by default the present one")
	flags.DurationVar(&f.wait, "wait", 0, "wait until every member has applied the change")
}

func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// intent returns the part of a change's request body that all kinds of changes have in common. Flags that
// were not given are set: the revision to readRevision, the change id to a new UUIDv7.
func (f *changeFlags) intent(readRevision int64) operatorapi.Intent {
	if f.revision == revisionUnset {
		f.revision = readRevision
	}
	first := f.id == ""
	if first {
		f.id = uuid.Must(uuid.NewV7()).String()
	}
	return operatorapi.Intent{Revision: &f.revision, ChangeID: f.id, First: first, By: f.by, Note: f.note, WaitMillis: f.wait.Milliseconds()}
}

// send sends a change and shows the outcome. The request is repeatable because it carries the id of
// the change.
func (a *app) send(path string, body any, intent operatorapi.Intent) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	got, err := a.client.json(request{method: http.MethodPost, path: path, body: data, repeatable: true})
	if err != nil {
		if exitCode(err) == ExitUnknown {
			fmt.Fprintf(a.errs, "to settle it, repeat the command with --change-id %s --revision %d\n", intent.ChangeID, *intent.Revision)
		}
		return err
	}
	if err := a.show(got, "", column{"REVISION", "revision"}, column{"CHANGE", "change_id"}, column{"NOT APPLIED BY", "not_applied"}); err != nil {
		return err
	}
	var accepted settings.Accepted
	if err := json.Unmarshal(got, &accepted); err != nil {
		return err
	}
	if len(accepted.NotApplied) > 0 {
		return fmt.Errorf("accepted as revision %d, but not applied in time by: %s", accepted.Revision, strings.Join(accepted.NotApplied, ", "))
	}
	return nil
}

// readBranch reads a branch's overrides; found is false for an unknown branch.
func (a *app) readBranch(path string) (b operatorapi.Branch, found bool, err error) {
	body, err := a.client.get("/v1/settings?path=" + url.QueryEscape(path))
	if err != nil {
		var coded *result.Error
		if errors.As(err, &coded) && coded.Code == result.SettingsUnknownBranch {
			return b, false, nil
		}
		return b, false, err
	}
	err = json.Unmarshal(body, &b)
	return b, true, err
}

// currentRevision reads the revision that an entry has in force.
func (a *app) currentRevision() (int64, error) {
	b, _, err := a.readBranch(settings.Root)
	return b.Revision, err
}

func (a *app) settingsRemove() *cobra.Command {
	var flags changeFlags
	cmd := &cobra.Command{
		Use: "remove PATH...", Short: "Remove branches", Args: cobra.MinimumNArgs(1), ValidArgsFunction: a.completePath,
		Example: "  pulleyctl settings remove /regie/reconciliations/school-watches",
		RunE: func(_ *cobra.Command, args []string) error {
			branches := map[string]json.RawMessage{}
			for _, path := range args {
				branches[path] = json.RawMessage("null")
			}
			return a.sendBranches(branches, &flags)
		},
	}
	flags.add(cmd)
	return cmd
}

// sendBranches replaces or removes whole branches, against the current revision.
func (a *app) sendBranches(branches map[string]json.RawMessage, flags *changeFlags) error {
	data, err := json.Marshal(branches)
	if err != nil {
		return err
	}
	readRevision, err := a.currentRevision()
	if err != nil {
		return err
	}
	intent := flags.intent(readRevision)
	return a.send("/v1/settings", operatorapi.ChangeRequest{Intent: intent, Branches: data}, intent)
}

func (a *app) settingsLoad() *cobra.Command {
	var flags changeFlags
	cmd := &cobra.Command{
		Use: "load FILE...", Short: "Set every branch that the files name, in one change", Args: cobra.MinimumNArgs(1),
		Long: "Each FILE is JSON: an object of branch paths, each with its override object,\n" +
			"or null to remove the branch. Branches that no file names stay as they are.\n- reads standard input.",
		Example: "  pulleyctl settings load examples/lakeshore.json examples/regie.json --wait 5s",
		RunE: func(_ *cobra.Command, args []string) error {
			branches := map[string]json.RawMessage{}
			for _, file := range args {
				if err := a.readFile(file, branches); err != nil {
					return err
				}
			}
			return a.sendBranches(branches, &flags)
		},
	}
	flags.add(cmd)
	return cmd
}

// readFile adds the branches of a file to branches. The file is parsed as strictly as by the placer, because
// a repeated name would otherwise be dropped here without an error.
func (a *app) readFile(file string, branches map[string]json.RawMessage) error {
	data, err := a.readInput(file)
	if err != nil {
		return err
	}
	edits, err := settings.ParseBranches(data)
	if err != nil {
		return usagef("%s: %w", file, err)
	}
	for _, e := range edits {
		if _, repeated := branches[e.Path]; repeated {
			return usagef("%s: branch %s is in an earlier file too", file, e.Path)
		}
		raw, err := json.Marshal(e.Overrides)
		if err != nil {
			return err
		}
		branches[e.Path] = raw
	}
	return nil
}

// readInput reads a file, or standard input for "-".
func (a *app) readInput(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(a.in)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &usageError{err}
	}
	return data, nil
}

func (a *app) settingsRollback() *cobra.Command {
	var flags changeFlags
	cmd := &cobra.Command{
		Use: "rollback REVISION", Short: "Restore the tree of a kept revision, as a new revision", Args: cobra.ExactArgs(1),
		Example: "  pulleyctl settings history\n  pulleyctl settings rollback 41 --note 'queue too short'",
		RunE: func(_ *cobra.Command, args []string) error {
			to, err := strconv.ParseInt(args[0], 10, 64)
			if err != nil {
				return usagef("%q is no revision", args[0])
			}
			readRevision, err := a.currentRevision()
			if err != nil {
				return err
			}
			intent := flags.intent(readRevision)
			return a.send("/v1/settings/rollback", operatorapi.RollbackRequest{Intent: intent, To: &to}, intent)
		},
	}
	flags.add(cmd)
	return cmd
}
