package daemon

import (
	"os"

	"github.com/spf13/cobra"

	"pulleyquay/internal/config"
)

// Main runs a daemon's command line. Its only flag is --config, whose file is read into a
// settings value that starts as defaults. Main does not return.
func Main[C any](name, short string, defaults C, run func(C) error) {
	MainWithPath(name, short, "", defaults, func(_ string, settings C) error { return run(settings) })
}

// MainWithPath is Main with a default path for --config. If the default is empty, the flag is
// required. The path in use is passed to run.
func MainWithPath[C any](name, short, path string, defaults C, run func(string, C) error) {
	cmd := &cobra.Command{
		Use: name + " --config FILE", Short: short, Args: cobra.NoArgs,
		SilenceErrors: true, SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			settings := defaults
			if err := config.Load(path, &settings); err != nil {
				return err
			}
			return run(path, settings)
		},
	}
	cmd.Flags().StringVar(&path, "config", path, "settings file (JSON)")
	if path == "" {
		if err := cmd.MarkFlagRequired("config"); err != nil {
			os.Exit(Fail(name, err))
		}
	}
	if err := cmd.Execute(); err != nil {
		os.Exit(Fail(name, err))
	}
	os.Exit(0)
}
