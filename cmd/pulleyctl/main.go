// Command pulleyctl is the operators' and callers' command line.
package main

import (
	"os"

	"pulleyquay/internal/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
