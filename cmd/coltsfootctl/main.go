// Command coltsfootctl is the command-line client for operators and callers.
package main

import (
	"os"

	"github.com/coltsfootlug/coltsfootlug/internal/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], os.Getenv, os.Stdin, os.Stdout, os.Stderr))
}
