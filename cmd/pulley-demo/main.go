// Command pulley-demo runs a demonstration of a small cell on one machine. It is
// the only command here that starts processes, and not part of the product.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"pulleyquay/internal/demo"
)

func main() {
	var bin, examples string
	cmd := &cobra.Command{
		Use: "pulley-demo", Short: "Starts a small cell on loopback and runs a demonstration on it.",
		Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			dir, err := os.MkdirTemp("", "pulley-demo-")
			if err != nil {
				return err
			}
			if err := demo.Run(os.Stdout, bin, examples, dir); err != nil {
				return err
			}
			return os.RemoveAll(dir)
		},
	}
	cmd.Flags().StringVar(&bin, "bin", "bin", "directory of the programs")
	cmd.Flags().StringVar(&examples, "examples", "examples", "directory of the example settings trees")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "demonstration failed")
		os.Exit(1)
	}
}
