package ctl

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"pulleyquay/internal/operatorapi"
	"pulleyquay/internal/settings"
)

// assignment sets one setting, or removes its override if value is nil.
type assignment struct {
	name  string
	value json.RawMessage
}

// branchChange lists the assignments of the set command to one branch.
type branchChange struct {
	path        string
	assignments []assignment
}

func (a *app) settingsSet() *cobra.Command {
	var flags changeFlags
	var create bool
	cmd := &cobra.Command{
		Use: "set PATH NAME=VALUE|NAME-... [PATH NAME=VALUE...]...", Short: "Change single settings of one or several branches in one go",
		Long: "NAME=VALUE overrides a setting, NAME- lets it be inherited again. All branches\n" +
			"are changed together or not at all, against the revision that was read: when\n" +
			"somebody else changed one of them meanwhile, the change is refused.",
		Example: "  pulleyctl settings set /lakeshore/ledger request.queue_limit=500 task.surge- --note 'storm'\n" +
			"  pulleyctl settings set /regie placement.policy=packing /lakeshore placement.policy=waiting --wait 5s\n" +
			"  pulleyctl settings set /regie/new --create",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			changes, err := parseSet(args)
			if err != nil {
				return err
			}
			return a.set(changes, create, &flags)
		},
		ValidArgsFunction: a.completeSet,
	}
	cmd.Flags().BoolVar(&create, "create", false, "create branches that do not exist")
	flags.add(cmd)
	return cmd
}

// completePath is the shell completion of branch paths, which it reads from an entry.
func (a *app) completePath(_ *cobra.Command, _ []string, prefix string) ([]string, cobra.ShellCompDirective) {
	if err := a.prepare(""); err != nil {
		return nil, cobra.ShellCompDirectiveError
	}
	body, err := a.client.get("/v1/settings/tree")
	if err != nil {
		return nil, cobra.ShellCompDirectiveError
	}
	var tree operatorapi.Tree
	if err := json.Unmarshal(body, &tree); err != nil {
		return nil, cobra.ShellCompDirectiveError
	}
	var out []string
	for _, path := range slices.Sorted(maps.Keys(tree.Branches)) {
		if strings.HasPrefix(path, prefix) {
			out = append(out, path)
		}
	}
	return out, cobra.ShellCompDirectiveNoFileComp
}

// completeSet is the shell completion of branch paths and names of settings.
func (a *app) completeSet(cmd *cobra.Command, args []string, prefix string) ([]string, cobra.ShellCompDirective) {
	if len(args) == 0 || strings.HasPrefix(prefix, "/") {
		return a.completePath(cmd, args, prefix)
	}
	var out []string
	for _, f := range settings.Fields() {
		if strings.HasPrefix(f.Name, prefix) {
			out = append(out, f.Name+"=")
		}
	}
	return out, cobra.ShellCompDirectiveNoSpace
}

// parseSet parses the arguments of set: each path is followed by the assignments to that branch.
func parseSet(args []string) ([]branchChange, error) {
	var out []branchChange
	for _, arg := range args {
		if strings.HasPrefix(arg, "/") {
			out = append(out, branchChange{path: arg})
			continue
		}
		if len(out) == 0 {
			return nil, usagef("%q comes before any branch", arg)
		}
		assigned, err := parseAssignment(arg)
		if err != nil {
			return nil, err
		}
		last := &out[len(out)-1]
		last.assignments = append(last.assignments, assigned)
	}
	return out, nil
}

// parseAssignment parses NAME=VALUE or NAME-. A value that is neither a JSON number nor a JSON boolean
// is a string.
func parseAssignment(arg string) (assignment, error) {
	name, value, ok := strings.Cut(arg, "=")
	if !ok {
		if unsetName, unset := strings.CutSuffix(arg, "-"); unset && strings.Contains(unsetName, ".") {
			return assignment{name: unsetName}, nil
		}
		return assignment{}, usagef("%q is neither NAME=VALUE nor NAME-", arg)
	}
	if !strings.Contains(name, ".") {
		return assignment{}, usagef("%q is no name of a setting; they have the form group.setting", name)
	}
	var parsed any
	if err := json.Unmarshal([]byte(value), &parsed); err == nil {
		switch parsed.(type) {
		case float64, bool:
			return assignment{name, json.RawMessage(value)}, nil
		}
	}
	quoted, err := json.Marshal(value)
	return assignment{name, quoted}, err
}

// set reads the branches, applies the assignments and sends the result against the lowest revision
// read, so that a concurrent change is refused as a conflict.
func (a *app) set(changes []branchChange, create bool, flags *changeFlags) error {
	branches := map[string]json.RawMessage{}
	lowest := int64(revisionUnset)
	for _, change := range changes {
		if _, repeated := branches[change.path]; repeated {
			return usagef("branch %s is named twice", change.path)
		}
		current, found, err := a.readBranch(change.path)
		if err != nil {
			return err
		}
		if !found {
			if !create {
				return usagef("no branch %s; --create makes it", change.path)
			}
			if current.Revision, err = a.currentRevision(); err != nil {
				return err
			}
		}
		if lowest == revisionUnset || current.Revision < lowest {
			lowest = current.Revision
		}
		if branches[change.path], err = change.apply(current.Overrides); err != nil {
			return err
		}
	}
	data, err := json.Marshal(branches)
	if err != nil {
		return err
	}
	intent := flags.intent(lowest)
	return a.send("/v1/settings", operatorapi.ChangeRequest{Intent: intent, Branches: data}, intent)
}

// apply returns the branch's overrides after the assignments. It checks names and values.
func (c branchChange) apply(current settings.Overrides) (json.RawMessage, error) {
	data, err := json.Marshal(current)
	if err != nil {
		return nil, err
	}
	groups := map[string]map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &groups); err != nil {
		return nil, err
	}
	for _, item := range c.assignments {
		group, name, _ := strings.Cut(item.name, ".")
		if item.value == nil {
			delete(groups[group], name)
			continue
		}
		if groups[group] == nil {
			groups[group] = map[string]json.RawMessage{}
		}
		groups[group][name] = item.value
	}
	data, err = json.Marshal(groups)
	if err != nil {
		return nil, err
	}
	if _, err := settings.ParseOverrides(data); err != nil {
		return nil, usagef("%s: %w", c.path, err)
	}
	return data, nil
}
