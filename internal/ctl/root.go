// Package ctl implements pulleyctl, the command line of operators and callers.
package ctl

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"pulleyquay/internal/result"
)

// Exit codes of pulleyctl.
const (
	ExitOK      = 0
	ExitFailed  = 1 // failed, or partly done
	ExitUsage   = 2 // the command line is invalid; nothing was sent
	ExitRefused = 3 // refused, and certainly not run
	ExitUnknown = 4 // may or may not have run
)

// EntryVariable is the environment variable with the default of --entry.
const EntryVariable = "PULLEY_ENTRY"

const longHelp = `pulleyctl talks to any entry of the cell, for operators and callers.

Exit codes:
  0  done
  1  failed, or done only in part
  2  the command line is wrong, nothing was sent
  3  refused, and certainly not run
  4  it may or may not have run; repeat with the id that is shown`

// app holds the flags and streams of one run of the command line.
type app struct {
	entries []string
	output  string
	timeout time.Duration
	client  *client
	in      io.Reader
	out     io.Writer
	errs    io.Writer
}

// usageError is a mistake in the command line; no request was sent.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error { return &usageError{fmt.Errorf(format, args...)} }

// Main runs the command line and returns the exit code.
func Main(args []string, in io.Reader, out, errs io.Writer) int {
	a := &app{in: in, out: out, errs: errs}
	root := a.root()
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	if err != nil {
		fmt.Fprintln(errs, "pulleyctl: "+describe(err))
	}
	return exitCode(err)
}

// exitCode returns the exit code for an error, or ExitOK for nil.
func exitCode(err error) int {
	var usage *usageError
	var coded *result.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case !errors.As(err, &coded):
		return ExitFailed
	case coded.Ran == result.RanNo:
		return ExitRefused
	case coded.Ran == result.RanYes:
		return ExitFailed
	default:
		return ExitUnknown
	}
}

// describe returns the text of an error, with whether the request ran and when to retry if known.
func describe(err error) string {
	var coded *result.Error
	if !errors.As(err, &coded) {
		return err.Error()
	}
	text := err.Error()
	if coded.Ran != "" {
		text += fmt.Sprintf(" (ran: %s)", coded.Ran)
	}
	if coded.RetryAfter > 0 {
		text += fmt.Sprintf("; retry after %s", coded.RetryAfter)
	}
	return text
}

// root returns the root command with all subcommands.
func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use: "pulleyctl", Short: "Operate and use a pulleyquay cell", Long: longHelp,
		SilenceErrors: true, SilenceUsage: true,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.PersistentPreRunE = func(cmd *cobra.Command, _ []string) error { return a.prepare(cmd.Name()) }
	flags := root.PersistentFlags()
	flags.StringSliceVar(&a.entries, "entry", defaultEntries(), "addresses of entries, host:port; tried in turn where that is safe (env "+EntryVariable+")")
	flags.StringVarP(&a.output, "output", "o", outputTable, "output format: table or json")
	flags.DurationVar(&a.timeout, "timeout", 15*time.Second, "limit on the whole command")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err} })
	root.AddCommand(a.settingsCommand(), a.membersCommand(), a.workersCommand(), a.jobCommand(),
		a.callCommand(), a.codesCommand(), a.traceCommand(), a.reportCommand(), a.dumpCommand(), a.accountsCommand(), a.explainCommand())
	markUsageErrors(root)
	return root
}

// markUsageErrors makes a wrong number of arguments a usage error in the command and its subcommands.
func markUsageErrors(cmd *cobra.Command) {
	if check := cmd.Args; check != nil {
		cmd.Args = func(c *cobra.Command, args []string) error {
			if err := check(c, args); err != nil {
				return &usageError{err}
			}
			return nil
		}
	}
	for _, sub := range cmd.Commands() {
		markUsageErrors(sub)
	}
}

func defaultEntries() []string {
	if text := os.Getenv(EntryVariable); text != "" {
		return strings.Split(text, ",")
	}
	return []string{"127.0.0.1:8080"}
}

// prepare checks the flags that all commands share and creates the client.
func (a *app) prepare(command string) error {
	markdown := a.output == outputMarkdown && command == codesName
	if a.output != outputTable && a.output != outputJSON && !markdown {
		return usagef("--output %q: table or json", a.output)
	}
	if len(a.entries) == 0 {
		return usagef("--entry names no address")
	}
	a.client = newClient(a.entries, a.timeout)
	return nil
}
