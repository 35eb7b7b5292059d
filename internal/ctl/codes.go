package ctl

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"pulleyquay/internal/result"
)

// codesName is the only command that accepts -o markdown.
const codesName = "codes"

func (a *app) codesCommand() *cobra.Command {
	return &cobra.Command{
		Use: codesName, Short: "List the result codes; -o markdown gives docs/RESULT-CODES.md", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return a.codes() },
	}
}

func (a *app) codes() error {
	switch a.output {
	case outputMarkdown:
		_, err := fmt.Fprint(a.out, result.Markdown())
		return err
	case outputJSON:
		data, err := json.Marshal(result.All())
		if err != nil {
			return err
		}
		return a.showJSON(data)
	}
	table := newTable(a.out)
	for _, heading := range []string{"CODE", "NAME", "STATUS", "MEANING"} {
		table.cell(heading)
	}
	table.endRow()
	for _, i := range result.All() {
		table.cell(strconv.Itoa(int(i.Code)))
		table.cell(i.Name)
		table.cell(strconv.Itoa(i.Status))
		table.cell(i.Title)
		table.endRow()
	}
	return table.flush()
}

func (a *app) dumpCommand() *cobra.Command {
	return &cobra.Command{
		Use: "dump ADDR", Short: "Show a process's state: ADDR is the host:port of its administration listener", Args: cobra.ExactArgs(1),
		Example: "  pulleyctl dump 127.0.0.1:9101",
		RunE: func(_ *cobra.Command, args []string) error {
			body, err := a.adminClient(args[0]).get("/debug/state")
			return a.showJSONOrErr(body, err)
		},
	}
}
