package ctl

import (
	"net/http"
	"net/url"
	"strconv"

	"github.com/spf13/cobra"
)

// jobChange replaces the specification of a service. The request is repeatable: a specification equal
// to the current one changes nothing.
func (a *app) jobChange() *cobra.Command {
	var generation int
	cmd := &cobra.Command{
		Use: "change ID FILE", Short: "Change the replicas or tasks of a service from a JSON file; - reads standard input",
		Long: "The file holds the whole new specification. Replicas are replaced one by one,\n" +
			"with up to task.surge of the branch above the set number.",
		Example: "  pulleyctl job change 0190b1c2-7d3e-7c11-9d55-6f0d7c0f2a10 ledger.json --generation 3",
		Args:    cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			data, err := a.readInput(args[1])
			if err != nil {
				return err
			}
			path := "/v1/jobs/" + url.PathEscape(args[0])
			if generation > 0 {
				path += "?generation=" + strconv.Itoa(generation)
			}
			body, err := a.client.json(request{method: http.MethodPut, path: path, body: data, repeatable: true})
			if err != nil {
				return err
			}
			return a.show(body, "", jobColumns...)
		},
	}
	cmd.Flags().IntVar(&generation, "generation", 0, "refuse the change unless the job is at this generation")
	return cmd
}
