// Command pulleyctl is the command-line tool of operators and callers.
package main

import (
	"os"

	"pulleyquay/internal/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
